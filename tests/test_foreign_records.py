"""Records of other writers in the service discovery, and what they must not change."""

from __future__ import annotations

from dataclasses import replace

import pytest
import trio

from gateway_fakes import (
    FakeUpstream,
    gateway,
    instance,
    respond,
    send_request,
)
from mustardfront.coordination.traffic import Snapshot, TrafficState
from mustardfront.state import UpstreamState

LATER_MS = 5_000


def respond_as(name: str):
    """Answer requests for another instance with 421, as an upstream does."""

    async def send(request, conn):
        if request.headers.get("x-expect-instance") == name:
            await respond(200)(request, conn)
            return
        extra = b"x-instance: %s\r\n" % name.encode()
        await respond(421, b"", extra)(request, conn)

    return send


def record_at(address, service: str, **fields):
    """Return a later announcement of another writer for an upstream's address."""
    foreign = replace(instance("foreign", address, service), born_ms=LATER_MS)
    return replace(foreign, **fields)


@pytest.mark.parametrize(
    ("service", "state"),
    [
        ("unnamed", UpstreamState.READY),
        ("unnamed", UpstreamState.DRAINING),
        ("deep", UpstreamState.DRAINING),
    ],
)
async def test_record_that_takes_no_requests_removes_no_upstream(service, state):
    """Guards against sound upstreams that get no request any more."""
    upstream = FakeUpstream([respond(200)])
    async with gateway({"u1": upstream}) as gw:
        foreign = record_at(upstream.address[:2], service, state=state)
        gw.state.apply(foreign, keep_missing=False)
        response = await send_request(gw, "/get/x")
        assert response.status == 200


async def test_record_for_the_address_of_an_upstream_is_found_out_by_its_answer():
    """Guards against a record of a named service that hides an upstream for good."""
    upstream = FakeUpstream([respond_as("u1")])
    async with gateway({"u1": upstream}) as gw:
        gw.state.apply(record_at(upstream.address[:2], "deep"), keep_missing=False)
        # Its own service finds the record's upstream to be another one.
        response = await send_request(gw, "/get/deep/x")
        assert response.status == 503
        response = await send_request(gw, "/get/x")
        assert response.status == 200


async def test_upstream_returns_when_the_later_record_at_its_address_ends():
    """Guards against an upstream that is unknown until its own record changes."""
    announced = replace(instance("u1", ("10.0.0.1", 80), "svc"), born_ms=1)
    later = replace(announced, instance="u2", born_ms=LATER_MS)
    state = TrafficState(trio.current_time)
    state.replace(Snapshot(1, None, {"u1": announced}), keep_missing=False)
    state.apply(later, keep_missing=False)
    assert [one.instance for one in state.upstreams_of("svc")] == ["u2"]
    state.replace(Snapshot(2, None, {"u1": announced}), keep_missing=False)
    assert [one.instance for one in state.upstreams_of("svc")] == ["u1"]
