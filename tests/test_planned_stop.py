"""Requests that are open, or arrive, while an entry stops as planned."""

from __future__ import annotations

import signal

import pytest
import trio

from gateway_fakes import FakeUpstream, gateway, respond, send_request, stream_events
from mustardfront.coordination.traffic import may_finish
from platform_fakes import FakeStore, operator_config, running_store, worker_record
from test_platform import (
    TIMEOUT_S,
    free_port,
    http_get,
    start_entry,
    wait_ready,
)


def answer_after(delay_s: float):
    async def send(request, conn):
        await trio.sleep(delay_s)
        await respond(200)(request, conn)

    return send


async def stop_soon(gw, upstream: FakeUpstream, after_s: float) -> None:
    """Have a gateway end its requests some time after the first one arrived."""
    while not upstream.requests:  # noqa: ASYNC110
        await trio.sleep(0.01)
    gw.frontend.forwarder.stop.begin(trio.current_time() + after_s)


@pytest.mark.parametrize(
    ("left_s", "limit_s", "usual_s", "is_repeatable", "expected"),
    [
        (5.0, 4.0, 0.0, False, True),
        (5.0, 8.0, 0.0, False, False),
        (5.0, 8.0, 0.0, True, True),
        (5.0, 8.0, 1.5, False, True),
        (5.0, 8.0, 3.0, False, False),
        (5.0, 8.0, 3.0, True, False),
        (float("inf"), 8.0, 7.0, False, True),
    ],
)
def test_request_is_taken_if_it_is_likely_to_finish(
    left_s, limit_s, usual_s, is_repeatable, expected
):
    assert expected is may_finish(left_s, limit_s, usual_s, is_repeatable=is_repeatable)


@pytest.mark.parametrize("target", ["/book/x", "/once/x"])
async def test_request_that_may_not_finish_is_refused_as_not_run(target):
    """Guards against a request that runs here once and is cut off without an answer."""
    upstream = FakeUpstream([answer_after(1.2)])
    async with gateway({"u1": upstream}) as gw:
        gw.frontend.forwarder.stop.begin(trio.current_time() + 1.0)
        response = await send_request(gw, target)
        assert response.status == 503
        # Another entry takes the request at once.
        assert float(response.headers["retry-after"]) < 0.1
        assert upstream.requests == []


@pytest.mark.parametrize("target", ["/book/x", "/get/x"])
async def test_request_of_a_route_that_is_usually_quick_is_still_taken(target):
    """Guards against refusals of all requests from the first moment of a stop."""
    upstream = FakeUpstream([respond(200)])
    async with gateway({"u1": upstream}) as gw:
        assert (await send_request(gw, target)).status == 200
        gw.frontend.forwarder.stop.begin(trio.current_time() + 1.0)
        assert (await send_request(gw, target)).status == 200


@pytest.mark.parametrize(("target", "status"), [("/book/x", 502), ("/get/x", 502)])
async def test_request_that_is_open_when_the_entry_stops_gets_an_answer(target, status):
    """Guards against connections that end without an answer at the end of the grace."""
    upstream = FakeUpstream([answer_after(5.0)])
    async with gateway({"u1": upstream}) as gw, trio.open_nursery() as nursery:
        nursery.start_soon(stop_soon, gw, upstream, 0.2)
        with trio.fail_after(1.0):
            response = await send_request(gw, target)
        assert (response.status, response.complete) == (status, True)


async def test_request_that_no_upstream_took_is_refused_when_the_entry_stops():
    """Guards against a 502 for a request that has not run."""
    async with gateway({}) as gw:
        gw.frontend.forwarder.stop.begin(trio.current_time() + 0.2)
        response = await send_request(gw, "/get/x")
        assert response.status == 503


async def test_stream_that_is_cut_by_a_stop_is_incomplete():
    """Guards against a stream that passes for whole when its entry ends it."""

    async def stall(request, conn):
        await stream_events(5, cut_after=2)(request, conn)
        await trio.sleep_forever()

    upstream = FakeUpstream([stall])
    async with gateway({"u1": upstream}) as gw, trio.open_nursery() as nursery:
        nursery.start_soon(stop_soon, gw, upstream, 0.3)
        response = await send_request(gw, "/once/x")
        assert response.status == 200 and not response.complete


async def test_entry_process_answers_all_requests_of_a_planned_stop(tmp_path):
    """Guards against bookings that are taken late in the grace and then cut off."""
    upstream = FakeUpstream([answer_after(30.0)])
    store = FakeStore()
    book = operator_config()["routes"][0] | {
        "name": "book",
        "prefix": "/book/",
        "kind": "non_idempotent",
        "timeoutMs": 20_000,
        "maxAttempts": 1,
    }
    store.put("op/config", operator_config(routes=[book]))
    ports = {"front": free_port(), "ready": free_port()}
    async with running_store(store), trio.open_nursery() as nursery:
        await nursery.start(upstream.run)
        store.put("servers/i-1", worker_record(f"127.0.0.1:{upstream.address[1]}"))
        process = await start_entry(nursery, tmp_path, store, ports)
        statuses: list[int] = []

        async def book_slowly() -> None:
            statuses.append(
                (await http_get(ports["front"], "/book/x", wait_ms=15_000))[0]
            )

        with trio.fail_after(TIMEOUT_S):
            await wait_ready(ports["ready"])
            async with trio.open_nursery() as callers:
                for _ in range(3):
                    callers.start_soon(book_slowly)
                while len(upstream.requests) < 3:  # noqa: ASYNC110
                    await trio.sleep(0.01)
                process.send_signal(signal.SIGTERM)
                for _ in range(100):
                    if (await http_get(ports["ready"], "/-/readiness"))[0] == 503:
                        break
                    await trio.sleep(0.02)
                # They would be at work when the grace ends, and may run once.
                for _ in range(3):
                    callers.start_soon(book_slowly)
            await process.wait()
        assert sorted(statuses) == [502] * 3 + [503] * 3
        assert len(upstream.requests) == 3
        assert process.returncode == 0
        nursery.cancel_scope.cancel()
