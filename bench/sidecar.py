"""What the sidecar adds to a token and to a request, and its memory for a stream."""

from __future__ import annotations

import time
from collections.abc import AsyncIterator, Callable
from dataclasses import replace
from statistics import quantiles

import httpcore
import trio

from bench._report import Report, Row, Table
from bench._sidecar import REQUEST, Pair, around, completion, delay_s, pair

NAME = "sidecar"
STREAMS = (1, 8, 32, 128)
STEP_MS = 50
TOKENS = 60
REQUESTS = 400
HELD_STREAMS = (0, 100, 200, 400, 800)
ABOUT = (
    "Real processes on one host: the engine stand-in, the sidecar, and one caller that"
    " also calls the engine directly in the same run. Each token carries the time at"
    f" which the engine sent it; a step takes {STEP_MS} ms. The baseline is the direct"
    " call. The caller's own cost is in both figures."
)


def run(seed: int) -> Report:
    """Measure; nothing is random, so the seed is not used."""
    tokens = trio.run(_tokens)
    requests = trio.run(_requests)
    memory = trio.run(_memory)
    return Report(
        "What the sidecar adds",
        ABOUT,
        (*requests, memory[0]),
        (tokens, memory[1]),
    )


def _median_p95(samples: list[float]) -> tuple[float, float]:
    cuts = quantiles(samples, n=20, method="inclusive")
    return cuts[9], cuts[18]


async def _delays(
    streams: int, open_stream: Callable[[], AsyncIterator[bytes]]
) -> list[float]:
    delays: list[float] = []

    async def one() -> None:
        found = [delay_s(event) async for event in open_stream()]
        delays.extend(found[5:])

    async with trio.open_nursery() as nursery:
        for _ in range(streams):
            nursery.start_soon(one)
    return delays


async def _tokens() -> Table:
    cells = []
    args = ("--stamps", "--step-ms", str(STEP_MS), "--slots", "512")
    async with pair("engine", *args) as both, httpcore.AsyncConnectionPool() as client:
        req = completion(TOKENS)
        for streams in STREAMS:
            direct = await _delays(streams, lambda: around(client, both.url, req))
            before_s = both.side_cpu_s
            through = await _delays(streams, lambda: both.through(req))
            cpu_s = (both.side_cpu_s - before_s) / (streams * TOKENS)
            (near, near95), (far, far95) = _median_p95(direct), _median_p95(through)
            cells.append(
                (
                    str(streams),
                    f"{near * 1e3:.2f} / {near95 * 1e3:.2f}",
                    f"{far * 1e3:.2f} / {far95 * 1e3:.2f}",
                    f"{(far - near) * 1e3:.2f} / {(far95 - near95) * 1e3:.2f}",
                    f"{cpu_s * 1e6:.0f}",
                )
            )
    heads = (
        "streams",
        "direct, median / p95 ms",
        "through the sidecar",
        "added",
        "sidecar processor time for a token, µs",
    )
    return Table("Delay of a token", heads, tuple(cells))


async def _requests() -> tuple[Row, ...]:
    req = replace(REQUEST, method="GET", path="/records/a")
    async with pair("plain") as both, httpcore.AsyncConnectionPool() as client:
        direct: list[float] = []
        through: list[float] = []
        before_s = both.side_cpu_s
        for _ in range(REQUESTS):
            for samples, parts in (
                (direct, around(client, both.url, req)),
                (through, both.through(req)),
            ):
                start_s = time.monotonic()
                async for _part in parts:
                    pass
                samples.append(time.monotonic() - start_s)
        cpu_s = (both.side_cpu_s - before_s) / REQUESTS
    rows = []
    for label, near, far in zip(
        ("median", "p95"), _median_p95(direct), _median_p95(through), strict=True
    ):
        added = f"{(far - near) * 1e3:.2f} ms more"
        what = f"plain look-up, {label}"
        rows.append(
            Row(
                what,
                "none",
                f"{far * 1e3:.2f} ms, {added}",
                f"{near * 1e3:.2f} ms",
                "no target",
            )
        )
    what = "sidecar processor time for a look-up"
    rows.append(Row(what, "none", f"{cpu_s * 1e3:.2f} ms", "none", "no target"))
    return tuple(rows)


async def _memory() -> tuple[Row, Table]:
    args = ("--step-ms", "200", "--slots", "2000")
    cells = []
    sizes: list[int] = []
    async with pair("engine", *args) as both, trio.open_nursery() as nursery:
        opened = 0
        for streams in HELD_STREAMS:
            for _ in range(streams - opened):
                nursery.start_soon(_hold, both)
            opened = streams
            await trio.sleep(5)
            sizes.append(both.side_memory_bytes)
            cells.append((str(streams), f"{sizes[-1] / 2**20:.1f}"))
        nursery.cancel_scope.cancel()
    slope = (sizes[-1] - sizes[1]) / (HELD_STREAMS[-1] - HELD_STREAMS[1])
    row = Row(
        "sidecar memory for an open stream",
        "none",
        f"{slope / 1024:.1f} KiB",
        f"{sizes[0] / 2**20:.1f} MiB without streams",
        "no target",
    )
    return row, Table("Memory", ("open streams", "resident MiB"), tuple(cells))


async def _hold(both: Pair) -> None:
    async for _ in both.through(completion(1_000_000)):
        pass
