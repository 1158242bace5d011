"""Forwarding of a request: choice of upstreams, retries and resumed streams."""

from __future__ import annotations

import time
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Final

import trio

from mustardfront import events
from mustardfront.codes import Code, Outcome
from mustardfront.coordination.limits import RetryBudget
from mustardfront.coordination.traffic import (
    Upstream,
    may_finish,
    selectable_upstreams,
    silence_timeout_s,
)
from mustardfront.programs._held import Hold
from mustardfront.programs.gateway._attempt import (
    AttemptResult,
    Failed,
    FullResponse,
    NotRun,
    Streamed,
    StreamProgress,
    run_attempt,
)
from mustardfront.programs.gateway._choice import (
    Forwarder,
    RetryState,
    known_upstreams,
    wait_for_upstream,
)
from mustardfront.programs.gateway._feedback import (
    record_closed_attempt,
    record_rate_limit,
    record_retry_after,
)
from mustardfront.programs.gateway._reply import ResponseWriter
from mustardfront.programs.gateway._request import GatewayRequest
from mustardfront.state import RequestKind

# Failed connections and replaced instances do not count as attempts; this bounds them.
CONNECT_FAILURES_MAX: Final = 4
RETRY_AFTER_S: Final = 0.25
# Restarting upstreams and an entry that has just started need about this long
# to become available.
RETRY_AFTER_RESTART_S: Final = 1.2
# Another entry is there at once.
RETRY_AFTER_DRAINING_S: Final = 0.05
SILENCE_POLL_S: Final = 0.1
# Error responses are sent this long before the deadline so that callers receive them in
# time.
_DEADLINE_MARGIN_S: Final = 0.02


_RESTART_CODES: Final = frozenset(
    {Code.NOT_READY, Code.NO_CAPABLE_UPSTREAM, Code.UPSTREAM_REPLACED}
)


@dataclass(frozen=True, slots=True)
class Finish:
    """The final result of a request, for the caller and the log."""

    code: Code
    outcome: Outcome
    status: int
    text: str = ""
    upstream: str = ""
    attempts: int = 0


async def forward(
    fwd: Forwarder, req: GatewayRequest, writer: ResponseWriter
) -> Finish:
    """Forward a request, send the caller a response and return the final result."""
    retry = RetryState()
    progress = StreamProgress(req.last_event_id)
    if not _may_finish(fwd, req):
        retry.code, retry.text = Code.DRAINING, "this entry stops"
        return await _finish_with_error(writer, retry)
    with (
        fwd.stop.move_on_at(req.deadline_at - _DEADLINE_MARGIN_S),
        fwd.held.hold_for() as hold,
    ):
        return await _run_attempts(fwd, req, writer, retry, progress, hold)
    # The error is sent outside the cancel scope: the time limit must not cut it off.
    if fwd.stop.left_s <= 0 and trio.current_time() < req.deadline_at:
        retry.code, retry.text = Code.DRAINING, "this entry stopped before a response"
    else:
        retry.code = Code.DEADLINE_PASSED
        retry.text = "no response within the time limit"
    return await _finish_with_error(writer, retry)


def _may_finish(fwd: Forwarder, req: GatewayRequest) -> bool:
    return may_finish(
        fwd.stop.left_s,
        req.deadline_at - trio.current_time(),
        fwd.answer_times.usual_s(req.route.name),
        is_repeatable=req.route.is_repeatable,
    )


async def _run_attempts(
    fwd: Forwarder,
    req: GatewayRequest,
    writer: ResponseWriter,
    retry: RetryState,
    progress: StreamProgress,
    hold: Hold,
) -> Finish:
    budget = fwd.budget_of(req.service)
    budget.record_request()
    last_response: FullResponse | None = None
    while True:
        upstream = await wait_for_upstream(fwd, req, retry)
        if upstream is None:
            break
        result = await _run_one_attempt(
            fwd, req, upstream, writer, retry, progress, hold
        )
        if isinstance(result, Streamed):
            return _answered(retry, 200)
        if isinstance(result, FullResponse):
            last_response = result
            if result.status < 500:
                break
        if not _may_retry(req, result, retry, budget, writer):
            break
        _log_retry(req, retry, result, progress)
    if last_response is not None and not writer.started:
        await writer.send_response(
            last_response.status, last_response.headers, last_response.body
        )
        return _answered(retry, last_response.status)
    return await _finish_with_error(writer, retry)


async def _run_one_attempt(
    fwd: Forwarder,
    req: GatewayRequest,
    upstream: Upstream,
    writer: ResponseWriter,
    retry: RetryState,
    progress: StreamProgress,
    hold: Hold,
) -> AttemptResult:
    retry.upstream = upstream.instance
    retry.attempts_started += 1
    may_have_run_before = retry.may_have_run
    # Set before sending, because a cancelled attempt may have run.
    retry.may_have_run = True
    upstream.in_flight += 1
    group = upstream.group
    attempt = fwd.pace.start(group)

    def on_first_event() -> None:
        fwd.pace.record_first_event(group, attempt)
        fwd.crash_reporter.record_output(req.content)

    def on_head(status: int, headers: Mapping[bytes, bytes]) -> None:
        record_rate_limit(fwd, upstream, status, headers)
        record_retry_after(fwd, req, upstream, status, headers)
        # With status 421, another process may have taken over the address.
        if status != 421 and headers.get(fwd.header_names.leaving) == b"1":
            fwd.state.record_leaving(upstream)

    progress.begin_attempt(on_first_event)
    started_at, events_before = trio.current_time(), progress.event_count
    sent_s = time.time()
    result: AttemptResult = Failed(
        Code.UPSTREAM_TIMEOUT, "the upstream sent nothing within the silence limit"
    )
    try:
        async with trio.open_nursery() as nursery:
            if req.route.is_repeatable:
                nursery.start_soon(
                    _cancel_if_silent, fwd, req, retry, progress, nursery
                )
            result = await run_attempt(
                fwd.header_names, upstream, req, writer, progress, hold, on_head
            )
            nursery.cancel_scope.cancel()
    finally:
        upstream.in_flight -= 1
        fwd.pace.end(group, attempt)
        fwd.places.grant(req.service, upstream.key)
    if isinstance(result, FullResponse) or (
        events_before == 0 and progress.event_count
    ):
        fwd.first_event_times.add(
            req.service, progress.time_to_first_event_s(started_at)
        )
    if isinstance(result, FullResponse | Streamed):
        elapsed_s = trio.current_time() - started_at
        fwd.answer_times.add(req.route.name, elapsed_s)
    if isinstance(result, Streamed) and req.route.gap_ms:
        is_in_pace = progress.longest_pause_s * 1000 <= req.route.gap_ms
        fwd.places.record_stream(req.service, is_in_pace=is_in_pace)
    if isinstance(result, NotRun):
        retry.may_have_run = may_have_run_before
    if isinstance(result, FullResponse):
        fwd.crash_reporter.record_output(req.content)
    _record_result(fwd, req, upstream, result, retry)
    if isinstance(result, Failed) and result.connection_closed:
        event_count = progress.event_count - events_before
        await record_closed_attempt(fwd, req, upstream, retry, event_count, sent_s)
    return result


async def _cancel_if_silent(
    fwd: Forwarder,
    req: GatewayRequest,
    retry: RetryState,
    progress: StreamProgress,
    nursery: trio.Nursery,
) -> None:
    """Cancel an attempt whose upstream is silent once another one can be tried."""
    limit_s = silence_timeout_s(req.route, fwd.first_event_times.usual_s(req.service))
    while True:
        remaining_s = progress.last_activity_at + limit_s - trio.current_time()
        if remaining_s > 0:
            await trio.sleep(remaining_s)
            continue
        others = selectable_upstreams(
            known_upstreams(fwd, req),
            retry.excluded | {retry.upstream},
            fwd.state,
        )
        healthy = [other for other in others if not fwd.state.is_blocked(other)]
        has_attempt = retry.attempts_sent + 1 < req.route.attempts_max
        if healthy and has_attempt and fwd.budget_of(req.service).try_spend():
            retry.is_budget_charged = True
            nursery.cancel_scope.cancel()
            return
        await trio.sleep(SILENCE_POLL_S)


def _is_failed_stream(req: GatewayRequest, response: FullResponse) -> bool:
    return req.route.kind is RequestKind.STREAM and response.status >= 500


def _record_result(
    fwd: Forwarder,
    req: GatewayRequest,
    upstream: Upstream,
    result: AttemptResult,
    retry: RetryState,
) -> None:
    """Update the health of the upstream and the retry state from a result."""
    is_replaced = isinstance(result, NotRun) and result.code is Code.UPSTREAM_REPLACED
    if is_replaced or (isinstance(result, NotRun) and not result.reached_upstream):
        retry.connect_failures += 1
    else:
        retry.attempts_sent += 1
    retry.excluded |= {upstream.instance}
    if isinstance(result, NotRun | Failed):
        retry.code, retry.text = result.code, result.text
    if isinstance(result, FullResponse) and _is_failed_stream(req, result):
        # It is free again at once, and would get the more requests the more it fails.
        text = f"status {result.status} to a stream"
        fwd.state.record_failure(upstream, text, is_answer=True)
    elif isinstance(result, FullResponse | Streamed):
        fwd.state.record_success(upstream)
    elif is_replaced:
        fwd.state.remove_incarnation(upstream)
    elif isinstance(result, Failed) or result.code is Code.UPSTREAM_DOWN:
        fwd.state.record_failure(upstream, result.text)
        if result.code is Code.UPSTREAM_DOWN:
            fwd.state.record_down(upstream)
    else:
        fwd.state.record_refusal(upstream)
        if result.at_fault:
            fwd.state.pause_group(upstream.group, result.text)


def _may_retry(
    req: GatewayRequest,
    result: AttemptResult,
    retry: RetryState,
    budget: RetryBudget,
    writer: ResponseWriter,
) -> bool:
    if retry.may_crash_another:
        return False
    if isinstance(result, NotRun) and not result.reached_upstream:
        return retry.connect_failures < CONNECT_FAILURES_MAX
    if (
        retry.attempts_sent >= req.route.attempts_max
        or retry.connect_failures >= CONNECT_FAILURES_MAX
    ):
        return False
    if not isinstance(result, NotRun) and not req.route.is_repeatable:
        return False
    if writer.started and not req.route.resumable:
        return False
    if retry.is_budget_charged:
        retry.is_budget_charged = False
        return True
    return budget.try_spend()


def _log_retry(
    req: GatewayRequest,
    retry: RetryState,
    result: AttemptResult,
    progress: StreamProgress,
) -> None:
    code = Code.ANSWERED if isinstance(result, FullResponse | Streamed) else result.code
    events.log(
        events.Event.STREAM_RESUMED
        if progress.event_count
        else events.Event.REQUEST_RETRIED,
        request_id=req.request_id,
        attempt=retry.attempts_sent,
        upstream=retry.upstream,
        code=int(code),
        text=retry.text,
        next_index=progress.event_count,
    )


def _answered(retry: RetryState, status: int) -> Finish:
    return Finish(
        Code.ANSWERED,
        Outcome.ANSWERED,
        status,
        upstream=retry.upstream,
        attempts=retry.attempts_started,
    )


def retry_after_s(code: Code) -> float:
    """Return the delay after which a refused caller should retry."""
    if code is Code.DRAINING:
        return RETRY_AFTER_DRAINING_S
    return RETRY_AFTER_RESTART_S if code in _RESTART_CODES else RETRY_AFTER_S


async def _finish_with_error(writer: ResponseWriter, retry: RetryState) -> Finish:
    outcome = Outcome.UNKNOWN if retry.may_have_run else Outcome.NOT_RUN
    delay_s = retry.retry_after_s
    if delay_s is None:
        delay_s = retry_after_s(retry.code)
    status = await writer.send_error(retry.code, outcome, retry.text, delay_s)
    return Finish(
        retry.code, outcome, status, retry.text, retry.upstream, retry.attempts_started
    )
