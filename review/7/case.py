"""Slow workers answer at the time limit of their route, and the entry ends.

Rule LOST: a machine passes requests from kept connections on to sound workers and
closes these connections without an answer, more than three times.
"""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from case_ledger import play_ledger  # noqa: E402
from case_record import Record, run_case  # noqa: E402
from case_workers import Worker  # noqa: E402

WORKERS = 15
SLOW_WORKERS = 6
CLIENTS = 60
# Bookings take 92 to 99 ms, and 12 times as long at a slow worker: 1.10 to 1.19 s, where
# the route has a timeout of 1.2 s.
WORK_S = 0.0955
SPREAD = 0.04
SLOWNESS = 12.0
SLOW_S = 9.0
TIMES = 9
PAUSE_S = 1.0


async def play(record: Record, scratch: Path) -> str:
    """Play the case and return how the rule was broken."""
    workers = [
        Worker(f"i-ledger-{number}", WORK_S, SPREAD) for number in range(WORKERS)
    ]

    async def slow_down(address: tuple[str, int], record: Record) -> None:
        for _ in range(TIMES):
            record.write(f"{SLOW_WORKERS} of {WORKERS} workers turn slow")
            for worker in workers[:SLOW_WORKERS]:
                worker.slowness = SLOWNESS
            await asyncio.sleep(SLOW_S)
            for worker in workers[:SLOW_WORKERS]:
                worker.slowness = 1.0
            record.write("they are as fast as usual")
            await asyncio.sleep(PAUSE_S)

    return await play_ledger(
        record, scratch, slow_down, workers=workers, clients=CLIENTS
    )


if __name__ == "__main__":
    run_case(FOLDER, play)
