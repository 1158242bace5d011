"""One attempt at a request: a connection to one upstream, used once.

An attempt has a connection of its own. A second answer, bytes behind an answer, or a
connection that died silently while idle can then never meet another request; it
costs one round trip within the region.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final, TypeAlias

import httpcore
import trio

from mustardfront.codes import Code
from mustardfront.coordination.traffic import Upstream
from mustardfront.programs.gateway._dialect import Dialect
from mustardfront.programs.gateway._events_stream import EventSplitter
from mustardfront.programs.gateway._reply import Reply, answer_headers
from mustardfront.programs.gateway._request import GatewayRequest, RawHeaders
from mustardfront.state import RequestKind

CONNECT_TIMEOUT_S: Final = 0.4
BODY_MAX_BYTES: Final = 16 * 1024 * 1024
_BROKEN: Final = (
    httpcore.NetworkError,
    httpcore.ProtocolError,
    httpcore.TimeoutException,
)


@dataclass(frozen=True, slots=True)
class Whole:
    """A whole answer that is not a stream, not yet sent to the caller."""

    status: int
    headers: RawHeaders
    body: bytes


@dataclass(frozen=True, slots=True)
class Streamed:
    """A stream that was passed on to its end."""


@dataclass(frozen=True, slots=True)
class NotRun:
    """It is proved that the upstream did not run the request.

    ``arrived`` says that it reached the upstream; ``at_fault`` names another upstream
    that caused the refusal.
    """

    code: Code
    text: str
    arrived: bool
    at_fault: str = ""


@dataclass(frozen=True, slots=True)
class Broken:
    """No whole answer came, and the request may have run."""

    code: Code
    text: str


AttemptResult: TypeAlias = Whole | Streamed | NotRun | Broken


class StreamProgress:
    """What the caller has of its stream so far, over all attempts."""

    def __init__(self, last_event_id: bytes) -> None:
        self.last_event_id = last_event_id
        self.events = 0
        self.heard_at = trio.current_time()
        self._first_at: float | None = None

    def first_s(self, began_s: float) -> float:
        """Return the time from ``began_s`` to the first progress."""
        return (self._first_at or trio.current_time()) - began_s

    def heard(self) -> None:
        """Note that the attempt made progress now."""
        self.heard_at = trio.current_time()

    def note(self, event_id: bytes) -> None:
        """Record an event that goes to the caller."""
        self.heard()
        if self._first_at is None:
            self._first_at = self.heard_at
        self.events += 1
        if event_id:
            self.last_event_id = event_id


async def run_attempt(
    dialect: Dialect,
    upstream: Upstream,
    req: GatewayRequest,
    reply: Reply,
    progress: StreamProgress,
) -> AttemptResult:
    """Send the request to ``upstream`` and return what came of it.

    A stream's events are passed on as they come; any other answer is read whole.
    """
    host, port = upstream.announced.address
    origin = httpcore.Origin(b"http", host.encode(), port)
    async with httpcore.AsyncHTTPConnection(origin) as conn:
        try:
            response = await conn.handle_async_request(
                _outgoing(dialect, upstream, req, progress)
            )
        except (httpcore.ConnectError, httpcore.ConnectTimeout) as exc:
            text = f"connect: {type(exc).__name__} {exc}"
            return NotRun(Code.UPSTREAM_DOWN, text, arrived=False)
        except _BROKEN as exc:
            return Broken(Code.STREAM_CUT, f"no answer: {type(exc).__name__} {exc}")
        try:
            return await _read(dialect, upstream, req, response, reply, progress)
        except _BROKEN as exc:
            return Broken(Code.STREAM_CUT, f"cut: {type(exc).__name__} {exc}")
        finally:
            with trio.CancelScope(shield=True):
                await response.aclose()


def _outgoing(
    dialect: Dialect,
    upstream: Upstream,
    req: GatewayRequest,
    progress: StreamProgress,
) -> httpcore.Request:
    left_ms = max(1, int((req.ends_at - trio.current_time()) * 1000))
    headers = [
        *req.headers,
        (b"connection", b"close"),
        (dialect.deadline_ms, str(left_ms).encode()),
        (dialect.expect_instance, upstream.instance.encode()),
    ]
    if req.team:
        headers.append((dialect.team, req.team.encode()))
    if progress.last_event_id:
        headers.append((dialect.last_event_id, progress.last_event_id))
    if req.body or req.method not in (b"GET", b"HEAD"):
        headers.append((b"content-length", str(len(req.body)).encode()))
    host, port = upstream.announced.address
    url = httpcore.URL(scheme=b"http", host=host.encode(), port=port, target=req.target)
    timeouts = {"connect": CONNECT_TIMEOUT_S}
    return httpcore.Request(
        req.method,
        url,
        headers=headers,
        content=req.body,
        extensions={"timeout": timeouts},
    )


async def _read(
    dialect: Dialect,
    upstream: Upstream,
    req: GatewayRequest,
    response: httpcore.Response,
    reply: Reply,
    progress: StreamProgress,
) -> AttemptResult:
    headers = tuple((name.lower(), value) for name, value in response.headers)
    fields = dict(headers)
    refused = _refusal(dialect, upstream, response.status, fields)
    if refused is not None:
        return refused
    echoed = fields.get(dialect.request_id)
    if echoed is not None and echoed.decode("latin-1") != req.request_id:
        return Broken(Code.UPSTREAM_BAD_ANSWER, "an answer to another request")
    if b"content-encoding" in fields:
        return Broken(Code.UPSTREAM_BAD_ANSWER, "an encoded body")
    is_success = 200 <= response.status < 300
    if is_success and dialect.answer_seal not in fields:
        return Broken(Code.UPSTREAM_BAD_ANSWER, "no seal on the answer")
    if is_success and req.route.kind is RequestKind.STREAM:
        return await _pass_on(
            response, answer_headers(headers), reply, progress, req.route.resumable
        )
    return await _whole(response, answer_headers(headers), progress)


def _refusal(
    dialect: Dialect, upstream: Upstream, status: int, fields: dict[bytes, bytes]
) -> AttemptResult | None:
    """Return what an answer without a run says, or None for an answer of a run."""
    at_fault = fields.get(dialect.at_fault, b"").decode("latin-1")
    if status == 421:
        named = fields.get(dialect.instance, b"").decode("latin-1")
        if named not in ("", upstream.instance):
            text = f"{named} is at its address"
            return NotRun(Code.UPSTREAM_REPLACED, text, arrived=True)
        return NotRun(Code.UPSTREAM_LIMIT, "refused with 421", True, at_fault)
    if dialect.not_run in fields:
        text = f"refused with {status}"
        return NotRun(Code.UPSTREAM_LIMIT, text, True, at_fault)
    if status in (408, 429, 503):
        # Callers take these statuses as proof, which the upstream does not give.
        return Broken(Code.UPSTREAM_BAD_ANSWER, f"status {status} without proof")
    return None


async def _whole(
    response: httpcore.Response, headers: RawHeaders, progress: StreamProgress
) -> AttemptResult:
    body = bytearray()
    async for chunk in response.aiter_stream():
        progress.heard()
        body += chunk
        if len(body) > BODY_MAX_BYTES:
            return Broken(Code.UPSTREAM_BAD_ANSWER, "the answer is too large")
    return Whole(response.status, headers, bytes(body))


async def _pass_on(
    response: httpcore.Response,
    headers: RawHeaders,
    reply: Reply,
    progress: StreamProgress,
    resumable: bool,
) -> AttemptResult:
    splitter = EventSplitter()
    async for chunk in response.aiter_stream():
        whole = splitter.feed(chunk)
        if not whole:
            continue
        # An attempt may be given up while it has events in hand. The shield keeps the
        # record of what was sent and the sending itself together.
        with trio.CancelScope(shield=True):
            if not reply.begun:
                await reply.start_stream(response.status, headers)
            for event in whole:
                progress.note(event.event_id)
            await reply.part(b"".join([event.data for event in whole]))
    if splitter.rest and resumable:
        return Broken(Code.STREAM_CUT, "the stream ended inside an event")
    with trio.CancelScope(shield=True):
        if not reply.begun:
            await reply.start_stream(response.status, headers)
        if splitter.rest:
            await reply.part(splitter.rest)
        await reply.end_stream()
    return Streamed()
