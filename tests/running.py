"""Programs started for a test, and a caller that speaks to a sidecar."""

import json
import os
import signal
import subprocess
import sys
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field

import trio

from mustardfront.constants import STREAM_CREDIT_CHUNKS
from mustardfront.coordination.quarantine import Quarantine
from mustardfront.protocol import (
    Calls,
    Chunk,
    ConfigPush,
    CrashReport,
    End,
    Head,
    Identity,
    Leaving,
    LoadReport,
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

KEY = b"a-shared-test-key"
START_LIMIT_S = 20
STEP_LIMIT_S = 30


@dataclass
class Program:
    process: trio.Process
    lines: list[dict] = field(default_factory=list)
    _grew: trio.Event = field(default_factory=trio.Event)

    async def read(self, stream) -> None:
        rest = b""
        async for data in stream:
            *whole, rest = (rest + data).split(b"\n")
            for line in whole:
                if line.startswith(b"{"):
                    self.lines.append(json.loads(line))
            self._grew.set()
            self._grew = trio.Event()

    async def line_with(self, key: str, value=None) -> dict:
        """Wait for a line that has the key, with the value unless it is None."""
        with trio.fail_after(STEP_LIMIT_S):
            while True:
                for line in self.lines:
                    if key in line and value in (None, line[key]):
                        return line
                await self._grew.wait()

    def signal(self, number: signal.Signals) -> None:
        self.process.send_signal(number)

    async def wait(self) -> int:
        with trio.fail_after(STEP_LIMIT_S):
            return await self.process.wait()


@asynccontextmanager
async def program(module: str, *args: str) -> AsyncIterator[Program]:
    process = await trio.lowlevel.open_process(
        [sys.executable, "-m", module, *args],
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        env=os.environ | {"PYTHONPATH": os.pathsep.join(sys.path)},
    )
    started = Program(process)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(started.read, process.stdout)
        nursery.start_soon(started.read, process.stderr)
        try:
            yield started
        finally:
            if process.returncode is None:
                process.kill()
            with trio.CancelScope(shield=True, deadline=trio.current_time() + 10):
                await process.wait()
            nursery.cancel_scope.cancel()


@asynccontextmanager
async def standin(name: str, *args: str) -> AsyncIterator[tuple[Program, dict]]:
    async with program(f"mustardfront_standins.{name}", *args) as started:
        with trio.fail_after(START_LIMIT_S):
            ready = await started.line_with("url")
        yield started, ready


@asynccontextmanager
async def sidecar(
    url: str, key_file, kv_url: str, listen: str = "127.0.0.1:0"
) -> AsyncIterator[tuple[Program, str]]:
    args = {
        "upstream-name": "w1",
        "upstream-url": url,
        "peer-listen": listen,
        "host": "h1",
        "place": "a",
        "kv": kv_url,
        "host-list": "http://127.0.0.1:1",
        "key-file": str(key_file),
    }
    flags = [part for name, value in args.items() for part in (f"--{name}", value)]
    async with program("mustardfront.programs.sidecar", *flags) as started:
        with trio.fail_after(START_LIMIT_S):
            ready = await started.line_with("message_type", "process-ready")
            await started.line_with("message_type", "upstream-state")
        yield started, ready["addresses"]["peer"]


def make_config(version: int = 1, upstream_state: str = "active", **limits) -> Config:
    ticket = ticket_from_data(
        {
            "ticket": 1,
            "author": "a",
            "reason": "r",
            "set": {
                "places": {"a": {"region": "bayern"}},
                "hosts": {"h1": {"place": "a"}},
                "services": {"svc": {"kind": "model"}},
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
    from dataclasses import replace

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


def completion(prompt: str, tokens: int, **changes) -> Request:
    body = json.dumps({"prompt": prompt, "max_tokens": tokens, "stream": True})
    return make_request(body=body.encode(), streamed=True, **changes)


@dataclass
class Gathered:
    """All replies to one call, and what they amount to."""

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
    """An entry's side of one connection."""

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
                    self.quarantine.crashed(upstream, instance, fingerprints)
                case LoadReport() as report:
                    self.loads.append(report)
                case Leaving():
                    self.leaving.set()
                case other:
                    assert self.calls.dispatch(other) is None

    async def push(self, cfg: Config) -> None:
        await self.conn.send(ConfigPush(cfg.version, config_to_bytes(cfg)))

    async def run(self, req: Request, *, on_chunk=None) -> Gathered:
        got = Gathered()
        with trio.fail_after(STEP_LIMIT_S), self.calls.open() as call:
            await self.calls.start(call, req)
            while True:
                reply = await call.next_reply()
                match reply:
                    case Started():
                        got.started = True
                    case Head(_, status, _):
                        got.status = status
                    case Chunk():
                        got.chunks.append(reply)
                        if on_chunk is not None:
                            await on_chunk(call, got)
                        await call.acknowledge()
                    case _:
                        got.last = reply
                        return got


@asynccontextmanager
async def caller(address: str, instance: str = "entry-1") -> AsyncIterator[Caller]:
    host, _, port = address.rpartition(":")
    identity = Identity("entry", "h0", "a", instance)
    async with connect_peer((host, int(port)), identity, KEY) as conn:
        assert isinstance(conn, Ok), conn
        one = Caller(conn.value)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(one.receive)
            yield one
            nursery.cancel_scope.cancel()


__all__ = ["End", "Refused"]
