"""Many stub sidecars in one process: handshakes, heartbeats, load reports, answers.

``python -m bench._stub_sidecars COUNT KEY_FILE`` prints the addresses as JSON, then the
control bytes sent and received so far, once a second.
"""

from __future__ import annotations

import json
import sys
from pathlib import Path

import trio

from mustardfront.programs.sidecar._peers import REPORT_BYTES, REPORT_BYTES_PER_S
from mustardfront.protocol import (
    ConfigOffer,
    End,
    Head,
    Identity,
    LoadReport,
    Message,
    PeerConnection,
    Ping,
    Pong,
    Request,
    encode,
    serve_peers,
)
from mustardfront.results import Err

# What a sidecar does that 400 entries are connected to.
REPORT_INTERVAL_S = 400 * REPORT_BYTES / REPORT_BYTES_PER_S
FRAME_HEADER_BYTES = 4


class Counts:
    """Bytes of control messages, over all stubs."""

    def __init__(self) -> None:
        self.sent = 0
        self.received = 0

    def send(self, conn: PeerConnection, message: Message) -> None:
        """Send a control message and count it."""
        if conn.send_nowait(message):
            self.sent += len(encode(message)) + FRAME_HEADER_BYTES


async def _serve(conn: PeerConnection, name: str, counts: Counts) -> None:
    async def report() -> None:
        while True:
            counts.send(conn, LoadReport(name, 0, 0, 64, "ready", 1.0))
            await trio.sleep(REPORT_INTERVAL_S)

    async with trio.open_nursery() as nursery:
        nursery.start_soon(report)
        while True:
            message = await conn.receive()
            if isinstance(message, Err):
                break
            req = message.value
            if isinstance(req, Request):
                await conn.send(Head(req.stream, 200))
                await conn.send(End(req.stream, 1000, "answered", 0))
                continue
            counts.received += len(encode(req)) + FRAME_HEADER_BYTES
            if isinstance(req, Ping):
                counts.send(conn, Pong(req.nonce, req.config_version))
            if isinstance(req, ConfigOffer):
                continue
        nursery.cancel_scope.cancel()


async def _main(count: int, key: bytes) -> None:
    counts = Counts()
    addresses: list[str] = []
    async with trio.open_nursery() as nursery:
        for number in range(count):
            name = f"stub-{number}"
            identity = Identity("sidecar", f"host-{name}", "bayern-a", name, name)

            async def handle(conn: PeerConnection, name: str = name) -> None:
                await _serve(conn, name, counts)

            bound = await nursery.start(
                serve_peers, ("127.0.0.1", 0), identity, key, handle
            )
            addresses.append(f"{bound[0]}:{bound[1]}")
        print(json.dumps({"addresses": addresses}), flush=True)
        while True:
            await trio.sleep(1.0)
            line = {"message_type": "bytes", "sent": counts.sent}
            print(json.dumps(line | {"received": counts.received}), flush=True)


if __name__ == "__main__":
    trio.run(_main, int(sys.argv[1]), Path(sys.argv[2]).read_bytes().strip())
