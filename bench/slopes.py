"""Processor time and memory of routing and fair queue by size.

The slopes serve for capacity planning.
"""

from __future__ import annotations

import random
import time
import tracemalloc
from collections.abc import Callable
from typing import Final

import trio
import trio.testing

from bench import Plot, Report, Row, Series, Table
from mustardfront.coordination.limits import FairQueue
from mustardfront.coordination.routing import (
    BASELINES,
    Policy,
    RouteRequest,
    UpstreamTable,
    choose,
    default_policy,
)
from mustardfront.protocol import LoadReport
from mustardfront.results import Ok
from mustardfront.state import Config, Host, Place, Service, Upstream

NAME = "slopes"
CANDIDATES: Final = (20, 60, 180, 360)
TEAMS: Final = (10, 40, 160, 310)
ROUNDS: Final = 3
DECISIONS: Final = 400
GRANTS: Final = 2_000
# Load of an entry: 37,000 requests a second over 400 entries.
REQUESTS_PER_S: Final = 92.5


def make_table(count: int, seed: int) -> tuple[UpstreamTable, Config]:
    """Return a table of ``count`` upstreams in 7 places, each with a load report."""
    places = {f"place-{n}": Place(f"region-{n % 2}") for n in range(7)}
    hosts = {f"host-{n}": Host(f"place-{n % 7}") for n in range(count)}
    upstreams = {
        f"group-{n:03d}": Upstream("model", f"host-{n}", f"127.0.0.1:{n + 1}")
        for n in range(count)
    }
    cfg = Config(1, places, hosts, {"model": Service("model")}, upstreams=upstreams)
    rng = random.Random(seed)
    table = UpstreamTable(time.monotonic, rng=rng)
    table.update_config(cfg)
    for name in upstreams:
        for _ in range(rng.randrange(8)):
            table.record_start(name)
        table.record_first_token(name, rng.uniform(0.1, 0.2))
        table.apply_report(LoadReport(name, rng.randrange(40), 0, 64, "ready", 900.0))
    return table, cfg


def _min_us(run_calls: Callable[[], None], calls: int) -> float:
    """Return the processor time of a call in microseconds, the lowest of the rounds."""
    times = []
    for _ in range(ROUNDS):
        started_s = time.process_time()
        run_calls()
        times.append(time.process_time() - started_s)
    return min(times) / calls * 1e6


def _choose_us(count: int, seed: int, with_prefix: bool, policy: Policy) -> float:
    table, cfg = make_table(count, seed)
    rng = random.Random(seed)
    reqs = [
        RouteRequest("r", "model", "team", "place-0", rng.getrandbits(64) * with_prefix)
        for _ in range(DECISIONS)
    ]

    def run_calls() -> None:
        for req in reqs:
            decision = choose(table, cfg, req, policy=policy)
            assert isinstance(decision, Ok)
            name = decision.value.upstream
            table.record_start(name)
            table.record_finish(name, 1.0, True)

    return _min_us(run_calls, DECISIONS)


def _report_us(count: int, seed: int) -> float:
    table, cfg = make_table(count, seed)
    reports = [LoadReport(name, 9, 0, 64, "ready", 900.0) for name in cfg.upstreams]

    def run_calls() -> None:
        for _ in range(10):
            for report in reports:
                table.apply_report(report)

    return _min_us(run_calls, 10 * count)


def _table_bytes(count: int, seed: int) -> int:
    make_table(2, seed)
    tracemalloc.start()
    table, cfg = make_table(count, seed)
    with_table_bytes = tracemalloc.get_traced_memory()[0]
    del table
    without_table_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    assert cfg.version == 1
    return with_table_bytes - without_table_bytes


def _queue_figures(teams: int) -> tuple[float, int]:
    """Return the microseconds of a grant, and the peak bytes of a waiting request.

    Each team keeps 2 requests waiting at 64 slots; a grant is an acquire, its wait
    and its release, with trio's scheduling.
    """

    async def acquire_slots(queue: FairQueue, team: str, count: int) -> None:
        for _ in range(count):
            slot = await queue.acquire(team, 1.0, 1, float("inf"))
            assert isinstance(slot, Ok)
            with slot.value:
                await trio.sleep(1)

    async def main() -> None:
        queue = FairQueue(lambda: 64, 10_000)
        grants_per_task = max(1, GRANTS // (2 * teams))
        async with trio.open_nursery() as nursery:
            for index in range(2 * teams):
                nursery.start_soon(
                    acquire_slots, queue, f"team-{index % teams}", grants_per_task
                )

    def run_calls() -> None:
        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))

    grants = max(1, GRANTS // (2 * teams)) * 2 * teams
    grant_us = _min_us(run_calls, grants)
    tracemalloc.start()
    run_calls()
    peak = tracemalloc.get_traced_memory()[1]
    tracemalloc.stop()
    return grant_us, peak // (2 * teams)


def run(seed: int) -> Report:
    """Measure routing and queue at four sizes each."""
    least_reported = BASELINES["least_reported"]()
    routing_costs = [
        (
            _choose_us(count, seed, True, default_policy),
            _choose_us(count, seed, False, default_policy),
            _choose_us(count, seed, False, least_reported),
            _report_us(count, seed),
            _table_bytes(count, seed),
        )
        for count in CANDIDATES
    ]
    queue_costs = [_queue_figures(teams) for teams in TEAMS]
    cost_at_180 = routing_costs[CANDIDATES.index(180)]
    core_share = cost_at_180[0] * REQUESTS_PER_S / 1e6
    return Report(
        "Slopes of routing and queue",
        f"Least processor time of {ROUNDS} rounds of {DECISIONS} decisions, each with "
        "its log event, start and finish; the queue's times include trio's tasks.",
        (
            Row(
                "share of a core for decisions, 180 groups, 92.5 requests a second",
                "-",
                f"{core_share:.2%}",
                f"{cost_at_180[2] * REQUESTS_PER_S / 1e6:.2%} with least reported load",
                "no target",
            ),
        ),
        (
            Table(
                "Routing by candidates",
                (
                    "candidates",
                    "choose with prefix µs",
                    "without µs",
                    "least reported µs",
                    "report µs",
                    "table bytes",
                    "bytes each",
                ),
                tuple(
                    (
                        str(count),
                        *(f"{value:.1f}" for value in values[:4]),
                        str(values[4]),
                        str(values[4] // count),
                    )
                    for count, values in zip(CANDIDATES, routing_costs, strict=True)
                ),
            ),
            Table(
                "Fair queue by teams, two requests of each",
                ("teams", "grant µs", "peak bytes for a request with its task"),
                tuple(
                    (str(teams), f"{grant_us:.1f}", str(size))
                    for teams, (grant_us, size) in zip(TEAMS, queue_costs, strict=True)
                ),
            ),
        ),
        (
            Plot(
                "choose-time",
                "Processor time of a routing decision",
                "candidates",
                "microseconds",
                (
                    Series(
                        "with prefix", CANDIDATES, tuple(c[0] for c in routing_costs)
                    ),
                    Series("without", CANDIDATES, tuple(c[1] for c in routing_costs)),
                    Series(
                        "least reported", CANDIDATES, tuple(c[2] for c in routing_costs)
                    ),
                ),
            ),
        ),
    )
