"""All peer connections of this process, whatever side dialled them."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Iterator
from contextlib import contextmanager
from typing import TypeAlias

import trio

from mustardfront.protocol import Message, PeerConnection
from mustardfront.results import Err

# Handles one control message; returns True when it was one of its kind.
ControlHandler: TypeAlias = Callable[[PeerConnection, Message], Awaitable[bool]]
# Runs when a connection is attached, to tell a new peer what it should know.
Greeting: TypeAlias = Callable[[PeerConnection], Awaitable[None]]


class PeerHub:
    """Registry of live connections, with handlers for messages outside of calls."""

    def __init__(self) -> None:
        self._conns: dict[PeerConnection, trio.CancelScope] = {}
        self._handlers: list[ControlHandler] = []
        self._greetings: list[Greeting] = []

    @property
    def connections(self) -> tuple[PeerConnection, ...]:
        """Return the live connections."""
        return tuple(self._conns)

    def add_handler(self, handler: ControlHandler) -> None:
        """Offer each control message to ``handler``, in the order of adding."""
        self._handlers.append(handler)

    def add_greeting(self, greeting: Greeting) -> None:
        """Run ``greeting`` on each new connection."""
        self._greetings.append(greeting)

    @contextmanager
    def attached(self, conn: PeerConnection) -> Iterator[None]:
        """Keep ``conn`` in the registry while in the context.

        ``close`` cancels what runs in the context.
        """
        with trio.CancelScope() as scope:
            self._conns[conn] = scope
            try:
                yield
            finally:
                del self._conns[conn]

    def close(self, conn: PeerConnection, err: Err) -> None:
        """End a connection because of ``err``."""
        scope = self._conns.get(conn)
        if scope is not None:
            conn.closed = conn.closed or err
            scope.cancel()

    async def greet(self, conn: PeerConnection) -> None:
        """Run all greetings on a new connection."""
        for greeting in self._greetings:
            await greeting(conn)

    async def handle(self, conn: PeerConnection, message: Message) -> bool:
        """Offer a message to the handlers; say whether one took it."""
        for handler in self._handlers:
            if await handler(conn, message):
                return True
        return False

    def broadcast(self, message: Message, *, role: str = "") -> int:
        """Queue a message to all peers, or those of a role; return how many took it.

        A peer whose queue is full misses it, so senders repeat what matters.
        """
        return sum(
            conn.send_nowait(message)
            for conn in self._conns
            if not role or conn.remote.role == role
        )

    async def serve(self, conn: PeerConnection) -> None:
        """Run a connection that carries only control messages, until it ends."""
        with self.attached(conn):
            await self.greet(conn)
            while True:
                message = await conn.receive()
                if isinstance(message, Err):
                    return
                await self.handle(conn, message.value)
