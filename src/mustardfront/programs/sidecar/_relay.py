"""Running one attempt: its turn, its upstream call and the answer's way back."""

from __future__ import annotations

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import replace
from typing import Final

import trio

from mustardfront import events
from mustardfront.codes import Code
from mustardfront.programs.sidecar._admission import (
    RETRY_AFTER_MS,
    refusal,
    unable,
    upstream_call,
)
from mustardfront.programs.sidecar._attempt import Attempt
from mustardfront.programs.sidecar._events import (
    END_MARKER,
    EventParser,
    read_token,
)
from mustardfront.programs.sidecar._owned import must_be_claimed, run_claimed
from mustardfront.programs.sidecar._side import Sidecar
from mustardfront.programs.sidecar._upstream import Answer, UpstreamCall
from mustardfront.protocol import Cancelled, Chunk, End, Head, Refused, Started
from mustardfront.results import Err, Ok, Result

CANCEL_TIMEOUT_S: Final = 1.0
# The upstream's own signs of too much work.
OVERLOAD_STATUSES: Final = frozenset({429, 503})


async def run_attempt(side: Sidecar, attempt: Attempt) -> None:
    """Run one attempt and send its last reply."""
    side.attempts.add(attempt)
    try:
        last: Refused | End | Cancelled | None = None
        with attempt.scope:
            last = await _admit(side, attempt)
        if last is None:
            last = attempt.interrupted()
        attempt.finished = True
        _log_last(side, attempt, last)
        await attempt.send(_with_load(side, last))
    finally:
        attempt.finished = True
        side.attempts.discard(attempt)
        side.changed()
    if attempt.handed_over and attempt.req.streamed and not _is_whole(last):
        await _cancel_upstream(side, attempt)


def _with_load(
    side: Sidecar, last: Refused | End | Cancelled
) -> Refused | End | Cancelled:
    """Add this upstream's load, as the caller's next choice is made with it.

    A load report of its own for each request would take an entry's whole share of
    control traffic at the target's 92 requests a second.
    """
    if not isinstance(last, End):
        return last
    load = side.load_report()
    return replace(
        last,
        state=load.state,
        in_flight=load.in_flight,
        queued=load.queued,
        limit=load.limit,
        latency_ms=load.latency_ms,
    )


def _is_whole(last: Refused | End | Cancelled) -> bool:
    return isinstance(last, End) and last.code == Code.ANSWERED


async def _admit(side: Sidecar, attempt: Attempt) -> Refused | End:
    req = attempt.req
    err = refusal(side, req)
    if err is not None:
        return attempt.refused(err, RETRY_AFTER_MS)
    call = upstream_call(req, attempt.upstream_id)
    if isinstance(call, Err):
        return attempt.refused(call)
    if must_be_claimed(req) and not attempt.claimed:
        # Before the checks below, so that a resend gets its record in any case.
        return await run_claimed(side, attempt, run_attempt)
    err = unable(side, req)
    if err is not None:
        return attempt.refused(err, RETRY_AFTER_MS)
    while True:
        suspect = _is_suspect(side, attempt)
        async with _turn(side, suspect):
            slot = await side.acquire_slot(req, attempt.deadline_s)
            if isinstance(slot, Err):
                return attempt.refused(slot, RETRY_AFTER_MS)
            with slot.value:
                side.changed()
                err = unable(side, req)
                if err is not None:
                    return attempt.refused(err, RETRY_AFTER_MS)
                # A crash may have made it a suspect while it waited.
                if suspect or not _is_suspect(side, attempt):
                    attempt.isolated = suspect
                    return await _run(side, attempt, call.value)


def _is_suspect(side: Sidecar, attempt: Attempt) -> bool:
    req = attempt.req
    return req.suspect or (
        bool(req.fingerprint) and side.quarantine.crashes_of(req.fingerprint) > 0
    )


@asynccontextmanager
async def _turn(side: Sidecar, suspect: bool) -> AsyncIterator[None]:
    """Wait until no other suspect runs, if this is one."""
    if not suspect:
        yield
        return
    async with side.suspect_turn:
        yield


async def _run(side: Sidecar, attempt: Attempt, call: UpstreamCall) -> Refused | End:
    started_s = trio.current_time()

    async def hand_over() -> None:
        await trio.lowlevel.checkpoint_if_cancelled()
        attempt.handed_over = True
        attempt.instance = side.instance
        await attempt.send(Started(attempt.req.stream))

    reuse = attempt.req.idempotent
    async with side.client.exchange(call, hand_over, reuse=reuse) as answer:
        if isinstance(answer, Err):
            if not attempt.handed_over:
                return attempt.refused(answer, RETRY_AFTER_MS)
            return await _lost(side, attempt, answer)
        head = answer.value
        overloaded = head.status in OVERLOAD_STATUSES
        side.observe(trio.current_time() - started_s, overloaded=overloaded)
        await attempt.send(Head(attempt.req.stream, head.status, head.headers))
        relay = _relay_tokens if _is_token_stream(attempt, head) else _relay_body
        done = await relay(attempt, head)
        if isinstance(done, Err):
            return await _lost(side, attempt, done)
    if attempt.req.fingerprint:
        side.quarantine.cleared(attempt.req.fingerprint)
    return attempt.answered()


def _is_token_stream(attempt: Attempt, head: Answer) -> bool:
    return attempt.req.streamed and head.status == 200 and head.event_stream


async def _relay_tokens(attempt: Attempt, head: Answer) -> Result[None]:
    """Pass each token on as it comes, without a gap or a repeated position."""
    parser = EventParser()
    stream = attempt.req.stream
    while True:
        data = await head.receive()
        if isinstance(data, Err):
            return data
        if not data.value:
            return Err(Code.STREAM_CUT, "the stream ended without its end marker")
        found = parser.feed(data.value)
        if isinstance(found, Err):
            return found
        for event in found.value:
            if event == END_MARKER:
                return Ok(None)
            index = read_token(event)
            if isinstance(index, Err):
                return index
            if index.value != attempt.next_index:
                text = f"token {index.value} came instead of {attempt.next_index}"
                return Err(Code.UPSTREAM_BAD_ANSWER, text)
            await attempt.take_credit()
            await attempt.send(Chunk(stream, index.value, event))
            attempt.next_index += 1


async def _relay_body(attempt: Attempt, head: Answer) -> Result[None]:
    """Pass the body on in pieces."""
    while True:
        data = await head.receive()
        if isinstance(data, Err):
            return data
        if not data.value:
            break
        await attempt.send_body(data.value)
    if not head.length_known:
        text = "the answer has neither a length nor chunks, so it may be cut"
        return Err(Code.STREAM_CUT, text)
    return Ok(None)


async def _lost(side: Sidecar, attempt: Attempt, err: Err) -> End:
    """Return the end after the upstream failed; find out first whether it crashed."""
    if err.code is not Code.STREAM_CUT:
        return attempt.ended(err)
    attempt.lost = True
    if await side.confirm_loss(attempt):
        err = Err(Code.UPSTREAM_CRASHED, f"the upstream crashed: {err.text}")
    return attempt.ended(err)


async def _cancel_upstream(side: Sidecar, attempt: Attempt) -> None:
    """Ask the engine to stop; closing the connection alone may go unnoticed."""
    path = f"/v1/requests/{attempt.upstream_id}"
    with trio.move_on_after(CANCEL_TIMEOUT_S):
        async with side.client.exchange(UpstreamCall("DELETE", path)) as answer:
            if isinstance(answer, Ok):
                await answer.value.receive()


def _log_last(side: Sidecar, attempt: Attempt, last: Refused | End | Cancelled) -> None:
    refused = isinstance(last, Refused)
    events.log(
        events.Event.REQUEST_REFUSED if refused else events.Event.REQUEST_FINISHED,
        request_id=attempt.req.request_id,
        attempt=attempt.req.attempt,
        upstream=side.upstream,
        code=int(Code.CANCELLED) if isinstance(last, Cancelled) else last.code,
        started=attempt.handed_over,
        chunks=attempt.next_index,
    )
