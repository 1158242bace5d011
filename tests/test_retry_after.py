"""Upstreams that name a time in which they want no requests, or that leave."""

from __future__ import annotations

from dataclasses import replace

import pytest
import trio

from gateway_fakes import SEAL, FakeUpstream, gateway, instance, respond, send_request
from mustardfront.coordination.traffic import (
    Backoffs,
    TrafficState,
    Upstream,
    UpstreamGone,
    parse_retry_after,
    selectable_upstreams,
)

NOT_RUN = b"x-not-run: 1\r\n"


async def test_upstream_gets_no_request_in_the_time_of_its_retry_after():
    """Guards against retries that pile up at an upstream that asked for a pause."""
    busy = FakeUpstream([respond(503, extra=NOT_RUN + b"retry-after: 1.5\r\n")])
    other = FakeUpstream([respond(200)])
    async with gateway({"u1": busy, "u2": other}) as gw:
        started_at = trio.current_time()
        number = 0
        while trio.current_time() < started_at + 1.2:
            number += 1
            headers = {"x-request-id": f"r{number}"}
            response = await send_request(gw, "/get/x", headers=headers)
            assert response.status == 200
            await trio.sleep(0.02)
        assert number > 20
        assert len(busy.requests) == 1


@pytest.mark.parametrize("upstreams", [1, 2])
async def test_request_is_refused_at_once_when_all_upstreams_want_none(upstreams):
    """Guards against a request that waits in vain, or is told to return too soon."""
    busy = [
        FakeUpstream([respond(503, extra=NOT_RUN + b"retry-after: 2\r\n")])
        for _ in range(upstreams)
    ]
    async with gateway({f"u{n}": one for n, one in enumerate(busy)}) as gw:
        started_at = trio.current_time()
        for number in range(3):
            headers = {"x-request-id": f"r{number}"}
            refused = await send_request(gw, "/get/x", headers=headers)
            assert refused.status == 503
        assert 1.5 < float(refused.headers["retry-after"]) <= 2.0
        assert trio.current_time() - started_at < 0.4
    assert [len(one.requests) for one in busy] == [1] * upstreams


def test_backoff_outlasts_a_lapsed_announcement_and_ends_with_the_process():
    """Guards against requests at an upstream whose announcement came back."""
    now_s = 100.0
    state = TrafficState(lambda: now_s)
    announced = instance("u1", ("10.0.0.1", 80), "svc")
    state.apply(announced, keep_missing=False)
    state.backoffs.record(Upstream(announced).incarnation, 3.0)
    state.apply(UpstreamGone("u1"), keep_missing=False)
    state.apply(announced, keep_missing=False)
    known = state.upstreams_of("svc")
    assert selectable_upstreams(known, frozenset(), state) == []
    state.apply(replace(announced, born_ms=5), keep_missing=False)
    known = state.upstreams_of("svc")
    assert len(selectable_upstreams(known, frozenset(), state)) == 1


def test_later_refusal_does_not_shorten_a_backoff():
    now_s = 100.0
    backoffs = Backoffs(lambda: now_s)
    backoffs.record("u1.0", 3.0)
    backoffs.record("u1.0", 1.0)
    assert backoffs.left_s("u1.0") == 3.0
    now_s = 103.0
    assert backoffs.left_s("u1.0") == 0.0


@pytest.mark.parametrize(
    ("value", "delay_s"),
    [
        (b"3", 3.0),
        (b"0.25", 0.25),
        (b"", None),
        (b"-1", None),
        (b"nan", None),
        (b"Fri, 05 Dec 2026 10:00:00 GMT", None),
    ],
)
def test_retry_after_is_a_number_of_seconds(value, delay_s):
    assert parse_retry_after(value) == delay_s


async def test_upstream_that_says_that_it_leaves_gets_no_further_request():
    """Guards against requests at an upstream that ends before its drain is known."""
    leaving = FakeUpstream([respond(200, extra=SEAL + b"x-leaving: 1\r\n")])
    other = FakeUpstream([respond(200)])
    async with gateway({"u1": leaving, "u2": other}) as gw:
        announced = gw.state.get("u1").announced
        for number in range(20):
            headers = {"x-request-id": f"r{number}"}
            assert (await send_request(gw, "/get/x", headers=headers)).status == 200
            # Its announcement is written again, unchanged.
            gw.state.apply(announced, keep_missing=False)
        assert len(leaving.requests) == 1
        gw.state.apply(replace(announced, born_ms=5), keep_missing=False)
        assert len(gw.state.upstreams_of("svc")) == 2
