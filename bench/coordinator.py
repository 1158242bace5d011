"""What a group's coordinator costs the sidecar that it runs in, by ranks."""

from __future__ import annotations

import json
import subprocess
import sys
import time
import tracemalloc
from functools import partial
from typing import Final

import trio

from bench import Report, Table, row
from bench._ranks import KEY
from mustardfront.coordination.expertmap import (
    Coordinator,
    GroupConnections,
    LocalRank,
    OrderExecutor,
    States,
    reconcile_group,
)
from mustardfront.coordination.expertmap._balancer import GroupBalancer
from mustardfront.coordination.expertmap._task import (
    FULL_ROUND_INTERVAL_S,
    ROUND_INTERVAL_S,
    run_round,
)
from mustardfront.protocol import Identity, connect_peer
from mustardfront.results import Ok, Result
from mustardfront.state import Group, first_map

NAME: Final = "coordinator"
SIZES: Final = (16, 32, 64, 128)
LAYERS: Final = 60
EXPERTS: Final = 128
ROUNDS: Final = 10
CORE_SHARE: Final = 0.036
MEMORY_MB: Final = 64


async def _no_call(
    method: str, path: str, body: object
) -> Result[tuple[int, dict[str, object]]]:
    raise RuntimeError("no local rank")


async def _measure(addresses: dict[str, str]) -> tuple[float, float, float]:
    """Return the seconds of a full round, of a quiet one, and the peak in MB."""
    ranks = tuple(addresses)
    slots = EXPERTS // len(ranks) + 1
    group = Group("svc", ranks, LAYERS, EXPERTS, slots, 44_000_000, 20e9)
    me = Identity("sidecar", "h", "a", "bench")
    connections = GroupConnections("g", "", OrderExecutor(LocalRank(_no_call)), me, KEY)
    co = Coordinator(
        "g",
        ranks,
        1,
        partial(connections.send_orders, 1),
        trio.sleep,
        lambda: first_map(LAYERS, EXPERTS, len(ranks), slots),
    )
    balance = GroupBalancer(group)
    async with connections.open(addresses, connect_peer):
        states: States | None = None
        with trio.fail_after(30):
            while states is None:
                done = await reconcile_group(co)
                states = done.value if isinstance(done, Ok) else None
                await trio.sleep(0.1)
        began = time.process_time()
        for _ in range(ROUNDS):
            await reconcile_group(co)
        full = (time.process_time() - began) / ROUNDS
        quiet_s = 0.0
        tracemalloc.start()
        await run_round(co, balance, None, 0.0)
        peak = tracemalloc.get_traced_memory()[1] / 2**20
        tracemalloc.stop()
        for _ in range(ROUNDS):
            # The steps of the ranks must go on between two quiet rounds.
            await trio.sleep(0.2)
            began = time.process_time()
            now = trio.current_time()
            _, after, read_at = await run_round(co, balance, states, now)
            if after is None or read_at != now:
                raise RuntimeError("the round was not quiet")
            states = after
            quiet_s += time.process_time() - began
    return full, quiet_s / ROUNDS, peak


def _run_size(count: int) -> tuple[float, float, float]:
    command = [sys.executable, "-m", "bench._ranks"]
    child = subprocess.Popen(
        [*command, str(count), str(LAYERS), str(EXPERTS)], stdout=subprocess.PIPE
    )
    try:
        assert child.stdout is not None
        addresses = json.loads(child.stdout.readline())
        return trio.run(_measure, addresses)
    finally:
        child.kill()
        child.wait()


def _core(full: float, quiet: float) -> float:
    return full / FULL_ROUND_INTERVAL_S + quiet / ROUND_INTERVAL_S


def run(seed: int) -> Report:
    """Measure one coordinator's rounds; nothing in it is random."""
    found = {count: _run_size(count) for count in SIZES}
    cells = tuple(
        (
            str(count),
            f"{full * 1e3:.1f} ms",
            f"{quiet * 1e3:.1f} ms",
            f"{_core(full, quiet):.2%}",
            f"{peak:.2f} MB",
        )
        for count, (full, quiet, peak) in found.items()
    )
    full, quiet, peak = found[SIZES[-1]]
    return Report(
        "Coordinator of a group",
        f"Processor time of {ROUNDS} full rounds (states of all ranks) and {ROUNDS}"
        f" quiet ones (state and loads of the front, forecast) of a group with {LAYERS}"
        f" layers of {EXPERTS} experts. Their sidecars run in another process."
        f" A round takes place every {ROUND_INTERVAL_S:g} s, a full one at least every"
        f" {FULL_ROUND_INTERVAL_S:g} s. Plans come on top: see the measurement of"
        " balancing.",
        (
            row(
                "core of 128 ranks' coordinator", _core(full, quiet), CORE_SHARE, "none"
            ),
            row("memory of a round, MB", peak, MEMORY_MB, "none"),
        ),
        (
            Table(
                "Cost by ranks",
                ("ranks", "full round", "quiet round", "core", "memory of a round"),
                cells,
            ),
        ),
    )
