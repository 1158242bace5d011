"""ASGI applications of the gateway: caller requests and readiness checks."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any, Final

import trio

from mustardfront import events
from mustardfront.codes import Code, Outcome
from mustardfront.metrics import Metrics
from mustardfront.programs._connections import CallerConnections, connections_limit
from mustardfront.programs._held import Hold
from mustardfront.programs._http import send_text
from mustardfront.programs.gateway._choice import Forwarder
from mustardfront.programs.gateway._forward import Finish, forward, retry_after_s
from mustardfront.programs.gateway._reply import AsgiSend, ResponseWriter
from mustardfront.programs.gateway._request import (
    GatewayRequest,
    caller_deadline_ms,
    read_request,
)
from mustardfront.results import Err, Ok, Result

# Requests that arrive before the first configuration wait for it at most this long.
CONFIG_WAIT_MAX_S: Final = 0.7
# Bounds how long a caller that stops sending holds memory, whatever deadline it names.
BODY_TIME_MAX_S: Final = 30.0

AsgiReceive = Callable[[], Awaitable[Any]]
AsgiApp = Callable[[dict[str, Any], AsgiReceive, AsgiSend], Awaitable[None]]


@dataclass(slots=True)
class Frontend:
    """State of the gateway process that its HTTP applications use."""

    forwarder: Forwarder
    metrics: Metrics
    is_ready: Callable[[], bool]
    is_draining: Callable[[], bool]
    open_requests: int = 0
    connections: CallerConnections = field(
        default_factory=lambda: CallerConnections(connections_limit())
    )


def make_app(frontend: Frontend) -> AsgiApp:
    """Return the application that serves callers."""

    async def app(scope: dict[str, Any], receive: AsgiReceive, send: AsgiSend) -> None:
        frontend.open_requests += 1
        try:
            await _handle_request(frontend, scope, receive, send)
        finally:
            frontend.open_requests -= 1

    return app


def make_ready_app(frontend: Frontend) -> AsgiApp:
    """Return the application that answers the platform's readiness checks."""

    async def app(scope: dict[str, Any], receive: AsgiReceive, send: AsgiSend) -> None:
        ready = frontend.is_ready() and not frontend.is_draining()
        await send_text(send, 200 if ready else 503, b"ready\n" if ready else b"no\n")

    return app


async def _handle_request(
    frontend: Frontend, scope: dict[str, Any], receive: AsgiReceive, send: AsgiSend
) -> None:
    arrived_at = trio.current_time()
    writer = ResponseWriter(send, frontend.is_draining)
    fwd = frontend.forwarder
    await _wait_for_config(fwd)
    with fwd.held.hold_for() as hold:
        body = await _read_body_in_time(frontend, scope, receive, hold)
        await _handle_body(frontend, scope, receive, writer, body, arrived_at)


async def _handle_body(
    frontend: Frontend,
    scope: dict[str, Any],
    receive: AsgiReceive,
    writer: ResponseWriter,
    body: Result[bytes],
    arrived_at: float,
) -> None:
    """Check and forward a request whose body was read, or send an error."""
    fwd = frontend.forwarder
    req: Result[GatewayRequest] | Err = (
        body
        if isinstance(body, Err)
        else read_request(
            fwd.state,
            fwd.header_names,
            scope,
            body.value,
            arrived_at,
            fwd.is_view_unconfirmed,
        )
    )
    if isinstance(req, Err):
        status = await writer.send_error(
            req.code, Outcome.NOT_RUN, req.text, retry_after_s(req.code)
        )
        finish = Finish(req.code, Outcome.NOT_RUN, status, req.text)
        _log_finish(
            frontend, _request_id_header(frontend, scope), None, finish, arrived_at
        )
        return
    finish = Finish(Code.INTERNAL_ERROR, Outcome.UNKNOWN, 502, "internal error")
    with events.log_exceptions(f"request {req.value.request_id}"):
        finish = await _forward_until_disconnect(frontend, req.value, writer, receive)
    if finish.code is Code.INTERNAL_ERROR and not writer.started:
        await writer.send_error(finish.code, finish.outcome, finish.text, None)
    _log_finish(frontend, req.value.request_id, req.value, finish, arrived_at)


async def _wait_for_config(fwd: Forwarder) -> None:
    """Wait briefly for the first configuration of an entry that has just started."""
    with trio.move_on_after(CONFIG_WAIT_MAX_S):
        await fwd.state.configured.wait()


async def _forward_until_disconnect(
    frontend: Frontend,
    req: GatewayRequest,
    writer: ResponseWriter,
    receive: AsgiReceive,
) -> Finish:
    """Forward a request; cancel it as soon as its caller disconnects."""
    finish = Finish(Code.CANCELLED, Outcome.UNKNOWN, 0, "the caller disconnected")

    async def cancel_on_disconnect() -> None:
        while (await receive())["type"] != "http.disconnect":
            pass
        if not writer.ended:
            nursery.cancel_scope.cancel()

    async with trio.open_nursery() as nursery:
        nursery.start_soon(cancel_on_disconnect)
        finish = await forward(frontend.forwarder, req, writer)
        nursery.cancel_scope.cancel()
    return finish


async def _read_body_in_time(
    frontend: Frontend, scope: dict[str, Any], receive: AsgiReceive, hold: Hold
) -> Result[bytes]:
    """Read a request's body, as long as its caller could still get an answer."""
    names = frontend.forwarder.header_names
    limit_s = min(caller_deadline_ms(scope["headers"], names) / 1000, BODY_TIME_MAX_S)
    with frontend.forwarder.stop.move_on_at(trio.current_time() + limit_s):
        return await _read_body(receive, frontend, hold)
    return Err(Code.DEADLINE_PASSED, "the caller did not send its request in time")


async def _read_body(
    receive: AsgiReceive, frontend: Frontend, hold: Hold
) -> Result[bytes]:
    table = frontend.forwarder.state.routes
    limit = table.config.limits.body_bytes if table else 0
    received = bytearray()
    while True:
        message = await receive()
        if message["type"] == "http.disconnect":
            return Err(Code.CANCELLED, "the caller disconnected")
        data = message.get("body", b"")
        if not hold.try_add(len(data)):
            text = "this entry holds as many bytes for callers as it may"
            return Err(Code.QUEUE_FULL, text)
        received += data
        if table and len(received) > limit:
            return Err(Code.BODY_TOO_LARGE, f"request body exceeds {limit} bytes")
        if not message.get("more_body", False):
            return Ok(bytes(received))


def _request_id_header(frontend: Frontend, scope: dict[str, Any]) -> str:
    header_name = frontend.forwarder.header_names.request_id
    for name, value in scope["headers"]:
        if name.lower() == header_name:
            return str(value.decode("latin-1"))
    return ""


def _log_finish(
    frontend: Frontend,
    request_id: str,
    req: GatewayRequest | None,
    finish: Finish,
    arrived_at: float,
) -> None:
    elapsed_s = trio.current_time() - arrived_at
    refused = finish.outcome is Outcome.NOT_RUN
    events.log(
        events.Event.REQUEST_REFUSED if refused else events.Event.REQUEST_FINISHED,
        request_id=request_id,
        route=req.route.name if req else "",
        service=req.service if req else "",
        team=req.team if req else "",
        upstream=finish.upstream,
        status=finish.status,
        code=int(finish.code),
        outcome=finish.outcome.value,
        attempts=finish.attempts,
        text=finish.text,
        elapsed_ms=round(elapsed_s * 1000, 1),
    )
    frontend.metrics.count(
        "mustardfront_requests_total",
        service=req.service if req else "",
        code=str(int(finish.code)),
    )
    if finish.outcome is Outcome.ANSWERED and req is not None:
        frontend.metrics.observe(
            "mustardfront_request_seconds", elapsed_s, service=req.service
        )
