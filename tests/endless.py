"""Responses that never end, for tests of everything that reads responses."""

from __future__ import annotations

from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass

import trio

PIECE = b"x" * 16_384
# A reader without a limit is stopped here, so that it fails a test and not the machine.
SENT_MAX_BYTES = 64 * 1024 * 1024
DRIP_INTERVAL_S = 0.02


@dataclass
class EndlessServer:
    """Answers each request with the same endless response; counts what it sent."""

    respond: Callable[[EndlessServer, trio.SocketStream], Awaitable[None]]
    sent_bytes: int = 0
    address: tuple[str, int] = ("127.0.0.1", 0)

    @property
    def url(self) -> str:
        return f"http://{self.address[0]}:{self.address[1]}"

    async def send(self, conn: trio.SocketStream, data: bytes) -> None:
        if self.sent_bytes > SENT_MAX_BYTES:
            await trio.sleep_forever()
        await conn.send_all(data)
        self.sent_bytes += len(data)

    async def serve(self, conn: trio.SocketStream) -> None:
        async with conn:
            try:
                received = b""
                while b"\r\n\r\n" not in received:
                    received += await conn.receive_some()
                await self.respond(self, conn)
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                return


async def endless_body(server: EndlessServer, conn: trio.SocketStream) -> None:
    await server.send(conn, b"HTTP/1.1 200 OK\r\n\r\n")
    while True:
        await server.send(conn, PIECE)


async def endless_chunks(server: EndlessServer, conn: trio.SocketStream) -> None:
    await server.send(conn, b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n")
    while True:
        await server.send(conn, b"%x\r\n%s\r\n" % (len(PIECE), PIECE))


async def endless_error(server: EndlessServer, conn: trio.SocketStream) -> None:
    await server.send(conn, b"HTTP/1.1 500 Error\r\n\r\n")
    while True:
        await server.send(conn, PIECE)


async def endless_head(server: EndlessServer, conn: trio.SocketStream) -> None:
    await server.send(conn, b"HTTP/1.1 200 OK\r\n")
    while True:
        await server.send(conn, b"x-more: %s\r\n" % PIECE)


async def endless_interim_heads(server: EndlessServer, conn: trio.SocketStream) -> None:
    while True:
        await server.send(conn, b"HTTP/1.1 102 Processing\r\n\r\n")


async def dripping_head(server: EndlessServer, conn: trio.SocketStream) -> None:
    while True:
        await server.send(conn, b"HTTP/1.1 102 Processing\r\n\r\n")
        await trio.sleep(DRIP_INTERVAL_S)


async def dripping_body(server: EndlessServer, conn: trio.SocketStream) -> None:
    await server.send(conn, b"HTTP/1.1 200 OK\r\n\r\n")
    while True:
        await server.send(conn, b" ")
        await trio.sleep(DRIP_INTERVAL_S)


ENDLESS_RESPONSES = (
    endless_body,
    endless_chunks,
    endless_error,
    endless_head,
    endless_interim_heads,
    dripping_head,
    dripping_body,
)


@asynccontextmanager
async def endless_server(respond) -> AsyncIterator[EndlessServer]:
    """Run a server whose responses do not end on a free loopback port."""
    server = EndlessServer(respond)
    listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
    server.address = listeners[0].socket.getsockname()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(trio.serve_listeners, server.serve, listeners)
        yield server
        nursery.cancel_scope.cancel()
