"""A small deployment of one entry and the plain workers of `member-ledger`."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from pathlib import Path

from case_clients import Crowd
from case_config import config
from case_platform import Keeper
from case_processes import ENTRY_MEMORY_MB, ROOT, CannotRunError, Entry
from case_record import Record, has_trouble
from case_store import Store
from case_workers import Worker

WORKERS = 3
WORK_S = 0.6
CLIENTS = 18
CALM_S = 4.0
AFTER_S = 6.0
# Rule LOST: more than three requests from kept connections.
CUT_MAX = 3

Disruption = Callable[[tuple[str, int], Record], Awaitable[None]]


def make_workers() -> list[Worker]:
    """Return the workers of a play."""
    return [Worker(f"i-ledger-{number}", WORK_S) for number in range(WORKERS)]


async def play_ledger(
    record: Record,
    scratch: Path,
    disrupt: Disruption,
    *,
    workers: list[Worker] | None = None,
    clients: int = CLIENTS,
) -> str:
    """Play ordinary clients and a disruption; return how rule LOST was broken."""
    store = Store()
    await store.start()
    await store.put("op/config", config())
    workers = workers or make_workers()
    for worker in workers:
        await worker.start(store)
    entry = Entry(scratch, store.address)
    keeper = Keeper(entry, ENTRY_MEMORY_MB, record)
    crowd = Crowd(entry.address, record)
    try:
        await entry.wait_until_ready()
        tasks = [
            asyncio.create_task(keeper.run()),
            asyncio.create_task(crowd.run(clients)),
        ]
        await asyncio.sleep(CALM_S)
        if has_trouble():
            await disrupt(entry.address, record)
        await asyncio.sleep(AFTER_S)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
    finally:
        entry.end()
        record.write(f"last lines of the entry: {_last_error(entry)}")
    return _judge(record, workers, keeper, crowd)


def _last_error(entry: Entry) -> str:
    log = entry.log.read_text(errors="replace").replace(f"{ROOT}/", "")
    lines = log.splitlines()
    texts = [line.strip(" |") for line in lines if not line.startswith("{")]
    return " / ".join(text for text in texts[-4:] if text.strip("+- "))


def _judge(record: Record, workers: list[Worker], keeper: Keeper, crowd: Crowd) -> str:
    begun = {request_id for worker in workers for request_id in worker.begun}
    lost = [request_id for request_id in crowd.cut if request_id in begun]
    record.write(f"answers by status: {crowd.answers}")
    record.write(f"requests that workers began: {len(begun)}")
    record.write(f"ends of the entry: {keeper.ends}, of these killed: {keeper.kills}")
    record.write(f"most memory of the entry: {keeper.peak_mb:.0f} MB")
    record.write(f"begun, from kept connections, closed without an answer: {lost}")
    if not crowd.answers.get(200):
        raise CannotRunError("no request was answered")
    if len(lost) <= CUT_MAX:
        return ""
    return f"{len(lost)} begun requests from kept connections were lost (LOST: over 3)"
