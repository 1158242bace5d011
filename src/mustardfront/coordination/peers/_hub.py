"""Registry of all peer connections of this process, dialled and accepted."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Iterator
from contextlib import contextmanager
from typing import TypeAlias

import trio

from mustardfront.protocol import Message, PeerConnection
from mustardfront.results import Err

# Handles a control message; returns whether the message was of a type it handles.
ControlHandler: TypeAlias = Callable[[PeerConnection, Message], Awaitable[bool]]
# Runs on each new connection, to send the peer the current state.
ConnectHandler: TypeAlias = Callable[[PeerConnection], Awaitable[None]]


class PeerHub:
    """Registry of live connections, with handlers for their control messages."""

    def __init__(self) -> None:
        self._conns: dict[PeerConnection, trio.CancelScope] = {}
        self._handlers: list[ControlHandler] = []
        self._connect_handlers: list[ConnectHandler] = []

    @property
    def connections(self) -> tuple[PeerConnection, ...]:
        """Return the live connections."""
        return tuple(self._conns)

    def add_handler(self, handler: ControlHandler) -> None:
        """Register ``handler`` for control messages.

        Handlers are tried in the order in which they were added.
        """
        self._handlers.append(handler)

    def add_connect_handler(self, handler: ConnectHandler) -> None:
        """Register ``handler`` to run on each new connection."""
        self._connect_handlers.append(handler)

    @contextmanager
    def attached(self, conn: PeerConnection) -> Iterator[None]:
        """Keep ``conn`` in the registry while the context is open.

        ``close`` cancels the code that runs in the context.
        """
        with trio.CancelScope() as scope:
            self._conns[conn] = scope
            try:
                yield
            finally:
                del self._conns[conn]

    def close(self, conn: PeerConnection, err: Err) -> None:
        """Close a connection with ``err`` as the reason."""
        scope = self._conns.get(conn)
        if scope is not None:
            conn.closed = conn.closed or err
            scope.cancel()

    async def run_connect_handlers(self, conn: PeerConnection) -> None:
        """Run the connect handlers on a new connection."""
        for handler in self._connect_handlers:
            await handler(conn)

    async def handle(self, conn: PeerConnection, message: Message) -> bool:
        """Pass a message to the handlers; return whether one of them handled it."""
        for handler in self._handlers:
            if await handler(conn, message):
                return True
        return False

    def broadcast(self, message: Message, *, role: str = "") -> int:
        """Queue a message for all peers, or those of a role; return the queued count.

        Peers whose queue is full are skipped, so senders must repeat messages that
        matter.
        """
        return sum(
            conn.send_nowait(message)
            for conn in self._conns
            if not role or conn.remote.role == role
        )

    async def serve(self, conn: PeerConnection) -> None:
        """Handle a connection that carries only control messages, until it ends."""
        with self.attached(conn):
            await self.run_connect_handlers(conn)
            while True:
                message = await conn.receive()
                if isinstance(message, Err):
                    return
                await self.handle(conn, message.value)
