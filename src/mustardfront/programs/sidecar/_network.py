"""Network backend for httpcore without timeouts on each read and write.

The deadline of an attempt bounds all its reads, so a timeout on each adds nothing.
Entering a timeout and an exception map for each token took about a quarter of the
time spent on it.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

import httpcore
import trio

from mustardfront.constants import CONNECT_TIMEOUT_S


class NoTimeoutStream(httpcore.AsyncNetworkStream):
    """TCP stream that ignores the timeouts of reads and writes."""

    def __init__(self, stream: trio.SocketStream) -> None:
        self._stream = stream

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:
        """Return the next bytes, or ``b""`` at the end of the stream."""
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
        """Return whether the socket is readable, for ``is_readable``; else None."""
        return self._stream.socket.is_readable() if info == "is_readable" else None


class NoTimeoutBackend(httpcore.AsyncNetworkBackend):
    """Network backend that opens TCP streams without read and write timeouts."""

    async def connect_tcp(
        self,
        host: str,
        port: int,
        timeout: float | None = None,
        local_address: str | None = None,
        socket_options: Iterable[Any] | None = None,
    ) -> NoTimeoutStream:
        """Connect within ``CONNECT_TIMEOUT_S``, whatever ``timeout`` is."""
        try:
            with trio.fail_after(CONNECT_TIMEOUT_S):
                return NoTimeoutStream(await trio.open_tcp_stream(host, port))
        except trio.TooSlowError as exc:
            raise httpcore.ConnectTimeout(
                "connecting to the upstream timed out"
            ) from exc
        except OSError as exc:
            raise httpcore.ConnectError(str(exc)) from exc
