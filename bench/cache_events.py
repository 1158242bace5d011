"""Prefix hits when cache events are late and have gaps."""

from __future__ import annotations

import random
from collections.abc import Sequence
from typing import Final

from bench import Report, Table, row
from bench._batch import HEADS, SEEDS, run_all
from bench._engine import Engine
from bench._sim import Result, Scenario, simulate
from mustardfront.coordination.routing import (
    Policy,
    RouteRequest,
    TrackedUpstream,
    UpstreamTable,
)

NAME = "cache-events"
LATE_S: Final = 2.0
GAP_SHARE: Final = 0.2
EXACT, LATE = "events at once and complete", "events 2 s late, a fifth missing"
FOLLOW = "follow events"
CONDITIONS: Final = (EXACT, LATE)
POLICIES: Final = ("two_choices", "prefix_affinity", FOLLOW, "default")


class _Index:
    """Where each prefix is cached according to the events that arrived."""

    def __init__(self, engines: Sequence[Engine], late_s: float, gaps: float) -> None:
        self._holders: dict[int, set[str]] = {}
        self._waiting: list[tuple[float, int, str, bool]] = []
        self._late_s = late_s
        self._gaps = gaps
        self._rng = random.Random(len(engines))
        for engine in engines:
            engine.on_cached = self._listener(engine.name)

    def _listener(self, name: str):  # type: ignore[no-untyped-def]
        import trio

        def note(prefix: int, added: bool) -> None:
            if self._rng.random() >= self._gaps:
                due_s = trio.current_time() + self._late_s
                self._waiting.append((due_s, prefix, name, added))

        return note

    def holders(self, prefix: int, now: float) -> set[str]:
        """Return the groups that hold a prefix, as far as events tell by ``now``."""
        while self._waiting and self._waiting[0][0] <= now:
            _, changed, name, added = self._waiting.pop(0)
            names = self._holders.setdefault(changed, set())
            (names.add if added else names.discard)(name)
        return self._holders.get(prefix, set())


def _follow_events(index: _Index) -> Policy:
    def pick(  # type: ignore[no-untyped-def]
        table: UpstreamTable, capable: Sequence[TrackedUpstream], req: RouteRequest
    ):
        holders = index.holders(req.prefix, table.clock())
        warm = [state for state in capable if state.name in holders]
        mean = sum(state.report_load for state in capable) / len(capable)
        warm = [state for state in warm if state.report_load <= 1.25 * mean + 1]
        picked = warm or table.rng.sample(capable, min(2, len(capable)))
        return min(picked, key=lambda state: state.in_flight), "events", ()

    return pick


def run_condition(condition: str, policy: str, seed: int) -> Result:
    """Run one condition under a policy."""
    scenario = Scenario(load=0.85, report_delay_s=1.0)
    if policy != FOLLOW:
        return simulate(scenario, policy, seed)
    late_s, gaps = (LATE_S, GAP_SHARE) if condition == LATE else (0.0, 0.0)
    indexes: list[_Index] = []
    return simulate(
        scenario,
        lambda: _follow_events(indexes[0]),
        seed,
        setup=lambda engines: indexes.append(_Index(engines, late_s, gaps)),
    )


def run(seed: int) -> Report:
    """Compare routing by hash with routing by cache events."""
    figures = run_all(run_condition, CONDITIONS, POLICIES, seed)
    ours, pure = figures[LATE, "default"], figures[LATE, "prefix_affinity"]
    follow = figures[LATE, FOLLOW]
    rows = (
        row(
            f"prefix hits over pure affinity's, {LATE}",
            ours.hit_share / pure.hit_share,
            0.9,
            f"{follow.hit_share / pure.hit_share:.3f} when following events",
            at_least=True,
        ),
        row(
            f"most loaded group over the mean, {LATE}",
            ours.load_peak,
            1.25,
            f"{follow.load_peak:.2f} when following events",
        ),
    )
    cells = tuple((*key, *value.cells()) for key, value in figures.items())
    return Report(
        "Late and missing cache events",
        f"85% load, reports 1 s late, medians of {SEEDS} seeds. The default policy "
        "places prefixes by hash and reads no cache events, so they cannot mislead "
        f"it; '{FOLLOW}' sends a request where events say that its prefix is cached.",
        rows,
        (Table("All policies", HEADS, cells),),
    )
