"""An in-process HTTP front with scripted sidecars on in-memory streams."""

import hashlib
import json
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from urllib.parse import unquote

import trio
import trio.testing

from mustardfront.codes import Code
from mustardfront.coordination.limits import RetryBudget, TeamLimits
from mustardfront.coordination.quarantine import CrashEvidence, Quarantine
from mustardfront.coordination.routing import UpstreamTable
from mustardfront.metrics import Metrics
from mustardfront.programs.entry._app import FrontContext, make_app
from mustardfront.programs.entry._explain import Decisions
from mustardfront.programs.entry._forward import Forwarder
from mustardfront.protocol import (
    Calls,
    Chunk,
    End,
    Head,
    Identity,
    PeerConnection,
    Refused,
    Request,
    Started,
    open_peer,
)
from mustardfront.results import Err, Ok
from mustardfront.state import (
    Config,
    Host,
    Limits,
    Place,
    Route,
    Service,
    Team,
    Upstream,
)

KEY = b"a-shared-test-key"
Script = Callable[[PeerConnection, Request], Awaitable[None]]


def make_config(upstreams: dict[str, str], max_in_flight: int = 10) -> Config:
    """Return a configuration with these upstreams, by name and service."""
    return Config(
        version=1,
        places={"place-a": Place("region")},
        hosts={"host-a": Host("place-a")},
        services={
            "writer": Service("model", model="writer"),
            "ledger": Service("plain", routes=(Route("GET", "/", True),)),
            "booking": Service("plain", routes=(Route("POST", "/", False),)),
        },
        teams={
            "lofts": Team(
                hashlib.sha256(b"key").hexdigest(),
                ("writer", "ledger", "booking"),
                max_in_flight=max_in_flight,
            )
        },
        upstreams={
            name: Upstream(service, "host-a", "127.0.0.1:1")
            for name, service in upstreams.items()
        },
        limits={"writer": Limits()},
    )


class FakeLinks:
    """Links to scripted sidecars; an upstream without a script refuses to connect."""

    def __init__(self, calls: dict[str, Calls]) -> None:
        self._calls = calls

    async def calls(self, upstream: str, address: str) -> Ok[Calls] | Err:

        if upstream not in self._calls:
            return Err(Code.CONNECT_FAILED, "connection refused")
        return Ok(self._calls[upstream])


class Client:
    """Calls the ASGI application as the HTTP server would."""

    def __init__(self, front: FrontContext) -> None:
        self.front = front
        self._app = make_app(front)

    async def call(
        self,
        method: str,
        path: str,
        body: bytes = b"",
        headers: dict[str, str] | None = None,
        send: Callable[[dict], Awaitable[None]] | None = None,
        disconnected: trio.Event | None = None,
    ) -> tuple[int, dict[str, str], bytes]:
        sent: list[dict] = []
        received = [{"type": "http.request", "body": body, "more_body": False}]
        disconnect = trio.Event() if disconnected is None else disconnected

        async def receive() -> dict:
            if received:
                return received.pop()
            await disconnect.wait()
            return {"type": "http.disconnect"}

        async def collect(message: dict) -> None:
            await trio.lowlevel.checkpoint()
            sent.append(message)

        all_headers = {"authorization": "Bearer lofts:key", **(headers or {})}
        scope = {
            "type": "http",
            "method": method,
            "path": unquote(path),
            "raw_path": path.encode(),
            "query_string": b"",
            "headers": [(n.encode(), v.encode()) for n, v in all_headers.items()],
        }
        await self._app(scope, receive, send or collect)
        if not sent:
            return 0, {}, b""
        start = sent[0]
        names = {n.decode(): v.decode() for n, v in start["headers"]}
        return start["status"], names, b"".join(m["body"] for m in sent[1:])

    async def stream(
        self, prompt: str = "p", deadline_ms: int = 5_000
    ) -> tuple[list[str], dict]:
        """Request a stream; return its tokens and the data of its last event."""
        body = json.dumps({"model": "writer", "prompt": prompt, "stream": True})
        _, _, answer = await self.call(
            "POST",
            "/v1/completions",
            body.encode(),
            {"x-deadline-ms": str(deadline_ms)},
        )
        return read_stream(answer)


def read_stream(answer: bytes) -> tuple[list[str], dict]:
    """Return the tokens of an event stream and the data of its last event."""
    tokens, last = [], {}
    for frame in answer.decode().split("\n\n"):
        if frame.startswith("event: "):
            last = json.loads(frame.split("\ndata: ")[1])
        elif frame.startswith("data: "):
            tokens.append(
                json.loads(frame.removeprefix("data: "))["choices"][0]["text"]
            )
        elif frame:
            last = json.loads(frame)
    return tokens, last


def token(index: int) -> bytes:
    """Return the payload of a token whose text is its index."""
    data = {"index": index, "choices": [{"text": str(index)}]}
    return json.dumps(data).encode()


async def send_tokens(
    conn: PeerConnection, req: Request, indexes: range | list[int]
) -> None:
    """Start an answer and send tokens of these indexes."""
    await conn.send(Started(req.stream))
    await conn.send(Head(req.stream, 200))
    for index in indexes:
        await conn.send(Chunk(req.stream, index, token(index)))


async def send_end(conn: PeerConnection, req: Request, count: int) -> None:
    """Send the end of a complete answer."""
    await conn.send(End(req.stream, 1000, "answered", count))


@asynccontextmanager
async def front_with(
    scripts: dict[str, Script],
    upstreams: dict[str, str],
    max_in_flight: int = 10,
) -> AsyncIterator[Client]:
    """Yield a client of a front whose sidecars follow scripts, by upstream name."""
    cfg = make_config(upstreams, max_in_flight)
    table = UpstreamTable(trio.current_time)
    table.update_config(cfg)
    calls: dict[str, Calls] = {}
    async with trio.open_nursery() as nursery:
        for name, script in scripts.items():
            calls[name] = await nursery.start(_connect, name, script)
        budget = RetryBudget(0.1, 3)
        forwarder = Forwarder(
            config=lambda: cfg,
            place="place-a",
            links=FakeLinks(calls),
            table=table,
            budget_of=lambda _: budget,
            quarantine=Quarantine(trio.current_time),
            crash_evidence=CrashEvidence(trio.current_time),
        )
        yield Client(
            FrontContext(
                forwarder,
                TeamLimits(),
                Metrics(),
                Decisions(),
                is_ready=lambda: True,
                is_draining=lambda: False,
            )
        )
        nursery.cancel_scope.cancel()


async def _connect(
    name: str, script: Script, *, task_status: trio.TaskStatus[Calls]
) -> None:
    near, far = trio.testing.memory_stream_pair()
    entry = Identity("entry", "host-e", "place-a", "entry-1")
    sidecar = Identity("sidecar", "host-a", "place-a", name, name)

    async def serve() -> None:
        async with open_peer(far, sidecar, KEY, dialled=False) as conn:
            assert isinstance(conn, Ok)
            async with trio.open_nursery() as requests:
                while isinstance(message := await conn.value.receive(), Ok):
                    if isinstance(message.value, Request):
                        requests.start_soon(script, conn.value, message.value)
                requests.cancel_scope.cancel()

    async with trio.open_nursery() as nursery:
        nursery.start_soon(serve)
        async with open_peer(near, entry, KEY, dialled=True) as conn:
            assert isinstance(conn, Ok)
            calls = Calls(conn.value)
            task_status.started(calls)
            while isinstance(message := await conn.value.receive(), Ok):
                calls.dispatch(message.value)
            calls.close()
            await trio.sleep_forever()


TWO_WRITERS = {"w1": "writer", "w2": "writer"}


def refuse(code: Code, not_run: bool = True):
    async def script(conn, req):
        await conn.send(Refused(req.stream, int(code), not_run))

    return script


def crash_after(count: int, code: Code = Code.UPSTREAM_CRASHED):
    async def script(conn, req):
        await send_tokens(conn, req, range(req.resume_from, req.resume_from + count))
        await conn.send(End(req.stream, int(code), "unknown", count))

    return script


async def serve_ten(conn, req):
    await send_tokens(conn, req, range(req.resume_from, 10))
    await send_end(conn, req, 10)
