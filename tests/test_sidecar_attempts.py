"""Attempts against a scripted upstream: what is refused, unknown or answered."""

import json
from contextlib import ExitStack, asynccontextmanager
from dataclasses import replace
from types import SimpleNamespace

import pytest
import trio
import trio.testing
from hypothesis import given, settings
from hypothesis import strategies as st

from mustardfront.codes import Code
from mustardfront.coordination.config import ConfigStore
from mustardfront.coordination.peers import PeerHub
from mustardfront.programs.sidecar._attempt import Attempt
from mustardfront.programs.sidecar._events import EVENT_MAX_BYTES, EventParser
from mustardfront.programs.sidecar._health import Health
from mustardfront.programs.sidecar._pauses import PauseMeter
from mustardfront.programs.sidecar._peers import REPORT_SPACING_S, report_loads
from mustardfront.programs.sidecar._program import apply_config
from mustardfront.programs.sidecar._relay import run_attempt
from mustardfront.programs.sidecar._side import Sidecar
from mustardfront.protocol import Cancelled, Chunk, End, Refused, Started
from mustardfront.results import Err, Ok
from running import completion, make_config, make_request

LOST = Err(Code.STREAM_CUT, "connection lost")
REFUSED = Err(Code.UPSTREAM_DOWN, "connection refused")


def token(index: int) -> bytes:
    return f"data: {json.dumps({'index': index})}\n\n".encode()


DONE = b"data: [DONE]\n\n"


class FakeAnswer:
    """Gives scripted pieces; a number is a pause in s, an Err the end."""

    def __init__(self, parts, status=200, event_stream=True, length_known=True):
        self.parts = list(parts)
        self.status, self.headers = status, ()
        self.event_stream, self.length_known = event_stream, length_known

    async def receive(self):
        if self.parts and isinstance(self.parts[0], float):
            await trio.sleep(self.parts.pop(0))
        await trio.lowlevel.checkpoint()
        part = self.parts.pop(0) if self.parts else b""
        return part if isinstance(part, Err) else Ok(part)


class FakeClient:
    """An upstream that answers each call with what ``script`` makes of it."""

    def __init__(self, script) -> None:
        self.script = script
        self.calls = []
        self.running = self.most_running = 0

    @asynccontextmanager
    async def exchange(self, call, before_write=None, *, reuse=True):
        answer = self.script(call)
        if answer is REFUSED:
            yield answer
            return
        if before_write:
            await before_write()
        self.calls.append(call)
        self.running += 1
        self.most_running = max(self.most_running, self.running)
        try:
            yield answer if isinstance(answer, Err) else Ok(answer)
        finally:
            self.running -= 1


class FakeConn:
    def __init__(self) -> None:
        self.sent = []

    async def send(self, message):
        await trio.lowlevel.checkpoint()
        self.sent.append(message)

    def send_nowait(self, message) -> bool:
        self.sent.append(message)
        return True

    def of(self, kind):
        return [message for message in self.sent if isinstance(message, kind)]


async def make_side(script, cfg=None) -> Sidecar:
    side = Sidecar("w1", FakeClient(script), ConfigStore(), PeerHub())
    side.healthy, side.instance = True, "i1"
    side.store.offer(cfg or make_config(), "test")
    await apply_config(side, side.store.current)
    return side


def make_attempt(req) -> Attempt:
    return Attempt(req, FakeConn(), trio.current_time() + req.deadline_ms / 1e3)


async def run(side: Sidecar, req) -> FakeConn:
    attempt = make_attempt(req)
    await run_attempt(side, attempt)
    return attempt.conn


def hold(side: Sidecar) -> None:
    side.quarantine.crashed("u1", "i1", [b"f"])
    side.quarantine.crashed("u2", "i2", [b"f"])


@pytest.mark.parametrize(
    ("prepare", "changes", "code"),
    [
        (lambda side: side.set_drain("signal", True), {}, Code.DRAINING),
        (lambda side: None, {"service": "other"}, Code.NO_CAPABLE_UPSTREAM),
        (lambda side: None, {"deadline_ms": 0}, Code.DEADLINE_PASSED),
        (lambda side: side.set_healthy(False, ""), {}, Code.UPSTREAM_DOWN),
        (hold, {}, Code.REQUEST_HELD),
        (lambda side: None, {"path": "/a b"}, Code.MALFORMED_REQUEST),
        (lambda side: None, {"method": "A B"}, Code.MALFORMED_REQUEST),
        (lambda side: None, {"headers": (("a", "b\r\nc"),)}, Code.MALFORMED_REQUEST),
        (lambda side: None, {"body": b"[]"}, Code.MALFORMED_REQUEST),
    ],
)
async def test_refusal_comes_before_the_upstream_sees_anything(
    autojump_clock, prepare, changes, code
):
    side = await make_side(lambda call: FakeAnswer([DONE]))
    prepare(side)
    req = replace(completion("p", 1, fingerprint=b"f"), **changes)
    conn = await run(side, req)
    assert conn.sent[-1].code == code and conn.sent[-1].not_run
    assert side.client.calls == []


async def test_drain_by_ticket_ends_with_a_later_ticket(autojump_clock):
    side = await make_side(lambda call: FakeAnswer([DONE]))
    for version, state, draining in ((2, "draining", True), (3, "active", False)):
        await apply_config(side, make_config(version, state))
        assert side.draining is draining


@pytest.mark.parametrize("idempotent", [True, False])
@pytest.mark.parametrize(
    ("answer", "code", "not_run"),
    [
        (REFUSED, Code.UPSTREAM_DOWN, True),
        (LOST, Code.STREAM_CUT, False),
    ],
)
async def test_not_run_only_without_a_written_byte(
    autojump_clock, answer, code, not_run, idempotent
):
    side = await make_side(lambda call: answer)
    conn = await run(side, completion("p", 1, idempotent=idempotent))
    last = conn.sent[-1]
    assert last.code == code and isinstance(last, Refused) is not_run
    assert not_run or last.outcome == "unknown"


@pytest.mark.parametrize(
    ("parts", "chunks", "code"),
    [
        ([token(0), token(1), DONE], 2, Code.ANSWERED),
        ([token(0) + token(1)[:9], token(1)[9:] + DONE], 2, Code.ANSWERED),
        ([token(0), token(1)], 2, Code.STREAM_CUT),
        ([token(0), token(1)[:9]], 1, Code.STREAM_CUT),
        ([token(0), LOST], 1, Code.STREAM_CUT),
        ([token(0), token(2), DONE], 1, Code.UPSTREAM_BAD_ANSWER),
        ([token(0), token(0), DONE], 1, Code.UPSTREAM_BAD_ANSWER),
        ([b"data: {]\n\n", DONE], 0, Code.UPSTREAM_BAD_ANSWER),
        ([b'data: {"error": "out of memory"}\n\n'], 0, Code.UPSTREAM_BAD_ANSWER),
    ],
)
async def test_stream_is_whole_or_ends_with_an_error(
    autojump_clock, parts, chunks, code
):
    side = await make_side(lambda call: FakeAnswer(parts))
    conn = await run(side, completion("p", 2))
    assert [chunk.index for chunk in conn.of(Chunk)] == list(range(chunks))
    assert conn.sent[-1].code == code and conn.sent[-1].chunks == chunks
    # An entry chooses its next upstream with the load after this request.
    assert (conn.sent[-1].state, conn.sent[-1].in_flight) == ("ready", 0)


async def test_resumed_stream_goes_on_from_its_position(autojump_clock):
    side = await make_side(lambda call: FakeAnswer([token(5), DONE]))
    conn = await run(side, completion("p", 6, resume_from=5, resume_text="t"))
    body = json.loads(side.client.calls[0].body)
    assert (body["resume_from"], body["resume_text"]) == (5, "t")
    assert conn.of(Chunk)[0].index == 5 and conn.sent[-1].chunks == 6


async def test_body_whose_end_cannot_be_checked_is_not_called_whole(autojump_clock):
    answer = FakeAnswer([b"part"], event_stream=False, length_known=False)
    side = await make_side(lambda call: answer)
    conn = await run(side, make_request())
    assert conn.sent[-1].code == Code.STREAM_CUT


async def test_no_more_chunks_than_credit(autojump_clock):
    answer = FakeAnswer([token(index) for index in range(9)] + [DONE])
    side = await make_side(lambda call: answer)
    attempt = make_attempt(completion("p", 9, credit=3))
    async with trio.open_nursery() as nursery:
        nursery.start_soon(run_attempt, side, attempt)
        await trio.testing.wait_all_tasks_blocked()
        assert len(attempt.conn.of(Chunk)) == 3
        # The upstream is not read either, so its connection fills up.
        assert len(answer.parts) == 6
        attempt.add_credit(6)
    assert attempt.conn.sent[-1].code == Code.ANSWERED


async def test_cancel_in_the_queue_is_proof_of_not_run(autojump_clock):
    cfg = make_config(max_in_flight=1)
    side = await make_side(lambda call: FakeAnswer([60.0, DONE]), cfg)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(run, side, completion("p", 1))
        await trio.sleep(0.1)
        attempt = make_attempt(completion("p", 1))
        nursery.start_soon(run_attempt, side, attempt)
        await trio.sleep(0.1)
        attempt.cancel()
        attempt.cancel()
    assert attempt.conn.of(Cancelled) == [Cancelled(1, started=False)]
    assert [call.method for call in side.client.calls] == ["POST", "DELETE"]


async def test_cancel_of_a_stream_stops_the_engine(autojump_clock):
    side = await make_side(lambda call: FakeAnswer([token(0), 60.0, DONE]))
    attempt = make_attempt(completion("p", 2))
    async with trio.open_nursery() as nursery:
        nursery.start_soon(run_attempt, side, attempt)
        await trio.sleep(1)
        attempt.cancel()
    assert attempt.conn.sent[-1] == Cancelled(1, started=True)
    assert side.client.calls[-1].path == "/v1/requests/r-1-1"


async def test_cancelled_call_that_must_not_be_repeated_runs_on(autojump_clock):
    # Guards against losing the result of a booking because its caller went away.
    answer = FakeAnswer([5.0, b"booked"], event_stream=False)
    side = await make_side(lambda call: answer)
    attempt = make_attempt(make_request(idempotent=False, credit=0))
    async with trio.open_nursery() as nursery:
        nursery.start_soon(run_attempt, side, attempt)
        await trio.sleep(1)
        attempt.cancel()
    assert trio.current_time() >= 5 and answer.parts == []
    assert attempt.conn.sent[-1] == Cancelled(1, started=True)


@pytest.mark.parametrize("running", [True, False])
async def test_deadline_is_kept(autojump_clock, running):
    cfg = make_config(max_in_flight=1)
    script = {"POST": [60.0, DONE], "DELETE": []}
    side = await make_side(lambda call: FakeAnswer(script[call.method]), cfg)
    async with trio.open_nursery() as nursery:
        if not running:
            nursery.start_soon(run, side, completion("p", 1))
            await trio.sleep(0.1)
        conn = await run(side, completion("p", 1, deadline_ms=3_000))
        assert trio.current_time() < 4
        nursery.cancel_scope.cancel()
    code = Code.UPSTREAM_TIMEOUT if running else Code.DEADLINE_PASSED
    assert conn.sent[-1].code == code
    assert isinstance(conn.sent[-1], End if running else Refused)


async def test_queue_is_bounded(autojump_clock):
    cfg = make_config(max_in_flight=1, queue=2)
    side = await make_side(lambda call: FakeAnswer([1.0, DONE]), cfg)
    async with trio.open_nursery() as nursery:
        attempts = [make_attempt(completion("p", 1)) for _ in range(5)]
        for attempt in attempts:
            nursery.start_soon(run_attempt, side, attempt)
    codes = sorted(attempt.conn.sent[-1].code for attempt in attempts)
    assert codes == [Code.ANSWERED] * 3 + [Code.QUEUE_FULL] * 2


async def test_two_suspects_never_run_at_a_time(autojump_clock):
    side = await make_side(lambda call: FakeAnswer([1.0, DONE]))
    side.quarantine.crashed("u9", "i9", [b"a", b"b"])
    reqs = [
        completion("p", 1, fingerprint=b"a"),
        completion("p", 1, fingerprint=b"b"),
        completion("p", 1, fingerprint=b"c", suspect=True),
    ]
    async with trio.open_nursery() as nursery:
        for req in reqs:
            nursery.start_soon(run, side, req)
    assert side.client.most_running == 1
    # A suspect that completes is cleared.
    assert not side.quarantine.crashes_of(b"a")


@pytest.mark.parametrize(("crashes", "isolated"), [(0, False), (1, True), (2, False)])
async def test_crashes_learned_in_the_queue_count(autojump_clock, crashes, isolated):
    # Guards against a crash report that comes after admission being ignored.
    cfg = make_config(max_in_flight=1)
    side = await make_side(lambda call: FakeAnswer([1.0, DONE]), cfg)
    attempt = make_attempt(completion("p", 1, fingerprint=b"f"))
    async with trio.open_nursery() as nursery:
        nursery.start_soon(run, side, completion("p", 1))
        await trio.sleep(0.1)
        nursery.start_soon(run_attempt, side, attempt)
        await trio.sleep(0.1)
        for number in range(crashes):
            side.quarantine.crashed(f"u{number}", "i", [b"f"])
    assert attempt.isolated is isolated
    held = attempt.conn.sent[-1].code == Code.REQUEST_HELD
    assert held is (crashes == 2) is not attempt.handed_over


async def test_change_of_state_is_reported_at_once(autojump_clock):
    # Guards against entries that choose a dead upstream until the next report is due.
    side = await make_side(lambda call: FakeAnswer([DONE]))
    with ExitStack() as stack:
        # With so many entries, reports without news are 20 s apart.
        for _ in range(400):
            entry = FakeConn()
            entry.remote = SimpleNamespace(role="entry")
            stack.enter_context(side.hub.attached(entry))
        async with trio.open_nursery() as nursery:
            nursery.start_soon(report_loads, side)
            for wait_s in (0.01, 1.0, 30.0):
                for healthy in (False, True):
                    await trio.sleep(wait_s)
                    side.set_healthy(healthy, "")
                    await trio.sleep(REPORT_SPACING_S)
                    assert entry.sent[-1].state == side.state
            nursery.cancel_scope.cancel()


async def crash_side(checks, answer):
    """Return a side with ``answer`` for calls, whose health checks give ``checks``."""

    def check(_call):
        found = checks.pop(0) if len(checks) > 1 else checks[0]
        if not isinstance(found, str):
            return found
        return FakeAnswer([json.dumps({"instance": found}).encode()])

    side = await make_side(answer)
    health = Health(side, FakeClient(check))
    side.confirm_loss = health.confirm_loss
    return side, health


def losing(call):
    return FakeAnswer([5.0, LOST]) if call.method == "POST" else FakeAnswer([b"{}"])


@pytest.mark.parametrize(
    ("checks", "crashes", "code"),
    [
        # The process accepts no connection any more.
        (["i1"] * 5 + [REFUSED], 1, Code.UPSTREAM_CRASHED),
        # The first check meets the process while it closes its sockets.
        (["i1"] * 5 + [LOST, LOST, REFUSED], 1, Code.UPSTREAM_CRASHED),
        # It was restarted before the check.
        (["i1"] * 5 + ["i2"], 1, Code.UPSTREAM_CRASHED),
        # Only the connection was cut; the process still lives.
        (["i1"], 0, Code.STREAM_CUT),
    ],
)
async def test_crash_is_told_from_a_cut_connection(
    autojump_clock, checks, crashes, code
):
    side, health = await crash_side(checks, losing)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(health.run)
        conn = await run(side, completion("p", 1, fingerprint=b"f"))
        await trio.sleep(3)
        nursery.cancel_scope.cancel()
    assert side.quarantine.crashes_of(b"f") == crashes
    assert conn.sent[-1].code == code and conn.sent[-1].outcome == "unknown"


async def test_request_at_the_new_instance_is_no_suspect(autojump_clock):
    # Guards against blaming a request that came between a restart and the check.
    side, health = await crash_side(["i2"], lambda call: FakeAnswer([5.0, DONE]))
    attempt = make_attempt(completion("p", 1, fingerprint=b"f"))
    async with trio.open_nursery() as nursery:
        nursery.start_soon(run_attempt, side, attempt)
        await trio.testing.wait_all_tasks_blocked()
        assert attempt.instance == "i1"
        nursery.start_soon(health.run)
        await trio.sleep(2)
        assert attempt.instance == "i2"
        await trio.sleep(5)
        nursery.cancel_scope.cancel()
    assert attempt.conn.sent[-1].code == Code.ANSWERED
    assert not side.quarantine.crashes_of(b"f")


@pytest.mark.parametrize("idempotent", [True, False])
async def test_frozen_upstream_releases_what_can_go_elsewhere(
    autojump_clock, idempotent
):
    side, health = await crash_side([LOST], lambda call: FakeAnswer([9.0, DONE]))
    attempt = make_attempt(completion("p", 1, idempotent=idempotent))
    async with trio.open_nursery() as nursery:
        nursery.start_soon(health.run)
        await run_attempt(side, attempt)
        nursery.cancel_scope.cancel()
    code = Code.STREAM_CUT if idempotent else Code.ANSWERED
    assert attempt.conn.sent[-1].code == code
    assert not side.healthy and Started(1) in attempt.conn.sent


async def test_pause_of_the_process_shortens_deadlines(mock_clock):
    # Guards against running a request whose caller gave up while we were frozen.
    pauses = PauseMeter()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(pauses.run)
        await trio.testing.wait_all_tasks_blocked()
        assert pauses.lost_s() == 0
        mock_clock.jump(30)
        assert pauses.lost_s() >= 29
        await trio.testing.wait_all_tasks_blocked()
        mock_clock.jump(0.25)
        await trio.testing.wait_all_tasks_blocked()
        assert pauses.lost_s() >= 29
        for _ in range(6):
            mock_clock.jump(0.25)
            await trio.testing.wait_all_tasks_blocked()
        assert pauses.lost_s() == 0
        nursery.cancel_scope.cancel()


@settings(derandomize=True)
@given(st.lists(st.integers(1, 40)), st.sampled_from([b"\n", b"\r\n"]))
def test_events_are_the_same_however_the_bytes_are_split(sizes, line_end):
    text = b": comment\n\ndata: one\n\nid: 4\ndata: two\ndata: lines\n\ndata:\n\n"
    data = text.replace(b"\n", line_end)
    parser, found = EventParser(), []
    for size in [*sizes, len(data)]:
        events = parser.feed(data[:size])
        assert isinstance(events, Ok)
        found += events.value
        data = data[size:]
    assert found == [b"one", b"two\nlines"]


def test_endless_event_is_an_error():
    parser = EventParser()
    assert isinstance(parser.feed(b"x" * (EVENT_MAX_BYTES + 1)), Err)
