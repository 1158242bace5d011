"""Fake upstreams and callers of a gateway, over loopback sockets."""

from __future__ import annotations

from collections.abc import AsyncIterator, Awaitable, Callable, Mapping
from contextlib import asynccontextmanager
from dataclasses import dataclass, field, replace

import h11
import trio

from mustardfront.coordination.limits import RetryBudget
from mustardfront.coordination.traffic import Snapshot, TrafficState
from mustardfront.metrics import Metrics
from mustardfront.programs._http import bind_socket, serve_asgi, server_config
from mustardfront.programs.gateway._app import Frontend, make_app
from mustardfront.programs.gateway._choice import Forwarder
from mustardfront.programs.gateway._crash import CrashReporter
from mustardfront.programs.gateway._header_names import HeaderNames
from mustardfront.programs.gateway._outbox import Outbox
from mustardfront.results import Ok
from mustardfront.state import (
    RequestKind,
    ServiceShare,
    TeamAccess,
    TrafficConfig,
    TrafficRoute,
    TrafficService,
    UpstreamInstance,
    UpstreamState,
)

SEAL = b"x-answer-seal: s1\r\n"


@dataclass
class ReceivedRequest:
    """A request that a fake upstream received."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes


ResponseScript = Callable[[ReceivedRequest, trio.SocketStream], Awaitable[None]]


def respond(status: int, body: bytes = b"ok", extra: bytes = SEAL) -> ResponseScript:
    """Return a script that sends a complete response."""

    async def send(request: ReceivedRequest, stream: trio.SocketStream) -> None:
        echo = (
            b"x-request-id: "
            + request.headers.get("x-request-id", "").encode()
            + b"\r\n"
        )
        await stream.send_all(
            b"HTTP/1.1 %d X\r\ncontent-length: %d\r\n" % (status, len(body))
            + extra
            + (b"" if b"x-request-id" in extra else echo)
            + b"\r\n"
            + body
        )

    return send


def encode_events(first: int, last: int) -> bytes:
    return b"".join(b"id: %d\ndata: piece %d\n\n" % (n, n) for n in range(first, last))


def stream_head(request: ReceivedRequest) -> bytes:
    return (
        b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n"
        b"transfer-encoding: chunked\r\n"
        + SEAL
        + b"x-request-id: "
        + request.headers["x-request-id"].encode()
        + b"\r\n\r\n"
    )


def encode_chunk(data: bytes) -> bytes:
    return b"%x\r\n%s\r\n" % (len(data), data)


def stream_events(
    last: int, cut_after: int | None = None, tail: bytes = b""
) -> ResponseScript:
    """Return a script that streams events up to ``last``.

    With ``cut_after`` it closes the connection after that event and the bytes ``tail``.
    """

    async def send(request: ReceivedRequest, conn: trio.SocketStream) -> None:
        first = int(request.headers.get("last-event-id", "0") or 0) + 1
        await conn.send_all(stream_head(request))
        end = last + 1 if cut_after is None else cut_after + 1
        for number in range(first, end):
            await conn.send_all(encode_chunk(encode_events(number, number + 1)))
        if cut_after is None:
            await conn.send_all(b"0\r\n\r\n")
        elif tail:
            await conn.send_all(encode_chunk(tail))

    return send


class FakeUpstream:
    """Answers each request with the next script, and repeats the last script.

    Two upstreams may share a list of scripts.
    """

    def __init__(self, scripts: list[ResponseScript]) -> None:
        self.scripts = scripts
        self.requests: list[ReceivedRequest] = []
        self.closed_by_caller = trio.Event()
        self.address = ("127.0.0.1", 0)
        # Announces the next incarnation, with its start time.
        self.announce: Callable[[int], None] = lambda born_ms: None
        # What the upstream tells about its process.
        self.name = ""
        self.born_ms = 0

    async def tell_identity(self, request: ReceivedRequest, conn) -> bool:
        """Answer if the request asks for the identity; return whether it does."""
        if request.target != HeaderNames().identity_path.decode():
            return False
        expected = request.headers["x-expect-instance"]
        body = b'{"born": %d}' % self.born_ms if self.born_ms else b"ok"
        status = 421 if self.name not in ("", expected) else 200
        name = b"x-instance: " + (self.name or expected).encode() + b"\r\n"
        await respond(status, body, name)(request, conn)
        return True

    async def run(self, *, task_status=trio.TASK_STATUS_IGNORED) -> None:
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        self.address = listeners[0].socket.getsockname()
        task_status.started()
        await trio.serve_listeners(self._serve, listeners)

    async def _serve(self, conn: trio.SocketStream) -> None:
        async with conn:
            request = await read_request(conn)
            if request is None or await self.tell_identity(request, conn):
                return
            self.requests.append(request)
            script = self.scripts[0]
            if len(self.scripts) > 1:
                self.scripts.pop(0)
            try:
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(self._watch_for_close, conn)
                    await script(request, conn)
                    nursery.cancel_scope.cancel()
            except* (trio.BrokenResourceError, trio.ClosedResourceError):
                self.closed_by_caller.set()

    async def _watch_for_close(self, conn: trio.SocketStream) -> None:
        try:
            if await conn.receive_some() == b"":
                self.closed_by_caller.set()
        except trio.BrokenResourceError:
            self.closed_by_caller.set()


async def read_request(conn: trio.SocketStream) -> ReceivedRequest | None:
    parser = h11.Connection(h11.SERVER)
    head: h11.Request | None = None
    body = b""
    while True:
        event = parser.next_event()
        if event is h11.NEED_DATA:
            data = await conn.receive_some()
            if not data:
                return None
            parser.receive_data(data)
        elif isinstance(event, h11.Request):
            head = event
        elif isinstance(event, h11.Data):
            body += bytes(event.data)
        elif isinstance(event, h11.EndOfMessage):
            assert head is not None
            headers = {name.decode(): value.decode() for name, value in head.headers}
            return ReceivedRequest(
                head.method.decode(), head.target.decode(), headers, body
            )
        else:
            return None


def route(prefix: str, kind: RequestKind, **fields) -> TrafficRoute:
    base = TrafficRoute(
        name=f"r{prefix}",
        host="shop.example",
        prefix=prefix,
        kind=kind,
        shares=(ServiceShare("svc", 1.0),),
        timeout_ms=2_000,
        objective_ms=200,
        attempts_max=2,
    )
    return replace(base, **fields)


ROUTES = (
    route("/get/", RequestKind.IDEMPOTENT),
    route("/get/deep/", RequestKind.IDEMPOTENT, shares=(ServiceShare("deep", 1.0),)),
    route("/book/", RequestKind.NON_IDEMPOTENT, attempts_max=1),
    route("/brief/", RequestKind.IDEMPOTENT, timeout_ms=300),
    route("/open/", RequestKind.IDEMPOTENT, anonymous=True),
    route("/draft/", RequestKind.STREAM, resumable=True),
    route("/once/", RequestKind.STREAM, resumable=False),
)


@dataclass
class RunningGateway:
    """A running gateway and its state; a test may change ``view_age_s[0]``."""

    state: TrafficState
    frontend: Frontend
    address: tuple[str, int]
    draining: trio.Event
    view_age_s: list[float] = field(default_factory=lambda: [0.0])


def config(version: int = 1, keys: Mapping[str, str] | None = None) -> TrafficConfig:
    access = {key: TeamAccess(team) for key, team in (keys or {"k1": "lofts"}).items()}
    services = {name: TrafficService(name, 10) for name in ("svc", "deep")}
    return TrafficConfig(version, ROUTES, services, has_teams=True, access=access)


def instance(name: str, address: tuple[str, int], service: str) -> UpstreamInstance:
    return UpstreamInstance(
        name, service, address[:2], "a", UpstreamState.READY, slots=4
    )


def _announcer(
    state: TrafficState, announced: UpstreamInstance
) -> Callable[[int], None]:
    def announce(born_ms: int) -> None:
        state.apply(replace(announced, born_ms=born_ms), keep_missing=False)

    return announce


@asynccontextmanager
async def gateway(
    upstreams: Mapping[str, FakeUpstream],
    *,
    deep: FakeUpstream | None = None,
    retry_minimum: int = 100,
) -> AsyncIterator[RunningGateway]:
    """Run a gateway whose service ``svc`` has the named upstreams."""
    state = TrafficState(trio.current_time)
    budget = RetryBudget(0.0, retry_minimum)
    draining = trio.Event()
    view_age_s = [0.0]
    fwd = Forwarder(
        state,
        HeaderNames(),
        "a",
        lambda service: budget,
        lambda: view_age_s[0] > 1.0,
        CrashReporter("entry1", state.crash_evidence),
        Outbox(lambda: 0.0),
    )
    frontend = Frontend(fwd, Metrics(), lambda: True, draining.is_set)
    bound = bind_socket(("127.0.0.1", 0))
    assert isinstance(bound, Ok)
    async with trio.open_nursery() as nursery:
        announced = {}
        for name, upstream in upstreams.items():
            await nursery.start(upstream.run)
            announced[name] = instance(name, upstream.address, "svc")
            upstream.announce = _announcer(state, announced[name])
        if deep is not None:
            await nursery.start(deep.run)
            announced["deep1"] = instance("deep1", deep.address, "deep")
        state.replace(Snapshot(1, config(), announced), keep_missing=False)
        state.confirm(trio.current_time())
        address = await nursery.start(
            serve_asgi, make_app(frontend), server_config(bound.value, 1), draining.wait
        )
        host, _, port = address.rpartition(":")
        yield RunningGateway(state, frontend, (host, int(port)), draining, view_age_s)
        nursery.cancel_scope.cancel()


@dataclass
class CallerResponse:
    """The response that a caller received, and whether it was complete."""

    status: int
    headers: dict[str, str]
    body: bytes
    complete: bool


async def send_request(
    gw: RunningGateway,
    target: str,
    *,
    method: str = "POST",
    headers: Mapping[str, str] | None = None,
    body: bytes = b"",
) -> CallerResponse:
    """Send one request on a new connection and read the response."""
    fields = {
        "host": "shop.example",
        "x-request-id": "r1",
        "x-deadline-ms": "1500",
        "authorization": "Bearer k1",
        "content-length": str(len(body)),
    } | dict(headers or {})
    parser = h11.Connection(h11.CLIENT)
    async with await trio.open_tcp_stream(*gw.address) as conn:
        head = h11.Request(method=method, target=target, headers=list(fields.items()))
        await conn.send_all(parser.send(head) or b"")
        data = parser.send(h11.Data(body)) if body else b""
        await conn.send_all((data or b"") + (parser.send(h11.EndOfMessage()) or b""))
        return await _read_response(parser, conn)


async def _read_response(
    parser: h11.Connection, conn: trio.SocketStream
) -> CallerResponse:
    response = CallerResponse(0, {}, b"", False)
    while True:
        try:
            event = parser.next_event()
        except h11.RemoteProtocolError:
            return response
        if event is h11.NEED_DATA:
            try:
                parser.receive_data(await conn.receive_some())
            except trio.BrokenResourceError:
                return response
        elif isinstance(event, h11.Response):
            response.status = event.status_code
            response.headers = {n.decode(): v.decode() for n, v in event.headers}
        elif isinstance(event, h11.Data):
            response.body += bytes(event.data)
        elif isinstance(event, h11.EndOfMessage):
            response.complete = True
            return response
        else:
            return response
