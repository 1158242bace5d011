"""Fairness between one large team that overloads the service and nine small ones."""

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
LARGE_TEAM: Final = "large"
SMALL_TEAMS: Final = tuple(f"small-{n}" for n in range(9))
SMALL_LOAD: Final = 0.02
LARGE_LOAD: Final = 1.5
LARGE_LIGHT_LOAD: Final = 0.1
ALONE, FIFO = "alone", "no fair queue"
NO_RESERVE, FAIR, TEAM_LIMITED = (
    "fair queue, no reserve",
    "fair queue",
    "fair, team limit",
)
LIGHT = "others at a tenth of capacity"
MODES: Final = (ALONE, LIGHT, FIFO, NO_RESERVE, FAIR, TEAM_LIMITED)
# The large team's limit at each of the 4 entries, in total two thirds of all slots.
TEAM_LIMIT: Final = 32


def run_mode(mode: str, seed: int) -> tuple[float, float, float, float]:
    """Return the figures of one mode.

    These are p95 time to first token and p95 total time of one small team, and the
    shares of the small teams' and of the large team's requests that were answered.
    """
    limits = {LARGE_TEAM: TEAM_LIMIT} if mode == TEAM_LIMITED else {}
    scenario = Scenario(
        groups=12,
        duration_s=90.0,
        warm_up_s=30.0,
        fair_queue=mode != FIFO,
        team_limits=limits,
        model=EngineModel(reserve_ratio=0.0 if mode == NO_RESERVE else RESERVE_RATIO),
    )
    large_load = LARGE_LIGHT_LOAD if mode == LIGHT else LARGE_LOAD
    loads = {LARGE_TEAM: large_load} | dict.fromkeys(SMALL_TEAMS, SMALL_LOAD)
    trace = make_trace(scenario, seed, loads)
    if mode == ALONE:
        trace = [request for request in trace if request.team == SMALL_TEAMS[0]]
    outcomes = simulate(scenario, "default", seed, trace).outcomes
    # The same team is measured in all modes, so that only the load of others differs.
    team_outcomes = [item for item in outcomes if item.request.team == SMALL_TEAMS[0]]
    small_outcomes = [item for item in outcomes if item.request.team != LARGE_TEAM]
    large_outcomes = [item for item in outcomes if item.request.team == LARGE_TEAM]
    return (
        percentile([_or_inf(item, item.first_token_s) for item in team_outcomes], 0.95),
        percentile([_or_inf(item, item.total_s) for item in team_outcomes], 0.95),
        _answered_share(small_outcomes),
        _answered_share(large_outcomes),
    )


def _or_inf(item: Outcome, seconds: float) -> float:
    return seconds if item.code is Code.ANSWERED else float("inf")


def _answered_share(items: list[Outcome]) -> float:
    answered = sum(item.code is Code.ANSWERED for item in items)
    return answered / max(1, len(items))


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
                for values in zip(*(job.result() for job in jobs_of_mode), strict=True)
            ]
            for mode, jobs_of_mode in jobs.items()
        }
    rows = tuple(
        row(
            f"small team's p95 {metric} over alone, {mode}",
            figures[mode][index] / figures[ALONE][index],
            1.2,
            f"{figures[FIFO][index] / figures[ALONE][index]:.2f} without fair queue, "
            f"{figures[NO_RESERVE][index] / figures[ALONE][index]:.2f} "
            "without reserve, "
            f"{figures[LIGHT][index] / figures[ALONE][index]:.2f} with {LIGHT}",
        )
        for mode in (FAIR, TEAM_LIMITED)
        for index, metric in ((1, "total time"), (0, "TTFT"))
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
