"""Serving of ASGI applications with hypercorn until the process stops."""

from __future__ import annotations

import socket
from collections.abc import Awaitable, Callable
from typing import Any

import trio

from mustardfront.codes import Code
from mustardfront.metrics import Metrics
from mustardfront.results import Err, Ok, Result


def bind_socket(address: tuple[str, int]) -> Result[socket.socket]:
    """Return a TCP socket bound to ``address``; Err(ADDRESS_IN_USE) if bind fails."""
    family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
    sock = socket.socket(family, socket.SOCK_STREAM)
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind(address)
    except OSError as exc:
        sock.close()
        return Err(Code.ADDRESS_IN_USE, f"{address[0]}:{address[1]}: {exc}")
    return Ok(sock)


def server_config(bound: socket.socket, grace_s: float) -> Any:
    """Return a hypercorn configuration that takes ownership of a bound socket."""
    from hypercorn.config import Config

    config = Config()
    config.bind = [f"fd://{bound.detach()}"]
    config.errorlog = None
    config.graceful_timeout = grace_s
    return config


async def serve_asgi(
    app: Any,
    config: Any,
    stopping: Callable[[], Awaitable[None]],
    *,
    task_status: trio.TaskStatus[str] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serve ``app`` until ``stopping`` returns, then finish requests in flight.

    ``app`` gets ``http`` scopes only. ``task_status`` gets the bound address
    ``"IP:PORT"``.
    """
    import hypercorn.trio

    async def handle_scope(scope: Any, receive: Any, send: Any) -> None:
        if scope["type"] == "http":
            await app(scope, receive, send)
        elif scope["type"] == "lifespan":
            for state in ("startup", "shutdown"):
                await receive()
                await send({"type": f"lifespan.{state}.complete"})

    async with trio.open_nursery() as nursery:

        async def serve(*, task_status: trio.TaskStatus[list[str]]) -> None:
            await hypercorn.trio.serve(
                handle_scope,
                config,
                shutdown_trigger=stopping,
                task_status=task_status,
                mode="asgi",
            )

        binds = await nursery.start(serve)
        task_status.started(binds[0].partition("://")[2])


async def send_text(send: Any, status: int, body: bytes) -> None:
    """Send a plain-text response to an ASGI request."""
    headers = [
        (b"content-type", b"text/plain"),
        (b"content-length", str(len(body)).encode()),
    ]
    await send({"type": "http.response.start", "status": status, "headers": headers})
    await send({"type": "http.response.body", "body": body})


def make_metrics_app(metrics: Metrics) -> Any:
    """Return an ASGI application that responds to any request with the metrics."""

    async def app(scope: Any, receive: Any, send: Any) -> None:
        await send_text(send, 200, metrics.render().encode())

    return app
