"""One attempt to send a request to one upstream.

Each attempt opens its own connection, at the cost of one round trip within the region.
A duplicate response, trailing bytes after a response, or a connection that was lost
unnoticed while idle can therefore never affect another request.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass
from functools import partial
from typing import Final, TypeAlias

import httpcore
import trio

from mustardfront.codes import Code
from mustardfront.constants import RESPONSE_BODY_MAX_BYTES
from mustardfront.coordination.traffic import Upstream
from mustardfront.http_streams import CheckedBackend
from mustardfront.programs._held import Hold
from mustardfront.programs.gateway._header_names import HeaderNames
from mustardfront.programs.gateway._identity import still_runs
from mustardfront.programs.gateway._reply import ResponseWriter, end_to_end_headers
from mustardfront.programs.gateway._request import GatewayRequest, RawHeaders
from mustardfront.programs.gateway._sse import EventSplitter
from mustardfront.state import RequestKind

CONNECT_TIMEOUT_S: Final = 0.4
EVENT_MAX_BYTES: Final = 1024 * 1024
EVENT_STREAM: Final = b"text/event-stream"
_CRASHED_AT_END: Final = "the upstream crashed where its unframed response ended"
_TRANSPORT_ERRORS: Final = (
    httpcore.NetworkError,
    httpcore.ProtocolError,
    httpcore.TimeoutException,
)


@dataclass(frozen=True, slots=True)
class FullResponse:
    """A complete response that is not streamed and not yet sent to the caller."""

    status: int
    headers: RawHeaders
    body: bytes


@dataclass(frozen=True, slots=True)
class Streamed:
    """A streamed response that was forwarded to its end."""


@dataclass(frozen=True, slots=True)
class NotRun:
    """An attempt that provably did not run the request.

    ``reached_upstream`` tells whether the upstream received the request. ``at_fault``
    names another upstream that caused the refusal, if any.
    """

    code: Code
    text: str
    reached_upstream: bool
    at_fault: str = ""


@dataclass(frozen=True, slots=True)
class Failed:
    """An attempt without a valid, complete response; the request may have run.

    ``connection_closed`` tells that the upstream's end closed the connection early.
    """

    code: Code
    text: str
    connection_closed: bool = False


AttemptResult: TypeAlias = FullResponse | Streamed | NotRun | Failed

HeadListener: TypeAlias = Callable[[int, Mapping[bytes, bytes]], None]

# Returns whether a body that ended is complete. One without a length or chunks ends
# with its connection, which a crash closes as well.
EndCheck: TypeAlias = Callable[[], Awaitable[bool]]


class StreamProgress:
    """The events sent to the caller over all attempts, and the last activity."""

    def __init__(self, last_event_id: bytes) -> None:
        self.last_event_id = last_event_id
        self.event_count = 0
        self.last_activity_at = trio.current_time()
        self._first_event_at: float | None = None
        self._last_event_at: float | None = None
        # Between two events of one attempt, in seconds.
        self.longest_pause_s = 0.0
        # Called at the first event of the current attempt.
        self._on_event: Callable[[], None] | None = None

    def begin_attempt(self, on_first_event: Callable[[], None]) -> None:
        """Record that an attempt starts now; call back at its first event."""
        self.record_activity()
        self._on_event = on_first_event
        self._last_event_at = None

    def time_to_first_event_s(self, started_at: float) -> float:
        """Return the time from ``started_at`` to the first event, or until now."""
        return (self._first_event_at or trio.current_time()) - started_at

    def record_activity(self) -> None:
        """Record that the upstream sent data now."""
        self.last_activity_at = trio.current_time()

    def record_event(self, event_id: bytes) -> None:
        """Record an event that is about to be sent to the caller."""
        self.record_activity()
        if self._on_event is not None:
            self._on_event()
            self._on_event = None
        if self._first_event_at is None:
            self._first_event_at = self.last_activity_at
        if self._last_event_at is not None:
            pause_s = self.last_activity_at - self._last_event_at
            self.longest_pause_s = max(self.longest_pause_s, pause_s)
        self._last_event_at = self.last_activity_at
        self.event_count += 1
        if event_id:
            self.last_event_id = event_id


async def run_attempt(
    header_names: HeaderNames,
    upstream: Upstream,
    req: GatewayRequest,
    writer: ResponseWriter,
    progress: StreamProgress,
    hold: Hold,
    on_head: HeadListener,
) -> AttemptResult:
    """Send the request to ``upstream`` and return the result.

    Events of a stream are forwarded as they arrive; any other response is read
    completely and returned, and ``hold`` counts its bytes. ``on_head`` is called with
    the status and headers of a response before its body is read.
    """
    host, port = upstream.announced.address
    origin = httpcore.Origin(b"http", host.encode(), port)
    backend = CheckedBackend()
    async with httpcore.AsyncHTTPConnection(origin, network_backend=backend) as conn:
        try:
            response = await conn.handle_async_request(
                _build_request(header_names, upstream, req, progress)
            )
        except (httpcore.ConnectError, httpcore.ConnectTimeout) as exc:
            text = f"connect failed: {type(exc).__name__} {exc}"
            return NotRun(Code.UPSTREAM_DOWN, text, reached_upstream=False)
        except _TRANSPORT_ERRORS as exc:
            return Failed(
                Code.STREAM_CUT,
                f"no response from the upstream: {type(exc).__name__} {exc}",
                connection_closed=True,
            )
        header_map = {name.lower(): value for name, value in response.headers}
        on_head(response.status, header_map)
        try:
            return await _handle_response(
                header_names, upstream, req, response, writer, progress, hold
            )
        except _TRANSPORT_ERRORS as exc:
            return Failed(
                Code.STREAM_CUT,
                f"response interrupted: {type(exc).__name__} {exc}",
                connection_closed=True,
            )
        finally:
            with trio.CancelScope(shield=True):
                await response.aclose()


def _build_request(
    header_names: HeaderNames,
    upstream: Upstream,
    req: GatewayRequest,
    progress: StreamProgress,
) -> httpcore.Request:
    remaining_ms = max(1, int((req.deadline_at - trio.current_time()) * 1000))
    headers = [
        *req.headers,
        (b"connection", b"close"),
        (header_names.deadline_ms, str(remaining_ms).encode()),
        (header_names.expect_instance, upstream.instance.encode()),
    ]
    if req.team:
        headers.append((header_names.team, req.team.encode()))
    if req.urgency is not None:
        headers.append((header_names.priority, str(req.urgency).encode()))
    if progress.last_event_id:
        headers.append((header_names.last_event_id, progress.last_event_id))
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


async def _handle_response(
    header_names: HeaderNames,
    upstream: Upstream,
    req: GatewayRequest,
    response: httpcore.Response,
    writer: ResponseWriter,
    progress: StreamProgress,
    hold: Hold,
) -> AttemptResult:
    headers = tuple((name.lower(), value) for name, value in response.headers)
    header_map = dict(headers)
    refusal = _check_refusal(header_names, upstream, response.status, header_map)
    if refusal is not None:
        return refusal
    echoed_id = header_map.get(header_names.request_id)
    if echoed_id is not None and echoed_id.decode("latin-1") != req.request_id:
        return Failed(
            Code.UPSTREAM_BAD_ANSWER, "response carries the ID of another request"
        )
    if b"content-encoding" in header_map:
        return Failed(Code.UPSTREAM_BAD_ANSWER, "response has a Content-Encoding")
    is_success = 200 <= response.status < 300
    if is_success and header_names.answer_seal not in header_map:
        return Failed(Code.UPSTREAM_BAD_ANSWER, "response has no seal header")
    is_end_certain = _always_true
    if not _is_framed(header_map):
        is_end_certain = partial(still_runs, header_names, upstream)
    if is_success and writer.started and not _may_be_event_stream(header_map):
        return Failed(Code.UPSTREAM_BAD_ANSWER, "resumed with another content type")
    if is_success and req.route.kind is RequestKind.STREAM:
        return await _forward_stream(
            response,
            end_to_end_headers(headers),
            writer,
            progress,
            hold,
            is_end_certain,
        )
    return await _read_full_response(
        response, end_to_end_headers(headers), progress, hold, is_end_certain
    )


def _may_be_event_stream(header_map: dict[bytes, bytes]) -> bool:
    content_type = header_map.get(b"content-type", EVENT_STREAM)
    return content_type.lower().startswith(EVENT_STREAM)


def _is_framed(header_map: dict[bytes, bytes]) -> bool:
    """Return whether a truncated body can be told from a complete one."""
    chunked = b"chunked" in header_map.get(b"transfer-encoding", b"")
    return chunked or b"content-length" in header_map


async def _always_true() -> bool:
    return True


def _check_refusal(
    header_names: HeaderNames,
    upstream: Upstream,
    status: int,
    header_map: dict[bytes, bytes],
) -> AttemptResult | None:
    """Return the result for a refusal, or None if the response is not a refusal."""
    at_fault = header_map.get(header_names.at_fault, b"").decode("latin-1")
    if status == 421:
        actual_instance = header_map.get(header_names.instance, b"").decode("latin-1")
        if actual_instance not in ("", upstream.instance):
            text = f"instance {actual_instance} now serves this address"
            return NotRun(Code.UPSTREAM_REPLACED, text, reached_upstream=True)
        return NotRun(
            Code.UPSTREAM_LIMIT,
            "upstream refused the request with status 421",
            True,
            at_fault,
        )
    if header_names.not_run in header_map:
        text = f"upstream refused the request with status {status}"
        return NotRun(Code.UPSTREAM_LIMIT, text, True, at_fault)
    if status in (408, 429, 503):
        # Callers take these statuses as proof that the request did not run, but without
        # the not-run header the upstream does not guarantee it.
        return Failed(
            Code.UPSTREAM_BAD_ANSWER, f"status {status} without the not-run header"
        )
    return None


async def _read_full_response(
    response: httpcore.Response,
    headers: RawHeaders,
    progress: StreamProgress,
    hold: Hold,
    is_end_certain: EndCheck,
) -> AttemptResult:
    body = bytearray()
    async for chunk in response.aiter_stream():
        progress.record_activity()
        body += chunk
        if len(body) > RESPONSE_BODY_MAX_BYTES:
            return Failed(Code.UPSTREAM_BAD_ANSWER, "response body exceeds 16 MiB")
        if not hold.try_add(len(chunk)):
            return Failed(
                Code.UPSTREAM_BAD_ANSWER,
                "response body exceeds what this entry may hold for all callers",
            )
    if not await is_end_certain():
        return Failed(Code.STREAM_CUT, _CRASHED_AT_END, connection_closed=True)
    return FullResponse(response.status, headers, bytes(body))


async def _forward_stream(
    response: httpcore.Response,
    headers: RawHeaders,
    writer: ResponseWriter,
    progress: StreamProgress,
    hold: Hold,
    is_end_certain: EndCheck = _always_true,
) -> AttemptResult:
    splitter = EventSplitter()
    async for chunk in response.aiter_stream():
        complete = splitter.feed(chunk)
        if splitter.incomplete_bytes > EVENT_MAX_BYTES:
            return Failed(Code.UPSTREAM_BAD_ANSWER, "an event exceeds 1 MiB")
        if not hold.try_hold_event(splitter.incomplete_bytes):
            return Failed(
                Code.UPSTREAM_BAD_ANSWER,
                "an event exceeds what this entry may hold for all streams",
            )
        if not complete:
            continue
        # The attempt may be cancelled here. The shield ensures that each event recorded
        # as sent is sent, so that a resumed stream loses no event.
        with trio.CancelScope(shield=True):
            if not writer.started:
                await writer.start_stream(response.status, headers)
            for event in complete:
                if event.has_data:
                    progress.record_event(event.event_id)
            await writer.send_chunk(b"".join([event.data for event in complete]))
    if splitter.incomplete_bytes:
        # The caller must not take a stream that broke off as complete.
        return Failed(
            Code.STREAM_CUT, "the stream ended inside an event", connection_closed=True
        )
    if not await is_end_certain():
        return Failed(Code.STREAM_CUT, _CRASHED_AT_END, connection_closed=True)
    with trio.CancelScope(shield=True):
        if not writer.started:
            await writer.start_stream(response.status, headers)
        await writer.end_stream()
    return Streamed()
