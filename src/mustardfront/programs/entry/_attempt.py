"""One attempt at a request through one sidecar."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Final, TypeAlias

import msgspec
import trio

from mustardfront.codes import Code, Outcome, parse_code, parse_outcome
from mustardfront.coordination.routing import UpstreamTable
from mustardfront.decoding import decode_json
from mustardfront.programs._held import Hold
from mustardfront.programs.entry._answers import Answer, Finish
from mustardfront.programs.entry._callers import CallerRequest
from mustardfront.protocol import (
    Call,
    Calls,
    Cancelled,
    Chunk,
    End,
    Head,
    Headers,
    LoadReport,
    Refused,
    Request,
)
from mustardfront.results import Err

EVENT_STREAM: Final = "text/event-stream"


@dataclass(slots=True)
class Progress:
    """The part of the stream already passed to the caller, over all attempts.

    ``sent`` is set once an attempt was sent to a sidecar: the request may have run.
    """

    payloads: list[bytes] = field(default_factory=list)
    sent: bool = False

    @property
    def next_index(self) -> int:
        """Return the index of the token that must come next."""
        return len(self.payloads)

    def text(self) -> str:
        """Return the text so far, for the upstream that resumes the stream."""
        return "".join(_token_text(payload) for payload in self.payloads)


@dataclass(frozen=True, slots=True)
class Completed:
    """An attempt with a complete answer; ``body`` is empty for a stream."""

    code: Code
    status: int
    headers: Headers
    body: bytes


@dataclass(frozen=True, slots=True)
class Failed:
    """An attempt without a complete answer; ``outcome`` says if it may have run."""

    code: Code
    outcome: Outcome
    text: str
    retry_after_ms: int = 0


AttemptResult: TypeAlias = Completed | Failed


async def run_attempt(
    calls: Calls,
    table: UpstreamTable,
    upstream: str,
    req: CallerRequest,
    message: Request,
    answer: Answer,
    progress: Progress,
    hold: Hold,
) -> AttemptResult:
    """Send ``message``, forward its stream to the caller and return the result.

    ``hold`` counts the bytes of an answer that is collected.
    """
    began_s = trio.current_time()
    table.record_start(upstream)
    ok: bool | None = None
    try:
        with calls.open() as call:
            progress.sent = True
            sent = await calls.start(call, message)
            if isinstance(sent, Err):
                ok = False
                return Failed(Code.PEER_LOST, Outcome.UNKNOWN, sent.text)
            result = await _relay_replies(
                call, table, upstream, req, answer, progress, hold, began_s
            )
        ok = _upstream_succeeded(result)
        return result
    except trio.Cancelled:
        # No answer by the deadline counts as an upstream failure. Before the deadline,
        # the caller disconnected, which says nothing about the upstream.
        if trio.current_time() >= began_s + message.deadline_ms / 1000:
            ok = False
        raise
    finally:
        table.record_finish(upstream, trio.current_time() - began_s, ok)


def _upstream_succeeded(result: AttemptResult) -> bool | None:
    """Return whether the upstream succeeded; None if a refusal does not show it."""
    if isinstance(result, Completed):
        return True
    if result.outcome is Outcome.NOT_RUN and result.code is not Code.UPSTREAM_DOWN:
        return None
    return False


async def _relay_replies(
    call: Call,
    table: UpstreamTable,
    upstream: str,
    req: CallerRequest,
    answer: Answer,
    progress: Progress,
    hold: Hold,
    began_s: float,
) -> AttemptResult:
    head = Head(call.stream, 200)
    parts: list[bytes] = []
    first = True
    while True:
        reply = await call.next_reply()
        if isinstance(reply, Err):
            return Failed(reply.code, Outcome.UNKNOWN, reply.text)
        if isinstance(reply, Refused):
            if reply.code == Code.UPSTREAM_LIMIT:
                table.pause(upstream, reply.retry_after_ms / 1_000)
            return _failure_of_refusal(reply)
        if isinstance(reply, Cancelled):
            outcome = Outcome.UNKNOWN if reply.started else Outcome.NOT_RUN
            return Failed(Code.CANCELLED, outcome, "cancelled by the sidecar")
        if isinstance(reply, Head):
            head = reply
            if progress.payloads and not _may_be_event_stream(head):
                text = "the stream is resumed with another content type"
                return Failed(Code.UPSTREAM_BAD_ANSWER, Outcome.UNKNOWN, text)
        if isinstance(reply, Chunk):
            if first:
                table.record_first_token(upstream, trio.current_time() - began_s)
                first = False
            if not _is_stream(req, head):
                if reply.index != len(parts):
                    return _unexpected_part(reply, len(parts))
                if not hold.try_add(len(reply.data)):
                    text = "the answer exceeds what this entry may hold for all callers"
                    return Failed(Code.UPSTREAM_BAD_ANSWER, Outcome.UNKNOWN, text)
                parts.append(reply.data)
            elif reply.index > progress.next_index:
                return _unexpected_part(reply, progress.next_index)
            elif reply.index == progress.next_index:
                await _forward_token(answer, upstream, reply, progress)
            await call.acknowledge()
        if isinstance(reply, End):
            _report_load(table, upstream, reply)
            if progress.payloads and head.status != 200:
                text = f"status {head.status} for a stream that has already started"
                return Failed(Code.UPSTREAM_BAD_ANSWER, Outcome.UNKNOWN, text)
            count = progress.next_index if _is_stream(req, head) else len(parts)
            return _result_of_end(reply, head, count, b"".join(parts))


async def _forward_token(
    answer: Answer, upstream: str, chunk: Chunk, progress: Progress
) -> None:
    if not answer.started:
        answer.begin_stream(Finish(Code.ANSWERED, Outcome.ANSWERED, upstream=upstream))
    # Recorded before the send, so that a cancelled send is never repeated.
    progress.payloads.append(chunk.data)
    await answer.send_token(chunk.data)


def _report_load(table: UpstreamTable, upstream: str, end: End) -> None:
    if end.state:
        table.apply_report(
            LoadReport(
                upstream,
                end.in_flight,
                end.queued,
                end.limit,
                end.state,
                end.latency_ms,
            )
        )


def _may_be_event_stream(head: Head) -> bool:
    content_type = dict(head.headers).get("content-type", EVENT_STREAM)
    return head.status != 200 or content_type.lower().startswith(EVENT_STREAM)


def _is_stream(req: CallerRequest, head: Head) -> bool:
    return req.streamed and head.status == 200


def _failure_of_refusal(reply: Refused) -> Failed:
    outcome = Outcome.NOT_RUN if reply.not_run else Outcome.UNKNOWN
    return Failed(parse_code(reply.code), outcome, reply.text, reply.retry_after_ms)


def _unexpected_part(chunk: Chunk, expected: int) -> Failed:
    text = f"received part {chunk.index}, expected part {expected}"
    return Failed(Code.STREAM_CUT, Outcome.UNKNOWN, text)


def _result_of_end(end: End, head: Head, count: int, body: bytes) -> AttemptResult:
    code = parse_code(end.code)
    if code not in (Code.ANSWERED, Code.ANSWERED_FROM_RECORD):
        return Failed(code, parse_outcome(end.outcome), end.text)
    if end.chunks != count:
        text = f"the answer has {end.chunks} parts, {count} arrived"
        return Failed(Code.STREAM_CUT, Outcome.UNKNOWN, text)
    return Completed(code, head.status, head.headers, body)


def _token_text(payload: bytes) -> str:
    try:
        return str(decode_json(payload)["choices"][0]["text"])
    except (msgspec.DecodeError, KeyError, IndexError, TypeError):
        return ""
