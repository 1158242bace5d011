"""The server of one caller's connection, without HTTP/2."""

from __future__ import annotations

from typing import Any

from hypercorn.protocol.h11 import H11Protocol
from hypercorn.trio.tcp_server import TCPServer


class Http1Server(TCPServer):
    """Serves a connection with HTTP/1 whatever protocol its caller asks for.

    The limits on callers count connections. One of HTTP/2 has many requests at once,
    and its library raises errors of its own for what callers send.
    """

    async def _read_data(self) -> None:
        protocol = self.protocol.protocol
        if isinstance(protocol, H11Protocol):
            protocol._check_protocol = _keep_http1  # type: ignore[assignment, method-assign]
        await super()._read_data()


async def _keep_http1(_request: Any) -> None:
    """Ignore a request to change to HTTP/2, which a server may do (RFC 9110, 7.8)."""
