"""A coordinator's machine freezes for a second while its group is held.

An agent of the group was started anew some seconds before, as at planned work. Rule
MAP: a pass begins while two ranks of a group have different maps.
"""

from __future__ import annotations

import asyncio
import json
import signal
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from case_config import config  # noqa: E402
from case_processes import Agent, CannotRunError, free_port  # noqa: E402
from case_ranks import Group, Rank  # noqa: E402
from case_record import Record, has_trouble, run_case  # noqa: E402
from case_store import Store  # noqa: E402

RANKS = 8
# All agents run for over ten seconds before anything happens.
CALM_S = 12.0
RESTARTED_AGENT = 4
RESTART_DELAY_S = 0.5
SHIFT_AFTER_RESTART_S = 3.0
FREEZE_S = 1.0
SHIFT_TO_END_S = 30.0


def coordinator(agents: list[Agent]) -> int:
    """Return the rank whose agent coordinates the group, by the agents' logs."""
    latest = (0.0, -1)
    for number, agent in enumerate(agents):
        for line in agent.log.read_text().splitlines():
            if '"coordinator-changed"' not in line:
                continue
            event = json.loads(line)
            if event["held"]:
                latest = max(latest, (event["timestamp"], number))
    if latest[1] < 0:
        raise CannotRunError("no agent coordinates the group")
    return latest[1]


async def play(record: Record, scratch: Path) -> str:
    """Play the case and return how the rule was broken."""
    store = Store()
    await store.start()
    await store.put("op/config", config())
    group = Group(RANKS, store, record)
    await group.start()
    port = free_port(group.ranks[0].ip)
    agents = [
        Agent(
            scratch, store.address, f"side-{rank.number}", rank.ip, port, rank.address
        )
        for rank in group.ranks
    ]
    try:
        await _play(record, group, agents)
    finally:
        for agent in agents:
            agent.end()
    record.write(f"switches: {group.switches}")
    record.write(f"longest time without a pass: {group.longest_stop_s:.2f} s")
    if not group.switches and not group.broken:
        raise CannotRunError("the group never switched its map")
    return group.broken


async def _play(record: Record, group: Group, agents: list[Agent]) -> None:
    freezes: list[asyncio.Task[None]] = []

    async def freeze(number: int) -> None:
        record.write(f"the machine of rank {number} freezes")
        group.ranks[number].is_away = True
        agents[number].send(signal.SIGSTOP)
        await asyncio.sleep(FREEZE_S)
        agents[number].send(signal.SIGCONT)
        group.ranks[number].is_away = False
        record.write(f"the machine of rank {number} wakes")

    def freeze_after_hold(rank: Rank, operation: str, status: int) -> None:
        if operation != "hold" or status != 202 or freezes or not has_trouble():
            return
        number = coordinator(agents)
        if number in (RESTARTED_AGENT, rank.number):
            raise CannotRunError("another rank coordinates than expected")
        freezes.append(asyncio.create_task(freeze(number)))

    await asyncio.sleep(CALM_S)
    record.write(f"the agent of rank {RESTARTED_AGENT} is stopped and started")
    await agents[RESTARTED_AGENT].stop()
    await asyncio.sleep(RESTART_DELAY_S)
    agents[RESTARTED_AGENT].start()
    await asyncio.sleep(SHIFT_AFTER_RESTART_S)
    group.on_order = freeze_after_hold
    group.has_shifted = True
    record.write("other experts are in demand")
    for _ in range(round(SHIFT_TO_END_S / 0.5)):
        await asyncio.sleep(0.5)
        if group.broken:
            return


if __name__ == "__main__":
    run_case(FOLDER, play)
