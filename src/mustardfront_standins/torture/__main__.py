"""Run ``make torture SEED=n``: inject random faults, then check the guarantees."""

from __future__ import annotations

import random
import sys
from collections import Counter
from collections.abc import Callable, Mapping

import click
import trio

from mustardfront.codes import Code
from mustardfront_standins.caller import Caller
from mustardfront_standins.deployments import NETZWERK, UpstreamPlan, first_ticket
from mustardfront_standins.fleet import Fleet
from mustardfront_standins.system import System, start_system
from mustardfront_standins.torture._broken import PATCHES, make_launcher
from mustardfront_standins.torture._faults import FaultInjector
from mustardfront_standins.torture._history import History, find_violations, read_runs
from mustardfront_standins.torture._load import run_callers
from mustardfront_standins.torture._proxy import Link, open_links

# Timeout for a ticket to be in force in every process.
_IN_FORCE_TIMEOUT_S = 12.0
_RUN_TIMEOUT_S = 180.0


@click.command()
@click.option("--seed", type=int, default=1, show_default=True)
@click.option("--seconds", type=float, default=45.0, show_default=True)
@click.option("--callers", type=int, default=16, show_default=True)
@click.option(
    "--break",
    "broken",
    type=click.Choice(sorted(PATCHES)),
    default=None,
    help="Break a guarantee on purpose; the run must then fail.",
)
@click.option(
    "--restores",
    is_flag=True,
    help="Let the key-value service lose its last writes, but end no sidecar.",
)
def main(
    seed: int, seconds: float, callers: int, broken: str | None, restores: bool
) -> None:
    """Run random faults over real processes; exit with 1 on any violation."""
    found = trio.run(_run, seed, seconds, callers, broken or "", restores)
    for text in found[:20]:
        click.echo(f"VIOLATION: {text}")
    click.echo(f"seed {seed}: {len(found)} violations")
    sys.exit(1 if found else 0)


async def _run(
    seed: int, seconds: float, callers: int, broken: str, restores: bool
) -> list[str]:
    plans = NETZWERK.upstreams(3, 3)
    history = History()
    async with Fleet() as fleet, Caller() as caller:

        def upstream_args(plan: UpstreamPlan) -> tuple[str, ...]:
            if plan.kind == "model":
                return ("--step-ms", "5")
            return ("--run-log", str(fleet.folder / f"{plan.name}.runs"))

        with trio.fail_after(_RUN_TIMEOUT_S):
            system = await start_system(
                fleet, plans, 2, upstream_args, make_launcher(broken)
            )
            async with open_links(system.sidecar_addresses) as links:
                missed_versions = await _inject_faults(
                    system,
                    caller,
                    history,
                    links,
                    upstream_args,
                    seed,
                    seconds,
                    callers,
                    restores,
                )
        for name, process in system.programs():
            history.versions[f"{name}/{process.pid}"] = process.versions()
        logs = [fleet.folder / f"{plan.name}.runs" for plan in plans]
        runs = read_runs(logs)
    _print_counts(history, runs)
    return missed_versions + find_violations(history, runs)


async def _inject_faults(
    system: System,
    caller: Caller,
    history: History,
    links: Mapping[str, Link],
    upstream_args: Callable[[UpstreamPlan], tuple[str, ...]],
    seed: int,
    seconds: float,
    callers: int,
    restores: bool,
) -> list[str]:
    """Send requests while injecting faults; return missed configuration versions."""
    addresses = {name: link.address for name, link in links.items()}
    await system.submit(first_ticket((NETZWERK,), system.plans, addresses))
    if not await system.in_force_everywhere(1, _IN_FORCE_TIMEOUT_S):
        return [f"ticket 1 was not in force everywhere in {_IN_FORCE_TIMEOUT_S} s"]
    stop_s = trio.current_time() + seconds
    injector = FaultInjector(
        system,
        history,
        random.Random(seed),
        upstream_args,
        links,
        restores=restores,
    )

    def stopped() -> bool:
        return trio.current_time() >= stop_s

    async with trio.open_nursery() as nursery:
        nursery.start_soon(injector.run, stopped)
        nursery.start_soon(run_callers, system, caller, history, seed, callers, stopped)
    for link in links.values():
        link.restore()
    await system.set_kv_faults(outage="", delay_ms=0, lose_answers=0)
    for kind, count in sorted(injector.counts.items()):
        click.echo(f"  {kind:<24} {count}")
    newest_version = max(history.accepted, default=1)
    if await system.in_force_everywhere(newest_version, _IN_FORCE_TIMEOUT_S):
        return []
    return [f"version {newest_version} was not in force in {_IN_FORCE_TIMEOUT_S} s"]


def _print_counts(history: History, runs: Counter[str]) -> None:
    for title, sent in (
        ("streams", history.streams),
        ("bookings sent", history.non_idempotent_calls),
        ("look-ups", history.idempotent_calls),
    ):
        outcomes = Counter(item.answer.outcome or "no answer" for item in sent)
        click.echo(f"  {title:<24} {len(sent)} {dict(sorted(outcomes.items()))}")
        codes = Counter(
            Code(item.answer.code).name
            for item in sent
            if item.answer.code and item.answer.outcome != "answered"
        )
        if codes:
            click.echo(f"    without an answer      {dict(codes.most_common())}")
    click.echo(f"  records run              {len(runs)}")
    click.echo(f"  tickets accepted         {len(history.accepted)}")


if __name__ == "__main__":
    main()
