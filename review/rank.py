"""Stand-in for a model worker as its agent sees it: ``GET /-/report`` alone.

Usage: ``python3 rank.py IP PORT RANK SIZE LOG``. After SIGUSR1 its next answer is bytes that
are no answer and do not end until the caller closes (letter 4).
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import signal
import sys
import time

PIECE = b"x" * 65536


class Rank:
    def __init__(self, rank: int, size: int, log: str) -> None:
        self.log = open(log, "a", buffering=1)
        self.spoils_next = False
        self.report = {
            "stage": "prefill_decode",
            "models": [{"name": "m", "version": 1, "adapters": []}],
            "busy": False,
            "sequence": 0,
            "queued": 0,
            "active": 0,
            "kvUsed": 0,
            "kvTotal": 247000,
            "kvHandles": 0,
            "pace": 1.0,
            "step": 0,
            "map": 0,
            "group": {"name": "g", "epoch": 1, "rank": rank, "state": "open"},
            "size": size,
            "born": round(time.time() * 1000),
        }

    def note(self, event: str) -> None:
        rank = self.report["group"]["rank"]
        line = {"at": time.time(), "rank": rank, "event": event}
        self.log.write(json.dumps(line) + "\n")

    def spoil_next(self) -> None:
        self.spoils_next = True

    async def serve(self, reader, writer) -> None:
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            while True:
                await reader.readuntil(b"\r\n\r\n")
                if self.spoils_next:
                    self.spoils_next = False
                    self.note("answers a report without end")
                    writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\n")
                    while True:
                        writer.write(PIECE)
                        await writer.drain()
                raw = json.dumps(self.report).encode()
                writer.write(
                    b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                    b"Content-Length: %d\r\n\r\n" % len(raw) + raw
                )
                await writer.drain()
                self.note("answers a report")
        writer.close()


async def main() -> None:
    rank = Rank(int(sys.argv[3]), int(sys.argv[4]), sys.argv[5])
    await asyncio.start_server(rank.serve, sys.argv[1], int(sys.argv[2]))
    asyncio.get_running_loop().add_signal_handler(signal.SIGUSR1, rank.spoil_next)
    await asyncio.Event().wait()


if __name__ == "__main__":
    asyncio.run(main())
