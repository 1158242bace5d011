"""Baseline policies that benchmarks compare the default policy with."""

from __future__ import annotations

import itertools
from collections.abc import Callable, Mapping, Sequence
from types import MappingProxyType

from mustardfront.coordination.routing._hashing import rendezvous_scores
from mustardfront.coordination.routing._policy import Choice, Policy
from mustardfront.coordination.routing._state import TrackedUpstream
from mustardfront.coordination.routing._table import UpstreamTable
from mustardfront.coordination.routing._types import RouteRequest


def random_policy() -> Policy:
    """Return a policy that chooses uniformly at random."""

    def pick(
        table: UpstreamTable, capable: Sequence[TrackedUpstream], _req: RouteRequest
    ) -> Choice:
        return table.rng.choice(capable), "random", ()

    return pick


def round_robin() -> Policy:
    """Return a policy that chooses the upstreams in turn."""
    counter = itertools.count()

    def pick(
        _table: UpstreamTable, capable: Sequence[TrackedUpstream], _req: RouteRequest
    ) -> Choice:
        return capable[next(counter) % len(capable)], "round-robin", ()

    return pick


def least_reported() -> Policy:
    """Return a policy that chooses the lowest load in the latest reports."""

    def pick(
        table: UpstreamTable, capable: Sequence[TrackedUpstream], _req: RouteRequest
    ) -> Choice:
        lowest = min(state.report_load for state in capable)
        ties = [state for state in capable if state.report_load == lowest]
        return table.rng.choice(ties), "least-reported", ()

    return pick


def two_choices() -> Policy:
    """Return a policy that chooses the less loaded of two random upstreams.

    Their load is the number of own requests in flight.
    """

    def pick(
        table: UpstreamTable, capable: Sequence[TrackedUpstream], _req: RouteRequest
    ) -> Choice:
        sampled = table.rng.sample(capable, min(2, len(capable)))
        return min(sampled, key=lambda state: state.in_flight), "two-choices", ()

    return pick


def prefix_affinity() -> Policy:
    """Return a policy that chooses by the prefix alone, whatever the load."""

    def pick(
        table: UpstreamTable, capable: Sequence[TrackedUpstream], req: RouteRequest
    ) -> Choice:
        if not req.prefix:
            return table.rng.choice(capable), "random", ()
        scores = rendezvous_scores(req.prefix, (state.name_hash for state in capable))
        return capable[scores.index(max(scores))], "prefix", ()

    return pick


BASELINES: Mapping[str, Callable[[], Policy]] = MappingProxyType(
    {
        "random": random_policy,
        "round_robin": round_robin,
        "least_reported": least_reported,
        "two_choices": two_choices,
        "prefix_affinity": prefix_affinity,
    }
)
