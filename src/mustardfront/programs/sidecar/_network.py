"""Network backend of httpcore without its per-read timeouts.

Deadlines bound whole attempts, so a timeout on each read adds nothing. Entering a
timeout and an exception map for each token took about a quarter of a token's cost.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

import httpcore
import trio

from mustardfront.constants import CONNECT_TIMEOUT_S


class PlainStream(httpcore.AsyncNetworkStream):
    """A TCP stream that reads and writes without timeouts."""

    def __init__(self, stream: trio.SocketStream) -> None:
        self._stream = stream

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:
        """Return the next bytes, empty at the end."""
        try:
            return bytes(await self._stream.receive_some(max_bytes))
        except (trio.BrokenResourceError, trio.ClosedResourceError) as exc:
            raise httpcore.ReadError(str(exc)) from exc

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        """Send all bytes."""
        try:
            await self._stream.send_all(buffer)
        except (trio.BrokenResourceError, trio.ClosedResourceError) as exc:
            raise httpcore.WriteError(str(exc)) from exc

    async def aclose(self) -> None:
        """Close the stream."""
        await self._stream.aclose()

    def get_extra_info(self, info: str) -> Any:
        """Say whether there is something to read, which ends an idle connection."""
        return self._stream.socket.is_readable() if info == "is_readable" else None


class PlainNetwork(httpcore.AsyncNetworkBackend):
    """Opens TCP streams for httpcore."""

    async def connect_tcp(
        self,
        host: str,
        port: int,
        timeout: float | None = None,
        local_address: str | None = None,
        socket_options: Iterable[Any] | None = None,
    ) -> PlainStream:
        """Connect within ``CONNECT_TIMEOUT_S``."""
        try:
            with trio.fail_after(CONNECT_TIMEOUT_S):
                return PlainStream(await trio.open_tcp_stream(host, port))
        except trio.TooSlowError as exc:
            raise httpcore.ConnectTimeout("connect timed out") from exc
        except OSError as exc:
            raise httpcore.ConnectError(str(exc)) from exc
