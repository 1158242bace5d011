"""Plain workers of the service `member-ledger`."""

from __future__ import annotations

import asyncio
import random
import time

from case_store import Store
from case_wire import GONE, message, read_body, read_head

HEARTBEAT_S = 1.2
SLOTS = 6


class Worker:
    """A sound worker that takes ``work_s`` for each request.

    A request takes up to ``spread`` more or less, and ``slowness`` times as long while
    the worker is slow.
    """

    def __init__(self, name: str, work_s: float, spread: float = 0.0) -> None:
        self.name = name
        self.address = ""
        # The ids of the requests that it began to work on, and those it answered.
        self.begun: list[str] = []
        self.answered: list[str] = []
        self.slowness = 1.0
        self._work_s = work_s
        self._spread = spread
        self._born_ms = round(time.time() * 1000)
        self._heartbeats = 0
        self._slots = asyncio.Semaphore(SLOTS)
        self._tasks: list[asyncio.Task[None]] = []

    async def start(self, store: Store) -> None:
        """Listen on a free port and register."""
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0, limit=1 << 22)
        self.address = "{}:{}".format(*server.sockets[0].getsockname()[:2])
        await self._announce(store)
        self._tasks.append(asyncio.create_task(self._send_heartbeats(store)))

    async def _send_heartbeats(self, store: Store) -> None:
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            await self._announce(store)

    async def _announce(self, store: Store) -> None:
        self._heartbeats += 1
        entry = {
            "service": "member-ledger",
            "address": self.address,
            "zone": "bayern-a",
            "version": "1",
            "slots": SLOTS,
            "state": "ready",
            "warmupLeftMs": 0,
            "sequence": self._heartbeats,
            "born": self._born_ms,
        }
        await store.put(f"servers/{self.name}", entry)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while True:
                _, headers = await read_head(reader)
                await read_body(reader, headers)
                writer.write(await self._answer(headers))
                await writer.drain()
        except GONE:
            pass
        finally:
            writer.close()

    async def _answer(self, headers: dict[str, str]) -> bytes:
        request_id = headers.get("x-mustardfront-attempt-id", "")
        own = {"X-Mustardfront-Instance-Id": self.name}
        if headers.get("x-mustardfront-expect-instance", self.name) != self.name:
            own["X-Mustardfront-Not-Executed"] = "1"
            return message("HTTP/1.1 421 Misdirected", own)
        if not request_id:
            own["X-Mustardfront-Not-Executed"] = "1"
            return message("HTTP/1.1 400 Bad", own)
        deadline_ms = float(headers["x-mustardfront-deadline-ms"])
        ends_at = time.monotonic() + deadline_ms / 1000
        factor = self.slowness * (1 + random.uniform(-self._spread, self._spread))
        async with self._slots:
            if time.monotonic() > ends_at:
                own["X-Mustardfront-Not-Executed"] = "1"
                return message("HTTP/1.1 503 Late", own)
            self.begun.append(request_id)
            await asyncio.sleep(factor * self._work_s)
        self.answered.append(request_id)
        own["X-Mustardfront-Attempt-Id"] = request_id
        own["X-Mustardfront-Response-Seal"] = f"seal.{request_id}"
        return message("HTTP/1.1 200 OK", own, f"booked {request_id}".encode())
