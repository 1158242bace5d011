"""Latency and processor time that the sidecar adds, and its memory for a stream."""

from __future__ import annotations

import time
from collections.abc import AsyncIterator, Callable
from dataclasses import replace
from statistics import quantiles

import httpcore
import trio

from bench._report import Report, Row, Table
from bench._sidecar import (
    REQUEST,
    Pair,
    call_directly,
    completion_request,
    start_sidecar,
    token_delay_s,
)

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
    """Run the measurement; nothing in it is random, so the seed is not used."""
    tokens = trio.run(_measure_tokens)
    requests = trio.run(_measure_requests)
    memory = trio.run(_measure_memory)
    return Report(
        "What the sidecar adds",
        ABOUT,
        (*requests, memory[0]),
        (tokens, memory[1]),
    )


def _median_p95(samples: list[float]) -> tuple[float, float]:
    cuts = quantiles(samples, n=20, method="inclusive")
    return cuts[9], cuts[18]


async def _token_delays(
    streams: int, open_stream: Callable[[], AsyncIterator[bytes]]
) -> list[float]:
    delays: list[float] = []

    async def read_stream() -> None:
        stream_delays = [token_delay_s(event) async for event in open_stream()]
        delays.extend(stream_delays[5:])

    async with trio.open_nursery() as nursery:
        for _ in range(streams):
            nursery.start_soon(read_stream)
    return delays


async def _measure_tokens() -> Table:
    cells = []
    args = ("--stamps", "--step-ms", str(STEP_MS), "--slots", "512")
    async with (
        start_sidecar("engine", *args) as pair,
        httpcore.AsyncConnectionPool() as client,
    ):
        req = completion_request(TOKENS)
        for streams in STREAMS:
            direct = await _token_delays(
                streams, lambda: call_directly(client, pair.url, req)
            )
            before_s = pair.sidecar_cpu_s
            through = await _token_delays(
                streams, lambda: pair.call_through_sidecar(req)
            )
            cpu_s = (pair.sidecar_cpu_s - before_s) / (streams * TOKENS)
            (direct_s, direct_p95_s), (sidecar_s, sidecar_p95_s) = (
                _median_p95(direct),
                _median_p95(through),
            )
            cells.append(
                (
                    str(streams),
                    f"{direct_s * 1e3:.2f} / {direct_p95_s * 1e3:.2f}",
                    f"{sidecar_s * 1e3:.2f} / {sidecar_p95_s * 1e3:.2f}",
                    f"{(sidecar_s - direct_s) * 1e3:.2f} / "
                    f"{(sidecar_p95_s - direct_p95_s) * 1e3:.2f}",
                    f"{cpu_s * 1e6:.0f}",
                )
            )
    headers = (
        "streams",
        "direct, median / p95 ms",
        "through the sidecar",
        "added",
        "sidecar processor time for a token, µs",
    )
    return Table("Delay of a token", headers, tuple(cells))


async def _measure_requests() -> tuple[Row, ...]:
    req = replace(REQUEST, method="GET", path="/records/a")
    async with (
        start_sidecar("plain") as pair,
        httpcore.AsyncConnectionPool() as client,
    ):
        direct: list[float] = []
        through: list[float] = []
        before_s = pair.sidecar_cpu_s
        for _ in range(REQUESTS):
            for samples, chunks in (
                (direct, call_directly(client, pair.url, req)),
                (through, pair.call_through_sidecar(req)),
            ):
                start_s = time.monotonic()
                async for _chunk in chunks:
                    pass
                samples.append(time.monotonic() - start_s)
        cpu_s = (pair.sidecar_cpu_s - before_s) / REQUESTS
    rows = []
    for label, direct_s, sidecar_s in zip(
        ("median", "p95"), _median_p95(direct), _median_p95(through), strict=True
    ):
        added = f"{(sidecar_s - direct_s) * 1e3:.2f} ms more"
        metric = f"plain look-up, {label}"
        rows.append(
            Row(
                metric,
                "none",
                f"{sidecar_s * 1e3:.2f} ms, {added}",
                f"{direct_s * 1e3:.2f} ms",
                "no target",
            )
        )
    metric = "sidecar processor time for a look-up"
    rows.append(Row(metric, "none", f"{cpu_s * 1e3:.2f} ms", "none", "no target"))
    return tuple(rows)


async def _measure_memory() -> tuple[Row, Table]:
    args = ("--step-ms", "200", "--slots", "2000")
    cells = []
    sizes: list[int] = []
    async with start_sidecar("engine", *args) as pair, trio.open_nursery() as nursery:
        open_streams = 0
        for streams in HELD_STREAMS:
            for _ in range(streams - open_streams):
                nursery.start_soon(_hold_stream, pair)
            open_streams = streams
            await trio.sleep(5)
            sizes.append(pair.sidecar_memory_bytes)
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


async def _hold_stream(pair: Pair) -> None:
    async for _ in pair.call_through_sidecar(completion_request(1_000_000)):
        pass
