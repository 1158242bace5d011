"""Spread of the configuration over peers, compared with a watch for each process."""

from __future__ import annotations

import os
import time
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass
from statistics import linear_regression, median
from typing import Final

import trio
import trio.testing

from bench import Plot, Report, Series, Table, row
from bench._fleet import PLACES, Fleet
from mustardfront.coordination.config import submit_ticket
from mustardfront.results import Err
from mustardfront.state import Host, Place, Service, Ticket, Upstream

NAME = "config-spread"
SIZES: Final = (10, 50, 100, 200)
SYSTEMS: Final = ("spread", "watch each")
# Entry nodes and upstream hosts together, at the target size.
TARGET_PROCESSES: Final = 3_200
CHANGES_A_DAY: Final = 6_100
READS_PER_S: Final = 2_000
TICKETS: Final = 8
IDLE_S: Final = 30.0
SLOW_CALL_S: Final = 1.5
_IN_FORCE_TIMEOUT_S: Final = 120.0


@dataclass(frozen=True, slots=True)
class Figures:
    """Figures of one fleet; bytes and calls are totals over all processes."""

    in_force_s: tuple[float, ...]
    slow_in_force_s: tuple[float, ...]
    after_outage_s: float
    restarted: int
    restarted_ready: int
    ready_s: float
    change_calls: float
    change_bytes: float
    idle_calls_per_s: float
    idle_bytes_per_s: float
    outage_calls_per_s: float
    watches: int
    cpu_s: float


def run(seed: int) -> Report:
    """Run both systems at all sizes and return the figures with their slopes."""
    keys = [(system, size) for system in SYSTEMS for size in SIZES]
    workers = min(4, max(1, (os.cpu_count() or 1) // 2))
    with ProcessPoolExecutor(max_workers=workers) as pool:
        jobs = [pool.submit(measure, *key, seed) for key in keys]
        figures = {key: job.result() for key, job in zip(keys, jobs, strict=True)}
    spread = {size: figures["spread", size] for size in SIZES}
    baseline = {size: figures["watch each", size] for size in SIZES}
    largest = SIZES[-1]
    calls = _extrapolate([spread[size].idle_calls_per_s for size in SIZES])
    baseline_calls = _extrapolate([baseline[size].idle_calls_per_s for size in SIZES])
    watches = _extrapolate([float(spread[size].watches) for size in SIZES])
    baseline_watches = _extrapolate([float(baseline[size].watches) for size in SIZES])
    changes_per_s = CHANGES_A_DAY / 86_400
    bytes_per_s = [
        (fig.idle_bytes_per_s + fig.change_bytes * changes_per_s) / size
        for size, fig in spread.items()
    ]
    rows = [
        row(
            f"worst time to in force, service up, {largest} processes, s",
            max(spread[largest].in_force_s),
            12.0,
            f"{max(baseline[largest].in_force_s):.3g}",
        ),
        row(
            f"worst time to in force, service slow, {largest} processes, s",
            max(spread[largest].slow_in_force_s),
            12.0,
            f"{max(baseline[largest].slow_in_force_s):.3g}",
        ),
        row(
            f"worst time to in force after an outage, {largest} processes, s",
            spread[largest].after_outage_s,
            12.0,
            f"{baseline[largest].after_outage_s:.3g}",
        ),
        row(
            f"calls and watches at {TARGET_PROCESSES} processes, of {READS_PER_S}",
            calls + watches,
            float(READS_PER_S),
            f"{baseline_calls + baseline_watches:.0f}",
        ),
        row(
            f"control bytes/s of a process, {largest} processes",
            bytes_per_s[-1],
            6_000.0,
            "",
        ),
        row(
            f"processes ready that start in an outage, of {spread[largest].restarted}",
            float(spread[largest].restarted_ready),
            float(spread[largest].restarted),
            str(baseline[largest].restarted_ready),
            at_least=True,
        ),
    ]
    return Report(
        "Spread of the configuration",
        f"{TICKETS} tickets while the service answers at once, {TICKETS} while each of"
        f" its calls takes {SLOW_CALL_S} s, then an outage in which a tenth of the"
        " processes restart, then a ticket after it. Real spread code over in-memory"
        f" streams on the mock clock, {len(PLACES)} places with two watchers each (the"
        " target has 7 places). Bytes are those between"
        " peers and the values read, before any transport. The baseline has the same"
        " code with one watch for each process and no peers. Slopes are least squares"
        f" over the sizes; {TARGET_PROCESSES} processes are extrapolated from them.",
        tuple(rows),
        (_figures_table(figures), _slope_table(figures)),
        (
            Plot(
                "config-spread",
                "Calls and watches on the key-value service, idle",
                "processes",
                "calls/s and watches",
                tuple(
                    Series(
                        system,
                        SIZES,
                        tuple(
                            _calls_and_watches(figures[system, size]) for size in SIZES
                        ),
                    )
                    for system in SYSTEMS
                ),
            ),
        ),
    )


def _calls_and_watches(fig: Figures) -> float:
    return fig.idle_calls_per_s + fig.watches


def _slope(values: list[float]) -> float:
    return linear_regression(SIZES, values).slope


def _extrapolate(values: list[float]) -> float:
    line = linear_regression(SIZES, values)
    return line.intercept + line.slope * TARGET_PROCESSES


def _figures_table(figures: dict[tuple[str, int], Figures]) -> Table:
    headers = (
        "system",
        "processes",
        "in force p50/max s",
        "slow p50/max s",
        "after outage s",
        "ready in outage",
        "calls/change",
        "bytes/change/process",
        "idle calls/s",
        "outage calls/s",
        "watches",
        "idle B/s/process",
        "cpu ms/process",
    )
    cells = tuple(
        (
            system,
            str(size),
            _median_and_max(fig.in_force_s),
            _median_and_max(fig.slow_in_force_s),
            f"{fig.after_outage_s:.3g}",
            f"{fig.restarted_ready}/{fig.restarted} in {fig.ready_s:.3g} s",
            f"{fig.change_calls:.1f}",
            f"{fig.change_bytes / size:.0f}",
            f"{fig.idle_calls_per_s:.2f}",
            f"{fig.outage_calls_per_s:.2f}",
            str(fig.watches),
            f"{fig.idle_bytes_per_s / size:.0f}",
            f"{fig.cpu_s / size * 1e3:.0f}",
        )
        for (system, size), fig in figures.items()
    )
    return Table("Figures of each fleet", headers, cells)


def _median_and_max(values: tuple[float, ...]) -> str:
    return f"{median(values):.3g}/{max(values):.3g}"


def _slope_table(figures: dict[tuple[str, int], Figures]) -> Table:
    cells = []
    for system in SYSTEMS:
        figs = [figures[system, size] for size in SIZES]
        cells.append(
            (
                system,
                f"{_slope([max(fig.in_force_s) for fig in figs]) * 1e3:.3f}",
                f"{_slope([fig.change_calls for fig in figs]):.3f}",
                f"{_slope([fig.idle_calls_per_s for fig in figs]):.4f}",
                f"{_slope([float(fig.watches) for fig in figs]):.3f}",
                f"{_slope([fig.outage_calls_per_s for fig in figs]):.4f}",
            )
        )
    headers = (
        "system",
        "in force ms",
        "calls/change",
        "idle calls/s",
        "watches",
        "outage calls/s",
    )
    return Table("Slope for each further process", headers, tuple(cells))


def measure(system: str, size: int, seed: int) -> Figures:
    """Run one fleet through all conditions on the mock clock."""
    clock = trio.testing.MockClock(autojump_threshold=0)
    started_s = time.process_time()
    figures = trio.run(_measure, system, size, seed, clock=clock)
    values = {name: getattr(figures, name) for name in Figures.__slots__}
    return Figures(**values | {"cpu_s": time.process_time() - started_s})


def _ticket(number: int, size: int) -> Ticket:
    """Return a ticket that sets up the fleet (the first one) or drains an upstream."""
    upstreams = {
        f"w{i}": Upstream("net-writer", f"h{i}", f"10.0.{i // 250}.{i % 250}:7400")
        for i in range(size)
    }
    if number == 1:
        return Ticket(
            1,
            "bench",
            "fleet",
            {
                "places": {place: Place("bayern") for place in PLACES},
                "hosts": {f"h{i}": Host(PLACES[i % 3]) for i in range(size)},
                "services": {"net-writer": Service("model")},
                "upstreams": upstreams,
            },
        )
    name = f"w{number % size}"
    upstream = upstreams[name]
    changed = Upstream(
        upstream.service, upstream.host, upstream.address, state="draining"
    )
    return Ticket(number, "bench", f"drain {name}", {"upstreams": {name: changed}})


async def _submit(fleet: Fleet, number: int, size: int) -> float:
    """Submit a ticket; return the time from its acceptance until all have it in force.

    The submission itself is not delayed, so that only the spread is measured.
    """
    delay_s, fleet.kv.delay_s = fleet.kv.delay_s, 0.0
    result = await submit_ticket(fleet.kv, _ticket(number, size))
    fleet.kv.delay_s = delay_s
    if isinstance(result, Err):
        raise RuntimeError(f"ticket {number}: {result.text}")
    accepted = trio.current_time()
    with trio.fail_after(_IN_FORCE_TIMEOUT_S):
        for member in list(fleet.members.values()):
            await member.store.wait_for_newer(number - 1)
    return trio.current_time() - accepted


async def _measure(system: str, size: int, seed: int) -> Figures:
    fleet = Fleet(size, seed, all_watch=system == "watch each")
    kv = fleet.kv
    async with fleet.running() as nursery:
        await trio.sleep(2)
        await _submit(fleet, 1, size)
        await trio.sleep(5)

        def count_usage() -> tuple[int, int]:
            return kv.calls.total(), fleet.peer_bytes + kv.bytes_out

        calls, bytes_before = count_usage()
        await trio.sleep(IDLE_S)
        idle_calls, idle_bytes = (
            count_usage()[0] - calls,
            count_usage()[1] - bytes_before,
        )
        watches = kv.watching

        calls, bytes_before = count_usage()
        started_s = trio.current_time()
        in_force = []
        for number in range(2, 2 + TICKETS):
            in_force.append(await _submit(fleet, number, size))
            await trio.sleep(0.5)
        elapsed_ratio = (trio.current_time() - started_s) / IDLE_S
        # The idle load of the same duration is not a cost of the changes.
        change_calls = count_usage()[0] - calls - elapsed_ratio * idle_calls
        change_bytes = count_usage()[1] - bytes_before - elapsed_ratio * idle_bytes

        kv.delay_s = SLOW_CALL_S
        slow_in_force = []
        for number in range(2 + TICKETS, 2 + 2 * TICKETS):
            slow_in_force.append(await _submit(fleet, number, size))
        kv.delay_s = 0.0

        kv.set_down(True)
        restarted = range(0, size, 10)
        for index in restarted:
            fleet.stop(index)
        outage_began, calls = trio.current_time(), kv.calls.total()
        restarted_members = [fleet.start(nursery, index) for index in restarted]
        ready_s = 0.0
        with trio.move_on_after(IDLE_S):
            for member in restarted_members:
                await member.spread.synced.wait()
                ready_s = trio.current_time() - outage_began
        await trio.sleep_until(outage_began + IDLE_S)
        ready_count = sum(member.spread.synced.is_set() for member in restarted_members)
        outage_calls = kv.calls.total() - calls
        kv.set_down(False)
        after_outage = await _submit(fleet, 2 + 2 * TICKETS, size)
    return Figures(
        tuple(in_force),
        tuple(slow_in_force),
        after_outage,
        len(restarted_members),
        ready_count,
        ready_s,
        change_calls / TICKETS,
        change_bytes / TICKETS,
        idle_calls / IDLE_S,
        idle_bytes / IDLE_S,
        outage_calls / IDLE_S,
        watches,
        0.0,
    )
