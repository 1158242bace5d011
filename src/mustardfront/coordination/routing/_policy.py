"""The project's routing policy: prefix affinity with bounded load, two choices."""

from __future__ import annotations

import heapq
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
        shares = table.own_shares(service)
        self.loads = {
            state: state.load(now, shares.get(state.place, 0.0), knobs)
            for state in states
        }
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
        region = table.region_of(req.place)
        near = [state for state in capable if state.region == region]
        if not near or _is_overloaded(table, near, capable, view):
            near = list(capable)
        return _by_prefix(table, near, req.prefix, view)
    return _by_choices(table, capable, req.place, view)


def _is_overloaded(
    table: UpstreamTable,
    near: Sequence[UpstreamState],
    capable: Sequence[UpstreamState],
    view: _View,
) -> bool:
    """Say whether the near upstreams are utilised far more than all of them are."""
    knobs = table.knobs
    used = view.utilisation(near)
    if used <= knobs.spill_utilisation_min:
        return False
    return used > knobs.spill_load_ratio * view.utilisation(capable)


def _by_prefix(
    table: UpstreamTable, states: Sequence[UpstreamState], prefix: int, view: _View
) -> Choice:
    """Return the first upstream in the prefix's order that is within the bound.

    Only the first few are tried, so that each prefix is cached in few places. When
    all of them are over the bound, the least utilised of them is chosen.
    """
    knobs = table.knobs
    capacity = sum(view.capacities[state] for state in states)
    mean = (sum(view.loads[state] for state in states) + 1) / capacity
    bound = min(
        knobs.prefix_load_bound_ratio * mean, max(mean, knobs.prefix_utilisation_max)
    )
    order = heapq.nlargest(
        knobs.prefix_tries_count,
        states,
        key=lambda state: rendezvous_score(prefix, state.name_hash),
    )
    tried: list[Candidate] = []
    for state in order:
        tried.append(view.candidate(state))
        if view.loads[state] + 1 <= math.ceil(bound * view.capacities[state]):
            return state, f"prefix-{len(tried)}", tuple(tried)
    best = min(range(len(order)), key=lambda index: tried[index].score)
    return order[best], "prefix-over-bound", tuple(tried)


def _by_choices(
    table: UpstreamTable, capable: Sequence[UpstreamState], place: str, view: _View
) -> Choice:
    """Return the less utilised of a few random upstreams, the nearest if it has room.

    A choice that would have to queue is compared with one from further away, and
    left when that is clearly better.
    """
    knobs = table.knobs
    region = table.region_of(place)
    tiers: dict[str, list[UpstreamState]] = {
        "same-place": [],
        "same-region": [],
        "any-region": [],
    }
    for state in capable:
        if state.region != region:
            tiers["any-region"].append(state)
        else:
            same = state.place == place
            tiers["same-place" if same else "same-region"].append(state)
    chosen, chosen_score, reason = capable[0], math.inf, ""
    compared: list[Candidate] = []
    for tier_reason, tier in tiers.items():
        if not tier:
            continue
        picked = table.rng.sample(tier, min(knobs.choices_count, len(tier)))
        found = [view.candidate(state) for state in picked]
        compared += found
        best = min(range(len(found)), key=lambda index: found[index].score)
        if found[best].score * knobs.spill_load_ratio < chosen_score:
            chosen, chosen_score, reason = picked[best], found[best].score, tier_reason
        if chosen_score <= 1.0:
            break
    return chosen, reason, tuple(compared)
