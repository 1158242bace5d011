"""Cost that entry and sidecar add to a request and a token, and an entry's memory."""

from __future__ import annotations

import os
import time
from statistics import quantiles

import trio

from bench._report import Plot, Report, Row, Series, Table
from mustardfront_standins.caller import Caller, CallerAnswer
from mustardfront_standins.deployments import NETZWERK, first_ticket
from mustardfront_standins.fleet import Fleet, FleetProcess
from mustardfront_standins.system import System, start_system

NAME = "entry"
STREAMS = (1, 8, 32, 64, 128)
TOKENS = 100
STEP_MS = 30
REQUESTS = 400
HELD_STREAMS = (0, 100, 200, 400, 800)
TOKENS_PER_NODE_S = 30_000
ABOUT = (
    "Real processes on one host: one engine and one plain stand-in with their sidecars,"
    " one entry, and a caller. The baseline is the caller's direct call of the stand-in"
    " in the same run. Processor times are the processes' own, from the kernel's"
    " counters, without the caller's."
)


def run(seed: int) -> Report:
    """Run the measurement; nothing in it is random, so the seed is not used."""
    return trio.run(_measure)


async def _measure() -> Report:
    plans = NETZWERK.upstreams(1, 1)
    limits = {
        service: {"max_in_flight": 4_096, "queue": 4_096}
        for service in (NETZWERK.model, NETZWERK.plain)
    }
    args = {"model": ("--step-ms", str(STEP_MS), "--slots", "4096"), "plain": ()}
    async with Fleet() as fleet, Caller(connections=2_000) as caller:
        system = await start_system(fleet, plans, 1, lambda plan: args[plan.kind])
        ticket = first_ticket((NETZWERK,), plans, system.sidecar_addresses, limits)
        await system.submit(ticket)
        if not await system.in_force_everywhere(1, 12.0):
            raise RuntimeError("ticket 1 is not in force")
        entry = fleet.processes["entry-1"]
        look_up_rows, cpu_row = await _measure_look_ups(system, caller, entry)
        tokens, plot, token_us = await _measure_tokens(system, caller, entry)
        memory, memory_row = await _measure_memory(system, caller, entry)
    cores = TOKENS_PER_NODE_S * token_us / 1e6
    cores_row = Row(
        f"entry processes for {TOKENS_PER_NODE_S} tokens a second",
        "none",
        f"{cores:.1f} cores at {token_us:.0f} µs a token",
        "none",
        "no target",
    )
    rows = (*look_up_rows, cpu_row, cores_row, memory_row)
    return Report("What the whole path adds", ABOUT, rows, (tokens, memory), (plot,))


async def _measure_look_ups(
    system: System, caller: Caller, entry: FleetProcess
) -> tuple[tuple[Row, ...], Row]:
    plan = next(plan for plan in system.plans if plan.kind == "plain")
    direct: list[float] = []
    through: list[float] = []
    before_s = cpu_s(entry)
    for _ in range(REQUESTS):
        began_s = time.monotonic()
        await caller.get(system.upstream_urls[plan.name], "/records/a")
        direct.append(time.monotonic() - began_s)
        path = f"/s/{NETZWERK.plain}/records/a"
        answer = await caller.call(system.entry_urls[0], "GET", path, NETZWERK.teams[0])
        if answer.outcome != "answered":
            raise RuntimeError(answer.text)
        through.append(answer.elapsed_s)
    cpu_ms = (cpu_s(entry) - before_s) / REQUESTS * 1e3
    rows = tuple(
        Row(
            f"look-up through entry and sidecar, {label}",
            "none",
            f"{routed_s * 1e3:.2f} ms, {routed_s / direct_s:.1f} times the direct call",
            f"{direct_s * 1e3:.2f} ms",
            "no target",
        )
        for label, direct_s, routed_s in zip(
            ("median", "p95"), _median_p95(direct), _median_p95(through), strict=True
        )
    )
    metric = "entry processor time for a look-up"
    return rows, Row(metric, "none", f"{cpu_ms:.2f} ms", "none", "no target")


async def _measure_tokens(
    system: System, caller: Caller, entry: FleetProcess
) -> tuple[Table, Plot, float]:
    sidecar = system.fleet.processes[f"sidecar-{system.plans[0].name}"]
    cells: list[tuple[str, ...]] = []
    entry_us: list[float] = []
    sidecar_us: list[float] = []
    for streams in STREAMS:
        before = cpu_s(entry), cpu_s(sidecar)
        began_s = time.monotonic()
        answers = await _stream_all(system, caller, streams)
        elapsed_s = time.monotonic() - began_s
        count = sum(len(answer.tokens) for answer in answers)
        if count != streams * TOKENS:
            raise RuntimeError(f"{count} tokens of {streams * TOKENS}")
        entry_us.append((cpu_s(entry) - before[0]) / count * 1e6)
        sidecar_us.append((cpu_s(sidecar) - before[1]) / count * 1e6)
        first_ms = _median_p95([answer.first_token_s for answer in answers])
        cells.append(
            (
                str(streams),
                f"{count / elapsed_s:.0f}",
                f"{first_ms[0] * 1e3:.1f} / {first_ms[1] * 1e3:.1f}",
                f"{entry_us[-1]:.0f}",
                f"{sidecar_us[-1]:.0f}",
            )
        )
    headers = (
        "streams",
        "tokens a second",
        "first token, median / p95 ms",
        "entry µs a token",
        "sidecar µs a token",
    )
    x = tuple(float(streams) for streams in STREAMS)
    plot = Plot(
        "entry-token-cost",
        "Processor time for a token",
        "streams",
        "µs",
        (
            Series("entry", x, tuple(entry_us)),
            Series("sidecar", x, tuple(sidecar_us)),
        ),
    )
    return Table("Cost of a token", headers, tuple(cells)), plot, entry_us[-1]


async def _stream_all(
    system: System, caller: Caller, streams: int
) -> list[CallerAnswer]:
    answers: list[CallerAnswer] = []

    async def complete_one(number: int) -> None:
        prompt = f"draft {streams} {number}"
        answers.append(
            await caller.complete(
                system.entry_urls[0], NETZWERK.teams[0], NETZWERK.model, prompt, TOKENS
            )
        )

    async with trio.open_nursery() as nursery:
        for number in range(streams):
            nursery.start_soon(complete_one, number)
    return answers


async def _measure_memory(
    system: System, caller: Caller, entry: FleetProcess
) -> tuple[Table, Row]:
    sizes: list[int] = []
    async with trio.open_nursery() as nursery:
        open_streams = 0
        for streams in HELD_STREAMS:
            for number in range(open_streams, streams):
                nursery.start_soon(_hold_stream, system, caller, number)
            open_streams = streams
            await trio.sleep(4)
            sizes.append(memory_bytes(entry))
        nursery.cancel_scope.cancel()
    slope = (sizes[-1] - sizes[1]) / (HELD_STREAMS[-1] - HELD_STREAMS[1])
    cells = tuple(
        (str(streams), f"{size / 2**20:.1f}")
        for streams, size in zip(HELD_STREAMS, sizes, strict=True)
    )
    row = Row(
        "entry memory for an open stream and its caller",
        "none",
        f"{slope / 1024:.1f} KiB",
        f"{sizes[0] / 2**20:.1f} MiB without streams",
        "no target",
    )
    return Table("Memory of an entry", ("open streams", "resident MiB"), cells), row


async def _hold_stream(system: System, caller: Caller, number: int) -> None:
    await caller.complete(
        system.entry_urls[0],
        NETZWERK.teams[0],
        NETZWERK.model,
        f"held {number}",
        100_000,
        {"x-deadline-ms": "600000"},
    )


def cpu_s(proc: FleetProcess) -> float:
    """Return the processor time that a process has used so far."""
    with open(f"/proc/{proc.pid}/stat") as file:
        fields = file.read().rpartition(") ")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def memory_bytes(proc: FleetProcess) -> int:
    """Return the resident memory of a process."""
    with open(f"/proc/{proc.pid}/statm") as file:
        return int(file.read().split()[1]) * os.sysconf("SC_PAGE_SIZE")


def _median_p95(samples: list[float]) -> tuple[float, float]:
    if len(samples) < 2:
        return samples[0], samples[0]
    cuts = quantiles(samples, n=20, method="inclusive")
    return cuts[9], cuts[18]
