"""The project's routing policy: prefix affinity with bounded load, two choices."""

from __future__ import annotations

import heapq
import math
from collections.abc import Callable, Sequence
from typing import TypeAlias

from mustardfront.coordination.routing._hashing import rendezvous_scores
from mustardfront.coordination.routing._state import UpstreamState
from mustardfront.coordination.routing._table import UpstreamTable
from mustardfront.coordination.routing._types import Candidate, RouteRequest

Choice: TypeAlias = tuple[UpstreamState, str, tuple[Candidate, ...]]
# Chooses among capable upstreams, at least one, and names its reason.
Policy: TypeAlias = Callable[
    [UpstreamTable, Sequence[UpstreamState], RouteRequest], Choice
]


# Share of the new request that the bound allows each upstream beyond its part.
_OWN_REQUEST = 0.1


class _View:
    """The present load of upstreams, computed for those that are compared."""

    __slots__ = ("knobs", "now", "overview")

    def __init__(self, table: UpstreamTable, service: str) -> None:
        self.now = table.clock()
        self.knobs = table.knobs
        self.overview = table.overview(service)

    def candidate(self, state: UpstreamState) -> Candidate:
        """Return an upstream's load and its utilisation with one more request."""
        share = self.overview.own_shares.get(state.place, 0.0)
        load = state.load(self.now, share, self.knobs)
        return Candidate(state.name, load, (load + 1) / state.capacity)


def default_policy(
    table: UpstreamTable, capable: Sequence[UpstreamState], req: RouteRequest
) -> Choice:
    """Choose by prefix within a bound on load, else the better of a few."""
    view = _View(table, req.service)
    region = table.region_of(req.place)
    if not req.prefix:
        return _by_choices(table, capable, req.place, region, view)
    # A cache hit saves far more time than staying within the place does.
    near = [state for state in capable if state.region == region]
    if not near or _is_overloaded(region, view):
        return _by_prefix(capable, req.prefix, view.overview.utilisation, view)
    used = view.overview.utilisation_by_region.get(region, 0.0)
    return _by_prefix(near, req.prefix, used, view)


def _is_overloaded(region: str, view: _View) -> bool:
    """Say whether a region is utilised far more than all upstreams are."""
    knobs = view.knobs
    used = view.overview.utilisation_by_region.get(region, 0.0)
    if used <= knobs.spill_utilisation_min:
        return False
    return used > knobs.spill_load_ratio * view.overview.utilisation


def _by_prefix(
    states: Sequence[UpstreamState], prefix: int, mean: float, view: _View
) -> Choice:
    """Return the first upstream in the prefix's order that is within the bound.

    Only the first few are tried, so that each prefix is cached in few places. When
    all of them are over the bound, the least utilised of them is chosen. ``mean`` is
    the utilisation of ``states``.
    """
    knobs = view.knobs
    bound = min(
        knobs.prefix_load_bound_ratio * mean, max(mean, knobs.prefix_utilisation_max)
    )
    scores = rendezvous_scores(prefix, [state.name_hash for state in states])
    order = heapq.nlargest(
        knobs.prefix_tries_count, range(len(states)), key=scores.__getitem__
    )
    tried: list[Candidate] = []
    for index in order:
        state, found = states[index], view.candidate(states[index])
        tried.append(found)
        # At low load the bound is below one request, which is always allowed.
        if found.load + 1 <= math.ceil(bound * state.capacity + _OWN_REQUEST):
            return state, f"prefix-{len(tried)}", tuple(tried)
    best = min(range(len(order)), key=lambda index: tried[index].score)
    return states[order[best]], "prefix-over-bound", tuple(tried)


def _by_choices(
    table: UpstreamTable,
    capable: Sequence[UpstreamState],
    place: str,
    region: str,
    view: _View,
) -> Choice:
    """Return the less utilised of a few random upstreams, the nearest if it has room.

    A choice that would have to queue is compared with one from further away, and
    left when that is clearly better.
    """
    knobs = view.knobs
    same, near, far = [], [], []
    for state in capable:
        if state.place == place:
            same.append(state)
        elif state.region == region:
            near.append(state)
        else:
            far.append(state)
    chosen, chosen_score, reason = capable[0], math.inf, ""
    compared: list[Candidate] = []
    for tier_reason, tier in (
        ("same-place", same),
        ("same-region", near),
        ("any-region", far),
    ):
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
