"""Forwarding of a request: routing, attempts, retries and resumed streams."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field, replace
from typing import Final

import trio

from mustardfront import events
from mustardfront.codes import Code, Outcome
from mustardfront.constants import ATTEMPTS_MAX, DEADLINE_GRACE_S
from mustardfront.coordination.idempotency import owner_order, partition_of
from mustardfront.coordination.limits import RetryBudget
from mustardfront.coordination.quarantine import CrashEvidence, Quarantine
from mustardfront.coordination.routing import (
    Decision,
    RouteRequest,
    UpstreamTable,
    capable_upstreams,
    choose,
)
from mustardfront.programs._crash_reports import part_content
from mustardfront.programs._held import HeldBytes, Hold
from mustardfront.programs.entry._answers import Answer, Finish
from mustardfront.programs.entry._attempt import (
    AttemptResult,
    Completed,
    Failed,
    Progress,
    run_attempt,
)
from mustardfront.programs.entry._callers import CallerRequest
from mustardfront.programs.entry._links import SidecarLinks
from mustardfront.protocol import Request
from mustardfront.results import Err, Ok, Result
from mustardfront.state import Config

# Refusals that say nothing about other upstreams and cost the refusing upstream
# nothing: retried without the retry budget.
_UNBUDGETED_RETRIES: Final = frozenset(
    {
        Code.DRAINING,
        Code.NOT_OWNER,
        Code.CONNECT_FAILED,
        Code.UPSTREAM_DOWN,
        Code.NOT_READY,
    }
)
# Refusals by a loaded upstream. Another may have capacity; the retry budget prevents
# a retry storm.
_BUDGETED_RETRIES: Final = frozenset(
    {
        Code.UPSTREAM_LIMIT,
        Code.QUEUE_FULL,
        Code.SHED,
        Code.DEADLINE_UNREACHABLE,
        Code.LEASE_LOST,
    }
)
# Failures after which a request that may run twice is retried on another upstream.
_RETRIABLE_FAILURES: Final = frozenset(
    {
        Code.UPSTREAM_CRASHED,
        Code.PEER_LOST,
        Code.STREAM_CUT,
        Code.UPSTREAM_BAD_ANSWER,
    }
)


@dataclass(frozen=True, slots=True)
class Forwarder:
    """Parts of the entry process that forwarding uses."""

    config: Callable[[], Config]
    place: str
    links: SidecarLinks
    table: UpstreamTable
    budget_of: Callable[[str], RetryBudget]
    quarantine: Quarantine
    crash_evidence: CrashEvidence
    held: HeldBytes = field(default_factory=HeldBytes)


async def forward(fwd: Forwarder, req: CallerRequest, answer: Answer) -> Finish:
    """Forward a request until its caller is answered; return how it ended."""
    deadline_s = trio.current_time() + req.deadline_ms / 1000
    progress = Progress()
    # The sidecar ends the attempt at the deadline and knows whether it ran.
    with (
        trio.move_on_at(deadline_s + DEADLINE_GRACE_S),
        fwd.held.hold_for() as hold,
    ):
        return await _run_attempts(fwd, req, answer, progress, hold, deadline_s)
    text = f"no complete answer within {req.deadline_ms} ms"
    outcome = Outcome.UNKNOWN if progress.sent else Outcome.NOT_RUN
    finish = Finish(Code.DEADLINE_PASSED, outcome, text)
    answer.send_error(finish)
    return finish


@dataclass(slots=True)
class _AttemptHistory:
    """Results of the attempts so far, used for the next one and the final error."""

    suspect: bool
    excluded: frozenset[str] = frozenset()
    # The upstream that a refusal named as the owner of the key.
    preferred: str = ""
    upstream: str = ""
    count: int = 0
    failure: Failed | None = None
    # Once an attempt may have run, a later NOT_RUN does not hold for the request.
    may_have_run: bool = False

    def record_failure(self, failure: Failed) -> None:
        """Record the failure of the latest attempt."""
        self.failure = failure
        self.may_have_run = self.may_have_run or failure.outcome is Outcome.UNKNOWN
        self.suspect = self.suspect or failure.code is Code.UPSTREAM_CRASHED
        not_owner = failure.code is Code.NOT_OWNER
        self.preferred = failure.text if not_owner else ""
        if not not_owner:
            self.excluded |= {self.upstream}

    def finish(self) -> Finish:
        """Return the error for the caller after the last attempt."""
        failure = self.failure
        if failure is None:
            return Finish(Code.INTERNAL_ERROR, Outcome.UNKNOWN, "no attempt was made")
        return Finish(
            code=failure.code,
            outcome=Outcome.UNKNOWN if self.may_have_run else failure.outcome,
            text=failure.text,
            upstream=self.upstream,
            attempts=self.count,
            retry_after_ms=failure.retry_after_ms,
        )


async def _run_attempts(
    fwd: Forwarder,
    req: CallerRequest,
    answer: Answer,
    progress: Progress,
    hold: Hold,
    deadline_s: float,
) -> Finish:
    budget = fwd.budget_of(req.service)
    budget.record_request()
    history = _AttemptHistory(suspect=fwd.quarantine.crashes_of(req.fingerprint) > 0)
    while history.count < ATTEMPTS_MAX:
        decision = _choose_upstream(fwd, req, history)
        if isinstance(decision, Failed):
            history.failure = decision
            break
        history.count += 1
        history.upstream = decision.upstream
        message = _make_message(req, history, progress, deadline_s, decision)
        result = await _attempt_once(
            fwd, req, decision, message, answer, progress, hold
        )
        if isinstance(result, Completed):
            fwd.quarantine.clear_crashes(req.fingerprint)
            fwd.crash_evidence.record_success(part_content(req.part))
            return _complete_answer(answer, req, result, progress, history)
        retry = history.count < ATTEMPTS_MAX and _may_retry(
            req, result, budget, history.suspect
        )
        history.record_failure(result)
        if not retry:
            break
        _log_retry(req, history, result, progress)
    finish = history.finish()
    answer.send_error(finish)
    return finish


def _choose_upstream(
    fwd: Forwarder, req: CallerRequest, history: _AttemptHistory
) -> Decision | Failed:
    """Return where the next attempt goes, or why there is none."""
    if fwd.quarantine.is_held(req.fingerprint):
        events.log(events.Event.REQUEST_HELD, request_id=req.request_id)
        text = "this request crashed two upstreams"
        return Failed(Code.REQUEST_HELD, Outcome.NOT_RUN, text)
    held_part = fwd.crash_evidence.held_content(part_content(req.part))
    if held_part is not None:
        events.log(
            events.Event.REQUEST_HELD, request_id=req.request_id, content=held_part
        )
        text = "the start of this prompt crashed upstreams"
        return Failed(Code.REQUEST_HELD, Outcome.NOT_RUN, text)
    decision = _route(fwd, req, history.excluded, history.preferred)
    if isinstance(decision, Ok):
        return decision.value
    # An earlier attempt's failure says more than the lack of another upstream.
    return history.failure or Failed(decision.code, Outcome.NOT_RUN, decision.text)


async def _attempt_once(
    fwd: Forwarder,
    req: CallerRequest,
    decision: Decision,
    message: Request,
    answer: Answer,
    progress: Progress,
    hold: Hold,
) -> AttemptResult:
    calls = await fwd.links.calls(decision.upstream, decision.address)
    if isinstance(calls, Err):
        return Failed(Code.CONNECT_FAILED, Outcome.NOT_RUN, calls.text)
    return await run_attempt(
        calls.value, fwd.table, decision.upstream, req, message, answer, progress, hold
    )


def _complete_answer(
    answer: Answer,
    req: CallerRequest,
    result: Completed,
    progress: Progress,
    history: _AttemptHistory,
) -> Finish:
    finish = Finish(
        result.code,
        Outcome.ANSWERED,
        upstream=history.upstream,
        attempts=history.count,
    )
    if not req.streamed or result.status != 200:
        answer.send_complete(finish, result.status, result.headers, result.body)
        return finish
    if not answer.started:
        answer.begin_stream(finish)
    answer.end_stream(finish, progress.next_index)
    return finish


def _route(
    fwd: Forwarder, req: CallerRequest, excluded: frozenset[str], preferred: str
) -> Result[Decision]:
    cfg = fwd.config()
    route_request = RouteRequest(
        request_id=req.request_id,
        service=req.service,
        team=req.team,
        place=fwd.place,
        prefix=req.prefix,
        adapter=req.adapter,
        priority=req.priority,
    )
    if req.idempotent:
        return choose(fwd.table, cfg, route_request, excluded)
    live = capable_upstreams(fwd.table, route_request, excluded)
    return _route_to_owner(cfg, req, [state.name for state in live], preferred)


def _route_to_owner(
    cfg: Config, req: CallerRequest, live: list[str], preferred: str
) -> Result[Decision]:
    """Send a non-idempotent request to the likely owner of its key's partition."""
    partition = partition_of(req.idempotency_key)
    order = owner_order(req.service, partition, live)
    if not order:
        text = f"no live upstream of {req.service}"
        return Err(Code.NO_CAPABLE_UPSTREAM, text)
    chosen = preferred if preferred in live else order[0]
    reason = "owner named by a refusal" if chosen == preferred else "partition order"
    events.log(
        events.Event.ROUTE_CHOSEN,
        request_id=req.request_id,
        service=req.service,
        team=req.team,
        upstream=chosen,
        reason=reason,
        candidates=order,
        config_version=cfg.version,
    )
    address = cfg.upstreams[chosen].address
    return Ok(Decision(chosen, address, reason, (), cfg.version))


def _make_message(
    req: CallerRequest,
    history: _AttemptHistory,
    progress: Progress,
    deadline_s: float,
    decision: Decision,
) -> Request:
    message = Request(
        stream=0,
        request_id=req.request_id,
        attempt=history.count,
        team=req.team,
        service=req.service,
        method=req.method,
        path=req.path,
        headers=req.headers,
        body=req.body,
        deadline_ms=max(1, round((deadline_s - trio.current_time()) * 1000)),
        priority=req.priority,
        idempotency_key=req.idempotency_key,
        idempotent=req.idempotent,
        fingerprint=req.fingerprint,
        streamed=req.streamed,
        suspect=history.suspect,
        config_version=decision.config_version,
        part=req.part,
    )
    if not progress.next_index:
        return message
    return replace(
        message, resume_from=progress.next_index, resume_text=progress.text()
    )


def _may_retry(
    req: CallerRequest, result: Failed, budget: RetryBudget, suspect: bool
) -> bool:
    if result.outcome is Outcome.NOT_RUN:
        if result.code in _UNBUDGETED_RETRIES:
            return True
        return result.code in _BUDGETED_RETRIES and budget.try_spend()
    # The record of the key makes a resend safe for a non-idempotent request.
    if not req.idempotent and not req.idempotency_key:
        return False
    if result.code is Code.UPSTREAM_CRASHED and (suspect or not req.idempotent):
        return False
    return result.code in _RETRIABLE_FAILURES and budget.try_spend()


def _log_retry(
    req: CallerRequest, history: _AttemptHistory, result: Failed, progress: Progress
) -> None:
    events.log(
        events.Event.REQUEST_RETRIED,
        request_id=req.request_id,
        attempt=history.count,
        upstream=history.upstream,
        code=int(result.code),
        text=result.text,
    )
    if progress.next_index:
        events.log(
            events.Event.STREAM_RESUMED,
            request_id=req.request_id,
            next_index=progress.next_index,
        )
