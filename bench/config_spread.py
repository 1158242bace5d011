"""Spread of the configuration against one watch for each process."""

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
# Entry nodes and upstream hosts at the target.
TARGET_PROCESSES: Final = 3_200
CHANGES_A_DAY: Final = 6_100
READS_PER_S: Final = 2_000
TICKETS: Final = 8
IDLE_S: Final = 30.0
SLOW_CALL_S: Final = 1.5
_LIMIT_S: Final = 120.0


@dataclass(frozen=True, slots=True)
class Figures:
    """What one fleet needed; times in seconds, bytes and calls of all processes."""

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
    ours = {size: figures["spread", size] for size in SIZES}
    base = {size: figures["watch each", size] for size in SIZES}
    largest = SIZES[-1]
    calls = _at_target([ours[size].idle_calls_per_s for size in SIZES])
    base_calls = _at_target([base[size].idle_calls_per_s for size in SIZES])
    watches = _at_target([float(ours[size].watches) for size in SIZES])
    base_watches = _at_target([float(base[size].watches) for size in SIZES])
    per_s = CHANGES_A_DAY / 86_400
    rate = [
        (fig.idle_bytes_per_s + fig.change_bytes * per_s) / size
        for size, fig in ours.items()
    ]
    rows = [
        row(
            f"worst time to in force, service up, {largest} processes, s",
            max(ours[largest].in_force_s),
            12.0,
            f"{max(base[largest].in_force_s):.3g}",
        ),
        row(
            f"worst time to in force, service slow, {largest} processes, s",
            max(ours[largest].slow_in_force_s),
            12.0,
            f"{max(base[largest].slow_in_force_s):.3g}",
        ),
        row(
            f"worst time to in force after an outage, {largest} processes, s",
            ours[largest].after_outage_s,
            12.0,
            f"{base[largest].after_outage_s:.3g}",
        ),
        row(
            f"calls and watches at {TARGET_PROCESSES} processes, of {READS_PER_S}",
            calls + watches,
            float(READS_PER_S),
            f"{base_calls + base_watches:.0f}",
        ),
        row(
            f"control bytes/s of a process, {largest} processes",
            rate[-1],
            6_000.0,
            "",
        ),
        row(
            f"processes ready that start in an outage, of {ours[largest].restarted}",
            float(ours[largest].restarted_ready),
            float(ours[largest].restarted),
            str(base[largest].restarted_ready),
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
        (_table(figures), _slopes(figures)),
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
                        tuple(_load(figures[system, size]) for size in SIZES),
                    )
                    for system in SYSTEMS
                ),
            ),
        ),
    )


def _load(fig: Figures) -> float:
    return fig.idle_calls_per_s + fig.watches


def _slope(values: list[float]) -> float:
    return linear_regression(SIZES, values).slope


def _at_target(values: list[float]) -> float:
    line = linear_regression(SIZES, values)
    return line.intercept + line.slope * TARGET_PROCESSES


def _table(figures: dict[tuple[str, int], Figures]) -> Table:
    heads = (
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
            _times(fig.in_force_s),
            _times(fig.slow_in_force_s),
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
    return Table("Figures of each fleet", heads, cells)


def _times(values: tuple[float, ...]) -> str:
    return f"{median(values):.3g}/{max(values):.3g}"


def _slopes(figures: dict[tuple[str, int], Figures]) -> Table:
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
    heads = (
        "system",
        "in force ms",
        "calls/change",
        "idle calls/s",
        "watches",
        "outage calls/s",
    )
    return Table("Slope for each further process", heads, tuple(cells))


def measure(system: str, size: int, seed: int) -> Figures:
    """Run one fleet through all conditions on the mock clock."""
    clock = trio.testing.MockClock(autojump_threshold=0)
    began = time.process_time()
    figures = trio.run(_measure, system, size, seed, clock=clock)
    values = {name: getattr(figures, name) for name in Figures.__slots__}
    return Figures(**values | {"cpu_s": time.process_time() - began})


def _ticket(number: int, size: int) -> Ticket:
    """Return a ticket that makes the fleet's configuration, or drains an upstream."""
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
    entry = upstreams[name]
    changed = Upstream(entry.service, entry.host, entry.address, state="draining")
    return Ticket(number, "bench", f"drain {name}", {"upstreams": {name: changed}})


async def _submit(fleet: Fleet, number: int, size: int) -> float:
    """Submit a ticket and return the time from its acceptance to in force at all."""
    delay_s, fleet.kv.delay_s = fleet.kv.delay_s, 0.0
    result = await submit_ticket(fleet.kv, _ticket(number, size))
    fleet.kv.delay_s = delay_s
    if isinstance(result, Err):
        raise RuntimeError(f"ticket {number}: {result.text}")
    accepted = trio.current_time()
    with trio.fail_after(_LIMIT_S):
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

        def used() -> tuple[int, int]:
            return kv.calls.total(), fleet.peer_bytes + kv.bytes_out

        calls, data = used()
        await trio.sleep(IDLE_S)
        idle_calls, idle_bytes = used()[0] - calls, used()[1] - data
        watches = kv.watching

        calls, data = used()
        began = trio.current_time()
        in_force = []
        for number in range(2, 2 + TICKETS):
            in_force.append(await _submit(fleet, number, size))
            await trio.sleep(0.5)
        share = (trio.current_time() - began) / IDLE_S
        # What the time alone costs is not a cost of the changes.
        change_calls = used()[0] - calls - share * idle_calls
        change_bytes = used()[1] - data - share * idle_bytes

        kv.delay_s = SLOW_CALL_S
        slow = []
        for number in range(2 + TICKETS, 2 + 2 * TICKETS):
            slow.append(await _submit(fleet, number, size))
        kv.delay_s = 0.0

        kv.set_down(True)
        restarted = range(0, size, 10)
        for index in restarted:
            fleet.stop(index)
        outage_began, calls = trio.current_time(), kv.calls.total()
        again = [fleet.start(nursery, index) for index in restarted]
        ready_s = 0.0
        with trio.move_on_after(IDLE_S):
            for member in again:
                await member.spread.synced.wait()
                ready_s = trio.current_time() - outage_began
        await trio.sleep_until(outage_began + IDLE_S)
        ready = sum(member.spread.synced.is_set() for member in again)
        outage_calls = kv.calls.total() - calls
        kv.set_down(False)
        after = await _submit(fleet, 2 + 2 * TICKETS, size)
    return Figures(
        tuple(in_force),
        tuple(slow),
        after,
        len(again),
        ready,
        ready_s,
        change_calls / TICKETS,
        change_bytes / TICKETS,
        idle_calls / IDLE_S,
        idle_bytes / IDLE_S,
        outage_calls / IDLE_S,
        watches,
        0.0,
    )
