"""HTTP server of a stand-in, with its ready line, shutdown and response helpers."""

from __future__ import annotations

import json
import signal
import sys
from collections.abc import Awaitable, Callable
from typing import Any, TypeAlias

import trio
from hypercorn.config import Config
from hypercorn.trio import serve

Scope: TypeAlias = dict[str, Any]
Receive: TypeAlias = Callable[[], Awaitable[dict[str, Any]]]
Send: TypeAlias = Callable[[dict[str, Any]], Awaitable[None]]
App: TypeAlias = Callable[[Scope, Receive, Send], Awaitable[None]]


async def run_http(
    app: App,
    listen: tuple[str, int],
    *background: Callable[[], Awaitable[None]],
    **ready_fields: Any,
) -> None:
    """Serve ``app`` and run background tasks until SIGTERM or SIGINT.

    ``listen`` is the IP and the port. When the server accepts connections, one JSON
    line with ``address``, ``url`` and ``ready_fields`` is printed.
    """
    config = Config()
    config.bind = [f"{listen[0]}:{listen[1]}"]
    config.accesslog = None
    config.loglevel = "WARNING"
    config.graceful_timeout = 1.0
    config.backlog = 1024

    async def serve_scope(scope: Scope, receive: Receive, send: Send) -> None:
        if scope["type"] == "lifespan":
            await _lifespan(receive, send)
        elif scope["type"] == "http":
            await app(scope, receive, send)

    async def wait_for_signal() -> None:
        with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
            async for _ in signals:
                return

    async with trio.open_nursery() as nursery:
        for task in background:
            nursery.start_soon(task)

        async def serve_http(task_status: trio.TaskStatus[list[str]]) -> None:
            await serve(
                serve_scope,  # type: ignore[arg-type]
                config,
                shutdown_trigger=wait_for_signal,
                task_status=task_status,
                mode="asgi",
            )
            nursery.cancel_scope.cancel()

        binds = await nursery.start(serve_http)
        url = binds[0]
        line = {"ready": True, "url": url, "address": url.removeprefix("http://")}
        sys.stdout.write(json.dumps(line | ready_fields) + "\n")
        sys.stdout.flush()


async def _lifespan(receive: Receive, send: Send) -> None:
    while True:
        message = await receive()
        await send({"type": f"{message['type']}.complete"})
        if message["type"] == "lifespan.shutdown":
            return


async def read_body(receive: Receive) -> bytes:
    """Read and return the complete body of a request."""
    chunks: list[bytes] = []
    while True:
        message = await receive()
        if message["type"] != "http.request":
            return b"".join(chunks)
        chunks.append(message.get("body", b""))
        if not message.get("more_body", False):
            return b"".join(chunks)


async def send_json(
    send: Send, status: int, value: Any, headers: tuple[tuple[str, str], ...] = ()
) -> None:
    """Send a complete JSON response."""
    body = json.dumps(value).encode()
    await send_head(
        send,
        status,
        (
            ("content-type", "application/json"),
            ("content-length", str(len(body))),
            *headers,
        ),
    )
    await send({"type": "http.response.body", "body": body})


async def send_head(
    send: Send, status: int, headers: tuple[tuple[str, str], ...]
) -> None:
    """Send the status and the headers of a response."""
    encoded = [(name.encode(), value.encode()) for name, value in headers]
    await send({"type": "http.response.start", "status": status, "headers": encoded})


def request_header(scope: Scope, name: str) -> str:
    """Return a request header by its lower-case name, or ``""``."""
    wanted = name.encode()
    for key, value in scope["headers"]:
        if key == wanted:
            return str(value.decode())
    return ""
