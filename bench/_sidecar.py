"""A sidecar between stand-ins and a caller, and calls that go around it."""

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
NOTHING: Final = "http://127.0.0.1:1"
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
    """A stand-in, its sidecar, and the connection to the sidecar."""

    url: str
    side: FleetProcess
    conn: PeerConnection
    calls: Calls

    @property
    def side_memory_bytes(self) -> int:
        """Return the resident memory of the sidecar."""
        with open(f"/proc/{self.side.pid}/statm") as file:
            return int(file.read().split()[1]) * os.sysconf("SC_PAGE_SIZE")

    @property
    def side_cpu_s(self) -> float:
        """Return the processor time that the sidecar has used."""
        with open(f"/proc/{self.side.pid}/stat") as file:
            fields = file.read().rpartition(") ")[2].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")

    async def receive(self) -> None:
        """Hand replies to their calls, until cancelled."""
        while True:
            message = await self.conn.receive()
            if isinstance(message, Err):
                raise RuntimeError(message.text)
            if isinstance(message.value, Ping):
                self.conn.send_nowait(Pong(message.value.nonce, CONFIG.version))
            else:
                self.calls.dispatch(message.value)

    async def through(self, req: Request) -> AsyncIterator[bytes]:
        """Yield the parts of an answer that comes through the sidecar."""
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
async def pair(name: str, *args: str) -> AsyncIterator[Pair]:
    """Run a stand-in and its sidecar, with a configuration in force."""
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
            "--host-list": NOTHING,
            "--key-file": str(fleet.write("key", KEY)),
        }
        module = "mustardfront.programs.sidecar"
        args = tuple(part for flag in flags.items() for part in flag)
        side = await fleet.start("sidecar", module, *args)
        with trio.fail_after(30):
            ready = await side.wait_event("process-ready")
            await side.wait_event("upstream-state")
        host, _, port = ready["addresses"]["peer"].rpartition(":")
        identity = Identity("entry", "e", "a", "bench")
        async with connect_peer((host, int(port)), identity, KEY.encode()) as conn:
            if not isinstance(conn, Ok):
                raise RuntimeError(conn.text)
            found = Pair(upstream.ready["url"], side, conn.value, Calls(conn.value))
            async with trio.open_nursery() as nursery:
                nursery.start_soon(found.receive)
                await conn.value.send(ConfigPush(1, config_to_bytes(CONFIG)))
                with trio.fail_after(30):
                    await side.wait_event("config-in-force")
                yield found
                nursery.cancel_scope.cancel()


def completion(tokens: int) -> Request:
    """Return a streamed request for a number of tokens."""
    body = json.dumps({"prompt": "p", "max_tokens": tokens, "stream": True})
    return replace(REQUEST, body=body.encode(), streamed=True)


async def around(
    client: httpcore.AsyncConnectionPool, url: str, req: Request
) -> AsyncIterator[bytes]:
    """Yield the events, or the pieces, of an answer straight from the upstream."""
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


def delay_s(event: bytes) -> float:
    """Return the time since the engine sent a token with its time."""
    received_s = time.monotonic()
    sent: Any = json.loads(event)["sent_s"]
    return received_s - float(sent)
