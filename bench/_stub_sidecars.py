"""Many stub sidecars in one process.

They do handshakes, answer heartbeats and requests, and send load reports.

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

# The interval at which a sidecar with connections from 400 entries sends reports.
REPORT_INTERVAL_S = 400 * REPORT_BYTES / REPORT_BYTES_PER_S
FRAME_HEADER_BYTES = 4


class ControlBytes:
    """Bytes of control messages, summed over all stubs."""

    def __init__(self) -> None:
        self.sent = 0
        self.received = 0

    def send(self, conn: PeerConnection, message: Message) -> None:
        """Send a control message and count its bytes."""
        if conn.send_nowait(message):
            self.sent += len(encode(message)) + FRAME_HEADER_BYTES


async def _serve_connection(
    conn: PeerConnection, name: str, control_bytes: ControlBytes
) -> None:
    async def report() -> None:
        while True:
            control_bytes.send(conn, LoadReport(name, 0, 0, 64, "ready", 1.0))
            await trio.sleep(REPORT_INTERVAL_S)

    async with trio.open_nursery() as nursery:
        nursery.start_soon(report)
        while True:
            result = await conn.receive()
            if isinstance(result, Err):
                break
            message = result.value
            if isinstance(message, Request):
                await conn.send(Head(message.stream, 200))
                await conn.send(End(message.stream, 1000, "answered", 0))
                continue
            control_bytes.received += len(encode(message)) + FRAME_HEADER_BYTES
            if isinstance(message, Ping):
                control_bytes.send(conn, Pong(message.nonce, message.config_version))
            if isinstance(message, ConfigOffer):
                continue
        nursery.cancel_scope.cancel()


async def _serve_stubs(count: int, key: bytes) -> None:
    control_bytes = ControlBytes()
    addresses: list[str] = []
    async with trio.open_nursery() as nursery:
        for number in range(count):
            name = f"stub-{number}"
            identity = Identity("sidecar", f"host-{name}", "bayern-a", name, name)

            async def handle(conn: PeerConnection, name: str = name) -> None:
                await _serve_connection(conn, name, control_bytes)

            address = await nursery.start(
                serve_peers, ("127.0.0.1", 0), identity, key, handle
            )
            addresses.append(f"{address[0]}:{address[1]}")
        print(json.dumps({"addresses": addresses}), flush=True)
        while True:
            await trio.sleep(1.0)
            totals = {"message_type": "bytes", "sent": control_bytes.sent}
            print(json.dumps(totals | {"received": control_bytes.received}), flush=True)


if __name__ == "__main__":
    trio.run(_serve_stubs, int(sys.argv[1]), Path(sys.argv[2]).read_bytes().strip())
