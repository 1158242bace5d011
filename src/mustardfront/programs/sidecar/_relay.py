"""Execution of one attempt: admission, upstream call and relay of the answer."""

from __future__ import annotations

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import replace
from typing import Final

import trio

from mustardfront import events
from mustardfront.codes import Code
from mustardfront.constants import RESPONSE_BODY_MAX_BYTES
from mustardfront.coordination.traffic import (
    RateLimitNotice,
    parse_rate_limit,
    parse_retry_after,
)
from mustardfront.programs._crash_reports import part_content
from mustardfront.programs.sidecar._admission import (
    RETRY_AFTER_MS,
    admission_error,
    build_upstream_call,
    retry_after_ms,
    start_error,
)
from mustardfront.programs.sidecar._attempt import Attempt
from mustardfront.programs.sidecar._claims import must_be_claimed, run_with_claim
from mustardfront.programs.sidecar._sse import (
    END_MARKER,
    EventParser,
    parse_token_index,
)
from mustardfront.programs.sidecar._state import Sidecar
from mustardfront.programs.sidecar._upstream import UpstreamCall, UpstreamResponse
from mustardfront.protocol import Cancelled, Chunk, End, Head, Refused, Started
from mustardfront.results import Err, Ok, Result

CANCEL_TIMEOUT_S: Final = 1.0
# On responses of an upstream in need: the requests a second that it takes.
RATE_LIMIT_HEADER: Final = "x-rate-limit"
# 1 on all responses of an upstream that is about to end.
LEAVING_HEADER: Final = "x-leaving"
# HTTP statuses by which an upstream reports overload.
OVERLOAD_STATUSES: Final = frozenset({429, 503})


async def run_attempt(sidecar: Sidecar, attempt: Attempt) -> None:
    """Run one attempt and send its final reply."""
    sidecar.attempts.add(attempt)
    try:
        final_reply: Refused | End | Cancelled | None = None
        with attempt.scope:
            final_reply = await _admit_and_run(sidecar, attempt)
        if final_reply is None:
            final_reply = attempt.interrupted_reply()
        attempt.finished = True
        _log_final_reply(sidecar, attempt, final_reply)
        await attempt.send(_with_load(sidecar, final_reply))
    finally:
        attempt.finished = True
        sidecar.attempts.discard(attempt)
        sidecar.notify_load_changed()
    if attempt.forwarded and attempt.req.streamed and not _is_complete(final_reply):
        await _cancel_upstream(sidecar, attempt)


def _with_load(
    sidecar: Sidecar, final_reply: Refused | End | Cancelled
) -> Refused | End | Cancelled:
    """Add the load of this upstream, which the entry uses for its next choice.

    A separate load report for each request would use up an entry's share of control
    traffic at the target rate of 92 requests a second.
    """
    if not isinstance(final_reply, End):
        return final_reply
    load = sidecar.load_report()
    return replace(
        final_reply,
        state=load.state,
        in_flight=load.in_flight,
        queued=load.queued,
        limit=load.limit,
        latency_ms=load.latency_ms,
    )


def _is_complete(final_reply: Refused | End | Cancelled) -> bool:
    """Return whether the caller got a complete answer."""
    return isinstance(final_reply, End) and final_reply.code == Code.ANSWERED


async def _admit_and_run(sidecar: Sidecar, attempt: Attempt) -> Refused | End:
    """Check, queue and forward an attempt; return its final reply."""
    req = attempt.req
    err = admission_error(sidecar, req)
    if err is not None:
        return attempt.refused_reply(err, RETRY_AFTER_MS)
    call = build_upstream_call(req, attempt.upstream_request_id)
    if isinstance(call, Err):
        return attempt.refused_reply(call)
    if must_be_claimed(req) and not attempt.claimed:
        # Precedes the checks below, so that a repeated request always gets the recorded
        # answer.
        return await run_with_claim(sidecar, attempt, run_attempt)
    err = start_error(sidecar, req)
    if err is not None:
        return attempt.refused_reply(err, retry_after_ms(sidecar))
    while True:
        suspect = _is_suspect(sidecar, attempt)
        async with _exclusive_if_suspect(sidecar, suspect):
            slot = await sidecar.acquire_slot(req, attempt.deadline_s)
            if isinstance(slot, Err):
                return attempt.refused_reply(slot, RETRY_AFTER_MS)
            with slot.value:
                sidecar.notify_load_changed()
                err = start_error(sidecar, req)
                if err is not None:
                    return attempt.refused_reply(err, retry_after_ms(sidecar))
                # A crash may have made the request a suspect while it was queued.
                if suspect or not _is_suspect(sidecar, attempt):
                    attempt.isolated = suspect
                    sidecar.rate_limits.take(sidecar.instance)
                    return await _forward(sidecar, attempt, call.value)


def _is_suspect(sidecar: Sidecar, attempt: Attempt) -> bool:
    """Return whether the request is suspected of crashing upstreams."""
    req = attempt.req
    return req.suspect or (
        bool(req.fingerprint) and sidecar.quarantine.crashes_of(req.fingerprint) > 0
    )


@asynccontextmanager
async def _exclusive_if_suspect(sidecar: Sidecar, suspect: bool) -> AsyncIterator[None]:
    """Let at most one suspect run at a time; do not delay other requests."""
    if not suspect:
        yield
        return
    async with sidecar.suspect_lock:
        yield


async def _forward(
    sidecar: Sidecar, attempt: Attempt, call: UpstreamCall
) -> Refused | End:
    started_s = trio.current_time()

    async def mark_forwarded() -> None:
        await trio.lowlevel.checkpoint_if_cancelled()
        attempt.forwarded = True
        attempt.instance = sidecar.instance
        await attempt.send(Started(attempt.req.stream))

    async with sidecar.client.exchange(call, mark_forwarded) as result:
        if isinstance(result, Err):
            if not attempt.forwarded:
                return attempt.refused_reply(result, RETRY_AFTER_MS)
            return await _error_reply(sidecar, attempt, result)
        response = result.value
        _record_rate_limit(sidecar, attempt, response)
        _record_retry_after(sidecar, attempt, response)
        if dict(response.headers).get(LEAVING_HEADER) == "1":
            sidecar.record_leaving(attempt.instance)
        overloaded = response.status in OVERLOAD_STATUSES
        sidecar.observe_latency(trio.current_time() - started_s, overloaded=overloaded)
        await attempt.send(Head(attempt.req.stream, response.status, response.headers))
        relay = _relay_tokens if _is_token_stream(attempt, response) else _relay_body
        relayed = await relay(sidecar, attempt, response)
        if isinstance(relayed, Err):
            return await _error_reply(sidecar, attempt, relayed)
    if attempt.req.fingerprint:
        sidecar.quarantine.clear_crashes(attempt.req.fingerprint)
    sidecar.crash_evidence.record_success(part_content(attempt.req.part))
    return attempt.answered_reply()


def _record_rate_limit(
    sidecar: Sidecar, attempt: Attempt, response: UpstreamResponse
) -> None:
    """Take over the rate that a response names, or the end of one."""
    value = dict(response.headers).get(RATE_LIMIT_HEADER, "")
    per_s = parse_rate_limit(value.encode("latin-1"))
    if per_s is not None or 200 <= response.status < 300:
        notice = RateLimitNotice(attempt.instance, per_s)
        sidecar.rate_limits.record(notice, source="response")


def _record_retry_after(
    sidecar: Sidecar, attempt: Attempt, response: UpstreamResponse
) -> None:
    """Take over the time in which the upstream wants no further requests."""
    value = dict(response.headers).get("retry-after", "")
    delay_s = parse_retry_after(value.encode("latin-1"))
    if response.status not in OVERLOAD_STATUSES or delay_s is None:
        return
    sidecar.backoffs.record(attempt.instance, delay_s)
    events.log(
        events.Event.RETRY_AFTER_RECEIVED,
        request_id=attempt.req.request_id,
        upstream=sidecar.upstream,
        status=response.status,
        retry_after_ms=round(delay_s * 1_000),
    )


def _is_token_stream(attempt: Attempt, response: UpstreamResponse) -> bool:
    return attempt.req.streamed and response.status == 200 and response.is_event_stream


async def _relay_tokens(
    _sidecar: Sidecar, attempt: Attempt, response: UpstreamResponse
) -> Result[None]:
    """Relay each token as it arrives; fail on a missing or repeated index."""
    parser = EventParser()
    stream = attempt.req.stream
    while True:
        data = await response.receive()
        if isinstance(data, Err):
            return data
        if not data.value:
            return Err(
                Code.STREAM_CUT, "the upstream ended the stream without an end marker"
            )
        parsed = parser.feed(data.value)
        if isinstance(parsed, Err):
            return parsed
        for event in parsed.value:
            if event == END_MARKER:
                return Ok(None)
            index = parse_token_index(event)
            if isinstance(index, Err):
                return index
            if index.value != attempt.next_index:
                text = (
                    f"the upstream sent token {index.value}, not {attempt.next_index}"
                )
                return Err(Code.UPSTREAM_BAD_ANSWER, text)
            await attempt.consume_credit()
            await attempt.send(Chunk(stream, index.value, event))
            attempt.next_index += 1


async def _relay_body(
    sidecar: Sidecar, attempt: Attempt, response: UpstreamResponse
) -> Result[None]:
    """Relay the body in chunks.

    A body without a length or chunks ends with its connection, which a crash closes
    as well; so it is complete only if the upstream runs on.
    """
    size = 0
    while True:
        data = await response.receive()
        if isinstance(data, Err):
            return data
        if not data.value:
            break
        size += len(data.value)
        if size > RESPONSE_BODY_MAX_BYTES:
            text = f"the upstream's answer exceeds {RESPONSE_BODY_MAX_BYTES} bytes"
            return Err(Code.UPSTREAM_BAD_ANSWER, text)
        await attempt.send_body(data.value)
    if response.length_known:
        return Ok(None)
    # A crash that is found now cut it off; so it is no answer of a later process.
    attempt.connection_lost = True
    is_crashed = await sidecar.confirm_crash(attempt)
    if not is_crashed and await sidecar.confirm_running(attempt):
        return Ok(None)
    text = "the upstream crashed where an answer without a length ended"
    return Err(Code.STREAM_CUT, text)


async def _error_reply(sidecar: Sidecar, attempt: Attempt, err: Err) -> End:
    """Return the final reply to a failed upstream call; check for a crash first."""
    if err.code is not Code.STREAM_CUT:
        return attempt.unknown_reply(err)
    attempt.connection_lost = True
    if await sidecar.confirm_crash(attempt):
        err = Err(Code.UPSTREAM_CRASHED, f"the upstream process crashed: {err.text}")
    return attempt.unknown_reply(err)


async def _cancel_upstream(sidecar: Sidecar, attempt: Attempt) -> None:
    """Tell the engine to cancel; it may not notice a closed connection alone."""
    path = f"/v1/requests/{attempt.upstream_request_id}"
    with trio.move_on_after(CANCEL_TIMEOUT_S):
        async with sidecar.client.exchange(UpstreamCall("DELETE", path)) as result:
            if isinstance(result, Ok):
                await result.value.receive()


def _log_final_reply(
    sidecar: Sidecar, attempt: Attempt, final_reply: Refused | End | Cancelled
) -> None:
    refused = isinstance(final_reply, Refused)
    events.log(
        events.Event.REQUEST_REFUSED if refused else events.Event.REQUEST_FINISHED,
        request_id=attempt.req.request_id,
        attempt=attempt.req.attempt,
        upstream=sidecar.upstream,
        code=int(Code.CANCELLED)
        if isinstance(final_reply, Cancelled)
        else final_reply.code,
        started=attempt.forwarded,
        chunks=attempt.next_index,
    )
