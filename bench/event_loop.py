"""Work of an entry's event loop that grows with what the store lists or callers send.

While one of these steps runs, the entry answers nobody.
"""

from __future__ import annotations

import random
import time
from collections.abc import Callable
from dataclasses import replace
from typing import Final

from bench._report import Report, Row, Table
from mustardfront.coordination.quarantine import (
    CrashEvidence,
    CrashReport,
    RequestContent,
)
from mustardfront.coordination.traffic import (
    EntryChange,
    RateLimitNotice,
    Snapshot,
    TrafficState,
    assign_upstreams,
    choose_upstream,
    compared_upstreams,
    expected_foreign_load,
    selectable_upstreams,
)
from mustardfront.state import RankPosition, UpstreamInstance, UpstreamState

NAME: Final = "event-loop"
# Upstreams and entries; the last pair is the target's size.
SIZES: Final = ((16, 5), (192, 35), (700, 100), (2_800, 400))
# An event of a stream may be this late at most, so no step may take longer.
STEP_MAX_MS: Final = 120.0
GROUP_RANKS: Final = 128
REPEATS: Final = 5

# A step by name and the bound of what it grows with.
Step = tuple[str, str, Callable[[], object]]


def run(seed: int) -> Report:
    """Measure each step at four sizes."""
    rng = random.Random(seed)
    by_size = [dict(_timed(_fleet_steps(*size, rng))) for size in SIZES]
    names = list(by_size[0])
    cells = tuple(
        (name, *(f"{found[name]:.2f}" for found in by_size)) for name in names
    )
    headers = ("step, ms", *(f"{ups} upstreams, {ents} entries" for ups, ents in SIZES))
    evidence = _timed(_evidence_steps())
    worst = [*by_size[-1].items(), *evidence]
    rows = tuple(
        Row(
            f"{name}, ms",
            f"≤ {STEP_MAX_MS:.0f}",
            f"{taken:.1f}",
            "none",
            "met" if taken <= STEP_MAX_MS else "not met",
        )
        for name, taken in worst
    )
    description = (
        "Processor time of single steps of a gateway's event loop, the least of"
        f" {REPEATS} runs. The rows are the steps at the target's size, and those of"
        " crashes beside the longest prompts that are counted."
    )
    table = Table("Steps by the size of the fleet", headers, cells)
    return Report("Steps of the event loop", description, rows, (table,))


def _timed(steps: list[tuple[str, Callable[[], object]]]) -> list[tuple[str, float]]:
    found = []
    for name, step in steps:
        taken = []
        for _ in range(REPEATS):
            began = time.process_time()
            step()
            taken.append((time.process_time() - began) * 1000)
        found.append((name, min(taken)))
    return found


def _upstream(number: int) -> UpstreamInstance:
    seat = RankPosition(
        f"g{number // GROUP_RANKS}", 1, number % GROUP_RANKS, GROUP_RANKS, True
    )
    address = (f"10.{number // 250}.{number % 250}.1", 80)
    return UpstreamInstance(
        f"i-{number}",
        "svc",
        address,
        f"z{number % 7}",
        UpstreamState.READY,
        slots=6,
        born_ms=1,
        seat=seat,
    )


def _fleet_steps(
    upstream_count: int, entry_count: int, rng: random.Random
) -> list[tuple[str, Callable[[], object]]]:
    state = TrafficState(lambda: 0.0, "e0")
    upstreams = {f"i-{n}": _upstream(n) for n in range(upstream_count)}
    entries = {f"e{n}": 1 for n in range(entry_count)}
    snapshot = Snapshot(1, None, upstreams, entries)
    state.replace(snapshot, keep_missing=False)
    for number in range(upstream_count):
        state.rate_limits.record_announced(RateLimitNotice(f"i-{number}.1", 5.0))
    own = assign_upstreams(state.upstreams_of("svc"), state.entries, "e0")
    sequence = [1]

    def restart() -> None:
        sequence[0] += 1
        changes = [replace(one, sequence=sequence[0]) for one in upstreams.values()]
        state.apply_all(changes, keep_missing=False)

    def join() -> None:
        sequence[0] += 1
        state.apply(EntryChange(f"new{sequence[0]}"), keep_missing=False)

    def choose() -> None:
        known = state.upstreams_of("svc")
        compared = compared_upstreams(known, own, rng.sample, state.get)
        candidates = selectable_upstreams(compared, frozenset(), state)
        foreign = expected_foreign_load(known, len(state.entries))
        choose_upstream(candidates, own, foreign, "z1", rng.random)

    return [
        ("snapshot", lambda: state.replace(snapshot, keep_missing=False)),
        ("changes of all upstreams between two watches", restart),
        ("change of one entry, a limit at each upstream", join),
        (
            "assignment of upstreams",
            lambda: assign_upstreams(state.upstreams_of("svc"), state.entries, "e0"),
        ),
        ("choice for a request", choose),
    ]


def _evidence_steps() -> list[tuple[str, Callable[[], object]]]:
    evidence = CrashEvidence(lambda: 0.0)
    crashes = iter(range(1_000))

    def suspects(crash: int, *, shared: bool) -> tuple[RequestContent, ...]:
        return tuple(
            RequestContent(
                f"r{number}",
                tuple(f"{0 if shared else crash}-{number}-{n}" for n in range(680)),
            )
            for number in range(12)
        )

    def record(*, shared: bool) -> None:
        crash = next(crashes)
        found = suspects(crash, shared=shared)
        evidence.record_crash(CrashReport(f"c{crash}", "e1", found))

    def infer() -> None:
        record(shared=True)
        evidence.held()

    def succeed() -> None:
        for content in suspects(0, shared=True)[:1]:
            evidence.record_success(content)
        evidence.held()

    return [
        ("report of a crash with 8,160 new parts", lambda: record(shared=False)),
        ("report with 8,160 parts of earlier crashes, and its inference", infer),
        ("output of a request with 680 suspected parts", succeed),
    ]
