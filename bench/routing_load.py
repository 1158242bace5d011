"""Routing at 60, 85 and 95% load, with late reports and with one slow group."""

from __future__ import annotations

from bench import Plot, Report, Series, Table, row
from bench._batch import HEADERS, POLICIES, SEEDS, run_conditions
from bench._sim import Scenario, SimulationResult, simulate

NAME = "routing-load"
CONDITIONS = {
    "60% load": Scenario(load=0.60),
    "85% load": Scenario(load=0.85),
    "95% load": Scenario(load=0.95),
    "85%, reports 1 s late": Scenario(load=0.85, report_delay_s=1.0),
    "85%, 1 s late, one group 4x slower": Scenario(
        load=0.85, report_delay_s=1.0, slowdowns={0: 4.0}
    ),
    "85%, 1 s late, 4x slower group, 16 entries": Scenario(
        load=0.85, report_delay_s=1.0, slowdowns={0: 4.0}, entries=16
    ),
    "85%, no prefixes": Scenario(load=0.85, prefix_share=0.0),
    "85%, no prefixes, reports 1 s late": Scenario(
        load=0.85, prefix_share=0.0, report_delay_s=1.0
    ),
}
SLOW = "85%, 1 s late, one group 4x slower"


def run_condition(condition: str, policy: str, seed: int) -> SimulationResult:
    """Run one condition under a policy."""
    return simulate(CONDITIONS[condition], policy, seed)


def run(seed: int) -> Report:
    """Compare the default policy with the baselines under each load."""
    figures = run_conditions(run_condition, tuple(CONDITIONS), POLICIES, seed)
    ours = figures[SLOW, "default"]
    rows = [
        row(
            "p99 TTFT with one group 4x slower, over round robin's",
            _time_ratio(ours.p99_s, figures[SLOW, "round_robin"].p99_s),
            0.5,
            f"{ours.p99_s:.2f} s against {figures[SLOW, 'round_robin'].p99_s:.2f} s",
        ),
        row(
            "p99 TTFT with one group 4x slower, over least reported load's",
            _time_ratio(ours.p99_s, figures[SLOW, "least_reported"].p99_s),
            1.0,
            f"{ours.p99_s:.2f} s against {figures[SLOW, 'least_reported'].p99_s:.2f} s",
        ),
    ]
    for condition in (
        "60% load",
        "85% load",
        "95% load",
        "85%, reports 1 s late",
        SLOW,
    ):
        ours, affinity = (
            figures[condition, "default"],
            figures[condition, "prefix_affinity"],
        )
        rows += [
            row(
                f"prefix hits over pure affinity's, {condition}",
                ours.hit_share / affinity.hit_share,
                0.9,
                f"{ours.hit_share:.3f} against {affinity.hit_share:.3f}",
                at_least=True,
            ),
            row(
                f"most loaded group over the mean, {condition}",
                ours.peak_to_mean_load,
                1.25,
                f"{affinity.peak_to_mean_load:.2f} with pure affinity",
            ),
        ]
    cells = tuple((*key, *value.cells()) for key, value in figures.items())
    loads = (0.60, 0.85, 0.95)
    plot = Plot(
        "routing-load",
        "99th percentile of time to first token",
        "load",
        "seconds",
        tuple(
            Series(
                policy,
                loads,
                tuple(figures[f"{load:.0%} load", policy].p99_s for load in loads),
            )
            for policy in POLICIES
        ),
        log_y=True,
    )
    return Report(
        "Routing under load",
        f"12 groups of 16 slots in 3 places, 4 entries, 120 s of which 30 s warm-up, "
        f"medians of {SEEDS} seeds. Unanswered requests count as infinite times; load "
        "is a share of what 12 healthy groups serve when all prefixes hit.",
        tuple(rows),
        (Table("All policies", HEADERS, cells),),
        (plot,),
    )


def _time_ratio(ours: float, other: float) -> float:
    return 0.0 if other == float("inf") else ours / other
