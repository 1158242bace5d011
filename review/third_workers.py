"""Workers of a plain service, as the pages describe them."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

from third_http1 import Message, encode_json, encode_response, read_body, read_head
from third_record import Record
from third_store import Store

HEARTBEAT_S = 1.2
SEAL = "3e1b.07.5a2"

# Answers a request that runs; it has the request and the connection's writer.
Answer = Callable[["Worker", Message, asyncio.StreamWriter], Awaitable[None]]


async def answer_after(
    worker: Worker, req: Message, writer: asyncio.StreamWriter, work_s: float
) -> None:
    """Answer a request with a success after some work."""
    await asyncio.sleep(work_s)
    body = f"done {req.headers['x-mustardfront-attempt-id']}\n".encode()
    writer.write(encode_response(200, body, worker.answer_headers(req)))
    await writer.drain()


@dataclass
class Worker:
    """One worker; it announces itself in the store and records what arrives."""

    name: str
    service: str
    store: Store
    record: Record
    answer: Answer
    zone: str = "zone-a"
    slots: int = 8
    address: str = ""
    state: str = "ready"
    sequence: int = 0
    born: int = field(default_factory=lambda: int(time.time() * 1000))
    # Seconds of the record at which each request arrived, by its id.
    arrived: dict[str, list[float]] = field(default_factory=dict)
    _server: asyncio.Server | None = None
    _heartbeat: asyncio.Task[None] | None = None
    _writers: set[asyncio.StreamWriter] = field(default_factory=set)

    async def start(self, ip: str = "127.0.0.1") -> None:
        """Listen on a free port and begin to announce itself."""
        self._server = await asyncio.start_server(self._serve, ip, 0, limit=2**22)
        host, port = self._server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"
        self.announce()
        self._heartbeat = asyncio.create_task(self._beat())

    def announce(self) -> None:
        """Write the entry of this worker to the store."""
        self.sequence += 1
        self.store.put(
            f"servers/{self.name}",
            {
                "service": self.service,
                "address": self.address,
                "zone": self.zone,
                "version": "v1",
                "slots": self.slots,
                "state": self.state,
                "warmupLeftMs": 0,
                "sequence": self.sequence,
                "born": self.born,
            },
        )

    def leave(self) -> float:
        """Remove the entry without a notice; the worker serves on. Return when."""
        if self._heartbeat is not None:
            self._heartbeat.cancel()
        self.store.remove(f"servers/{self.name}")
        return self.record.write("worker's entry is removed", worker=self.name)

    async def stop(self) -> None:
        """End: stop listening and close all connections."""
        if self._heartbeat is not None:
            self._heartbeat.cancel()
        if self._server is not None:
            self._server.close()
        for writer in tuple(self._writers):
            writer.transport.abort()

    def answer_headers(self, req: Message) -> dict[str, str]:
        """Return the headers of a success."""
        return {
            "X-Mustardfront-Attempt-Id": req.headers["x-mustardfront-attempt-id"],
            "X-Mustardfront-Response-Seal": SEAL,
        }

    async def _beat(self) -> None:
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            self.announce()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while (req := await read_head(reader)) is not None:
                await read_body(reader, req)
                if not req.is_complete:
                    break
                await self._handle(req, writer)
                if req.headers.get("connection", "").lower() == "close":
                    break
        except ConnectionError:
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _handle(self, req: Message, writer: asyncio.StreamWriter) -> None:
        expected = req.headers.get("x-mustardfront-expect-instance", self.name)
        if expected != self.name:
            named = {"X-Mustardfront-Instance-Id": self.name}
            writer.write(encode_response(421, b"", named))
        elif req.path == "/-/report":
            writer.write(encode_json(200, {"busy": False, "born": self.born}))
        else:
            request_id = req.headers.get("x-mustardfront-attempt-id", "")
            at = self.record.write(
                "runs", worker=self.name, request=request_id, path=req.path
            )
            self.arrived.setdefault(request_id, []).append(at)
            await self.answer(self, req, writer)
