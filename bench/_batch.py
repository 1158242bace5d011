"""Many simulations at a time, and figures over several seeds."""

from __future__ import annotations

import statistics
from collections.abc import Callable, Sequence
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass

from bench._sim import Result, simulate

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
    """Medians over the seeds of what a condition gave under a policy."""

    p50_s: float
    p95_s: float
    p99_s: float
    hit_share: float
    attempts: float
    answered: float
    local_share: float
    load_peak: float

    def cells(self) -> tuple[str, ...]:
        """Return the figures as text for a table with ``HEADS``."""
        return (
            f"{self.p50_s:.3f}",
            f"{self.p95_s:.3f}",
            f"{self.p99_s:.3f}",
            f"{self.hit_share:.3f}",
            f"{self.attempts:.3f}",
            f"{self.answered:.4f}",
            f"{self.local_share:.2f}",
            f"{self.load_peak:.2f}",
        )


HEADS = (
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

# Runs one condition of a module under a policy and a seed.
Run = Callable[[str, str, int], Result]


def measure(result: Result) -> Figures:
    """Return the figures of one run."""
    return Figures(
        result.ttft_s(0.5),
        result.ttft_s(0.95),
        result.ttft_s(0.99),
        result.hit_share,
        result.attempts,
        result.answered,
        result.local_share,
        result.load_peak,
    )


def _measured(run: Run, condition: str, policy: str, seed: int) -> Figures:
    return measure(run(condition, policy, seed))


def run_all(
    run: Run, conditions: Sequence[str], policies: Sequence[str], seed: int
) -> dict[tuple[str, str], Figures]:
    """Return the median figures of each condition and policy over the seeds."""
    keys = [(condition, policy) for condition in conditions for policy in policies]
    with ProcessPoolExecutor(max_workers=WORKERS) as pool:
        jobs = {
            key: [pool.submit(_measured, run, *key, seed + n) for n in range(SEEDS)]
            for key in keys
        }
        return {key: _median([job.result() for job in jobs[key]]) for key in keys}


def _median(parts: Sequence[Figures]) -> Figures:
    names = Figures.__dataclass_fields__
    return Figures(
        *(statistics.median(getattr(part, name) for part in parts) for name in names)
    )


__all__ = ["HEADS", "POLICIES", "SEEDS", "Figures", "run_all", "simulate"]
