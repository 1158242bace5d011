"""Limits on the connections that callers may hold at one listening program.

Callers that nobody controls open connections without end, send requests ahead and read
no answers. Each connection costs memory and descriptors, so a program holds a limited
number of them; at the limit it closes the worst holder, and other callers go on.
"""

from __future__ import annotations

import contextlib
import math
import resource
import socket
import struct
from collections import Counter
from collections.abc import Callable
from typing import Final

import trio

from mustardfront import events

# Descriptors of a process that are not for connections: files, listeners, the store.
OWN_DESCRIPTORS: Final = 264
# Each caller's connection may need one to an upstream, and one that is being closed.
DESCRIPTORS_PER_CONNECTION: Final = 3
# Memory of an entry without callers, with room for a large configuration.
OWN_MEMORY_BYTES: Final = 56 * 1024 * 1024
# Memory that a connection takes with its tasks and buffers, without bodies.
CONNECTION_MEMORY_BYTES: Final = 100 * 1024
# The limit where neither memory nor descriptors are known to be less.
CONNECTIONS_MAX: Final = 8_192
CONNECTIONS_MIN: Final = 16
# Read at once, so that a caller cannot make a program hold more of its requests.
RECEIVE_MAX_BYTES: Final = 16 * 1024
# A caller that takes longer for so many bytes does not read its answer. Those that do
# leave sooner, at their deadline.
SEND_PIECE_BYTES: Final = 16 * 1024
SEND_STALL_S: Final = 15.0
# At the limit, a caller that has not read for this long is closed first.
STALLED_MIN_S: Final = 0.5
# Part of all connections that callers of one address may hold when others want some.
ADDRESS_SHARE: Final = 0.5
_RESET_ON_CLOSE: Final = struct.pack("ii", 1, 0)


def connections_limit(
    memory_bytes: int | None = None, descriptors: int | None = None
) -> int:
    """Return how many callers' connections a process may hold.

    By its memory and its descriptors, None where the limit of the host is not known;
    then the kernel's limit on descriptors counts.
    """
    if descriptors is None:
        descriptors = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
    by_descriptors = (descriptors - OWN_DESCRIPTORS) // DESCRIPTORS_PER_CONNECTION
    by_memory = CONNECTIONS_MAX
    if memory_bytes is not None:
        by_memory = (memory_bytes - OWN_MEMORY_BYTES) // CONNECTION_MEMORY_BYTES
    return max(CONNECTIONS_MIN, min(CONNECTIONS_MAX, by_descriptors, by_memory))


class CallerStream(trio.abc.HalfCloseableStream):
    """A caller's connection, which ends when the caller does not read."""

    def __init__(
        self, stream: trio.SocketStream, on_close: Callable[[CallerStream], None]
    ) -> None:
        self.socket = stream.socket
        self.address = _peer_ip(stream.socket)
        self.accepted_at = trio.current_time()
        # Since when the present piece of an answer has not been taken.
        self.sending_since = math.inf
        self._stream = stream
        self._on_close = on_close

    @property
    def stalled_s(self) -> float:
        """Return for how many seconds the caller has not read; 0 if it has."""
        return max(0.0, trio.current_time() - self.sending_since)

    async def send_all(self, data: bytes | bytearray | memoryview) -> None:
        """Send bytes; raise BrokenResourceError if the caller does not read them."""
        view = memoryview(data)
        for start in range(0, len(view), SEND_PIECE_BYTES):
            self.sending_since = trio.current_time()
            try:
                with trio.fail_after(SEND_STALL_S):
                    await self._stream.send_all(view[start : start + SEND_PIECE_BYTES])
            except trio.TooSlowError:
                events.log(events.Event.CALLER_CLOSED, reason="does not read")
                self.abort()
                raise trio.BrokenResourceError("the caller does not read") from None
            finally:
                self.sending_since = math.inf

    async def wait_send_all_might_not_block(self) -> None:
        """Wait until a send would make progress."""
        await self._stream.wait_send_all_might_not_block()

    async def receive_some(self, max_bytes: int | None = None) -> bytes | bytearray:
        """Receive some bytes, few at once."""
        limit = min(max_bytes or RECEIVE_MAX_BYTES, RECEIVE_MAX_BYTES)
        return await self._stream.receive_some(limit)

    async def send_eof(self) -> None:
        """Send an end of file."""
        await self._stream.send_eof()

    async def aclose(self) -> None:
        """Close the connection."""
        self._on_close(self)
        await self._stream.aclose()

    def abort(self) -> None:
        """Close the connection at once; what was not sent yet is dropped."""
        self._on_close(self)
        # The connection may have ended by itself.
        with contextlib.suppress(OSError):
            self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
        self.socket.close()


class CallerConnections:
    """The connections of all callers of one listening address."""

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.closed_count = 0
        self._open: set[CallerStream] = set()

    @property
    def count(self) -> int:
        """Return how many connections are open."""
        return len(self._open)

    def admit(self, stream: trio.SocketStream) -> CallerStream | None:
        """Take over a new connection; None if there is no room for it.

        At the limit the worst holder is closed in its favour, if there is one.
        """
        new = CallerStream(stream, self._open.discard)
        if len(self._open) >= self.limit:
            worst = self._worst_holder(new.address)
            self.closed_count += 1
            events.log(
                events.Event.CALLER_CLOSED,
                reason="as many connections as this program may hold",
                limit=self.limit,
                address=worst.address if worst is not None else new.address,
            )
            if worst is None:
                new.abort()
                return None
            worst.abort()
        self._open.add(new)
        return new

    def _worst_holder(self, new_address: str) -> CallerStream | None:
        """Return the connection to close for one of ``new_address``; None: no other.

        It is one whose caller does not read, or the oldest one of the address that
        holds most of them, unless the new one is of this address too.
        """
        stalled = max(self._open, key=lambda one: one.stalled_s)
        if stalled.stalled_s >= STALLED_MIN_S:
            return stalled
        counts = Counter(one.address for one in self._open)
        address, count = counts.most_common(1)[0]
        if address == new_address or count <= ADDRESS_SHARE * self.limit:
            return None
        held = (one for one in self._open if one.address == address)
        return min(held, key=lambda one: one.accepted_at)


class CallerListener(trio.abc.Listener[CallerStream]):
    """Accepts callers' connections within the limit."""

    def __init__(
        self, listener: trio.SocketListener, connections: CallerConnections
    ) -> None:
        self.socket = listener.socket
        self._listener = listener
        self._connections = connections

    async def accept(self) -> CallerStream:
        """Accept the next connection that there is room for."""
        while True:
            admitted = self._connections.admit(await self._listener.accept())
            if admitted is not None:
                return admitted

    async def aclose(self) -> None:
        """Stop listening."""
        await self._listener.aclose()


def _peer_ip(sock: trio.socket.SocketType) -> str:
    try:
        return str(sock.getpeername()[0])
    except OSError:
        return ""
