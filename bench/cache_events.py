"""Prefix hits when cache events are late and some are missing."""

from __future__ import annotations

import random
from collections.abc import Sequence
from typing import Final

from bench import Report, Table, row
from bench._batch import HEADERS, SEEDS, run_conditions
from bench._engine import Engine
from bench._sim import Scenario, SimulationResult, simulate
from mustardfront.coordination.routing import (
    Policy,
    RouteRequest,
    TrackedUpstream,
    UpstreamTable,
)

NAME = "cache-events"
EVENT_DELAY_S: Final = 2.0
MISSING_SHARE: Final = 0.2
COMPLETE_EVENTS, LATE_EVENTS = (
    "events at once and complete",
    "events 2 s late, a fifth missing",
)
FOLLOW = "follow events"
CONDITIONS: Final = (COMPLETE_EVENTS, LATE_EVENTS)
POLICIES: Final = ("two_choices", "prefix_affinity", FOLLOW, "default")


class _CacheIndex:
    """The groups that cache each prefix, according to the events that arrived."""

    def __init__(
        self, engines: Sequence[Engine], event_delay_s: float, missing_share: float
    ) -> None:
        self._holders: dict[int, set[str]] = {}
        self._pending: list[tuple[float, int, str, bool]] = []
        self._event_delay_s = event_delay_s
        self._missing_share = missing_share
        self._rng = random.Random(len(engines))
        for engine in engines:
            engine.on_cache_change = self._listener(engine.name)

    def _listener(self, name: str):  # type: ignore[no-untyped-def]
        import trio

        def record_change(prefix: int, added: bool) -> None:
            if self._rng.random() >= self._missing_share:
                due_s = trio.current_time() + self._event_delay_s
                self._pending.append((due_s, prefix, name, added))

        return record_change

    def holders(self, prefix: int, now: float) -> set[str]:
        """Return the groups that cache a prefix, after the events due by ``now``."""
        while self._pending and self._pending[0][0] <= now:
            _, changed, name, added = self._pending.pop(0)
            names = self._holders.setdefault(changed, set())
            (names.add if added else names.discard)(name)
        return self._holders.get(prefix, set())


def _make_event_policy(index: _CacheIndex) -> Policy:
    """Return a policy that prefers groups that hold the prefix by their events."""

    def pick(  # type: ignore[no-untyped-def]
        table: UpstreamTable, capable: Sequence[TrackedUpstream], req: RouteRequest
    ):
        holders = index.holders(req.prefix, table.clock())
        holding = [state for state in capable if state.name in holders]
        mean_load = sum(state.report_load for state in capable) / len(capable)
        holding = [
            state for state in holding if state.report_load <= 1.25 * mean_load + 1
        ]
        eligible = holding or table.rng.sample(capable, min(2, len(capable)))
        return min(eligible, key=lambda state: state.in_flight), "events", ()

    return pick


def run_condition(condition: str, policy: str, seed: int) -> SimulationResult:
    """Run one condition under a policy."""
    scenario = Scenario(load=0.85, report_delay_s=1.0)
    if policy != FOLLOW:
        return simulate(scenario, policy, seed)
    event_delay_s, missing_share = (
        (EVENT_DELAY_S, MISSING_SHARE) if condition == LATE_EVENTS else (0.0, 0.0)
    )
    indexes: list[_CacheIndex] = []
    return simulate(
        scenario,
        lambda: _make_event_policy(indexes[0]),
        seed,
        setup=lambda engines: indexes.append(
            _CacheIndex(engines, event_delay_s, missing_share)
        ),
    )


def run(seed: int) -> Report:
    """Compare routing by hash with routing by cache events."""
    figures = run_conditions(run_condition, CONDITIONS, POLICIES, seed)
    default, affinity = (
        figures[LATE_EVENTS, "default"],
        figures[LATE_EVENTS, "prefix_affinity"],
    )
    following = figures[LATE_EVENTS, FOLLOW]
    rows = (
        row(
            f"prefix hits over pure affinity's, {LATE_EVENTS}",
            default.hit_share / affinity.hit_share,
            0.9,
            f"{following.hit_share / affinity.hit_share:.3f} when following events",
            at_least=True,
        ),
        row(
            f"most loaded group over the mean, {LATE_EVENTS}",
            default.peak_to_mean_load,
            1.25,
            f"{following.peak_to_mean_load:.2f} when following events",
        ),
    )
    cells = tuple((*key, *value.cells()) for key, value in figures.items())
    return Report(
        "Late and missing cache events",
        f"85% load, reports 1 s late, medians of {SEEDS} seeds. The default policy "
        "places prefixes by hash and reads no cache events, so they cannot mislead "
        f"it; '{FOLLOW}' sends a request where events say that its prefix is cached.",
        rows,
        (Table("All policies", HEADERS, cells),),
    )
