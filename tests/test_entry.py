"""Requests through an entry to scripted sidecars."""

import json

import pytest
import trio

from entry_fakes import (
    TWO_WRITERS,
    Client,
    crash_after,
    front_with,
    read_stream,
    refuse,
    send_end,
    send_tokens,
    serve_ten,
    token,
)
from mustardfront.codes import Code
from mustardfront.protocol import Chunk, End, Refused


async def test_answers_out_of_order_reach_their_own_callers(autojump_clock):
    # Guards against matching an answer by anything other than its stream number.
    waiting = []

    async def answer_in_reverse(conn, req):
        waiting.append(req)
        if len(waiting) < 2:
            return
        for other in reversed(waiting):
            prompt = json.loads(other.body)["prompt"]
            data = {"index": 0, "choices": [{"text": prompt}]}
            await conn.send(Chunk(other.stream, 0, json.dumps(data).encode()))
            await send_end(conn, other, 1)

    results = {}

    async def ask(client: Client, prompt: str) -> None:
        results[prompt] = await client.stream(prompt)

    async with (
        front_with({"w1": answer_in_reverse}, {"w1": "writer"}) as client,
        trio.open_nursery() as nursery,
    ):
        nursery.start_soon(ask, client, "first")
        nursery.start_soon(ask, client, "second")
    assert results["first"][0] == ["first"]
    assert results["second"][0] == ["second"]


@pytest.mark.parametrize(
    ("code", "served"),
    [
        (Code.DRAINING, True),
        (Code.QUEUE_FULL, True),
        (Code.SHED, True),
        (Code.REQUEST_HELD, False),
        (Code.DEADLINE_PASSED, False),
    ],
)
async def test_refusal_is_retried_only_if_another_may_serve(
    autojump_clock, code, served
):
    outcomes = set()
    for first, second in (("w1", "w2"), ("w2", "w1")):
        scripts = {first: refuse(code), second: serve_ten}
        async with front_with(scripts, TWO_WRITERS) as client:
            # The retry budget's minimum allows three retries.
            for number in range(3):
                _, last = await client.stream(f"p{number}")
                outcomes.add(last["outcome"])
    assert outcomes == ({"answered"} if served else {"answered", "not-run"})


async def test_outcome_is_unknown_if_an_earlier_attempt_may_have_run(autojump_clock):
    # Guards against a refused second attempt that hides the first one's outcome.
    scripts = {"w1": crash_after(0), "w2": crash_after(0)}
    async with front_with(scripts, TWO_WRITERS) as client:
        _, last = await client.stream()
        assert last["outcome"] == "unknown"
    upstreams = {"b1": "booking", "b2": "booking"}
    booking_scripts = {"b1": crash_after(0), "b2": refuse(Code.DRAINING)}
    async with front_with(booking_scripts, upstreams) as client:
        for number in range(8):
            headers = {"idempotency-key": f"key-{number}"}
            _, names, _ = await client.call("POST", "/s/booking/x", b"{}", headers)
            if names["x-upstream"] == "b1":
                assert names["x-outcome"] == "unknown"


async def test_non_idempotent_call_is_not_retried_after_a_crash(autojump_clock):
    attempted = []

    def crash(name):
        async def script(conn, req):
            attempted.append(name)
            await conn.send(End(req.stream, int(Code.UPSTREAM_CRASHED), "unknown", 0))

        return script

    upstreams = {"b1": "booking", "b2": "booking"}
    async with front_with({n: crash(n) for n in upstreams}, upstreams) as client:
        headers = {"idempotency-key": "key"}
        _, names, _ = await client.call("POST", "/s/booking/x", b"{}", headers)
    assert len(attempted) == 1
    assert names["x-outcome"] == "unknown"


async def test_percent_encoded_path_is_forwarded_unchanged(autojump_clock):
    # Guards against decoding an encoded space or slash in a name.
    paths = []

    async def record(conn, req):
        paths.append(req.path)
        await send_end(conn, req, 0)

    async with front_with({"l1": record}, {"l1": "ledger"}) as client:
        await client.call("GET", "/s/ledger/records/a%20b%2Fc%C3%A9")
    assert paths == ["/records/a%20b%2Fc%C3%A9"]


@pytest.mark.parametrize("kind", ["refused", "ended"])
async def test_unknown_code_of_a_newer_peer_is_handled(autojump_clock, kind):
    # Guards against failures during an upgrade: a newer peer sends an unknown code.
    async def send_unknown_code(conn, req):
        if kind == "refused":
            await conn.send(Refused(req.stream, 3999, True))
        else:
            await conn.send(End(req.stream, 4999, "perhaps", 0))

    async with front_with({"w1": send_unknown_code}, {"w1": "writer"}) as client:
        _, last = await client.stream()
    assert last["code"] == Code.INTERNAL_ERROR
    assert last["outcome"] == ("not-run" if kind == "refused" else "unknown")


async def test_internal_error_reaches_only_its_caller(autojump_clock):
    # Guards against an exception that the HTTP server drops without an answer.
    async with front_with({"w1": serve_ten}, {"w1": "writer"}) as client:
        table = client.front.forwarder.table
        original = table.record_start
        table.record_start = lambda upstream: 1 / 0
        _, last = await client.stream()
        assert (last["code"], last["outcome"]) == (Code.INTERNAL_ERROR, "unknown")
        table.record_start = original
        assert not client.front.open_ids
        assert (await client.stream())[1]["code"] == Code.ANSWERED


async def test_refused_connection_is_not_run(autojump_clock):
    async with front_with({}, TWO_WRITERS) as client:
        _, last = await client.stream()
    assert last["outcome"] == "not-run"


async def test_silent_upstream_ends_at_the_deadline(autojump_clock):
    async def silent(conn, req):
        await trio.sleep_forever()

    async with front_with({"w1": silent}, {"w1": "writer"}) as client:
        _, last = await client.stream(deadline_ms=2_000)
    assert last["code"] == Code.DEADLINE_PASSED
    assert last["outcome"] == "unknown"


async def test_deadline_reported_by_the_sidecar_is_not_run(autojump_clock):
    # Guards against "unknown" for a request that only waited in a sidecar's queue.
    async def refuse_at_the_deadline(conn, req):
        await trio.sleep(req.deadline_ms / 1000)
        await conn.send(Refused(req.stream, int(Code.DEADLINE_PASSED), True))

    async with front_with({"w1": refuse_at_the_deadline}, {"w1": "writer"}) as client:
        _, last = await client.stream(deadline_ms=2_000)
    assert (last["code"], last["outcome"]) == (Code.DEADLINE_PASSED, "not-run")


async def test_deadline_while_connecting_is_not_run(autojump_clock):
    async with front_with({}, {"w1": "writer"}) as client:

        async def connect_forever(upstream, address):
            await trio.sleep_forever()

        client.front.forwarder.links.calls = connect_forever
        _, last = await client.stream(deadline_ms=2_000)
    assert (last["code"], last["outcome"]) == (Code.DEADLINE_PASSED, "not-run")


async def test_caller_that_stops_reading_releases_the_upstream_at_deadline(
    autojump_clock,
):
    # Guards against a blocked send to the caller that holds the call and its credit.
    ended = trio.Event()

    async def stream_without_end(conn, req):
        try:
            await send_tokens(conn, req, range(40))
            await trio.sleep_forever()
        finally:
            ended.set()

    async with front_with({"w1": stream_without_end}, {"w1": "writer"}) as client:
        gone = trio.Event()

        async def block(message):
            with trio.CancelScope(shield=True):
                await gone.wait()

        async with trio.open_nursery() as nursery:
            body = b'{"model": "writer", "prompt": "p", "stream": true}'

            async def call():
                await client.call(
                    "POST", "/v1/completions", body, {"x-deadline-ms": "1000"}, block
                )

            nursery.start_soon(call)
            await trio.sleep(2)
            state = client.front.forwarder.table.state("w1")
            assert state is not None and state.in_flight == 0
            gone.set()


async def test_disconnected_caller_cancels_its_request(autojump_clock):
    async def stream_without_end(conn, req):
        await send_tokens(conn, req, range(3))
        await trio.sleep_forever()

    async with front_with({"w1": stream_without_end}, {"w1": "writer"}) as client:
        gone = trio.Event()
        async with trio.open_nursery() as nursery:
            body = b'{"model": "writer", "prompt": "p", "stream": true}'

            async def call():
                await client.call("POST", "/v1/completions", body, disconnected=gone)

            nursery.start_soon(call)
            await trio.sleep(1)
            assert len(client.front.open_ids) == 1
            gone.set()
        assert not client.front.open_ids


@pytest.mark.parametrize(
    ("method", "path", "body", "headers", "code"),
    [
        ("POST", "/v1/completions", b"{", {}, Code.MALFORMED_REQUEST),
        ("POST", "/v1/completions", b"[1]", {}, Code.MALFORMED_REQUEST),
        ("POST", "/v1/completions", b'{"model":"x","prompt":"p"}', {}, 2003),
        ("GET", "/s/none/x", b"", {}, Code.UNKNOWN_SERVICE),
        ("GET", "/elsewhere", b"", {}, Code.UNKNOWN_SERVICE),
        ("PUT", "/s/ledger/x", b"", {}, Code.NO_ROUTE),
        ("GET", "/s/ledger/x/../../admin", b"", {}, Code.MALFORMED_REQUEST),
        ("GET", "/s/ledger/x%2F%2e%2E/admin", b"", {}, Code.MALFORMED_REQUEST),
        ("POST", "/s/booking/x", b"", {}, Code.KEY_REQUIRED),
        ("GET", "/s/ledger/x", b"", {"authorization": "Basic x"}, Code.WRONG_KEY),
        ("GET", "/s/ledger/x", b"", {"authorization": "Bearer a:b"}, 2001),
        ("GET", "/s/ledger/x", b"", {"authorization": "Bearer lofts:no"}, 2002),
        ("GET", "/s/ledger/x", b"", {"x-deadline-ms": "soon"}, Code.MALFORMED_REQUEST),
        ("GET", "/s/ledger/x", b"", {"x-deadline-ms": "0"}, Code.MALFORMED_REQUEST),
        ("GET", "/s/ledger/x", b"", {"x-priority": "99"}, Code.MALFORMED_REQUEST),
        ("GET", "/s/ledger/x", b"", {"x-request-id": "x" * 200}, 2000),
        ("GET", "/s/ledger/x", b"x" * 3_000_000, {}, Code.BODY_TOO_LARGE),
    ],
)
async def test_invalid_request_is_refused_with_its_code(
    autojump_clock, method, path, body, headers, code
):
    async with front_with({}, TWO_WRITERS) as client:
        status, names, answer = await client.call(method, path, body, headers)
    assert names["x-result-code"] == str(int(code))
    assert names["x-outcome"] == "not-run"
    assert 400 <= status < 500
    assert json.loads(answer)["text"]


async def test_team_over_its_limit_is_refused(autojump_clock):
    async def silent(conn, req):
        await trio.sleep_forever()

    async with (
        front_with({"w1": silent}, {"w1": "writer"}, 1) as client,
        trio.open_nursery() as nursery,
    ):
        nursery.start_soon(client.stream, "first", 3_000)
        await trio.sleep(1)
        _, last = await client.stream("second")
        assert last["code"] == Code.TEAM_LIMIT


async def test_same_request_id_in_flight_is_refused(autojump_clock):
    async def silent(conn, req):
        await trio.sleep_forever()

    async with front_with({"w1": silent}, {"w1": "writer"}) as client:
        body = b'{"model": "writer", "prompt": "p", "stream": true}'
        headers = {"x-request-id": "same", "x-deadline-ms": "3000"}

        async def call():
            return await client.call("POST", "/v1/completions", body, headers)

        async with trio.open_nursery() as nursery:
            nursery.start_soon(call)
            await trio.sleep(1)
            _, names, _ = await call()
        assert names["x-result-code"] == str(int(Code.DUPLICATE_REQUEST_ID))


def test_read_stream_parses_an_error_event():
    answer = b"data: " + token(0) + b'\n\nevent: error\ndata: {"code": 4003}\n\n'
    assert read_stream(answer) == (["0"], {"code": 4003})
