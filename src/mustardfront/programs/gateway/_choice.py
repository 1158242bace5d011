"""Choice of the upstream for a request's next attempt, and the wait for one."""

from __future__ import annotations

import random
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field
from math import isfinite
from typing import Final

import trio

from mustardfront import events
from mustardfront.codes import Code
from mustardfront.coordination.limits import RetryBudget
from mustardfront.coordination.traffic import (
    Demand,
    FirstEventTimes,
    GroupPace,
    RateLimitNotice,
    StopDeadline,
    TrafficState,
    Upstream,
    choose_upstream,
    compared_upstreams,
    expected_foreign_load,
    known_loads,
    selectable_upstreams,
    with_room,
)
from mustardfront.programs._held import HeldBytes
from mustardfront.programs.gateway._crash import CrashReporter
from mustardfront.programs.gateway._header_names import HeaderNames
from mustardfront.programs.gateway._outbox import Outbox
from mustardfront.programs.gateway._places import PlaceQueues, PlaceWait
from mustardfront.programs.gateway._request import GatewayRequest

# Share of a request's time limit for which it waits for an available upstream. The
# rest leaves its caller time to retry at another entry.
UPSTREAM_WAIT_RATIO: Final = 0.3
UPSTREAM_POLL_S: Final = 0.03
# Part of an objective that is kept for the time from a place to the first event.
LEAD_MAX_RATIO: Final = 0.5


@dataclass(frozen=True, slots=True)
class Forwarder:
    """State and callbacks of the entry that forwarding uses."""

    state: TrafficState
    header_names: HeaderNames
    place: str
    budget_of: Callable[[str], RetryBudget]
    is_view_unconfirmed: Callable[[], bool]
    crash_reporter: CrashReporter
    rate_limit_notices: Outbox[RateLimitNotice]
    # The region of each place.
    regions: Mapping[str, str] = field(default_factory=dict)
    first_event_times: FirstEventTimes = field(default_factory=FirstEventTimes)
    # Until the end of an answer, by route.
    answer_times: FirstEventTimes = field(default_factory=FirstEventTimes)
    stop: StopDeadline = field(default_factory=StopDeadline)
    held: HeldBytes = field(default_factory=HeldBytes)
    places: PlaceQueues = field(default_factory=PlaceQueues)
    pace: GroupPace = field(default_factory=lambda: GroupPace(trio.current_time))


@dataclass(slots=True)
class RetryState:
    """The attempts of a request so far, and the last error."""

    excluded: frozenset[str] = frozenset()
    # Started attempts, for the log; ``attempts_sent`` leaves out connect failures.
    attempts_started: int = 0
    attempts_sent: int = 0
    # Attempts that could not connect, or that reached another instance.
    connect_failures: int = 0
    may_have_run: bool = False
    # Whether the retry budget was already charged for the next attempt.
    is_budget_charged: bool = False
    # A part of the prompt was at a crash and is not known to be sound.
    may_crash_another: bool = False
    upstream: str = ""
    code: Code = Code.NO_CAPABLE_UPSTREAM
    text: str = "no upstream of the service is available"
    # When the caller should retry, if that is known better than by the code.
    retry_after_s: float | None = None


async def wait_for_upstream(
    fwd: Forwarder, req: GatewayRequest, retry: RetryState
) -> Upstream | None:
    """Wait for an available upstream; return None if there is none in time."""
    wait_ends_at = req.arrived_at + UPSTREAM_WAIT_RATIO * (
        req.deadline_at - req.arrived_at
    )
    if fwd.state.index.admission_policy(req.service).is_on:
        return await _wait_for_place(fwd, req, retry, wait_ends_at)
    while True:
        if _must_refuse(fwd, req, retry):
            return None
        chosen = _choose_upstream(fwd, req, retry)
        now_s = trio.current_time()
        if chosen is not None or now_s >= wait_ends_at:
            return chosen
        upstream_wait_s = _upstream_wait_s(fwd, req, retry)
        if now_s + upstream_wait_s > wait_ends_at:
            retry.code = Code.UPSTREAM_LIMIT
            retry.text = "all upstreams want no requests from this entry for now"
            # Another entry may have a share of the limits.
            retry.retry_after_s = upstream_wait_s if isfinite(upstream_wait_s) else None
            return None
        await trio.sleep(UPSTREAM_POLL_S)


async def _wait_for_place(
    fwd: Forwarder, req: GatewayRequest, retry: RetryState, ends_at: float
) -> Upstream | None:
    """Wait in the order of admission for an upstream that has a place."""
    wait = PlaceWait(
        lambda wait: _choose_upstream(fwd, req, retry, wait),
        lambda: _must_refuse(fwd, req, retry),
    )
    chosen = await fwd.places.wait(req.service, _demand(fwd, req, retry), wait, ends_at)
    if chosen is None and retry.code is Code.NO_CAPABLE_UPSTREAM and not retry.upstream:
        retry.code = Code.UPSTREAM_LIMIT
        retry.text = "all places of the service are taken"
    return chosen


def _demand(fwd: Forwarder, req: GatewayRequest, retry: RetryState) -> Demand:
    objective_s = req.route.objective_ms / 1000
    usual_s = fwd.first_event_times.usual_s(req.service)
    lead_s = min(usual_s, LEAD_MAX_RATIO * objective_s)
    return Demand(
        req.priority,
        req.arrived_at + objective_s - lead_s,
        req.arrived_at,
        is_resumed=retry.attempts_sent > 0,
    )


def _must_refuse(fwd: Forwarder, req: GatewayRequest, retry: RetryState) -> bool:
    """Return whether waiting cannot help; if so, set the reason for the refusal."""
    if not _may_be_served(fwd, req, retry):
        return True
    if req.api_key and fwd.is_view_unconfirmed():
        retry.code = Code.VIEW_UNCONFIRMED
        retry.text = "the configuration store is unreachable"
        return True
    held = fwd.state.crash_evidence.held_content(req.content)
    if held is not None:
        _refuse_held(fwd, req, retry, held)
    return held is not None


def known_upstreams(fwd: Forwarder, req: GatewayRequest) -> Sequence[Upstream]:
    """Return the upstreams that may get a request, by its service and its regions."""
    known = fwd.state.upstreams_of(req.service)
    if req.regions is None:
        return known
    return tuple(
        one for one in known if fwd.regions.get(one.announced.place) in req.regions
    )


def _may_be_served(fwd: Forwarder, req: GatewayRequest, retry: RetryState) -> bool:
    """Return whether waiting can help; if not, set the reason for the refusal."""
    if fwd.state.index.is_evacuated(req.service):
        retry.text = "all upstreams of the service are in evacuated places"
    elif not _has_allowed_place(fwd, req):
        retry.text = "the allowed regions have no upstream of the service"
    else:
        return True
    retry.code = Code.NO_CAPABLE_UPSTREAM
    return False


def _has_allowed_place(fwd: Forwarder, req: GatewayRequest) -> bool:
    """Return whether upstreams run in allowed regions, or none runs anywhere."""
    known = fwd.state.upstreams_of(req.service)
    return req.regions is None or not known or bool(known_upstreams(fwd, req))


def _upstream_wait_s(fwd: Forwarder, req: GatewayRequest, retry: RetryState) -> float:
    """Return after how long an upstream wants a request; 0 if one wants it now.

    Upstreams that were tried count only if there are no others. Infinite if this entry
    has no share of any upstream's limit.
    """
    known = compared_upstreams(
        known_upstreams(fwd, req),
        fwd.state.index.own_upstreams(req.service),
        random.sample,
        fwd.state.get,
    )
    untried = [one for one in known if one.instance not in retry.excluded]
    return min(map(fwd.state.wait_s, untried or known), default=0.0)


def _refuse_held(
    fwd: Forwarder, req: GatewayRequest, retry: RetryState, held: str
) -> None:
    # A retry before the hold ends would be refused as well.
    retry.retry_after_s = fwd.state.crash_evidence.hold_left_s()
    retry.code = Code.REQUEST_HELD
    retry.text = "this request, or a part of its prompt, crashed upstreams"
    events.log(
        events.Event.REQUEST_HELD,
        request_id=req.request_id,
        service=req.service,
        team=req.team,
        content=held,
        attempt=retry.attempts_sent + 1,
    )


def _choose_upstream(
    fwd: Forwarder,
    req: GatewayRequest,
    retry: RetryState,
    place: PlaceWait | None = None,
) -> Upstream | None:
    """Return the available upstream with the least expected load; log the choice.

    With a wait for a ``place``, upstreams whose places are taken are not available.
    """
    known = known_upstreams(fwd, req)
    own = fwd.state.index.own_upstreams(req.service)
    compared = compared_upstreams(known, own, random.sample, fwd.state.get)
    foreign_load = expected_foreign_load(known, len(fwd.state.entries))
    # First, so that full upstreams that are sound do not leave the failing ones.
    candidates = selectable_upstreams(compared, retry.excluded, fwd.state)
    load: Callable[[Upstream], float] | None = None
    if place is not None:
        peers, entry_count = fwd.state.peer_loads, len(fwd.state.entries)
        load = known_loads(peers, entry_count, own)
        policy = fwd.state.index.admission_policy(req.service)
        candidates = with_room(
            candidates,
            peers,
            own,
            fwd.state.place_turns,
            place.released,
            ratio=fwd.places.ratio(req.service),
            is_least_urgent=not retry.attempts_sent
            and req.priority == policy.least_urgent,
        )
    groups = frozenset(one.group for one in candidates)
    ratios = {group: fwd.pace.slow_ratio(group, groups) for group in groups}

    def slow_ratio(upstream: Upstream) -> float:
        return ratios[upstream.group] * fwd.state.slowness(upstream)

    chosen = choose_upstream(
        candidates, own, foreign_load, fwd.place, random.random, slow_ratio, load
    )
    if chosen is None:
        return None
    fwd.state.record_sent(chosen)
    events.log(
        events.Event.ROUTE_CHOSEN,
        request_id=req.request_id,
        service=req.service,
        team=req.team,
        upstream=chosen.instance,
        in_flight=chosen.in_flight,
        own=chosen.instance in own,
        foreign_load=round(foreign_load, 2),
        known_load=round(load(chosen), 2) if load is not None else None,
        waited_ms=round((trio.current_time() - req.arrived_at) * 1000),
        waiting=fwd.places.waiting_count(),
        slow_ratio=round(slow_ratio(chosen), 2),
        candidates=len(candidates),
        known=len(known),
        attempt=retry.attempts_sent + 1,
        config_version=req.config_version,
        view_age_ms=round(fwd.state.age_s() * 1000),
    )
    return chosen
