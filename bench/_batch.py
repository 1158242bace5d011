"""Parallel simulations of many conditions, with medians over several seeds."""

from __future__ import annotations

import statistics
from collections.abc import Callable, Sequence
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass

from bench._sim import SimulationResult, simulate

WORKERS = 4
SEEDS = 3
POLICIES = (
    "random",
    "round_robin",
    "least_reported",
    "two_choices",
    "prefix_affinity",
    "default",
)


@dataclass(frozen=True, slots=True)
class Figures:
    """Figures of one simulation, or the medians over several seeds."""

    p50_s: float
    p95_s: float
    p99_s: float
    hit_share: float
    attempts: float
    answered_share: float
    same_place_share: float
    peak_to_mean_load: float

    def cells(self) -> tuple[str, ...]:
        """Return the figures as text for a table with the columns ``HEADERS``."""
        return (
            f"{self.p50_s:.3f}",
            f"{self.p95_s:.3f}",
            f"{self.p99_s:.3f}",
            f"{self.hit_share:.3f}",
            f"{self.attempts:.3f}",
            f"{self.answered_share:.4f}",
            f"{self.same_place_share:.2f}",
            f"{self.peak_to_mean_load:.2f}",
        )


HEADERS = (
    "condition",
    "policy",
    "TTFT p50 s",
    "p95 s",
    "p99 s",
    "prefix hits",
    "attempts",
    "answered",
    "same place",
    "peak/mean load",
)

# Simulates a condition, given by its name, under a policy and with a seed.
RunCondition = Callable[[str, str, int], SimulationResult]


def to_figures(result: SimulationResult) -> Figures:
    """Return the figures of one simulation."""
    return Figures(
        result.ttft_s(0.5),
        result.ttft_s(0.95),
        result.ttft_s(0.99),
        result.hit_share,
        result.attempts,
        result.answered_share,
        result.same_place_share,
        result.peak_to_mean_load,
    )


def _run_one(run: RunCondition, condition: str, policy: str, seed: int) -> Figures:
    return to_figures(run(condition, policy, seed))


def run_conditions(
    run: RunCondition, conditions: Sequence[str], policies: Sequence[str], seed: int
) -> dict[tuple[str, str], Figures]:
    """Return the medians over ``SEEDS`` seeds for each condition and policy."""
    keys = [(condition, policy) for condition in conditions for policy in policies]
    with ProcessPoolExecutor(max_workers=WORKERS) as pool:
        jobs = {
            key: [pool.submit(_run_one, run, *key, seed + n) for n in range(SEEDS)]
            for key in keys
        }
        return {key: _median([job.result() for job in jobs[key]]) for key in keys}


def _median(runs: Sequence[Figures]) -> Figures:
    fields = Figures.__dataclass_fields__
    return Figures(
        *(statistics.median(getattr(run, name) for run in runs) for name in fields)
    )


__all__ = ["HEADERS", "POLICIES", "SEEDS", "Figures", "run_conditions", "simulate"]
