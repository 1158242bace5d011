"""One large team that floods the service against nine small ones."""

from __future__ import annotations

import statistics
from concurrent.futures import ProcessPoolExecutor
from typing import Final

from bench import Report, Table, row
from bench._batch import SEEDS, WORKERS
from bench._engine import EngineModel
from bench._sim import Outcome, Scenario, make_trace, percentile, simulate
from mustardfront.codes import Code
from mustardfront.coordination.limits import RESERVE_RATIO

NAME = "teams"
LARGE: Final = "large"
SMALL: Final = tuple(f"small-{n}" for n in range(9))
SMALL_LOAD: Final = 0.02
LARGE_LOAD: Final = 1.5
QUIET_LOAD: Final = 0.1
ALONE, FIFO = "alone", "no fair queue"
PLAIN, FAIR, LIMITED = "fair queue, no reserve", "fair queue", "fair, team limit"
QUIET = "others at a tenth of capacity"
MODES: Final = (ALONE, QUIET, FIFO, PLAIN, FAIR, LIMITED)
# The large team's limit at each of the 4 entries: two thirds of all slots.
TEAM_LIMIT: Final = 32


def run_mode(mode: str, seed: int) -> tuple[float, float, float, float]:
    """Return the small teams' p95 TTFT and p95 total, and the shares answered."""
    limits = {LARGE: TEAM_LIMIT} if mode == LIMITED else {}
    scenario = Scenario(
        groups=12,
        duration_s=90.0,
        warm_s=30.0,
        fair=mode != FIFO,
        team_limits=limits,
        model=EngineModel(reserve_ratio=0.0 if mode == PLAIN else RESERVE_RATIO),
    )
    large = QUIET_LOAD if mode == QUIET else LARGE_LOAD
    loads = {LARGE: large} | dict.fromkeys(SMALL, SMALL_LOAD)
    works = make_trace(scenario, seed, loads)
    if mode == ALONE:
        works = [work for work in works if work.team == SMALL[0]]
    outcomes = simulate(scenario, "default", seed, works).outcomes
    # The same team in all modes, so that only the others differ.
    mine = [item for item in outcomes if item.work.team == SMALL[0]]
    small = [item for item in outcomes if item.work.team != LARGE]
    large_ones = [item for item in outcomes if item.work.team == LARGE]
    return (
        percentile([_or_infinite(item, item.first_token_s) for item in mine], 0.95),
        percentile([_or_infinite(item, item.total_s) for item in mine], 0.95),
        _answered(small),
        _answered(large_ones),
    )


def _or_infinite(item: Outcome, seconds: float) -> float:
    return seconds if item.code is Code.ANSWERED else float("inf")


def _answered(items: list[Outcome]) -> float:
    done = sum(item.code is Code.ANSWERED for item in items)
    return done / max(1, len(items))


def run(seed: int) -> Report:
    """Compare a small team alone, in a first-come queue and in the fair queue."""
    with ProcessPoolExecutor(max_workers=WORKERS) as pool:
        jobs = {
            mode: [pool.submit(run_mode, mode, seed + n) for n in range(SEEDS)]
            for mode in MODES
        }
        figures = {
            mode: [
                statistics.median(values)
                for values in zip(*(job.result() for job in done), strict=True)
            ]
            for mode, done in jobs.items()
        }
    rows = tuple(
        row(
            f"small team's p95 {what} over alone, {mode}",
            figures[mode][index] / figures[ALONE][index],
            1.2,
            f"{figures[FIFO][index] / figures[ALONE][index]:.2f} without fair queue, "
            f"{figures[PLAIN][index] / figures[ALONE][index]:.2f} without reserve, "
            f"{figures[QUIET][index] / figures[ALONE][index]:.2f} with {QUIET}",
        )
        for mode in (FAIR, LIMITED)
        for index, what in ((1, "total time"), (0, "TTFT"))
    )
    cells = tuple(
        (mode, *(f"{value:.3f}" for value in values))
        for mode, values in figures.items()
    )
    return Report(
        "One large team against nine small ones",
        f"12 groups, 4 entries; the large team asks for {LARGE_LOAD:.0%} of what all "
        f"groups can serve, each small one for {SMALL_LOAD:.0%}; medians of {SEEDS} "
        f"seeds. The team limit is {TEAM_LIMIT} requests in flight at each entry. The "
        "engine's prefill is one serial queue, so a first token comes later as soon as "
        "any other team sends requests; no policy before the engine can prevent that.",
        rows,
        (
            Table(
                "Modes",
                (
                    "mode",
                    "TTFT p95 s",
                    "total p95 s",
                    "small answered",
                    "large answered",
                ),
                cells,
            ),
        ),
    )
