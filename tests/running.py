"""Helpers that start programs, and a peer client that sends requests to a sidecar."""

import json
import os
import time
import uuid
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field, replace

import trio

from mustardfront.constants import STREAM_CREDIT_CHUNKS
from mustardfront.coordination.quarantine import Quarantine
from mustardfront.protocol import (
    Calls,
    Chunk,
    ConfigPush,
    CrashReport,
    Head,
    Identity,
    Leaving,
    LoadReport,
    Ping,
    Pong,
    Refused,
    Request,
    Started,
    connect_peer,
)
from mustardfront.results import Err, Ok
from mustardfront.state import (
    Config,
    apply_ticket,
    config_to_bytes,
    ticket_from_data,
)
from mustardfront_standins.fleet import Fleet, FleetProcess

KEY = b"a-shared-test-key"
NOTHING = "http://127.0.0.1:1"
STEP_LIMIT_S = 30


def sidecar_flags(
    fleet: Fleet, url: str, kv_url: str, listen: str = "127.0.0.1:0", name: str = "w1"
) -> list[str]:
    args = {
        "upstream-name": name,
        "upstream-url": url,
        "peer-listen": listen,
        "host": "h1",
        "place": "a",
        "kv": kv_url,
        "host-list": NOTHING,
        "key-file": str(fleet.write("key", KEY.decode())),
    }
    return [part for name, value in args.items() for part in (f"--{name}", value)]


async def start_sidecar(
    fleet: Fleet, url: str, kv_url: str, name: str = "w1"
) -> tuple[FleetProcess, str]:
    """Start a sidecar and wait for its upstream state; return it and its address."""
    flags = sidecar_flags(fleet, url, kv_url, name=name)
    module = "mustardfront.programs.sidecar"
    side = await fleet.start(f"sidecar-{name}", module, *flags)
    with trio.fail_after(STEP_LIMIT_S):
        ready = await side.wait_event("process-ready")
        await side.wait_event("upstream-state")
    return side, ready["addresses"]["peer"]


@dataclass
class Served:
    """A running stand-in, its sidecar and a peer client of the sidecar."""

    fleet: Fleet
    upstream: FleetProcess
    side: FleetProcess
    address: str
    caller: "Caller"


@asynccontextmanager
async def served(name: str = "engine", *args: str, cfg=None) -> AsyncIterator[Served]:
    async with Fleet() as fleet:
        upstream = await fleet.start_standin(name, name, *args)
        kv = await fleet.start_standin("kv", "kv")
        side, address = await start_sidecar(
            fleet, upstream.ready["url"], kv.ready["url"]
        )
        async with caller(address) as client:
            await client.push(cfg or make_config())
            yield Served(fleet, upstream, side, address, client)


async def exit_code(proc: FleetProcess) -> int:
    with trio.fail_after(STEP_LIMIT_S):
        return await proc.process.wait()


def make_config(
    version: int = 1, upstream_state: str = "active", kind: str = "model", **limits
) -> Config:
    ticket = ticket_from_data(
        {
            "ticket": 1,
            "author": "a",
            "reason": "r",
            "set": {
                "places": {"a": {"region": "bayern"}},
                "hosts": {"h1": {"place": "a"}},
                "services": {"svc": {"kind": kind}},
                "teams": {"lofts": {"key_sha256": "0" * 64, "services": ["svc"]}},
                "upstreams": {
                    "w1": {
                        "service": "svc",
                        "host": "h1",
                        "address": "127.0.0.1:1",
                        "state": upstream_state,
                    }
                },
                "limits": {"svc": limits},
            },
            "remove": {},
        }
    )
    assert isinstance(ticket, Ok)
    cfg = apply_ticket(Config(version=0), ticket.value)
    assert isinstance(cfg, Ok)
    return replace(cfg.value, version=version)


def make_request(**changes) -> Request:
    fields = {
        "stream": 1,
        "request_id": "r-1",
        "attempt": 1,
        "team": "lofts",
        "service": "svc",
        "method": "POST",
        "path": "/v1/completions",
        "headers": (("content-type", "application/json"),),
        "body": b"",
        "deadline_ms": 20_000,
        "priority": 1,
        "credit": STREAM_CREDIT_CHUNKS,
    }
    return Request(**(fields | changes))


def new_key() -> str:
    """Return a new idempotency key, a UUIDv7 of the current time."""
    random = int.from_bytes(os.urandom(10), "big") & ~(0xF << 76) & ~(0x3 << 62)
    value = time.time_ns() // 1_000_000 << 80 | random | 0x7 << 76 | 0x2 << 62
    return str(uuid.UUID(int=value))


def booking(record: str, key: str = "", **changes) -> Request:
    key = key or new_key()
    path = f"/records/{record}"
    return make_request(path=path, idempotent=False, idempotency_key=key, **changes)


def completion(prompt: str, tokens: int, **changes) -> Request:
    body = json.dumps({"prompt": prompt, "max_tokens": tokens, "stream": True})
    return make_request(body=body.encode(), streamed=True, **changes)


@dataclass
class Gathered:
    """Collected replies to one call."""

    started: bool = False
    status: int = 0
    chunks: list[Chunk] = field(default_factory=list)
    last: object = None

    @property
    def body(self) -> bytes:
        return b"".join(chunk.data for chunk in self.chunks)

    @property
    def tokens(self) -> list[str]:
        return [json.loads(c.data)["choices"][0]["text"] for c in self.chunks]


class Caller:
    """Client of a sidecar that acts as an entry on one peer connection."""

    def __init__(self, conn) -> None:
        self.conn = conn
        self.calls = Calls(conn)
        self.quarantine = Quarantine(trio.current_time)
        self.reports: list[CrashReport] = []
        self.loads: list[LoadReport] = []
        self.leaving = trio.Event()

    async def receive(self) -> None:
        while True:
            message = await self.conn.receive()
            if isinstance(message, Err):
                self.calls.close()
                return
            match message.value:
                case CrashReport(upstream, instance, fingerprints) as report:
                    self.reports.append(report)
                    self.quarantine.record_crash(upstream, instance, fingerprints)
                case LoadReport() as report:
                    self.loads.append(report)
                case Leaving():
                    self.leaving.set()
                case Ping(nonce, version):
                    self.conn.send_nowait(Pong(nonce, version))
                case other:
                    assert self.calls.dispatch(other) is None

    async def settle(self) -> None:
        """Wait until the sidecar has read all earlier messages.

        It answers a request to an unknown service only after them.
        """
        with trio.fail_after(STEP_LIMIT_S):
            result = await self.run(make_request(service="none"))
        assert isinstance(result.last, Refused)

    async def push(self, cfg: Config) -> None:
        await self.conn.send(ConfigPush(cfg.version, config_to_bytes(cfg)))

    async def run_when_up(self, req: Request) -> "Gathered":
        """Send a request and repeat it until the sidecar no longer refuses it."""
        for _ in range(100):
            result = await self.run(req)
            if not isinstance(result.last, Refused):
                return result
            await trio.sleep(0.1)
        raise AssertionError(f"refused in each of 100 attempts: {result.last}")

    async def run(self, req: Request, *, on_chunk=None) -> Gathered:
        result = Gathered()
        with trio.fail_after(STEP_LIMIT_S), self.calls.open() as call:
            await self.calls.start(call, req)
            while True:
                reply = await call.next_reply()
                match reply:
                    case Started():
                        result.started = True
                    case Head(_, status, _):
                        result.status = status
                    case Chunk():
                        result.chunks.append(reply)
                        if on_chunk is not None:
                            await on_chunk(call, result)
                        await call.acknowledge()
                    case _:
                        result.last = reply
                        return result


@asynccontextmanager
async def caller(address: str, instance: str = "entry-1") -> AsyncIterator[Caller]:
    host, _, port = address.rpartition(":")
    identity = Identity("entry", "h0", "a", instance)
    async with connect_peer((host, int(port)), identity, KEY) as conn:
        assert isinstance(conn, Ok), conn
        client = Caller(conn.value)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(client.receive)
            yield client
            nursery.cancel_scope.cancel()
