"""Attempts against a scripted upstream: refusals, answers and unknown outcomes."""

import json
from dataclasses import replace
from types import SimpleNamespace

import pytest
import trio
import trio.testing

from mustardfront.codes import Code
from mustardfront.coordination.hosts import HostEntry, HostList
from mustardfront.programs.sidecar._program import apply_config, follow_host_list
from mustardfront.programs.sidecar._relay import run_attempt
from mustardfront.programs.sidecar._state import Sidecar
from mustardfront.protocol import Cancelled, Chunk, End, Refused
from running import completion, make_config, make_request
from sidecar_fakes import (
    CONNECTION_LOST,
    CONNECTION_REFUSED,
    DONE,
    FakeResponse,
    make_attempt,
    make_sidecar,
    run,
    token,
)


def hold(sidecar: Sidecar) -> None:
    """Quarantine the fingerprint ``f`` by two crashes."""
    sidecar.quarantine.record_crash("u1", "i1", [b"f"])
    sidecar.quarantine.record_crash("u2", "i2", [b"f"])


@pytest.mark.parametrize(
    ("prepare", "changes", "code"),
    [
        (lambda sidecar: sidecar.set_drain("signal", True), {}, Code.DRAINING),
        (lambda sidecar: None, {"service": "other"}, Code.NO_CAPABLE_UPSTREAM),
        (lambda sidecar: None, {"deadline_ms": 0}, Code.DEADLINE_PASSED),
        (lambda sidecar: sidecar.set_healthy(False, ""), {}, Code.UPSTREAM_DOWN),
        (hold, {}, Code.REQUEST_HELD),
        (lambda sidecar: None, {"path": "/a b"}, Code.MALFORMED_REQUEST),
        (lambda sidecar: None, {"method": "A B"}, Code.MALFORMED_REQUEST),
        (lambda sidecar: None, {"headers": (("a", "b\r\nc"),)}, Code.MALFORMED_REQUEST),
        (lambda sidecar: None, {"body": b"[]"}, Code.MALFORMED_REQUEST),
    ],
)
async def test_refused_request_is_not_sent_to_the_upstream(
    autojump_clock, prepare, changes, code
):
    sidecar = await make_sidecar(lambda call: FakeResponse([DONE]))
    prepare(sidecar)
    req = replace(completion("p", 1, fingerprint=b"f"), **changes)
    conn = await run(sidecar, req)
    assert conn.sent[-1].code == code and conn.sent[-1].not_run
    assert sidecar.client.calls == []


async def test_drain_by_ticket_ends_with_a_later_ticket(autojump_clock):
    sidecar = await make_sidecar(lambda call: FakeResponse([DONE]))
    for version, state, draining in ((2, "draining", True), (3, "active", False)):
        await apply_config(sidecar, make_config(version, state))
        assert sidecar.draining is draining


async def test_drain_follows_the_host_list(autojump_clock):
    sidecar = await make_sidecar(lambda call: FakeResponse([DONE]))
    hosts = HostList("http://127.0.0.1:1")
    identity = SimpleNamespace(host="h1")
    async with trio.open_nursery() as nursery:
        process = SimpleNamespace(hosts=hosts, identity=identity)
        nursery.start_soon(follow_host_list, process, sidecar)
        for state, draining in (("live", False), ("leaving", True), ("live", False)):
            entry = HostEntry("h1", "a", "sidecar", "127.0.0.1:1", state)
            hosts.update((entry, HostEntry("h2", "a", "sidecar", "", "leaving")))
            await trio.testing.wait_all_tasks_blocked()
            assert sidecar.draining is draining
        # A host that is missing from the list is not draining.
        hosts.update(())
        await trio.testing.wait_all_tasks_blocked()
        assert not sidecar.draining
        nursery.cancel_scope.cancel()


@pytest.mark.parametrize("idempotent", [True, False])
@pytest.mark.parametrize(
    ("answer", "code", "not_run"),
    [
        (CONNECTION_REFUSED, Code.UPSTREAM_DOWN, True),
        (CONNECTION_LOST, Code.STREAM_CUT, False),
    ],
)
async def test_not_run_is_reported_only_if_no_byte_was_written(
    autojump_clock, answer, code, not_run, idempotent
):
    sidecar = await make_sidecar(lambda call: answer)
    conn = await run(sidecar, completion("p", 1, idempotent=idempotent))
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
        ([token(0), CONNECTION_LOST], 1, Code.STREAM_CUT),
        ([token(0), token(2), DONE], 1, Code.UPSTREAM_BAD_ANSWER),
        ([token(0), token(0), DONE], 1, Code.UPSTREAM_BAD_ANSWER),
        ([b"data: {]\n\n", DONE], 0, Code.UPSTREAM_BAD_ANSWER),
        ([b'data: {"error": "out of memory"}\n\n'], 0, Code.UPSTREAM_BAD_ANSWER),
    ],
)
async def test_stream_is_complete_or_ends_with_an_error(
    autojump_clock, parts, chunks, code
):
    sidecar = await make_sidecar(lambda call: FakeResponse(parts))
    conn = await run(sidecar, completion("p", 2))
    assert [chunk.index for chunk in conn.sent_of_type(Chunk)] == list(range(chunks))
    assert conn.sent[-1].code == code and conn.sent[-1].chunks == chunks
    # The final reply carries the load after this request, which an entry uses to
    # choose its next upstream.
    assert (conn.sent[-1].state, conn.sent[-1].in_flight) == ("ready", 0)


async def test_resumed_stream_continues_at_its_index(autojump_clock):
    sidecar = await make_sidecar(lambda call: FakeResponse([token(5), DONE]))
    conn = await run(sidecar, completion("p", 6, resume_from=5, resume_text="t"))
    body = json.loads(sidecar.client.calls[0].body)
    assert (body["resume_from"], body["resume_text"]) == (5, "t")
    assert conn.sent_of_type(Chunk)[0].index == 5 and conn.sent[-1].chunks == 6


@pytest.mark.parametrize(
    ("crashed", "code"), [(False, Code.ANSWERED), (True, Code.UPSTREAM_CRASHED)]
)
async def test_body_of_unknown_length_is_complete_unless_the_upstream_crashed(
    autojump_clock, crashed, code
):
    """Guards against a truncated answer that is reported as complete."""
    answer = FakeResponse([b"part"], is_event_stream=False, length_known=False)
    sidecar = await make_sidecar(lambda call: answer)

    async def confirm_crash(attempt) -> bool:
        return crashed

    sidecar.confirm_crash = confirm_crash
    conn = await run(sidecar, make_request())
    assert conn.sent[-1].code == code


async def test_sent_chunks_do_not_exceed_the_credit(autojump_clock):
    answer = FakeResponse([token(index) for index in range(9)] + [DONE])
    sidecar = await make_sidecar(lambda call: answer)
    attempt = make_attempt(completion("p", 9, credit=3))
    async with trio.open_nursery() as nursery:
        nursery.start_soon(run_attempt, sidecar, attempt)
        await trio.testing.wait_all_tasks_blocked()
        assert len(attempt.conn.sent_of_type(Chunk)) == 3
        # The upstream is not read any further either, so its connection's buffers fill.
        assert len(answer.parts) == 6
        attempt.add_credit(6)
    assert attempt.conn.sent[-1].code == Code.ANSWERED


async def test_request_cancelled_in_the_queue_is_not_started(autojump_clock):
    cfg = make_config(max_in_flight=1)
    sidecar = await make_sidecar(lambda call: FakeResponse([60.0, DONE]), cfg)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(run, sidecar, completion("p", 1))
        await trio.sleep(0.1)
        attempt = make_attempt(completion("p", 1))
        nursery.start_soon(run_attempt, sidecar, attempt)
        await trio.sleep(0.1)
        attempt.cancel()
        attempt.cancel()
    assert attempt.conn.sent_of_type(Cancelled) == [Cancelled(1, started=False)]
    assert [call.method for call in sidecar.client.calls] == ["POST", "DELETE"]


async def test_cancel_of_a_stream_is_sent_to_the_engine(autojump_clock):
    sidecar = await make_sidecar(lambda call: FakeResponse([token(0), 60.0, DONE]))
    attempt = make_attempt(completion("p", 2))
    async with trio.open_nursery() as nursery:
        nursery.start_soon(run_attempt, sidecar, attempt)
        await trio.sleep(1)
        attempt.cancel()
    assert attempt.conn.sent[-1] == Cancelled(1, started=True)
    assert (
        sidecar.client.calls[-1].path == f"/v1/requests/{attempt.upstream_request_id}"
    )


async def test_cancel_stops_no_other_request_with_the_same_id(autojump_clock):
    # Guards against a cancel that stops the request of another caller with the same
    # request ID, and against a request ID that changes the path of the engine's call.
    sidecar = await make_sidecar(lambda call: FakeResponse([token(0), 60.0, DONE]))
    attempts = [
        make_attempt(completion("p", 2, request_id="a/../b c")) for _ in range(2)
    ]
    async with trio.open_nursery() as nursery:
        for attempt in attempts:
            nursery.start_soon(run_attempt, sidecar, attempt)
        await trio.sleep(1)
        attempts[0].cancel()
        await trio.sleep(1)
        cancel_calls = [
            call for call in sidecar.client.calls if call.method == "DELETE"
        ]
        assert len(cancel_calls) == 1
        request_id = cancel_calls[0].path.removeprefix("/v1/requests/")
        ids = [dict(call.headers).get("x-request-id") for call in sidecar.client.calls]
        assert ids.count(request_id) == 1
        assert "/" not in request_id and " " not in request_id
        attempts[1].cancel()


async def test_cancelled_non_idempotent_request_runs_to_its_end(autojump_clock):
    # Guards against losing the result of a booking whose caller cancelled it.
    answer = FakeResponse([5.0, b"booked"], is_event_stream=False)
    sidecar = await make_sidecar(lambda call: answer)
    attempt = make_attempt(make_request(idempotent=False, credit=0))
    async with trio.open_nursery() as nursery:
        nursery.start_soon(run_attempt, sidecar, attempt)
        await trio.sleep(1)
        attempt.cancel()
    assert trio.current_time() >= 5 and answer.parts == []
    assert attempt.conn.sent[-1] == Cancelled(1, started=True)


@pytest.mark.parametrize("running", [True, False])
async def test_deadline_ends_running_and_queued_requests(autojump_clock, running):
    cfg = make_config(max_in_flight=1)
    script = {"POST": [60.0, DONE], "DELETE": []}
    sidecar = await make_sidecar(lambda call: FakeResponse(script[call.method]), cfg)
    async with trio.open_nursery() as nursery:
        if not running:
            nursery.start_soon(run, sidecar, completion("p", 1))
            await trio.sleep(0.1)
        conn = await run(sidecar, completion("p", 1, deadline_ms=3_000))
        assert trio.current_time() < 4
        nursery.cancel_scope.cancel()
    code = Code.UPSTREAM_TIMEOUT if running else Code.DEADLINE_PASSED
    assert conn.sent[-1].code == code
    assert isinstance(conn.sent[-1], End if running else Refused)


async def test_queue_is_bounded(autojump_clock):
    cfg = make_config(max_in_flight=1, queue=2)
    sidecar = await make_sidecar(lambda call: FakeResponse([1.0, DONE]), cfg)
    async with trio.open_nursery() as nursery:
        attempts = [make_attempt(completion("p", 1)) for _ in range(5)]
        for attempt in attempts:
            nursery.start_soon(run_attempt, sidecar, attempt)
    codes = sorted(attempt.conn.sent[-1].code for attempt in attempts)
    assert codes == [Code.ANSWERED] * 3 + [Code.QUEUE_FULL] * 2


async def test_suspects_run_one_at_a_time(autojump_clock):
    sidecar = await make_sidecar(lambda call: FakeResponse([1.0, DONE]))
    sidecar.quarantine.record_crash("u9", "i9", [b"a", b"b"])
    reqs = [
        completion("p", 1, fingerprint=b"a"),
        completion("p", 1, fingerprint=b"b"),
        completion("p", 1, fingerprint=b"c", suspect=True),
    ]
    async with trio.open_nursery() as nursery:
        for req in reqs:
            nursery.start_soon(run, sidecar, req)
    assert sidecar.client.running_max == 1
    # A suspect that completes is no longer suspected.
    assert not sidecar.quarantine.crashes_of(b"a")


@pytest.mark.parametrize(("crashes", "isolated"), [(0, False), (1, True), (2, False)])
async def test_crash_reported_while_queued_is_taken_into_account(
    autojump_clock, crashes, isolated
):
    # Guards against ignoring a crash report that arrives after a request was queued.
    cfg = make_config(max_in_flight=1)
    sidecar = await make_sidecar(lambda call: FakeResponse([1.0, DONE]), cfg)
    attempt = make_attempt(completion("p", 1, fingerprint=b"f"))
    async with trio.open_nursery() as nursery:
        nursery.start_soon(run, sidecar, completion("p", 1))
        await trio.sleep(0.1)
        nursery.start_soon(run_attempt, sidecar, attempt)
        await trio.sleep(0.1)
        for number in range(crashes):
            sidecar.quarantine.record_crash(f"u{number}", "i", [b"f"])
    assert attempt.isolated is isolated
    held = attempt.conn.sent[-1].code == Code.REQUEST_HELD
    assert held is (crashes == 2) is not attempt.forwarded


async def test_upstream_that_names_a_rate_gets_no_more_requests(autojump_clock):
    """Guards against an upstream in need that its sidecar loads as before."""

    def answer(call):
        response = FakeResponse([b"x"], is_event_stream=False)
        response.headers = (("x-rate-limit", "0.5"),) if limited else ()
        return response

    limited = True
    sidecar = await make_sidecar(answer)
    for _ in range(80):
        conn = await run(sidecar, make_request())
        await trio.sleep(0.05)
    # One before the limit is known, then one in 2 s.
    assert len(sidecar.client.calls) <= 3
    assert conn.sent[-1].code == Code.UPSTREAM_LIMIT and conn.sent[-1].not_run
    limited = False
    await trio.sleep(2)
    for _ in range(5):
        conn = await run(sidecar, make_request())
        assert conn.sent[-1].code == Code.ANSWERED


async def test_upstream_gets_no_request_in_the_time_of_its_retry_after(autojump_clock):
    """Guards against an upstream in need that its sidecar goes on to load."""

    def answer(call):
        response = FakeResponse([b"x"], is_event_stream=False)
        if busy:
            response.status, response.headers = 503, (("retry-after", "3"),)
        return response

    busy = True
    sidecar = await make_sidecar(answer)
    for _ in range(28):
        conn = await run(sidecar, make_request())
        await trio.sleep(0.1)
    assert len(sidecar.client.calls) == 1
    refused = conn.sent[-1]
    assert refused.code == Code.UPSTREAM_LIMIT and refused.not_run
    assert 200 <= refused.retry_after_ms <= 400
    busy = False
    await trio.sleep(0.3)
    assert (await run(sidecar, make_request())).sent[-1].code == Code.ANSWERED


async def test_upstream_that_says_that_it_leaves_is_drained(autojump_clock):
    """Guards against new work for an upstream that is about to end."""

    def answer(call):
        response = FakeResponse([b"x"], is_event_stream=False)
        response.headers = (("x-leaving", "1"),)
        return response

    sidecar = await make_sidecar(answer)
    await run(sidecar, make_request())
    conn = await run(sidecar, make_request())
    assert len(sidecar.client.calls) == 1
    assert conn.sent[-1].code == Code.DRAINING and conn.sent[-1].not_run
    # Its successor gets requests again.
    sidecar.set_instance("i2")
    assert not sidecar.draining
