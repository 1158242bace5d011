"""Connections to upstreams on which a response must begin within a limit of bytes."""

from __future__ import annotations

import ssl
from collections.abc import Iterable
from typing import Any, Final

import httpcore

# Informational responses (1xx) count too, so that an upstream that sends them without
# end is left.
HEAD_MAX_BYTES: Final = 64 * 1024


class HeadLimitedBackend(httpcore.AsyncNetworkBackend):
    """Opens the connection of one exchange through another backend.

    Its ``HeadLimitedStream`` is in ``stream`` afterwards.
    """

    def __init__(self, backend: httpcore.AsyncNetworkBackend | None = None) -> None:
        self.stream: HeadLimitedStream | None = None
        self._backend = backend or httpcore.TrioBackend()

    async def connect_tcp(
        self,
        host: str,
        port: int,
        timeout: float | None = None,
        local_address: str | None = None,
        socket_options: Iterable[Any] | None = None,
    ) -> httpcore.AsyncNetworkStream:
        """Connect to (host, port) and limit the bytes before a response."""
        stream = await self._backend.connect_tcp(
            host, port, timeout, local_address, socket_options
        )
        self.stream = HeadLimitedStream(stream)
        return self.stream

    def end_head(self) -> None:
        """Lift the limit, because the head of the response has been read."""
        if self.stream is not None:
            self.stream.is_limited = False


class HeadLimitedStream(httpcore.AsyncNetworkStream):
    """A stream that fails once it has read too many bytes of a head."""

    def __init__(self, stream: httpcore.AsyncNetworkStream) -> None:
        self.is_limited = True
        self._stream = stream
        self._read_bytes = 0

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:
        """Read bytes; raise RemoteProtocolError if the head exceeds the limit."""
        data = await self._stream.read(max_bytes, timeout)
        self._read_bytes += len(data)
        if self.is_limited and self._read_bytes > HEAD_MAX_BYTES + max_bytes:
            raise httpcore.RemoteProtocolError("head of the response is too long")
        return data

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        """Write bytes."""
        await self._stream.write(buffer, timeout)

    async def aclose(self) -> None:
        """Close the connection."""
        await self._stream.aclose()

    async def start_tls(
        self,
        ssl_context: ssl.SSLContext,
        server_hostname: str | None = None,
        timeout: float | None = None,
    ) -> httpcore.AsyncNetworkStream:
        """Start TLS; connections to upstreams are plain TCP."""
        return await self._stream.start_tls(ssl_context, server_hostname, timeout)

    def get_extra_info(self, info: str) -> Any:
        """Return a property of the connection."""
        return self._stream.get_extra_info(info)
