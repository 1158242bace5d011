"""Connections to other processes that refuse responses which are no answer.

A process in trouble may send anything. The parser behind these connections takes some
faulty responses as sound, so the bytes are checked before it gets them:

- A response may begin while its request is still being sent, and the connection be
  reset. The failed write takes the error of the socket with it: a read then finds an
  orderly end, and a body that ends with its connection would look complete.
- A line of a head that begins with a blank counts as part of the field before it, and a
  head may end with a bare line feed. A field such as the length of the body gets lost.
- A status outside of 100 to 599 has no meaning to a caller.
- A head may have no end.
"""

from __future__ import annotations

import re
import ssl
from collections.abc import Iterable
from typing import Any, Final

import httpcore

# Informational responses (1xx) count too, so that a process that sends them without end
# is left.
HEAD_MAX_BYTES: Final = 64 * 1024
# Connections of a pool that names no other number.
CONNECTIONS_MAX: Final = 10
_HEAD_END: Final = re.compile(rb"\n\r?\n")
_HEAD_END_MAX_BYTES: Final = 3
_FOLDED_LINE: Final = re.compile(rb"\n[ \t]")
_STATUS: Final = re.compile(rb"HTTP/[0-9]\.[0-9] ([0-9]{3})")
_STATUS_MIN: Final = 100
_FINAL_STATUS_MIN: Final = 200
_STATUS_MAX: Final = 599


class HeadScanner:
    """Follows the bytes of a response to the end of its head, and checks the head."""

    def __init__(self) -> None:
        self.is_complete = False
        self._buffer = bytearray()
        self._read_bytes = 0

    def feed(self, data: bytes) -> None:
        """Add bytes; raise RemoteProtocolError if they are no head of a response."""
        self._read_bytes += len(data)
        search_from = max(0, len(self._buffer) - _HEAD_END_MAX_BYTES + 1)
        self._buffer += data
        while end := _HEAD_END.search(self._buffer, search_from):
            head = bytes(self._buffer[: end.end()])
            del self._buffer[: end.end()]
            search_from = 0
            if _check_head(head) >= _FINAL_STATUS_MIN:
                self.is_complete = True
                self._buffer.clear()
                return
        if self._read_bytes > HEAD_MAX_BYTES:
            raise httpcore.RemoteProtocolError("head of the response is too long")


def _check_head(head: bytes) -> int:
    """Return the status of a head; raise RemoteProtocolError if it is no answer."""
    if _FOLDED_LINE.search(head):
        raise httpcore.RemoteProtocolError("a line of the head begins with a blank")
    if head.count(b"\n") != head.count(b"\r\n") and b"\r\n" in head:
        raise httpcore.RemoteProtocolError("lines of the head end differently")
    found = _STATUS.match(head)
    if found is None:
        raise httpcore.RemoteProtocolError("no status line")
    status = int(found[1])
    # No request of this project asks for another protocol.
    if not _STATUS_MIN <= status <= _STATUS_MAX or status == 101:
        raise httpcore.RemoteProtocolError(f"status {status} is no answer")
    return status


class CheckedStream(httpcore.AsyncNetworkStream):
    """A connection for one exchange after the other."""

    def __init__(self, stream: httpcore.AsyncNetworkStream) -> None:
        self._stream = stream
        self._head = HeadScanner()
        self._is_write_broken = False

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:
        """Read bytes; raise an error of httpcore if they are no answer."""
        data = await self._stream.read(max_bytes, timeout)
        if not data and self._is_write_broken:
            raise httpcore.ReadError("reset while the request was being sent")
        if not self._head.is_complete:
            self._head.feed(data)
        return data

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        """Write bytes of a request, whose response begins with a head."""
        if self._head.is_complete:
            self._head = HeadScanner()
        try:
            await self._stream.write(buffer, timeout)
        except httpcore.WriteError:
            self._is_write_broken = True
            raise

    async def aclose(self) -> None:
        """Close the connection."""
        await self._stream.aclose()

    async def start_tls(
        self,
        ssl_context: ssl.SSLContext,
        server_hostname: str | None = None,
        timeout: float | None = None,
    ) -> httpcore.AsyncNetworkStream:
        """Start TLS and check what comes through it."""
        tls = await self._stream.start_tls(ssl_context, server_hostname, timeout)
        return CheckedStream(tls)

    def get_extra_info(self, info: str) -> Any:
        """Return a property of the connection."""
        return self._stream.get_extra_info(info)


class CheckedBackend(httpcore.AsyncNetworkBackend):
    """Opens connections through another backend and checks what is read from them."""

    def __init__(self, backend: httpcore.AsyncNetworkBackend | None = None) -> None:
        self._backend = backend or httpcore.TrioBackend()

    async def connect_tcp(
        self,
        host: str,
        port: int,
        timeout: float | None = None,
        local_address: str | None = None,
        socket_options: Iterable[Any] | None = None,
    ) -> httpcore.AsyncNetworkStream:
        """Connect to (host, port)."""
        return CheckedStream(
            await self._backend.connect_tcp(
                host, port, timeout, local_address, socket_options
            )
        )


def open_pool(
    max_connections: int = CONNECTIONS_MAX, max_keepalive_connections: int | None = None
) -> httpcore.AsyncConnectionPool:
    """Return a pool of checked connections."""
    return httpcore.AsyncConnectionPool(
        max_connections=max_connections,
        max_keepalive_connections=max_keepalive_connections,
        network_backend=CheckedBackend(),
    )
