"""Crowds of callers that keep to no limit, and the processes that must bear them.

The crowd and the bounds are fixed here for all forms and programs.
"""

from __future__ import annotations

import os
import sys
from collections.abc import Awaitable, Callable
from contextlib import asynccontextmanager
from functools import partial
from pathlib import Path

import trio

ROOT = Path(__file__).parent.parent
# The settings of the processes: their memory, and descriptors of which 200 are not for
# connections.
MEMORY_MB = 72
DESCRIPTORS = 400
# Callers of a crowd, all from one address.
CROWD = 300
CROWD_IP = "127.0.0.2"
# What each of them sends at most.
SENT_MAX_BYTES = 4 * 1024 * 1024
PIECE_BYTES = 16 * 1024
# No bound on speed: only a process that hangs takes so long.
HANG_S = 60

Form = Callable[[trio.SocketStream], Awaitable[None]]


def head(method: str, path: str, *fields: str) -> bytes:
    """Return a request's head for the route of the tests."""
    lines = [
        f"{method} {path} HTTP/1.1",
        "host: shop.example",
        "x-mustardfront-attempt-id: c1",
        "x-mustardfront-deadline-ms: 8000",
        "authorization: Bearer k1",
        *fields,
    ]
    return "\r\n".join(lines).encode() + b"\r\n\r\n"


async def send_without_end(conn: trio.SocketStream, piece: bytes) -> None:
    """Send a piece again and again, and read nothing."""
    for _ in range(SENT_MAX_BYTES // len(piece) + 1):
        await conn.send_all(piece)
    await trio.sleep_forever()


async def trailer_lines(conn: trio.SocketStream) -> None:
    """Send trailers without end behind a chunked body."""
    start = head("POST", "/get/x", "transfer-encoding: chunked")
    await conn.send_all(start + b"5\r\nhello\r\n0\r\n")
    await send_without_end(conn, b"x-trailer: " + b"a" * 1000 + b"\r\n")


async def one_long_trailer(conn: trio.SocketStream) -> None:
    """Send one trailer that does not end."""
    start = head("POST", "/get/x", "transfer-encoding: chunked")
    await conn.send_all(start + b"5\r\nhello\r\n0\r\nx-trailer: ")
    await send_without_end(conn, b"a" * PIECE_BYTES)


async def slow_trailers(conn: trio.SocketStream) -> None:
    """Send most of a long trailer, and then nothing."""
    start = head("POST", "/get/x", "transfer-encoding: chunked")
    await conn.send_all(start + b"5\r\nhello\r\n0\r\nx-trailer: " + b"a" * 60_000)
    await trio.sleep_forever()


async def small_requests_ahead(conn: trio.SocketStream) -> None:
    """Send many requests ahead, and read no answer."""
    await send_without_end(conn, head("GET", "/get/x") * 64)


async def large_requests_ahead(conn: trio.SocketStream) -> None:
    """Send requests of 20 KB ahead, and read no answer."""
    body = b"b" * 20_000
    one = head("POST", "/get/x", f"content-length: {len(body)}") + body
    await send_without_end(conn, one)


async def unread_stream(conn: trio.SocketStream) -> None:
    """Ask for a long stream, and read none of it."""
    await conn.send_all(head("POST", "/draft/x", "content-length: 0"))
    await trio.sleep_forever()


async def unread_large_answer(conn: trio.SocketStream) -> None:
    """Ask for a large answer, and read none of it."""
    await conn.send_all(head("GET", "/get/large"))
    await trio.sleep_forever()


async def long_heads(conn: trio.SocketStream) -> None:
    """Send a head just under the limit that does not end."""
    await conn.send_all(head("GET", "/get/x")[:-2] + b"x-pad: " + b"a" * 60_000)
    await trio.sleep_forever()


async def slow_bodies(conn: trio.SocketStream) -> None:
    """Send most of a body, and then nothing."""
    start = head("POST", "/get/x", "content-length: 1000")
    await conn.send_all(start + b"b" * 900)
    await trio.sleep_forever()


async def silent_connections(conn: trio.SocketStream) -> None:
    """Send nothing."""
    await trio.sleep_forever()


FORMS: tuple[Form, ...] = (
    trailer_lines,
    one_long_trailer,
    slow_trailers,
    small_requests_ahead,
    large_requests_ahead,
    unread_stream,
    unread_large_answer,
    long_heads,
    slow_bodies,
    silent_connections,
)


class Flooded:
    """A process under a crowd, and the most that it was seen to use."""

    def __init__(self, process: trio.Process) -> None:
        self.process = process
        self.descriptors = 0

    @property
    def is_running(self) -> bool:
        """Return whether the process has not ended."""
        return self.process.poll() is None

    def memory_mb(self) -> float:
        """Return the largest resident memory that the process ever had."""
        status = Path(f"/proc/{self.process.pid}/status").read_text()
        line = next(one for one in status.splitlines() if one.startswith("VmHWM"))
        return int(line.split()[1]) / 1024

    async def watch(self) -> None:
        """Record the most descriptors, until cancelled."""
        while True:
            found = len(os.listdir(f"/proc/{self.process.pid}/fd"))
            self.descriptors = max(self.descriptors, found)
            await trio.sleep(0.05)


async def start_program(
    nursery: trio.Nursery, role: str, settings: str, folder: Path
) -> trio.Process:
    """Start a role of the platform with a settings file."""
    settings_file = folder / f"{role}.toml"
    settings_file.write_text(settings)
    return await nursery.start(
        partial(
            trio.run_process,
            [sys.executable, "platform/main.py", role],
            cwd=ROOT,
            env=os.environ | {"MUSTARDFRONT_BOOT": str(settings_file)},
            capture_stdout=True,
            check=False,
        )
    )


@asynccontextmanager
async def crowd(form: Form, port: int):
    """Run a crowd; its callers connect again when they are turned away, for a while."""

    async def call() -> None:
        for _ in range(3):
            try:
                with trio.socket.socket() as sock:
                    await sock.bind((CROWD_IP, 0))
                    await sock.connect(("127.0.0.1", port))
                    await form(trio.SocketStream(sock))
            except (OSError, trio.BrokenResourceError):
                await trio.sleep(0.2)

    async with trio.open_nursery() as nursery:
        for _ in range(CROWD):
            nursery.start_soon(call)
        yield
        nursery.cancel_scope.cancel()


async def settle(flooded: Flooded) -> None:
    """Wait until the memory of a process grows no more, or the process has ended."""
    most, since = 0.0, trio.current_time()
    with trio.move_on_after(HANG_S / 2):
        while flooded.is_running and trio.current_time() - since < 3.0:
            await trio.sleep(0.25)
            if flooded.is_running and flooded.memory_mb() > most + 0.5:
                most, since = flooded.memory_mb(), trio.current_time()
