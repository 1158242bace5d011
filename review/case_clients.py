"""Ordinary clients, which keep their connections."""

from __future__ import annotations

import asyncio
import itertools
from dataclasses import dataclass, field

from case_config import HOST, KEY
from case_record import Record
from case_wire import GONE, message, read_body, read_head

PAUSE_S = 0.05
CONNECT_MAX_S = 1.0
DEADLINE_MS = 2500
ANSWER_MAX_S = 5.0


def request_head(request_id: str) -> dict[str, str]:
    """Return the headers of a proper request."""
    return {
        "Host": HOST,
        "X-Mustardfront-Attempt-Id": request_id,
        "X-Mustardfront-Deadline-Ms": str(DEADLINE_MS),
        "Authorization": f"Bearer {KEY}",
    }


@dataclass
class Crowd:
    """Clients that book one after the other, each on a connection that it keeps.

    ``cut`` are the requests of connections that had served an earlier request and were
    closed without an answer.
    """

    address: tuple[str, int]
    record: Record
    answers: dict[int, int] = field(default_factory=dict)
    cut: list[str] = field(default_factory=list)
    _ids: itertools.count[int] = field(default_factory=lambda: itertools.count(1))

    async def run(self, count: int) -> None:
        """Run ``count`` clients until cancelled."""
        async with asyncio.TaskGroup() as group:
            for _ in range(count):
                group.create_task(self._run_client())

    async def _run_client(self) -> None:
        while True:
            try:
                async with asyncio.timeout(CONNECT_MAX_S):
                    reader, writer = await asyncio.open_connection(*self.address)
            except (OSError, TimeoutError):
                await asyncio.sleep(PAUSE_S)
                continue
            try:
                await self._use(reader, writer)
            finally:
                writer.close()

    async def _use(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        is_kept = False
        while True:
            request_id = f"{next(self._ids):016x}"
            head = request_head(request_id)
            writer.write(message("POST /book/2f HTTP/1.1", head, b"x" * 600))
            try:
                async with asyncio.timeout(ANSWER_MAX_S):
                    await writer.drain()
                    (_, status, *_), headers = await read_head(reader)
                    await read_body(reader, headers)
            except TimeoutError:
                return
            except GONE:
                if is_kept:
                    self.cut.append(request_id)
                self.record.write(f"request {request_id}: closed without an answer")
                return
            self.answers[int(status)] = self.answers.get(int(status), 0) + 1
            if headers.get("connection", "").lower() == "close":
                return
            is_kept = True
            await asyncio.sleep(PAUSE_S)
