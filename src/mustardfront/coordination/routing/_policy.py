"""Default routing policy: prefix affinity with bounded load, or two choices."""

from __future__ import annotations

import heapq
import math
from collections.abc import Callable, Sequence
from typing import TypeAlias

from mustardfront.coordination.routing._hashing import rendezvous_scores
from mustardfront.coordination.routing._state import TrackedUpstream
from mustardfront.coordination.routing._table import UpstreamTable
from mustardfront.coordination.routing._types import Candidate, RouteRequest

Choice: TypeAlias = tuple[TrackedUpstream, str, tuple[Candidate, ...]]
# Chooses one of the capable upstreams, of which there is at least one. The result has
# the reason and the upstreams that were compared.
Policy: TypeAlias = Callable[
    [UpstreamTable, Sequence[TrackedUpstream], RouteRequest], Choice
]


# Fraction of the new request that each upstream may take beyond its bound on load.
_BOUND_SLACK = 0.1


class _LoadView:
    """The current load of upstreams, computed only for those that are compared."""

    __slots__ = ("knobs", "now", "overview")

    def __init__(self, table: UpstreamTable, service: str) -> None:
        self.now = table.clock()
        self.knobs = table.knobs
        self.overview = table.overview(service)

    def evaluate(self, state: TrackedUpstream) -> Candidate:
        """Return an upstream's load, and its utilisation with one more request."""
        own_share = self.overview.own_shares.get(state.place, 0.0)
        load = state.estimate_load(self.now, own_share, self.knobs)
        return Candidate(state.name, load, (load + 1) / state.capacity)


def default_policy(
    table: UpstreamTable, capable: Sequence[TrackedUpstream], req: RouteRequest
) -> Choice:
    """Choose by prefix within a bound on load, or by sampling without a prefix."""
    view = _LoadView(table, req.service)
    region = table.region_of(req.place)
    if not req.prefix:
        return _choose_by_sampling(table, capable, req.place, region, view)
    # Places are not compared, as a cache hit saves far more time than staying within
    # the place.
    in_region = [state for state in capable if state.region == region]
    if not in_region or _is_overloaded(region, view):
        return _choose_by_prefix(capable, req.prefix, view.overview.utilisation, view)
    utilisation = view.overview.utilisation_by_region.get(region, 0.0)
    return _choose_by_prefix(in_region, req.prefix, utilisation, view)


def _is_overloaded(region: str, view: _LoadView) -> bool:
    """Return whether a region is utilised far more than the service as a whole."""
    knobs = view.knobs
    utilisation = view.overview.utilisation_by_region.get(region, 0.0)
    if utilisation <= knobs.spill_utilisation_min:
        return False
    return utilisation > knobs.spill_load_ratio * view.overview.utilisation


def _choose_by_prefix(
    states: Sequence[TrackedUpstream],
    prefix: int,
    mean_utilisation: float,
    view: _LoadView,
) -> Choice:
    """Choose the first upstream in the prefix's order of preference within the bound.

    Only the first few are tried, so that each prefix is cached on few upstreams. When
    all of them are over the bound, the least utilised of them is chosen.
    ``mean_utilisation`` is that of ``states``.
    """
    knobs = view.knobs
    bound = min(
        knobs.prefix_load_bound_ratio * mean_utilisation,
        max(mean_utilisation, knobs.prefix_utilisation_max),
    )
    scores = rendezvous_scores(prefix, [state.name_hash for state in states])
    preferred = heapq.nlargest(
        knobs.prefix_tries_count, range(len(states)), key=scores.__getitem__
    )
    tried: list[Candidate] = []
    for index in preferred:
        state, candidate = states[index], view.evaluate(states[index])
        tried.append(candidate)
        # Rounding up allows one request even when the bound is lower, at low load.
        if candidate.load + 1 <= math.ceil(bound * state.capacity + _BOUND_SLACK):
            return state, f"prefix-{len(tried)}", tuple(tried)
    best = min(range(len(preferred)), key=lambda index: tried[index].score)
    return states[preferred[best]], "prefix-over-bound", tuple(tried)


def _choose_by_sampling(
    table: UpstreamTable,
    capable: Sequence[TrackedUpstream],
    place: str,
    region: str,
    view: _LoadView,
) -> Choice:
    """Choose the least utilised of a few random upstreams, preferring near ones.

    The place is sampled first, then the region, then other regions, until the chosen
    upstream can take the request without queueing. A farther upstream is chosen only
    when it is less utilised by more than the factor ``spill_load_ratio``.
    """
    knobs = view.knobs
    same_place, same_region, other_regions = [], [], []
    for state in capable:
        if state.place == place:
            same_place.append(state)
        elif state.region == region:
            same_region.append(state)
        else:
            other_regions.append(state)
    chosen, chosen_score, reason = capable[0], math.inf, ""
    compared: list[Candidate] = []
    for tier_reason, tier in (
        ("same-place", same_place),
        ("same-region", same_region),
        ("any-region", other_regions),
    ):
        if not tier:
            continue
        sampled = table.rng.sample(tier, min(knobs.choices_count, len(tier)))
        scored = [view.evaluate(state) for state in sampled]
        compared += scored
        best = min(range(len(scored)), key=lambda index: scored[index].score)
        if scored[best].score * knobs.spill_load_ratio < chosen_score:
            chosen, chosen_score, reason = (
                sampled[best],
                scored[best].score,
                tier_reason,
            )
        if chosen_score <= 1.0:
            break
    return chosen, reason, tuple(compared)
