"""``mustardfront plan``: replays a balancing policy over recorded loads."""

from __future__ import annotations

import dataclasses
import json
from typing import BinaryIO, Final

import click

from mustardfront.coordination.balancing import (
    POLICIES,
    BalanceSettings,
    read_loads,
    replay,
)
from mustardfront.results import Err
from mustardfront.settings import decimal, env_name, setting, whole_number

_EXIT_REFUSED: Final = 1
_WEIGHT_MAX: Final = 1e6


@click.group()
def plan() -> None:
    """Plan expert maps."""


@plan.command("replay")
@click.option(
    "--loads",
    type=click.File("rb"),
    required=True,
    envvar=env_name("--loads"),
    show_envvar=True,
    help='JSON lines {"step": n, "layers": [[tokens of each expert], ...]}.',
)
@setting("--ranks", whole_number(1, 4096), "Ranks of the group.")
@setting("--slots", whole_number(1, 4096), "Expert slots of each rank.")
@setting("--expert-bytes", whole_number(1, 2**40), "Bytes of one expert.")
@setting(
    "--store-rate", decimal(1, 1e15), "Rate of the weight store in bytes per second."
)
@setting("--step-ms", decimal(0.001, 1e6), "Duration of a step in milliseconds.")
@setting("--skew-weight", decimal(0, _WEIGHT_MAX), "Weight of step-time skew.")
@setting("--cost-weight", decimal(0, _WEIGHT_MAX), "Weight of the cost of moves.")
@click.option(
    "--policy",
    type=click.Choice(sorted(POLICIES)),
    required=True,
    envvar=env_name("--policy"),
    show_envvar=True,
    help="Policy to run.",
)
@click.option("--json", "as_json", is_flag=True, help="Print JSON instead of a table.")
def replay_command(
    loads: BinaryIO,
    ranks: int,
    slots: int,
    expert_bytes: int,
    store_rate: float,
    step_ms: float,
    skew_weight: float,
    cost_weight: float,
    policy: str,
    as_json: bool,
) -> None:
    """Run a balancing policy over recorded loads and report skew and moves."""
    settings = BalanceSettings(
        ranks=ranks,
        slots=slots,
        expert_bytes=expert_bytes,
        store_rate=store_rate,
        step_s=step_ms / 1000,
        skew_weight=skew_weight,
        cost_weight=cost_weight,
    )
    report = replay(read_loads(loads), policy, settings)
    if isinstance(report, Err):
        click.echo(f"refused ({int(report.code)}): {report.text}", err=True)
        raise SystemExit(_EXIT_REFUSED)
    fields = dataclasses.asdict(report.value)
    if as_json:
        click.echo(json.dumps(fields))
        return
    for name, value in fields.items():
        formatted = f"{value:.4f}" if isinstance(value, float) else str(value)
        click.echo(f"{name:<16}{formatted:>16}")


if __name__ == "__main__":
    plan(prog_name="mustardfront plan")
