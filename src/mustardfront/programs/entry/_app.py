"""The callers' HTTP front as an ASGI application."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any, Final

import msgspec
import trio

from mustardfront import events
from mustardfront.codes import Code, Outcome
from mustardfront.constants import BODY_MAX_BYTES, REQUEST_ID_MAX_CHARS
from mustardfront.coordination.limits import TeamLimits
from mustardfront.metrics import Metrics
from mustardfront.programs._held import Hold
from mustardfront.programs.entry._answers import Answer, AsgiSend, Finish
from mustardfront.programs.entry._callers import (
    CallerRequest,
    check_request,
    request_id_of,
)
from mustardfront.programs.entry._explain import Decisions
from mustardfront.programs.entry._forward import Forwarder, forward
from mustardfront.results import Err, Ok, Result

AsgiReceive = Callable[[], Awaitable[Any]]
AsgiApp = Callable[[dict[str, Any], AsgiReceive, AsgiSend], Awaitable[None]]

# Bounds how long a caller that stops sending holds memory.
BODY_TIME_MAX_S: Final = 30.0
_HEALTH_PATHS: Final = ("/healthz", "/readyz")


@dataclass(frozen=True, slots=True)
class FrontContext:
    """Parts of the entry process that the HTTP front uses."""

    forwarder: Forwarder
    teams: TeamLimits
    metrics: Metrics
    decisions: Decisions
    is_ready: Callable[[], bool]
    is_draining: Callable[[], bool]
    open_ids: set[tuple[str, str]] = field(default_factory=set)


def make_app(front: FrontContext) -> AsgiApp:
    """Return the callers' ASGI application."""

    async def app(scope: dict[str, Any], receive: AsgiReceive, send: AsgiSend) -> None:
        if scope["type"] == "lifespan":
            await _lifespan(receive, send)
        elif scope["type"] == "http":
            if scope["path"] in _HEALTH_PATHS:
                await _serve_health(front, scope["path"], send)
            else:
                await _serve_request(front, scope, receive, send)

    return app


def make_operators_app(front: FrontContext) -> AsgiApp:
    """Return the operators' ASGI application: health, metrics and decisions.

    It has its own listen address, because decisions name all teams.
    """

    async def app(scope: dict[str, Any], receive: AsgiReceive, send: AsgiSend) -> None:
        if scope["type"] == "lifespan":
            await _lifespan(receive, send)
        elif scope["type"] == "http":
            await _serve_operators(front, scope["path"], send)

    return app


async def _lifespan(receive: AsgiReceive, send: AsgiSend) -> None:
    while True:
        message = await receive()
        await send({"type": f"{message['type']}.complete"})
        if message["type"] == "lifespan.shutdown":
            return


async def _serve_health(front: FrontContext, path: str, send: AsgiSend) -> None:
    if path == "/healthz":
        await _send_response(send, 200, b"ok\n")
        return
    ready = front.is_ready() and not front.is_draining()
    await _send_response(send, 200 if ready else 503, b"ready\n" if ready else b"no\n")


async def _serve_operators(front: FrontContext, path: str, send: AsgiSend) -> None:
    if path in _HEALTH_PATHS:
        await _serve_health(front, path, send)
    elif path == "/metrics":
        await _send_response(send, 200, front.metrics.render().encode())
    elif path.startswith("/explain/"):
        found = front.decisions.events_for(path.removeprefix("/explain/"))
        body = msgspec.json.encode(found, enc_hook=str)
        await _send_response(send, 200 if found else 404, body, b"application/json")
    else:
        await _send_response(send, 404, b"no such page\n")


async def _send_response(
    send: AsgiSend, status: int, body: bytes, kind: bytes = b"text/plain"
) -> None:
    headers = [
        (b"content-type", kind),
        (b"content-length", str(len(body)).encode()),
    ]
    await send({"type": "http.response.start", "status": status, "headers": headers})
    await send({"type": "http.response.body", "body": body})


async def _serve_request(
    front: FrontContext, scope: dict[str, Any], receive: AsgiReceive, send: AsgiSend
) -> None:
    began_s = trio.current_time()
    headers = {
        name.decode("latin-1").lower(): value.decode("latin-1")
        for name, value in scope["headers"]
    }
    request_id = request_id_of(headers)
    answer = Answer(request_id[:REQUEST_ID_MAX_CHARS], front.is_draining)
    with front.forwarder.held.hold_for() as hold:
        body: Result[bytes] = Err(
            Code.DEADLINE_PASSED, "the caller did not send its request in time"
        )
        with trio.move_on_after(BODY_TIME_MAX_S):
            body = await _read_body(receive, hold)
        req = _check_body(front, scope, headers, body, request_id)
        if isinstance(req, Err):
            finish = Finish(req.code, Outcome.NOT_RUN, req.text)
            answer.send_error(finish)
            await answer.deliver(send)
            _log_finish(front, request_id, None, finish, began_s)
            return
        text = "internal error in the entry; see its log for the cause"
        finish = Finish(Code.INTERNAL_ERROR, Outcome.UNKNOWN, text)
        with events.log_exceptions(f"request {request_id}"):
            finish = await _forward_within_limits(
                front, req.value, answer, receive, send
            )
        if finish.code is Code.INTERNAL_ERROR and not answer.started:
            answer.send_error(finish)
            await answer.deliver(send)
        _log_finish(front, request_id, req.value, finish, began_s)


def _check_body(
    front: FrontContext,
    scope: dict[str, Any],
    headers: dict[str, str],
    body: Result[bytes],
    request_id: str,
) -> Result[CallerRequest]:
    """Return the checked request whose body was read."""
    if isinstance(body, Err):
        return body
    if not front.is_ready():
        return Err(Code.NOT_READY, "this entry has no configuration yet")
    # "path" is percent-decoded, which would lose an encoded space or slash.
    target = scope["raw_path"].decode("ascii")
    if scope.get("query_string"):
        target += "?" + scope["query_string"].decode("latin-1")
    return check_request(
        front.forwarder.config(),
        scope["method"],
        target,
        headers,
        body.value,
        request_id,
    )


async def _forward_within_limits(
    front: FrontContext,
    req: CallerRequest,
    answer: Answer,
    receive: AsgiReceive,
    send: AsgiSend,
) -> Finish:
    """Forward a checked request within its team's limit and under a unique ID."""
    team = front.forwarder.config().teams[req.team]
    open_id = (req.team, req.request_id)
    if open_id in front.open_ids:
        text = "a request with this X-Request-Id is in flight"
        return await _send_error(answer, send, Code.DUPLICATE_REQUEST_ID, text)
    with front.teams.admit(req.team, team.max_in_flight) as held:
        if isinstance(held, Err):
            return await _send_error(answer, send, held.code, held.text)
        front.open_ids.add(open_id)
        try:
            return await _forward_while_connected(front, req, answer, receive, send)
        finally:
            front.open_ids.discard(open_id)


async def _send_error(answer: Answer, send: AsgiSend, code: Code, text: str) -> Finish:
    finish = Finish(code, Outcome.NOT_RUN, text)
    answer.send_error(finish)
    await answer.deliver(send)
    return finish


async def _forward_while_connected(
    front: FrontContext,
    req: CallerRequest,
    answer: Answer,
    receive: AsgiReceive,
    send: AsgiSend,
) -> Finish:
    """Forward a request; cancel it when its caller disconnects first."""
    finish = Finish(Code.CANCELLED, Outcome.UNKNOWN, "the caller disconnected")

    async def cancel_on_disconnect() -> None:
        while (await receive())["type"] != "http.disconnect":
            pass
        if not answer.ended:
            nursery.cancel_scope.cancel()

    async def deliver() -> None:
        await answer.deliver(send)
        nursery.cancel_scope.cancel()

    async with trio.open_nursery() as nursery:
        nursery.start_soon(cancel_on_disconnect)
        nursery.start_soon(deliver)
        finish = await forward(front.forwarder, req, answer)
        answer.close()
    return finish


async def _read_body(receive: AsgiReceive, hold: Hold) -> Result[bytes]:
    parts = bytearray()
    while True:
        message = await receive()
        if message["type"] == "http.disconnect":
            return Err(Code.CANCELLED, "the caller disconnected")
        data = message.get("body", b"")
        if not hold.try_add(len(data)):
            text = "this entry holds as many bytes for callers as it may"
            return Err(Code.QUEUE_FULL, text)
        parts += data
        if len(parts) > BODY_MAX_BYTES:
            return Err(Code.BODY_TOO_LARGE, f"body over {BODY_MAX_BYTES} bytes")
        if not message.get("more_body", False):
            return Ok(bytes(parts))


def _log_finish(
    front: FrontContext,
    request_id: str,
    req: CallerRequest | None,
    finish: Finish,
    began_s: float,
) -> None:
    elapsed_s = trio.current_time() - began_s
    service = req.service if req else ""
    events.log(
        events.Event.REQUEST_FINISHED if finish.attempts else _finish_event(finish),
        request_id=request_id,
        team=req.team if req else "",
        service=service,
        upstream=finish.upstream,
        code=int(finish.code),
        outcome=finish.outcome.value,
        attempts=finish.attempts,
        text=finish.text,
        elapsed_ms=round(elapsed_s * 1000, 3),
    )
    front.metrics.count(
        "mustardfront_requests_total", service=service, code=str(int(finish.code))
    )
    if finish.outcome is Outcome.ANSWERED:
        front.metrics.observe(
            "mustardfront_request_seconds", elapsed_s, service=service
        )


def _finish_event(finish: Finish) -> events.Event:
    if finish.outcome is Outcome.NOT_RUN:
        return events.Event.REQUEST_REFUSED
    return events.Event.REQUEST_FINISHED
