"""Rates of requests that upstreams name, and what entries together send them."""

from __future__ import annotations

import math
import random
from collections import deque

import pytest
import trio
from hypothesis import given, settings
from hypothesis import strategies as st

from gateway_fakes import SEAL, FakeUpstream, gateway, instance, respond, send_request
from mustardfront.coordination.traffic import (
    RateLimitNotice,
    RateLimits,
    Snapshot,
    TrafficState,
    Upstream,
    parse_rate_limit,
)
from mustardfront.coordination.traffic._rate_limits import entry_share_per_s

# An upstream may get this much in four seconds, by the users' bound.
WINDOW_S = 4.0


def requests_max(per_s: float) -> float:
    return 1.5 * per_s * WINDOW_S + 5


async def test_upstream_that_names_a_rate_gets_no_more_requests():
    """Guards against an upstream in need that gets the same load as before."""
    per_s = 0.5
    limited = FakeUpstream([respond(200, extra=SEAL + b"x-rate-limit: 0.5\r\n")])
    other = FakeUpstream([respond(200)])
    async with gateway({"u1": limited, "u2": other}) as gw:
        for number in range(60):
            headers = {"x-request-id": f"r{number}"}
            response = await send_request(gw, "/get/x", headers=headers)
            assert response.status == 200
            await trio.sleep(0.02)
    assert len(limited.requests) <= requests_max(per_s)


async def test_request_beyond_all_limits_is_refused_at_once():
    """Guards against a request that waits for a limit that leaves it no chance."""
    limited = FakeUpstream([respond(200, extra=SEAL + b"x-rate-limit: 0.5\r\n")])
    async with gateway({"u1": limited}) as gw:
        first = await send_request(gw, "/get/x")
        assert first.status == 200
        started_at = trio.current_time()
        refused = await send_request(gw, "/get/x", headers={"x-request-id": "r2"})
        assert trio.current_time() - started_at < 0.2
        assert refused.status == 503
        assert 1.5 < float(refused.headers["retry-after"]) <= 2.0
    assert len(limited.requests) == 1


async def test_limit_ends_with_an_answer_that_names_none():
    """Guards against an upstream that stays limited after its need is over."""
    scripts = [respond(200, extra=SEAL + b"x-rate-limit: 20\r\n"), respond(200)]
    upstream = FakeUpstream(scripts)
    async with gateway({"u1": upstream}) as gw:
        incarnation = gw.state.get("u1").incarnation
        await send_request(gw, "/get/x")
        assert gw.state.rate_limits.named(incarnation).per_s == 20
        await trio.sleep(0.1)
        await send_request(gw, "/get/x", headers={"x-request-id": "r2"})
        assert gw.state.rate_limits.named(incarnation).per_s is None
        assert gw.frontend.forwarder.rate_limit_notices.get(incarnation) == (
            RateLimitNotice(incarnation, None)
        )


def test_new_entry_knows_the_limits_of_the_store():
    """Guards against a restarted entry that sends without limit until told."""
    notice = RateLimitNotice("u1.0", 1.0)
    state = TrafficState(lambda: 0.0, "entry1")
    upstream = instance("u1", ("127.0.0.1", 9), "svc")
    snapshot = Snapshot(1, None, {"u1": upstream}, rate_limits=(notice,))
    state.replace(snapshot, keep_missing=False)
    assert state.rate_limits.wait_s(Upstream(upstream).incarnation) == 1.0
    assert not state.rate_limits.needs_announcement(notice)


@pytest.mark.parametrize(
    ("value", "per_s"),
    [
        (b"1.5", 1.5),
        (b" 2 ", 2.0),
        (b"0", 0.0),
        (b"", None),
        (b"-1", None),
        (b"nan", None),
        (b"inf", None),
        (b"many", None),
    ],
)
def test_named_rate_is_a_finite_number(value, per_s):
    assert parse_rate_limit(value) == per_s


@settings(derandomize=True)
@given(
    st.integers(1, 40),
    st.floats(0.1, 60.0, allow_nan=False),
    st.integers(0, 2**32),
)
def test_shares_of_all_entries_add_up_to_the_limit(count, per_s, seed):
    entries = [f"e{seed}-{number}" for number in range(count)]
    shares = [entry_share_per_s("u1.0", per_s, entries, one) for one in entries]
    assert math.isclose(sum(shares), per_s)


@settings(derandomize=True, max_examples=30)
@given(
    st.integers(1, 35),
    st.sampled_from([0.0, 0.3, 1.0, 1.6, 7.0, 25.0]),
    st.integers(0, 2**32),
)
def test_entries_together_keep_to_a_limit(count, per_s, seed):
    """Guards against entries that each keep a limit and together exceed it.

    All entries always have a request to send; now and then one is replaced by a new
    process, and each learns of that, and of a change of the limit, at another time.
    """
    rng = random.Random(seed)
    now_s = 0.0
    names = [f"e{number}" for number in range(count)]
    fleet: dict[str, RateLimits] = {}

    def start(name: str) -> None:
        fleet[name] = RateLimits(lambda: now_s, name)
        fleet[name].set_entries(names)
        fleet[name].record_announced(RateLimitNotice("u1.0", per_s))

    for name in names:
        start(name)
    sent: deque[float] = deque()
    for step in range(600):
        now_s = step * 0.05
        if step % 120 == 119:
            gone = rng.choice(names)
            names = [f"n{step}" if name == gone else name for name in names]
            del fleet[gone]
            start(f"n{step}")
        for name in rng.sample(names, len(names)):
            if rng.random() < 0.2:
                fleet[name].set_entries(names)
            if fleet[name].wait_s("u1.0") == 0.0:
                fleet[name].take("u1.0")
                sent.append(now_s)
        while sent and sent[0] <= now_s - WINDOW_S:
            sent.popleft()
        assert len(sent) <= requests_max(per_s)


async def test_limit_of_another_process_at_the_address_is_not_taken_over():
    """Guards against limiting an upstream by what its successor says of itself."""
    extra = SEAL + b"x-rate-limit: 0.5\r\n"
    async with gateway({"u1": FakeUpstream([respond(421, extra=extra)])}) as gw:
        incarnation = gw.state.get("u1").incarnation
        await send_request(gw, "/get/x")
        assert gw.state.rate_limits.named(incarnation).per_s is None


def test_entry_that_starts_tries_a_named_limit_at_once():
    """Guards against a service that stays refused after all entries were restarted.

    Its upstreams may take requests again, and no entry was there to see it.
    """
    state = TrafficState(lambda: 0.0, "e0")
    notice = RateLimitNotice("u1.0", 0.0)
    snapshot = Snapshot(1, None, {}, {"e0": 1}, rate_limits=(notice,))
    state.replace(snapshot, keep_missing=False)
    assert state.rate_limits.wait_s("u1.0") == 0.0
    state.rate_limits.take("u1.0")
    assert state.rate_limits.wait_s("u1.0") > 0.0
    # One that ran on has sent requests without the limit until now.
    state.apply(RateLimitNotice("u2.0", 0.0), keep_missing=False)
    assert state.rate_limits.wait_s("u2.0") > 0.0
