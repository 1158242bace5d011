"""The project's routing policy: prefix affinity with bounded load, two choices."""

from __future__ import annotations

import math
from collections.abc import Callable, Sequence
from typing import TypeAlias

from mustardfront.coordination.routing._hashing import rendezvous_score
from mustardfront.coordination.routing._state import UpstreamState
from mustardfront.coordination.routing._table import UpstreamTable
from mustardfront.coordination.routing._types import Candidate, RouteRequest

Choice: TypeAlias = tuple[UpstreamState, str, tuple[Candidate, ...]]
# Chooses among capable upstreams, at least one, and names its reason.
Policy: TypeAlias = Callable[
    [UpstreamTable, Sequence[UpstreamState], RouteRequest], Choice
]


class _View:
    """Loads and capacities of the capable upstreams at one moment."""

    __slots__ = ("capacities", "loads")

    def __init__(self, table: UpstreamTable, states: Sequence[UpstreamState]) -> None:
        now, knobs = table.clock(), table.knobs
        service = states[0].service
        table.compare_speeds(service)
        own_share = table.own_share(service)
        self.loads = {state: state.load(now, own_share, knobs) for state in states}
        self.capacities = {state: state.capacity(now, knobs) for state in states}

    def utilisation(self, states: Sequence[UpstreamState]) -> float:
        """Return the load of some upstreams as a share of their capacity."""
        capacity = sum(self.capacities[state] for state in states)
        return sum(self.loads[state] for state in states) / capacity

    def candidate(self, state: UpstreamState) -> Candidate:
        """Return an upstream's load and its utilisation with one more request."""
        load = self.loads[state]
        return Candidate(state.name, load, (load + 1) / self.capacities[state])


def default_policy(
    table: UpstreamTable, capable: Sequence[UpstreamState], req: RouteRequest
) -> Choice:
    """Choose by prefix within a bound on load, else the better of a few."""
    view = _View(table, capable)
    if req.prefix:
        # A cache hit saves far more time than staying within the place does.
        nearby, _ = _nearest(table, capable, req.place, view, with_place=False)
        choice = _by_prefix(table, nearby, req.prefix, view)
        if choice is not None:
            return choice
        return _by_choices(table, nearby, view, "prefix-over-bound")
    nearby, reason = _nearest(table, capable, req.place, view, with_place=True)
    return _by_choices(table, nearby, view, reason)


def _nearest(
    table: UpstreamTable,
    capable: Sequence[UpstreamState],
    place: str,
    view: _View,
    *,
    with_place: bool,
) -> tuple[Sequence[UpstreamState], str]:
    """Return the upstreams of the place or region, unless it is overloaded."""
    knobs = table.knobs
    allowed = max(
        knobs.spill_load_ratio * view.utilisation(capable), knobs.spill_utilisation_min
    )
    region = table.region_of(place)
    near = [state for state in capable if state.region == region]
    if with_place:
        same = [state for state in near if state.place == place]
        if same and view.utilisation(same) <= allowed:
            return same, "same-place"
    if near and view.utilisation(near) <= allowed:
        return near, "same-region"
    return capable, "any-region"


def _by_prefix(
    table: UpstreamTable, states: Sequence[UpstreamState], prefix: int, view: _View
) -> Choice | None:
    """Return the first upstream in the prefix's order that is within the bound."""
    capacity = sum(view.capacities[state] for state in states)
    total = sum(view.loads[state] for state in states) + 1
    bound = table.knobs.prefix_load_bound_ratio * total / capacity
    order = sorted(
        states,
        key=lambda state: rendezvous_score(prefix, state.name_hash),
        reverse=True,
    )
    tried: list[Candidate] = []
    for state in order[: table.knobs.prefix_tries_count]:
        tried.append(view.candidate(state))
        if view.loads[state] + 1 <= math.ceil(bound * view.capacities[state]):
            return state, f"prefix-{len(tried)}", tuple(tried)
    return None


def _by_choices(
    table: UpstreamTable, states: Sequence[UpstreamState], view: _View, reason: str
) -> Choice:
    """Return the least utilised of a few random upstreams."""
    count = min(table.knobs.choices_count, len(states))
    picked = table.rng.sample(states, count)
    compared = [view.candidate(state) for state in picked]
    best = min(range(count), key=lambda index: compared[index].score)
    return picked[best], reason, tuple(compared)
