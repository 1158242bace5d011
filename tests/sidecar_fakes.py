"""Sidecar with a scripted upstream and a connection that records what is sent."""

import json
from contextlib import asynccontextmanager

import trio
import trio.testing

from mustardfront.codes import Code
from mustardfront.coordination.config import ConfigStore
from mustardfront.coordination.peers import PeerHub
from mustardfront.programs.sidecar._attempt import Attempt
from mustardfront.programs.sidecar._program import apply_config
from mustardfront.programs.sidecar._relay import run_attempt
from mustardfront.programs.sidecar._state import Sidecar
from mustardfront.results import Err, Ok
from running import make_config

CONNECTION_LOST = Err(Code.STREAM_CUT, "connection lost")
CONNECTION_REFUSED = Err(Code.UPSTREAM_DOWN, "connection refused")


def token(index: int) -> bytes:
    return f"data: {json.dumps({'index': index})}\n\n".encode()


DONE = b"data: [DONE]\n\n"


class FakeResponse:
    """Response with scripted chunks.

    A float in ``parts`` is a delay in s, an Err ends the body with that error.
    """

    def __init__(self, parts, status=200, is_event_stream=True, length_known=True):
        self.parts = list(parts)
        self.status, self.headers = status, ()
        self.is_event_stream, self.length_known = is_event_stream, length_known

    async def receive(self):
        if self.parts and isinstance(self.parts[0], float):
            await trio.sleep(self.parts.pop(0))
        await trio.lowlevel.checkpoint()
        part = self.parts.pop(0) if self.parts else b""
        return part if isinstance(part, Err) else Ok(part)


class FakeClient:
    """Upstream client that answers each call with ``script(call)``."""

    def __init__(self, script) -> None:
        self.script = script
        self.calls = []
        self.running = self.running_max = 0

    @asynccontextmanager
    async def exchange(self, call, before_write=None):
        answer = self.script(call)
        if answer is CONNECTION_REFUSED:
            yield answer
            return
        if before_write:
            await before_write()
        self.calls.append(call)
        self.running += 1
        self.running_max = max(self.running_max, self.running)
        try:
            yield answer if isinstance(answer, Err) else Ok(answer)
        finally:
            self.running -= 1


class FakeConn:
    """Connection that records the sent messages."""

    def __init__(self) -> None:
        self.sent = []

    async def send(self, message):
        await trio.lowlevel.checkpoint()
        self.sent.append(message)

    def send_nowait(self, message) -> bool:
        self.sent.append(message)
        return True

    def sent_of_type(self, kind):
        return [message for message in self.sent if isinstance(message, kind)]


async def make_sidecar(script, cfg=None) -> Sidecar:
    sidecar = Sidecar("w1", FakeClient(script), ConfigStore(), PeerHub())
    sidecar.healthy, sidecar.instance = True, "i1"
    sidecar.store.update_if_newer(cfg or make_config(), "test")
    await apply_config(sidecar, sidecar.store.current)
    return sidecar


def make_attempt(req) -> Attempt:
    return Attempt(req, FakeConn(), trio.current_time() + req.deadline_ms / 1e3)


async def run(sidecar: Sidecar, req) -> FakeConn:
    attempt = make_attempt(req)
    await run_attempt(sidecar, attempt)
    return attempt.conn
