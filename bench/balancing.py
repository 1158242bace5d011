"""All balancing policies on all traces, at both weightings and 16 to 128 ranks."""

from __future__ import annotations

import sys
import time
import tracemalloc
from collections.abc import Iterator
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass
from functools import cache
from typing import Final

from mustardfront.coordination.balancing import (
    BalanceSettings,
    LoadRecord,
    ReplayReport,
    make_policy,
    replay,
)
from mustardfront.results import Err, Ok
from mustardfront.state import first_map
from mustardfront_standins.traces import TRACES, generate

SEEDS: Final = (1, 2)
EXPERTS: Final = 128
LAYERS: Final = 4
LAYERS_TARGET: Final = 60
# (ranks, slots): each rank has one slot more than the experts need.
SIZES: Final = ((16, 9), (32, 5), (64, 3), (128, 2))
EXPERT_BYTES: Final = 44_000_000
# The store serves 20 GB/s to a group of 60 layers; a trace has fewer.
STORE_RATE: Final = 20e9 * LAYERS / LAYERS_TARGET
STEP_S: Final = 0.04
# (name, skew weight, cost weight, least share of the reduction, most of the bytes).
WEIGHTINGS: Final = (("skew", 4.0, 1.0, 0.90, 0.10), ("cost", 1.0, 4.0, 0.75, 0.03))
DRIFTS: Final = ("spring-run", "estate-season", "correlated")
# "Almost no moves": this share of the bytes that `periodic` moves on the same trace.
QUIET_MAX: Final = 0.01
CORE_SHARE: Final = 0.036
MEMORY_BYTES: Final = 64 * 1024 * 1024


@dataclass(frozen=True, slots=True)
class _Run:
    trace: str
    seed: int
    ranks: int
    slots: int
    weighting: str
    policy: str


def _settings(ranks: int, slots: int, weighting: str) -> BalanceSettings:
    skew, cost = {name: (skew, cost) for name, skew, cost, *_ in WEIGHTINGS}[weighting]
    return BalanceSettings(ranks, slots, EXPERT_BYTES, STORE_RATE, STEP_S, skew, cost)


@cache
def _records(trace: str, seed: int) -> list[Ok[LoadRecord]]:
    return [
        Ok(LoadRecord(record["step"], record["layers"]))
        for record in generate(trace, seed, LAYERS, EXPERTS)
    ]


def _measure(run: _Run) -> ReplayReport:
    settings = _settings(run.ranks, run.slots, run.weighting)
    report = replay(_records(run.trace, run.seed), run.policy, settings)
    if isinstance(report, Err):
        raise RuntimeError(report.text)
    return report.value


def _measure_trace(key: tuple[str, int]) -> dict[_Run, ReplayReport]:
    found = {}
    for ranks, slots in SIZES:
        for policy in ("static", "periodic", "greedy"):
            run = _Run(*key, ranks, slots, "skew", policy)
            found[run] = _measure(run)
        for weighting, *_ in WEIGHTINGS:
            run = _Run(*key, ranks, slots, weighting, "default")
            found[run] = _measure(run)
    return found


def _table(found: dict[_Run, ReplayReport]) -> Iterator[str]:
    yield "| trace | seed | ranks | policy | skew mean | skew p95 | moves | maps |" + (
        " disturbed | reduction | bytes | verdict |"
    )
    yield "| --- |" + " ---: |" * 2 + " --- |" + " ---: |" * 7 + " --- |"
    for run, report in found.items():
        base = {
            policy: found[
                _Run(run.trace, run.seed, run.ranks, run.slots, "skew", policy)
            ]
            for policy in ("static", "periodic")
        }
        most = base["static"].skew_mean - base["periodic"].skew_mean
        reduction = (base["static"].skew_mean - report.skew_mean) / most
        moved = report.moved_bytes / base["periodic"].moved_bytes
        name, verdict = run.policy, ""
        if run.policy == "default":
            name = f"default, {run.weighting} weighted"
            verdict = "met" if _is_met(run, reduction, moved) else "**not met**"
        yield (
            f"| {run.trace} | {run.seed} | {run.ranks} | {name} |"
            f" {report.skew_mean:.3f} | {report.skew_p95:.3f} | {report.moves} |"
            f" {report.maps} | {report.disturbed_steps} | {reduction:.1%} |"
            f" {moved:.2%} | {verdict} |"
        )


def _is_met(run: _Run, reduction: float, moved: float) -> bool:
    if run.trace not in DRIFTS:
        return moved <= QUIET_MAX
    least, most = {name: (least, most) for name, _, _, least, most in WEIGHTINGS}[
        run.weighting
    ]
    return reduction >= least and moved <= most


def _plan_cost() -> Iterator[str]:
    """Yield the policy's own time and memory at 4 sizes with all layers."""
    yield "| ranks | layers | core for loads and plans | worst call | memory |" + (
        " verdict |"
    )
    yield "| ---: |" + " ---: |" * 4 + " --- |"
    records = list(generate("correlated", 1, LAYERS_TARGET, EXPERTS))[:300]
    for ranks, slots in SIZES:
        settings = BalanceSettings(ranks, slots, EXPERT_BYTES, 20e9, STEP_S, 4.0, 1.0)
        start = first_map(LAYERS_TARGET, EXPERTS, ranks, slots)
        assert isinstance(start, Ok)
        current = start.value
        plan = make_policy("default", settings)
        spent = worst = 0.0
        for record in records:
            began = time.process_time()
            new = plan(record["step"] * STEP_S, record["layers"], current, False)
            took = time.process_time() - began
            spent, worst = spent + took, max(worst, took)
            current = new or current
        peak = _memory(records[:60], settings, start.value)
        core = spent / len(records)
        verdict = (
            "met" if core <= CORE_SHARE and peak <= MEMORY_BYTES else "**not met**"
        )
        yield (
            f"| {ranks} | {LAYERS_TARGET} | {core:.2%} | {worst * 1000:.0f} ms |"
            f" {peak / 2**20:.1f} MB | {verdict} |"
        )


def _memory(
    records: list[dict[str, object]], settings: BalanceSettings, start: object
) -> int:
    plan = make_policy("default", settings)
    tracemalloc.start()
    for record in records:
        plan(record["step"] * STEP_S, record["layers"], start, False)  # type: ignore
    peak = tracemalloc.get_traced_memory()[1]
    tracemalloc.stop()
    return peak


def run() -> str:
    """Return the measurement's page section."""
    keys = [(trace, seed) for trace in TRACES for seed in SEEDS]
    found: dict[_Run, ReplayReport] = {}
    with ProcessPoolExecutor(max_workers=4) as pool:
        for part in pool.map(_measure_trace, keys):
            found.update(part)
    lines = ["## Balancing of experts", "", *_table(found), "", *_plan_cost(), ""]
    return "\n".join(lines)


if __name__ == "__main__":
    sys.stdout.write(run())
