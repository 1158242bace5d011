"""Requests go to upstreams in the regions that their route and team allow."""

from __future__ import annotations

from dataclasses import replace

import pytest
import trio

from gateway_fakes import (
    FakeUpstream,
    config,
    gateway,
    respond,
    route,
    send_request,
)
from mustardfront.programs.gateway._request import _allowed_regions
from mustardfront.state import RequestKind, TeamAccess

REGIONS = {"a": "north", "b": "south"}
NORTH, SOUTH = frozenset({"north"}), frozenset({"south"})


def limited_config(route_regions=frozenset(), team_regions=frozenset()):
    routes = (
        route("/get/", RequestKind.IDEMPOTENT, allowed_regions=route_regions),
        route("/book/", RequestKind.NON_IDEMPOTENT, attempts_max=1, priority=3),
    )
    access = {"k1": TeamAccess("lofts", None, team_regions)}
    return replace(config(2), routes=routes, access=access)


async def call_many(gw, cfg, count: int = 10) -> set[int]:
    """Send requests to a gateway with upstream u1 in the north, u2 in the south."""
    gw.frontend.forwarder.regions.update(REGIONS)
    announced = gw.state.get("u2").announced
    gw.state.apply(replace(announced, place="b", sequence=1), keep_missing=False)
    gw.state.apply(cfg, keep_missing=False)
    statuses = set()
    for number in range(count):
        headers = {"x-request-id": f"r{number}"}
        statuses.add((await send_request(gw, "/get/x", headers=headers)).status)
    return statuses


@pytest.mark.parametrize(
    "limits", [(NORTH, frozenset()), (frozenset(), NORTH), (NORTH, NORTH | SOUTH)]
)
async def test_upstreams_of_other_regions_get_nothing(limits):
    """Guards against requests that leave the regions of their route or team."""
    north, south = FakeUpstream([respond(200)]), FakeUpstream([respond(200)])
    async with gateway({"u1": north, "u2": south}) as gw:
        assert await call_many(gw, limited_config(*limits)) == {200}
    assert (len(north.requests), len(south.requests)) == (10, 0)


async def test_retry_stays_in_the_allowed_regions():
    """Guards against a retry that leaves them because all upstreams there failed."""
    north = FakeUpstream([respond(503, extra=b"x-not-run: 1\r\n")])
    south = FakeUpstream([respond(200)])
    async with gateway({"u1": north, "u2": south}) as gw:
        assert await call_many(gw, limited_config(NORTH), 3) == {503}
    assert not south.requests


async def test_request_without_an_upstream_in_its_regions_is_refused_at_once():
    north, south = FakeUpstream([respond(200)]), FakeUpstream([respond(200)])
    async with gateway({"u1": north, "u2": south}) as gw:
        started_at = trio.current_time()
        assert await call_many(gw, limited_config(NORTH, SOUTH), 1) == {503}
        assert trio.current_time() - started_at < 0.2
    assert not north.requests
    assert not south.requests


def test_routes_and_teams_without_regions_allow_all():
    free = route("/get/", RequestKind.IDEMPOTENT)
    assert _allowed_regions(free, None) is None
    assert _allowed_regions(free, TeamAccess("lofts")) is None


async def test_upstream_is_told_the_urgency_where_routes_differ():
    """Guards against urgent requests that wait behind those that may wait."""
    upstream = FakeUpstream([respond(200)])
    async with gateway({"u1": upstream}) as gw:
        await send_request(gw, "/get/x", headers={"x-priority": "0"})
        gw.state.apply(limited_config(), keep_missing=False)
        await send_request(gw, "/get/x", headers={"x-priority": "9"})
        await send_request(gw, "/book/x", headers={"x-request-id": "r2"})
    told = [request.headers.get("x-priority") for request in upstream.requests]
    assert told == [None, "0", "3"]
