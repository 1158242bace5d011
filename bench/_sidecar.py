"""A sidecar in front of a stand-in, with calls through it and directly."""

from __future__ import annotations

import json
import os
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, replace
from typing import Any, Final

import httpcore
import trio

from mustardfront.protocol import (
    Calls,
    Chunk,
    ConfigPush,
    End,
    Identity,
    PeerConnection,
    Ping,
    Pong,
    Refused,
    Request,
    connect_peer,
)
from mustardfront.results import Err, Ok
from mustardfront.state import (
    Config,
    Host,
    Limits,
    Place,
    Service,
    Upstream,
    config_to_bytes,
)
from mustardfront_standins.fleet import Fleet, FleetProcess

KEY: Final = "a-key-for-measurements"
UNUSED_URL: Final = "http://127.0.0.1:1"
CONFIG: Final = Config(
    version=1,
    places={"a": Place("r")},
    hosts={"h": Host("a")},
    services={"s": Service("model")},
    upstreams={"w": Upstream("s", "h", "127.0.0.1:1")},
    limits={"s": Limits(max_in_flight=4_096, queue=4_096)},
)
REQUEST: Final = Request(
    stream=0,
    request_id="r",
    attempt=1,
    team="t",
    service="s",
    method="POST",
    path="/v1/completions",
    headers=(),
    body=b"",
    deadline_ms=300_000,
    priority=1,
)


@dataclass
class Pair:
    """A stand-in's URL, its sidecar's process, and a peer connection to the sidecar."""

    url: str
    sidecar: FleetProcess
    conn: PeerConnection
    calls: Calls

    @property
    def sidecar_memory_bytes(self) -> int:
        """Return the resident memory of the sidecar."""
        with open(f"/proc/{self.sidecar.pid}/statm") as file:
            return int(file.read().split()[1]) * os.sysconf("SC_PAGE_SIZE")

    @property
    def sidecar_cpu_s(self) -> float:
        """Return the processor time that the sidecar has used so far."""
        with open(f"/proc/{self.sidecar.pid}/stat") as file:
            fields = file.read().rpartition(") ")[2].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")

    async def receive(self) -> None:
        """Dispatch replies to their calls and answer pings, until cancelled."""
        while True:
            message = await self.conn.receive()
            if isinstance(message, Err):
                raise RuntimeError(message.text)
            if isinstance(message.value, Ping):
                self.conn.send_nowait(Pong(message.value.nonce, CONFIG.version))
            else:
                self.calls.dispatch(message.value)

    async def call_through_sidecar(self, req: Request) -> AsyncIterator[bytes]:
        """Yield the chunks of the answer to a request sent through the sidecar."""
        with self.calls.open() as call:
            await self.calls.start(call, req)
            while True:
                reply = await call.next_reply()
                if isinstance(reply, Err | Refused):
                    raise RuntimeError(reply.text)
                if isinstance(reply, Chunk):
                    yield reply.data
                    await call.acknowledge()
                if isinstance(reply, End):
                    if reply.code != 1000:
                        raise RuntimeError(reply.text)
                    return


@asynccontextmanager
async def start_sidecar(name: str, *args: str) -> AsyncIterator[Pair]:
    """Run a stand-in and its sidecar, with ``CONFIG`` in force in the sidecar."""
    async with Fleet() as fleet:
        upstream = await fleet.start_standin(name, name, *args)
        kv = await fleet.start_standin("kv", "kv")
        flags = {
            "--upstream-name": "w",
            "--upstream-url": upstream.ready["url"],
            "--peer-listen": "127.0.0.1:0",
            "--host": "h",
            "--place": "a",
            "--kv": kv.ready["url"],
            "--host-list": UNUSED_URL,
            "--key-file": str(fleet.write("key", KEY)),
        }
        module = "mustardfront.programs.sidecar"
        args = tuple(part for flag in flags.items() for part in flag)
        sidecar = await fleet.start("sidecar", module, *args)
        with trio.fail_after(30):
            ready = await sidecar.wait_event("process-ready")
            await sidecar.wait_event("upstream-state")
        host, _, port = ready["addresses"]["peer"].rpartition(":")
        identity = Identity("entry", "e", "a", "bench")
        async with connect_peer((host, int(port)), identity, KEY.encode()) as conn:
            if not isinstance(conn, Ok):
                raise RuntimeError(conn.text)
            pair = Pair(upstream.ready["url"], sidecar, conn.value, Calls(conn.value))
            async with trio.open_nursery() as nursery:
                nursery.start_soon(pair.receive)
                await conn.value.send(ConfigPush(1, config_to_bytes(CONFIG)))
                with trio.fail_after(30):
                    await sidecar.wait_event("config-in-force")
                yield pair
                nursery.cancel_scope.cancel()


def completion_request(tokens: int) -> Request:
    """Return a request for a streamed completion of a number of tokens."""
    body = json.dumps({"prompt": "p", "max_tokens": tokens, "stream": True})
    return replace(REQUEST, body=body.encode(), streamed=True)


async def call_directly(
    client: httpcore.AsyncConnectionPool, url: str, req: Request
) -> AsyncIterator[bytes]:
    """Yield the answer of a request sent directly to the upstream.

    A streamed answer is split into its server-sent events.
    """
    async with client.stream(
        req.method, url + req.path, content=req.body or None
    ) as response:
        rest = b""
        async for data in response.aiter_stream():
            if not req.streamed:
                yield data
                continue
            *events, rest = (rest + data).split(b"\n\n")
            for event in events:
                if event != b"data: [DONE]":
                    yield event.removeprefix(b"data: ")


def token_delay_s(event: bytes) -> float:
    """Return the time since the engine sent a token, from the event's time stamp."""
    received_s = time.monotonic()
    sent: Any = json.loads(event)["sent_s"]
    return received_s - float(sent)
