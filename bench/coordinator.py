"""Processor time and memory of a group's coordinator, by number of ranks."""

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
CORE_SHARE_MAX: Final = 0.036
MEMORY_MAX_MB: Final = 64


async def _refuse_local_call(
    method: str, path: str, body: object
) -> Result[tuple[int, dict[str, object]]]:
    raise RuntimeError("the measurement has no local rank to call")


async def _measure(addresses: dict[str, str]) -> tuple[float, float, float]:
    """Return the seconds of a full and of a quiet round, and the peak memory in MB.

    A quiet round reads only the state of the front rank, which suffices while that rank
    makes steps and nothing else in its state changes.
    """
    ranks = tuple(addresses)
    slots = EXPERTS // len(ranks) + 1
    group = Group("svc", ranks, LAYERS, EXPERTS, slots, 44_000_000, 20e9)
    identity = Identity("sidecar", "h", "a", "bench")
    connections = GroupConnections(
        "g", "", OrderExecutor(LocalRank(_refuse_local_call)), identity, KEY
    )
    coordinator = Coordinator(
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
                result = await reconcile_group(coordinator)
                states = result.value if isinstance(result, Ok) else None
                await trio.sleep(0.1)
        started_s = time.process_time()
        for _ in range(ROUNDS):
            await reconcile_group(coordinator)
        full_s = (time.process_time() - started_s) / ROUNDS
        quiet_total_s = 0.0
        tracemalloc.start()
        await run_round(coordinator, balance, None, 0.0)
        peak_mb = tracemalloc.get_traced_memory()[1] / 2**20
        tracemalloc.stop()
        for _ in range(ROUNDS):
            # A round is quiet only if the ranks have made steps since the last one.
            await trio.sleep(0.2)
            started_s = time.process_time()
            now = trio.current_time()
            _, new_states, read_at = await run_round(coordinator, balance, states, now)
            if new_states is None or read_at != now:
                raise RuntimeError("the round read all ranks instead of only the front")
            states = new_states
            quiet_total_s += time.process_time() - started_s
    return full_s, quiet_total_s / ROUNDS, peak_mb


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


def _core_share(full_s: float, quiet_round_s: float) -> float:
    return full_s / FULL_ROUND_INTERVAL_S + quiet_round_s / ROUND_INTERVAL_S


def run(seed: int) -> Report:
    """Measure a coordinator's rounds; nothing in it is random."""
    costs = {count: _run_size(count) for count in SIZES}
    cells = tuple(
        (
            str(count),
            f"{full_s * 1e3:.1f} ms",
            f"{quiet_round_s * 1e3:.1f} ms",
            f"{_core_share(full_s, quiet_round_s):.2%}",
            f"{peak_mb:.2f} MB",
        )
        for count, (full_s, quiet_round_s, peak_mb) in costs.items()
    )
    full_s, quiet_round_s, peak_mb = costs[SIZES[-1]]
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
                "core of 128 ranks' coordinator",
                _core_share(full_s, quiet_round_s),
                CORE_SHARE_MAX,
                "none",
            ),
            row("memory of a round, MB", peak_mb, MEMORY_MAX_MB, "none"),
        ),
        (
            Table(
                "Cost by ranks",
                ("ranks", "full round", "quiet round", "core", "memory of a round"),
                cells,
            ),
        ),
    )
