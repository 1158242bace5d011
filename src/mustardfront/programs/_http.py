"""Serving of ASGI applications with hypercorn until the process stops."""

from __future__ import annotations

import socket
from collections.abc import Awaitable, Callable
from functools import partial
from typing import Any

import trio

from mustardfront import events
from mustardfront.codes import Code
from mustardfront.metrics import Metrics
from mustardfront.programs._connections import (
    CallerConnections,
    CallerListener,
    connections_limit,
)
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
    # HTTP/2 over TLS; that over TCP is refused by ``Http1Server``.
    config.alpn_protocols = ["http/1.1"]
    config.graceful_timeout = grace_s
    return config


async def serve_asgi(
    app: Any,
    config: Any,
    stopping: Callable[[], Awaitable[None]],
    connections: CallerConnections | None = None,
    *,
    task_status: trio.TaskStatus[str] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serve ``app`` until ``stopping`` returns, then finish requests in flight.

    ``app`` gets ``http`` scopes of HTTP/1 only. ``connections`` limits those of
    callers, by default as the descriptors allow. ``task_status`` gets the bound address
    ``"IP:PORT"``.
    """
    from hypercorn.trio.worker_context import WorkerContext
    from hypercorn.typing import ConnectionState
    from hypercorn.utils import wrap_app

    from mustardfront.programs._http1_server import Http1Server

    async def handle_scope(scope: Any, receive: Any, send: Any) -> None:
        if scope["type"] == "http":
            await app(scope, receive, _uninterrupted(send))

    if connections is None:
        connections = CallerConnections(connections_limit())
    context = WorkerContext(None)
    wrapped = wrap_app(handle_scope, config.wsgi_max_body_size, "asgi")
    make_server = partial(Http1Server, wrapped, config, context, ConnectionState({}))

    async def serve_caller(stream: Any) -> None:
        # All callers share one nursery, and what the HTTP library raises for one of
        # them must not end the others.
        with events.log_exceptions("caller's connection"):
            await make_server(stream)

    listeners = _open_listeners(config, connections)
    async with trio.open_nursery() as callers:
        async with trio.open_nursery() as accepting:
            accepting.start_soon(
                partial(
                    trio.serve_listeners,
                    serve_caller,
                    listeners,
                    handler_nursery=callers,
                )
            )
            task_status.started(_bound_address(listeners[0]))
            await stopping()
            accepting.cancel_scope.cancel()
        await context.terminated.set()
        callers.cancel_scope.deadline = trio.current_time() + config.graceful_timeout


def _uninterrupted(send: Any) -> Any:
    """Return ``send`` so that a cancel scope ends before or after a message.

    The HTTP server notes a message in its parser, waits for its lock and then sends the
    bytes. A message that is cancelled in between is lost, while the parser counts it as
    sent: whatever is sent next is either refused by the parser, which ended the
    process, or follows a gap. A caller that does not read delays a message for as long
    as its connection may stall.
    """

    async def send_message(message: dict[str, Any]) -> None:
        with trio.CancelScope(shield=True):
            await send(message)

    return send_message


def _open_listeners(config: Any, connections: CallerConnections) -> list[Any]:
    """Listen on the sockets of a configuration, with TLS where it asks for that."""
    sockets = config.create_sockets()
    ssl_context = config.create_ssl_context()
    found: list[Any] = []
    for sock in (*sockets.secure_sockets, *sockets.insecure_sockets):
        sock.listen(config.backlog)
        listener = trio.SocketListener(trio.socket.from_stdlib_socket(sock))
        callers = CallerListener(listener, connections)
        if sock in sockets.secure_sockets:
            tls = trio.SSLListener(callers, ssl_context, https_compatible=True)
            found.append(tls)
        else:
            found.append(callers)
    return found


def _bound_address(listener: Any) -> str:
    transport = getattr(listener, "transport_listener", listener)
    host, port = transport.socket.getsockname()[:2]
    return f"[{host}]:{port}" if ":" in host else f"{host}:{port}"


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
