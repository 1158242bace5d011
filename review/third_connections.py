"""Whether an entry takes new connections, by rule RECOVER."""

from __future__ import annotations

import asyncio

from third_clients import Result, send_request
from third_http1 import read_message
from third_processes import BOUNDS, METRICS_PORT, Entry
from third_record import Record

TRYING = 8
TRY_EVERY_S = 0.25


async def note_gauges(record: Record, entry: Entry, when: str) -> None:
    """Record what the entry says of itself; the verdict does not depend on it."""
    try:
        async with asyncio.timeout(2.0):
            reader, writer = await asyncio.open_connection(entry.ip, METRICS_PORT)
            writer.write(b"GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n")
            message = await read_message(reader)
            writer.close()
    except (OSError, TimeoutError):
        message = None
    text = message.body.decode() if message is not None else ""
    names = ("mustardfront_caller_connections ", "mustardfront_requests_in_flight ")
    gauges = [line for line in text.splitlines() if line.startswith(names)]
    memory = round(entry.memory_now_mb())
    record.write("entry", when=when, gauges=gauges, memory_mb=memory)


async def takes_no_connection(record: Record, entry: Entry) -> bool:
    """Return whether the entry is ready, but takes no connection for ``contactMs``.

    It is asked all the while whether it is ready, and ``TRYING`` clients try.
    """
    results: list[Result] = []
    was_ready = True
    ends_at = record.now() + BOUNDS["contactMs"] / 1000 + 1.0

    async def try_again_and_again(client: int) -> None:
        number = 0
        while record.now() < ends_at:
            number += 1
            request_id = f"ordinary-{client}-{number}"
            results.append(
                await send_request(
                    record, entry.front, "GET", f"/lookup/{request_id}", request_id
                )
            )
            await asyncio.sleep(TRY_EVERY_S)

    async with asyncio.TaskGroup() as group:
        for client in range(TRYING):
            group.create_task(try_again_and_again(client))
        while record.now() < ends_at:
            was_ready = was_ready and await entry.is_ready()
            await asyncio.sleep(TRY_EVERY_S)
    answered = sum(one.status != 0 for one in results)
    record.write("verdict", tried=len(results), answered=answered, was_ready=was_ready)
    return was_ready and not answered
