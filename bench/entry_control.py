"""Processor time, memory and control bytes that an entry's sidecar links cost."""

from __future__ import annotations

import hashlib
from dataclasses import dataclass

import trio

from bench._report import Plot, Report, Series, Table, row
from bench.entry import cpu_s, memory_bytes
from mustardfront_standins.caller import Caller
from mustardfront_standins.deployments import TEAM_KEYS
from mustardfront_standins.fleet import Fleet
from mustardfront_standins.system import start_system

NAME = "entry-control"
LINKS = (20, 60, 120, 180)
# Enough requests for each link that routing opens nearly all of them.
REQUESTS_PER_LINK = 8
IDLE_S = 20.0
CORE_PERCENT_MAX = 3.6
MEMORY_MAX_MIB = 64.0
BYTES_MAX_PER_S = 6_000.0
ABOUT = (
    "A real entry with links to stub sidecars, after requests have opened the links,"
    f" over {IDLE_S:.0f} s without requests. Bytes are those of the"
    " control messages in both directions. The slope from four sizes gives the cost of"
    " a link; 180 is the target's number of groups."
)


@dataclass(frozen=True, slots=True)
class Measurement:
    """The entry's cost with one number of upstreams, and the links that were open."""

    upstreams: int
    links: int
    core_percent: float
    memory_mib: float
    bytes_per_s: float


def run(seed: int) -> Report:
    """Run the measurement; the entry's routing draws its own random numbers.

    The seed is therefore not used.
    """
    measurements = [trio.run(_measure, count) for count in LINKS]
    largest = measurements[-1]
    rows = (
        row(
            "core %, 180 groups",
            largest.core_percent,
            CORE_PERCENT_MAX,
            f"20 groups: {measurements[0].core_percent:.2f}",
        ),
        row(
            "memory MiB, 180 groups",
            largest.memory_mib,
            MEMORY_MAX_MIB,
            f"20 groups: {measurements[0].memory_mib:.1f}",
        ),
        row(
            "control bytes a second, 180 groups",
            largest.bytes_per_s,
            BYTES_MAX_PER_S,
            f"20 groups: {measurements[0].bytes_per_s:.0f}",
        ),
    )
    cells = tuple(
        (
            str(measurement.upstreams),
            str(measurement.links),
            f"{measurement.core_percent:.2f}",
            f"{measurement.memory_mib:.1f}",
            f"{measurement.bytes_per_s:.0f}",
        )
        for measurement in measurements
    )
    headers = ("groups", "open links", "core %", "resident MiB", "control bytes/s")
    x = tuple(float(measurement.links) for measurement in measurements)
    plot = Plot(
        "entry-control",
        "Control traffic of an entry",
        "open links",
        "bytes a second",
        (
            Series(
                "both directions",
                x,
                tuple(measurement.bytes_per_s for measurement in measurements),
            ),
        ),
    )
    table = Table("Cost by number of groups", headers, cells)
    return Report("An entry's control cost", ABOUT, rows, (table,), (plot,))


async def _measure(count: int) -> Measurement:
    async with Fleet() as fleet, Caller() as caller:
        system = await start_system(fleet, (), 1)
        stubs = await fleet.start(
            "stubs", "bench._stub_sidecars", str(count), system.key_file
        )
        await fleet.until(stubs, lambda: bool(stubs.ready))
        await system.submit(_ticket(stubs.ready["addresses"]))
        if not await system.in_force_everywhere(1, 12.0):
            raise RuntimeError("ticket 1 is not in force")
        for number in range(count * REQUESTS_PER_LINK):
            path = f"/s/stubs/{number}"
            await caller.call(system.entry_urls[0], "GET", path, "nordsee-lofts")
        entry = fleet.processes["entry-1"]
        links = sum(
            event.get("message_type") == "peer-connected" and event["role"] == "sidecar"
            for event in entry.events
        )
        await trio.sleep(3)
        before, began_s = stubs.events[-1], trio.current_time()
        before_cpu_s = cpu_s(entry)
        await trio.sleep(IDLE_S)
        after, elapsed_s = stubs.events[-1], trio.current_time() - began_s
        control_bytes = sum(
            after[direction] - before[direction] for direction in ("sent", "received")
        )
        return Measurement(
            count,
            links,
            (cpu_s(entry) - before_cpu_s) / elapsed_s * 100,
            memory_bytes(entry) / 2**20,
            control_bytes / elapsed_s,
        )


def _ticket(addresses: list[str]) -> dict[str, object]:
    key = hashlib.sha256(TEAM_KEYS["nordsee-lofts"].encode()).hexdigest()
    names = [f"stub-{number}" for number in range(len(addresses))]
    return {
        "ticket": 1,
        "author": "operator",
        "reason": "stub sidecars",
        "set": {
            "places": {"bayern-a": {"region": "bayern"}},
            "hosts": {f"host-{name}": {"place": "bayern-a"} for name in names},
            "services": {"stubs": {"kind": "plain"}},
            "teams": {"nordsee-lofts": {"key_sha256": key, "services": ["stubs"]}},
            "upstreams": {
                name: {"service": "stubs", "host": f"host-{name}", "address": address}
                for name, address in zip(names, addresses, strict=True)
            },
        },
        "remove": {},
    }
