"""Forwarding of a request: choice of upstreams, retries and resumed streams."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Final

import trio

from mustardfront import events
from mustardfront.codes import Code, Outcome
from mustardfront.coordination.limits import RetryBudget
from mustardfront.coordination.traffic import (
    FirstEventTimes,
    TrafficState,
    Upstream,
    least_loaded,
    patience_s,
    preferred,
)
from mustardfront.programs.gateway._attempt import (
    AttemptResult,
    Broken,
    NotRun,
    Streamed,
    StreamProgress,
    Whole,
    run_attempt,
)
from mustardfront.programs.gateway._dialect import Dialect
from mustardfront.programs.gateway._reply import Reply
from mustardfront.programs.gateway._request import GatewayRequest

# Connections that could not be opened do not count as attempts, but end somewhere.
CONNECTS_MAX: Final = 4
RETRY_AFTER_S: Final = 0.25
# Upstreams that restart, or an entry that has just started, need about this long.
RETRY_AFTER_RESTART_S: Final = 1.2
# A request waits for an upstream that takes it for this share of its time; after that
# its caller may still come back to another entry.
WAIT_SHARE: Final = 0.3
WAIT_POLL_S: Final = 0.03
PATIENCE_POLL_S: Final = 0.1
# Callers are answered this long before the end of their time, so that the answer is
# with them in time.
_END_MARGIN_S: Final = 0.02


_RESTARTING: Final = frozenset(
    {Code.NOT_READY, Code.NO_CAPABLE_UPSTREAM, Code.UPSTREAM_REPLACED}
)


@dataclass(frozen=True, slots=True)
class Finish:
    """How a request ended, for the caller and the log."""

    code: Code
    outcome: Outcome
    status: int
    text: str = ""
    upstream: str = ""
    attempts: int = 0


@dataclass(frozen=True, slots=True)
class Forwarder:
    """What forwarding needs of the entry."""

    state: TrafficState
    dialect: Dialect
    place: str
    budget_of: Callable[[str], RetryBudget]
    is_unconfirmed: Callable[[], bool]
    times: FirstEventTimes = field(default_factory=FirstEventTimes)


@dataclass(slots=True)
class _Tries:
    """The attempts so far."""

    excluded: frozenset[str] = frozenset()
    # Begun attempts, for the log; ``sent`` counts those that reached an upstream.
    begun: int = 0
    sent: int = 0
    connects: int = 0
    may_have_run: bool = False
    # The budget for the next attempt is spent already.
    is_paid: bool = False
    upstream: str = ""
    code: Code = Code.NO_CAPABLE_UPSTREAM
    text: str = "no upstream of the service is known"


async def forward(fwd: Forwarder, req: GatewayRequest, reply: Reply) -> Finish:
    """Run a request until its caller has an answer; return how it ended."""
    tries = _Tries()
    progress = StreamProgress(req.last_event_id)
    with trio.move_on_at(req.ends_at - _END_MARGIN_S):
        return await _attempts(fwd, req, reply, tries, progress)
    # The answer itself must not be cut short by the time limit.
    tries.code, tries.text = Code.DEADLINE_PASSED, "no answer within the time limit"
    return await _give_up(reply, tries)


async def _attempts(
    fwd: Forwarder,
    req: GatewayRequest,
    reply: Reply,
    tries: _Tries,
    progress: StreamProgress,
) -> Finish:
    budget = fwd.budget_of(req.service)
    budget.record_request()
    kept: Whole | None = None
    while True:
        upstream = await _wait_for_upstream(fwd, req, tries)
        if upstream is None:
            break
        result = await _one(fwd, req, upstream, reply, tries, progress)
        if isinstance(result, Streamed):
            return _finished(tries, 200)
        if isinstance(result, Whole):
            kept = result
            if result.status < 500:
                break
        if not _may_retry(req, result, tries, budget, reply):
            break
        _log_retry(req, tries, result, progress)
    if kept is not None and not reply.begun:
        await reply.whole(kept.status, kept.headers, kept.body)
        return _finished(tries, kept.status)
    return await _give_up(reply, tries)


async def _wait_for_upstream(
    fwd: Forwarder, req: GatewayRequest, tries: _Tries
) -> Upstream | None:
    """Return the upstream of the next attempt, as soon as one takes requests."""
    wait_until = req.arrived_at + WAIT_SHARE * (req.ends_at - req.arrived_at)
    while True:
        if req.key and fwd.is_unconfirmed():
            tries.code = Code.VIEW_UNCONFIRMED
            tries.text = "the store is out of reach"
            return None
        chosen = _choose(fwd, req, tries)
        if chosen is not None or trio.current_time() >= wait_until:
            return chosen
        await trio.sleep(WAIT_POLL_S)


def _choose(fwd: Forwarder, req: GatewayRequest, tries: _Tries) -> Upstream | None:
    """Return the best upstream that takes requests now, and log why."""
    known = fwd.state.upstreams_of(req.service)
    candidates = preferred(known, tries.excluded, fwd.state)
    chosen = least_loaded(candidates, fwd.place, random.random)
    if chosen is None:
        return None
    events.log(
        events.Event.ROUTE_CHOSEN,
        request_id=req.request_id,
        service=req.service,
        team=req.team,
        upstream=chosen.instance,
        in_flight=chosen.in_flight,
        candidates=len(candidates),
        known=len(known),
        attempt=tries.sent + 1,
        config_version=req.config_version,
        view_age_ms=round(fwd.state.age_s() * 1000),
    )
    return chosen


async def _one(
    fwd: Forwarder,
    req: GatewayRequest,
    upstream: Upstream,
    reply: Reply,
    tries: _Tries,
    progress: StreamProgress,
) -> AttemptResult:
    tries.upstream = upstream.instance
    tries.begun += 1
    before = tries.may_have_run
    # Set before the send: a cancelled attempt may have run.
    tries.may_have_run = True
    upstream.in_flight += 1
    progress.heard()
    began_s, had = trio.current_time(), progress.events
    result: AttemptResult = Broken(Code.UPSTREAM_TIMEOUT, "the upstream is silent")
    try:
        async with trio.open_nursery() as nursery:
            if req.route.is_repeatable:
                nursery.start_soon(_watch_silence, fwd, req, tries, progress, nursery)
            result = await run_attempt(fwd.dialect, upstream, req, reply, progress)
            nursery.cancel_scope.cancel()
    finally:
        upstream.in_flight -= 1
    if isinstance(result, Whole) or (had == 0 and progress.events):
        fwd.times.add(req.service, progress.first_s(began_s))
    if isinstance(result, NotRun):
        tries.may_have_run = before
    _note(fwd, upstream, result, tries)
    return result


async def _watch_silence(
    fwd: Forwarder,
    req: GatewayRequest,
    tries: _Tries,
    progress: StreamProgress,
    nursery: trio.Nursery,
) -> None:
    """End an attempt whose upstream is silent, if another one may be tried."""
    limit_s = patience_s(req.route, fwd.times.usual_s(req.service))
    while True:
        left_s = progress.heard_at + limit_s - trio.current_time()
        if left_s > 0:
            await trio.sleep(left_s)
            continue
        others = preferred(
            fwd.state.upstreams_of(req.service),
            tries.excluded | {tries.upstream},
            fwd.state,
        )
        sound = [one for one in others if not fwd.state.is_blocked(one)]
        has_attempt = tries.sent + 1 < req.route.attempts_max
        if sound and has_attempt and fwd.budget_of(req.service).try_spend():
            tries.is_paid = True
            nursery.cancel_scope.cancel()
            return
        await trio.sleep(PATIENCE_POLL_S)


def _note(
    fwd: Forwarder, upstream: Upstream, result: AttemptResult, tries: _Tries
) -> None:
    """Take over what an attempt says about its upstream and the request."""
    misdirected = isinstance(result, NotRun) and result.code is Code.UPSTREAM_REPLACED
    if misdirected or (isinstance(result, NotRun) and not result.arrived):
        tries.connects += 1
    else:
        tries.sent += 1
    tries.excluded |= {upstream.instance}
    if isinstance(result, NotRun | Broken):
        tries.code, tries.text = result.code, result.text
    if isinstance(result, Whole | Streamed):
        fwd.state.succeeded(upstream)
    elif misdirected:
        fwd.state.ended(upstream)
    elif isinstance(result, Broken) or result.code is Code.UPSTREAM_DOWN:
        fwd.state.failed(upstream, result.text)
    else:
        fwd.state.refused(upstream)
        if result.at_fault:
            fwd.state.group_failed(upstream.group, result.text)


def _may_retry(
    req: GatewayRequest,
    result: AttemptResult,
    tries: _Tries,
    budget: RetryBudget,
    reply: Reply,
) -> bool:
    if isinstance(result, NotRun) and not result.arrived:
        return tries.connects < CONNECTS_MAX
    if tries.sent >= req.route.attempts_max or tries.connects >= CONNECTS_MAX:
        return False
    if not isinstance(result, NotRun) and not req.route.is_repeatable:
        return False
    if reply.begun and not req.route.resumable:
        return False
    if tries.is_paid:
        tries.is_paid = False
        return True
    return budget.try_spend()


def _log_retry(
    req: GatewayRequest,
    tries: _Tries,
    result: AttemptResult,
    progress: StreamProgress,
) -> None:
    code = Code.ANSWERED if isinstance(result, Whole | Streamed) else result.code
    events.log(
        events.Event.STREAM_RESUMED
        if progress.events
        else events.Event.REQUEST_RETRIED,
        request_id=req.request_id,
        attempt=tries.sent,
        upstream=tries.upstream,
        code=int(code),
        text=tries.text,
        next_index=progress.events,
    )


def _finished(tries: _Tries, status: int) -> Finish:
    return Finish(
        Code.ANSWERED,
        Outcome.ANSWERED,
        status,
        upstream=tries.upstream,
        attempts=tries.begun,
    )


def retry_after_s(code: Code) -> float:
    """Return when a refused caller has a chance to be served."""
    return RETRY_AFTER_RESTART_S if code in _RESTARTING else RETRY_AFTER_S


async def _give_up(reply: Reply, tries: _Tries) -> Finish:
    outcome = Outcome.UNKNOWN if tries.may_have_run else Outcome.NOT_RUN
    status = await reply.refuse(
        tries.code, outcome, tries.text, retry_after_s(tries.code)
    )
    return Finish(tries.code, outcome, status, tries.text, tries.upstream, tries.begun)
