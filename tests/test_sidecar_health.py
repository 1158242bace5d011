"""Health checks, crashes, pauses, load reports and the parser of events."""

import json
from contextlib import ExitStack
from types import SimpleNamespace

import pytest
import trio
import trio.testing
from hypothesis import given, settings
from hypothesis import strategies as st

from mustardfront.codes import Code
from mustardfront.programs.sidecar._events import EVENT_MAX_BYTES, EventParser
from mustardfront.programs.sidecar._health import Health
from mustardfront.programs.sidecar._pauses import PauseMeter
from mustardfront.programs.sidecar._peers import REPORT_SPACING_S, report_loads
from mustardfront.programs.sidecar._relay import run_attempt
from mustardfront.protocol import Started
from mustardfront.results import Err, Ok
from running import completion
from sidecar_fakes import (
    DONE,
    LOST,
    REFUSED,
    FakeAnswer,
    FakeClient,
    FakeConn,
    make_attempt,
    make_side,
    run,
)


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
