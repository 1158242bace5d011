"""Health checks, crashes, pauses, load reports and the event parser."""

import json
from contextlib import ExitStack
from types import SimpleNamespace

import pytest
import trio
import trio.testing
from hypothesis import given, settings
from hypothesis import strategies as st

from mustardfront.codes import Code
from mustardfront.programs.sidecar._health import HealthChecker
from mustardfront.programs.sidecar._pauses import PauseDetector
from mustardfront.programs.sidecar._peers import REPORT_SPACING_S, report_loads
from mustardfront.programs.sidecar._relay import run_attempt
from mustardfront.programs.sidecar._sse import EVENT_MAX_BYTES, EventParser
from mustardfront.protocol import Started
from mustardfront.results import Err, Ok
from running import completion, make_request
from sidecar_fakes import (
    CONNECTION_LOST,
    CONNECTION_REFUSED,
    DONE,
    FakeClient,
    FakeConn,
    FakeResponse,
    make_attempt,
    make_sidecar,
    run,
)


async def test_change_of_state_is_reported_at_once(autojump_clock):
    # Guards against entries that choose a dead upstream until the next regular report.
    sidecar = await make_sidecar(lambda call: FakeResponse([DONE]))
    with ExitStack() as stack:
        # With 400 entries, reports without a change of state are 20 s apart.
        for _ in range(400):
            entry = FakeConn()
            entry.remote = SimpleNamespace(role="entry")
            stack.enter_context(sidecar.hub.attached(entry))
        async with trio.open_nursery() as nursery:
            nursery.start_soon(report_loads, sidecar)
            for wait_s in (0.01, 1.0, 30.0):
                for healthy in (False, True):
                    await trio.sleep(wait_s)
                    sidecar.set_healthy(healthy, "")
                    await trio.sleep(REPORT_SPACING_S)
                    assert entry.sent[-1].state == sidecar.state
            nursery.cancel_scope.cancel()


async def make_sidecar_with_health(checks, answer):
    """Return a sidecar and its health checker.

    ``answer`` scripts the responses to calls and ``checks`` the health checks, of which
    the last is repeated.
    """

    def check(_call):
        found = checks.pop(0) if len(checks) > 1 else checks[0]
        if not isinstance(found, str):
            return found
        return FakeResponse([json.dumps({"instance": found}).encode()])

    sidecar = await make_sidecar(answer)
    checker = HealthChecker(sidecar, FakeClient(check))
    sidecar.confirm_crash = checker.confirm_crash
    return sidecar, checker


def lose_connection(call):
    """Lose the connection 5 s after a POST."""
    return (
        FakeResponse([5.0, CONNECTION_LOST])
        if call.method == "POST"
        else FakeResponse([b"{}"])
    )


@pytest.mark.parametrize(
    ("checks", "crashes", "code"),
    [
        # The process no longer accepts connections.
        (["i1"] * 5 + [CONNECTION_REFUSED], 1, Code.UPSTREAM_CRASHED),
        # The first checks are cut because the process is closing its sockets.
        (
            ["i1"] * 5 + [CONNECTION_LOST, CONNECTION_LOST, CONNECTION_REFUSED],
            1,
            Code.UPSTREAM_CRASHED,
        ),
        # The process was restarted before the check.
        (["i1"] * 5 + ["i2"], 1, Code.UPSTREAM_CRASHED),
        # Only the connection was cut; the process still runs.
        (["i1"], 0, Code.STREAM_CUT),
    ],
)
async def test_crash_is_distinguished_from_a_cut_connection(
    autojump_clock, checks, crashes, code
):
    sidecar, checker = await make_sidecar_with_health(checks, lose_connection)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(checker.run)
        conn = await run(sidecar, completion("p", 1, fingerprint=b"f"))
        await trio.sleep(3)
        nursery.cancel_scope.cancel()
    assert sidecar.quarantine.crashes_of(b"f") == crashes
    assert conn.sent[-1].code == code and conn.sent[-1].outcome == "unknown"


@pytest.mark.parametrize(
    ("checks", "code"),
    [
        (["i1"], Code.ANSWERED),
        # The process was restarted before the check.
        (["i1", "i2"], Code.UPSTREAM_CRASHED),
        # Its connections are closed one by one, and then nothing is known.
        (["i1", CONNECTION_LOST], Code.STREAM_CUT),
    ],
)
async def test_answer_without_a_length_is_whole_only_if_its_process_runs_on(
    autojump_clock, checks, code
):
    """Guards against an answer that a crash cut off and that passes for complete."""
    sidecar, checker = await make_sidecar_with_health(
        checks,
        lambda call: FakeResponse([b"part"], is_event_stream=False, length_known=False),
    )
    sidecar.confirm_running = checker.confirm_running
    await checker._check()
    conn = await run(sidecar, make_request())
    assert conn.sent[-1].code == code


async def test_request_at_a_restarted_upstream_is_not_a_suspect(autojump_clock):
    # Guards against suspecting a request that was forwarded between a restart and the
    # health check that detects it.
    sidecar, checker = await make_sidecar_with_health(
        ["i2"], lambda call: FakeResponse([5.0, DONE])
    )
    attempt = make_attempt(completion("p", 1, fingerprint=b"f"))
    async with trio.open_nursery() as nursery:
        nursery.start_soon(run_attempt, sidecar, attempt)
        await trio.testing.wait_all_tasks_blocked()
        assert attempt.instance == "i1"
        nursery.start_soon(checker.run)
        await trio.sleep(2)
        assert attempt.instance == "i2"
        await trio.sleep(5)
        nursery.cancel_scope.cancel()
    assert attempt.conn.sent[-1].code == Code.ANSWERED
    assert not sidecar.quarantine.crashes_of(b"f")


@pytest.mark.parametrize("idempotent", [True, False])
async def test_frozen_upstream_aborts_only_idempotent_requests(
    autojump_clock, idempotent
):
    sidecar, checker = await make_sidecar_with_health(
        [CONNECTION_LOST], lambda call: FakeResponse([9.0, DONE])
    )
    attempt = make_attempt(completion("p", 1, idempotent=idempotent))
    async with trio.open_nursery() as nursery:
        nursery.start_soon(checker.run)
        await run_attempt(sidecar, attempt)
        nursery.cancel_scope.cancel()
    code = Code.STREAM_CUT if idempotent else Code.ANSWERED
    assert attempt.conn.sent[-1].code == code
    assert not sidecar.healthy and Started(1) in attempt.conn.sent


async def test_pause_of_the_process_shortens_deadlines(mock_clock):
    # Guards against running a request whose deadline passed while the sidecar was
    # paused.
    pauses = PauseDetector()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(pauses.run)
        await trio.testing.wait_all_tasks_blocked()
        assert pauses.possible_wait_s() == 0
        mock_clock.jump(30)
        assert pauses.possible_wait_s() >= 29
        await trio.testing.wait_all_tasks_blocked()
        mock_clock.jump(0.25)
        await trio.testing.wait_all_tasks_blocked()
        assert pauses.possible_wait_s() >= 29
        for _ in range(6):
            mock_clock.jump(0.25)
            await trio.testing.wait_all_tasks_blocked()
        assert pauses.possible_wait_s() == 0
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


def test_too_long_event_is_an_error():
    parser = EventParser()
    assert isinstance(parser.feed(b"x" * (EVENT_MAX_BYTES + 1)), Err)
