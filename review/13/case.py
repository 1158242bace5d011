"""An entry goes on sending to a worker that left, after connections went silent."""

from __future__ import annotations

import asyncio
import sys
from functools import partial
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from third_case import CannotRunError, run_case
from third_clients import Result, send_request
from third_processes import BOUNDS, Entry, operator_config
from third_record import Record
from third_store import Store
from third_workers import Worker, answer_after

WORK_S = 0.045
SEND_EVERY_S = 0.025
SETTLE_S = 4.0
# From the silence of the connections to the removal of the worker's entry.
LEAVES_AFTER_S = 0.3
# The worker serves on for drainMs and a little longer, and then ends.
LINGER_S = 1.6
WATCHED_S = 6.0


async def body(record: Record, folder: Path, is_troubled: bool) -> bool:
    store = Store()
    await store.start()
    store.put("op/config", operator_config())
    workers = []
    for name in ("i-1", "i-2", "i-3"):
        answer = partial(answer_after, work_s=WORK_S)
        worker = Worker(name, "ledger", store, record, answer)
        await worker.start()
        workers.append(worker)
    entry = Entry(folder, record, store.address)
    tasks: list[asyncio.Task[Result]] = []
    try:
        await entry.start()
        sending = asyncio.create_task(_send_steadily(record, entry, tasks))
        await asyncio.sleep(SETTLE_S)
        silent_at = record.now()
        if is_troubled:
            count = store.silence()
            record.write("open connections to the store go silent", count=count)
        await asyncio.sleep(LEAVES_AFTER_S)
        left_at = workers[0].leave()
        await asyncio.sleep(BOUNDS["drainMs"] / 1000 + LINGER_S)
        await workers[0].stop()
        record.write("worker ends", worker=workers[0].name)
        await asyncio.sleep(WATCHED_S - BOUNDS["drainMs"] / 1000 - LINGER_S)
        sending.cancel()
        results = await asyncio.gather(*tasks)
    finally:
        entry.kill()
        for worker in workers:
            await worker.stop()
        await store.stop()
    served = [one for one in results if one.status == 200]
    if len(served) < len(results) / 2 or not workers[0].arrived:
        raise CannotRunError("most requests were not served")
    # The machine is in touch again this long after its connections were harmed.
    in_touch_at = silent_at + BOUNDS["contactMs"] / 1000 if is_troubled else 0.0
    bound_at = max(left_at + BOUNDS["drainMs"] / 1000, in_touch_at)
    sent_at = {one["request"]: one["at"] for one in record.lines("sent")}
    late = [
        request_id
        for request_id, arrivals in workers[0].arrived.items()
        if sent_at[request_id] > bound_at and max(arrivals) > bound_at
    ]
    answers = {one.request_id: one.status for one in results}
    record.write(
        "verdict",
        worker_left_at=round(left_at, 3),
        bound_at=round(bound_at, 3),
        arrived_late=len(late),
        first=late[:3],
        last=late[-3:],
        not_served={one: answers[one] for one in late if answers[one] != 200},
    )
    return bool(late)


async def _send_steadily(
    record: Record, entry: Entry, tasks: list[asyncio.Task[Result]]
) -> None:
    """Send lookups and bookings by turns until cancelled."""
    number = 0
    while True:
        number += 1
        method, kind = ("GET", "lookup") if number % 2 else ("POST", "book")
        sent = send_request(
            record, entry.front, method, f"/{kind}/{number}", f"{kind}-{number}"
        )
        tasks.append(asyncio.create_task(sent))
        await asyncio.sleep(SEND_EVERY_S)


if __name__ == "__main__":
    run_case(FOLDER, body)
