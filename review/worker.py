"""Stand-in for a worker (``PROTOCOL.md``, Workers and Service discovery).

Usage: ``python3 worker.py JSON`` with ``id``, ``service``, ``ip``, ``port``, ``zone``,
``store`` (IP:PORT), ``log`` (path), and optionally ``slots``, ``queue``, ``kind``
("plain" or "stream"), ``work_ms``, ``events``, ``gap_ms``, ``body``, ``unframed``
(answers have no length and end with their connection). Each request that it begins to
run is a line in its log.
"""

from __future__ import annotations

import asyncio
import json
import sys
import time
from base64 import b64encode

HEARTBEAT_S = 1.2
# Prompt tokens that a model worker reads in a millisecond, as on the sheets.
TOKENS_PER_MS = 74.8


class Worker:
    def __init__(self, cfg: dict) -> None:
        self.cfg = cfg
        self.slots = asyncio.Semaphore(cfg.get("slots", 6))
        # Prompts are read one after the other, at the speed of the sheets.
        self.reading = asyncio.Lock()
        self.inside = 0
        self.sequence = 0
        self.born = round(time.time() * 1000)
        self.log = open(cfg["log"], "a", buffering=1)

    def note(self, **fields) -> None:
        line = {"at": time.time(), "worker": self.cfg["id"], **fields}
        self.log.write(json.dumps(line) + "\n")

    async def announce(self) -> None:
        cfg = self.cfg
        reply = await self.store("/-/kv-lease", {"ttlMs": round(HEARTBEAT_S * 3000)})
        self.sequence += 1
        value = {
            "service": cfg["service"],
            "address": f"{cfg['ip']}:{cfg['port']}",
            "zone": cfg["zone"],
            "version": "v1",
            "slots": cfg.get("slots", 6),
            "state": "ready",
            "warmupLeftMs": 0,
            "sequence": self.sequence,
            "born": self.born,
        }
        write = {
            "key": f"servers/{cfg['id']}",
            "value": b64encode(json.dumps(value).encode()).decode(),
            "lease": reply["lease"],
        }
        await self.store("/-/kv-txn", {"expected": [], "writes": [write], "remove": []})
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            await self.store(f"/-/kv-keep/{reply['lease']}", {})

    async def store(self, path: str, data: dict) -> dict:
        host, _, port = self.cfg["store"].partition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        raw = json.dumps(data).encode()
        writer.write(
            b"POST %s HTTP/1.1\r\nHost: s\r\nX-Standin-Platform: 1\r\n"
            b"Content-Length: %d\r\n\r\n" % (path.encode(), len(raw)) + raw
        )
        head = await reader.readuntil(b"\r\n\r\n")
        size = int(head.lower().split(b"content-length:")[1].split(b"\r\n")[0])
        body = await reader.readexactly(size)
        writer.close()
        return json.loads(body)

    async def serve(self, reader, writer) -> None:
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                first, *lines = head.decode("latin-1").split("\r\n")
                headers = {}
                for line in lines:
                    name, _, value = line.partition(":")
                    headers[name.strip().lower()] = value.strip()
                body = await reader.readexactly(int(headers.get("content-length", 0)))
                if not await self.handle(first, headers, body, reader, writer):
                    return
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    async def handle(self, first, headers, body, reader, writer) -> bool:
        """Answer a request; return whether the connection stays open."""
        attempt = headers.get("x-mustardfront-attempt-id", "")
        echo = f"X-Mustardfront-Attempt-Id: {attempt}\r\n"
        if first.startswith("GET /healthz "):
            self.answer(
                writer, 200, f"X-Mustardfront-Instance-Id: {self.cfg['id']}\r\n"
            )
            return True
        expected = headers.get("x-mustardfront-expect-instance", self.cfg["id"])
        if expected != self.cfg["id"]:
            self.answer(
                writer, 421, f"X-Mustardfront-Instance-Id: {self.cfg['id']}\r\n"
            )
            return True
        if self.inside >= self.cfg.get("slots", 6) + self.cfg.get("queue", 6):
            self.answer(writer, 503, "X-Mustardfront-Not-Executed: 1\r\n" + echo)
            return True
        self.inside += 1
        work = asyncio.ensure_future(self.run(first, headers, attempt, writer))
        # A request is dropped when its connection closes.
        closed = asyncio.ensure_future(reader.read(1))
        try:
            await asyncio.wait({work, closed}, return_when=asyncio.FIRST_COMPLETED)
            if not work.done():
                work.cancel()
                return False
            work.result()
            return False
        finally:
            closed.cancel()
            self.inside -= 1

    async def run(self, first: str, headers: dict, attempt: str, writer) -> None:
        cfg = self.cfg
        async with self.slots:
            self.note(event="run", attempt=attempt, request=first)
            tokens = int(
                headers.get("x-mustardfront-token-counts", "0,0").split(",")[0]
            )
            if tokens:
                async with self.reading:
                    await asyncio.sleep(tokens / TOKENS_PER_MS / 1000)
            await asyncio.sleep(cfg.get("work_ms", 45) / 1000)
            framing = "" if cfg.get("unframed") else "Transfer-Encoding: chunked\r\n"
            is_stream = cfg.get("kind") == "stream"
            kind = "text/event-stream" if is_stream else "text/plain"
            writer.write(
                (
                    "HTTP/1.1 200 OK\r\nConnection: close\r\n"
                    f"Content-Type: {kind}\r\n{framing}"
                    f"X-Mustardfront-Attempt-Id: {attempt}\r\n"
                    f"X-Mustardfront-Response-Seal: seal-{attempt}\r\n\r\n"
                ).encode()
            )
            start = int(headers.get("last-event-id", "0") or 0) + 1
            pieces = cfg.get("events", 1)
            for number in range(start if is_stream else 1, pieces + 1):
                text = cfg.get("body", "piece")
                data = (
                    f"id: {number}\ndata: {text} {number}\n\n"
                    if is_stream
                    else f"{text} {number} of {pieces}\n"
                ).encode()
                if not cfg.get("unframed"):
                    data = b"%x\r\n%s\r\n" % (len(data), data)
                writer.write(data)
                await writer.drain()
                if number < pieces:
                    await asyncio.sleep(cfg.get("gap_ms", 30) / 1000)
            if not cfg.get("unframed"):
                writer.write(b"0\r\n\r\n")
            await writer.drain()
            self.note(event="answered", attempt=attempt, pieces=pieces)

    def answer(self, writer, status: int, extra: str) -> None:
        writer.write(
            f"HTTP/1.1 {status} X\r\n{extra}Content-Length: 0\r\n\r\n".encode()
        )


async def main() -> None:
    worker = Worker(json.loads(sys.argv[1]))
    await asyncio.start_server(
        worker.serve, worker.cfg["ip"], worker.cfg["port"], limit=1024 * 1024
    )
    worker.note(event="start")
    await worker.announce()


if __name__ == "__main__":
    asyncio.run(main())
