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
from mustardfront.metrics import Metrics
from mustardfront.programs.agent._main import _Candidate
from mustardfront.results import Err, Ok
from mustardfront.state import RankPosition, UpstreamState
from mustardfront_platform._records import decode_worker
from mustardfront_platform._store import open_store
from platform_fakes import FakeStore, operator_config, running_store, worker_record
from test_agent import settings

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


FIELDS = (
    "service",
    "address",
    "zone",
    "version",
    "slots",
    "state",
    "sequence",
    "warmupLeftMs",
)


@pytest.mark.parametrize("field", FIELDS)
@pytest.mark.parametrize("change", ["missing", "another type"])
def test_record_with_a_wrong_field_names_no_upstream(field, change):
    """Guards against requests to whatever another writer's record points at."""
    import json

    record = worker_record("10.0.0.1:80")
    if change == "missing":
        del record[field]
    else:
        record[field] = [record[field]]
    assert isinstance(decode_worker("i-1", json.dumps(record).encode()), Err)


async def test_value_that_cannot_be_read_changes_nothing_else():
    """Guards against one unreadable record that ends each process that reads it."""

    class OddStore(FakeStore):
        def item_json(self, key):
            item = super().item_json(key)
            return item | {"value": "x"} if key in odd else item

    odd = {"servers/i-1", "mustardfront/entries/e9", "op/config"}
    store = OddStore()
    for key in odd:
        store.put(key, operator_config())
    store.put("servers/i-2", worker_record("10.0.0.2:80"))
    async with running_store(store), open_store(store.address, Metrics()) as client:
        snapshot = await client.snapshot()
        assert isinstance(snapshot, Ok)
        assert snapshot.value.upstreams.keys() == {"i-2"}
        changes = await client.wait_for_changes(1, 0.05)
        assert isinstance(changes, Ok)


def test_rank_that_crashed_does_not_hide_its_successor():
    """Guards against a coordinator that orders a rank which is gone."""
    seat = RankPosition("g", 2, 0, 1, True)
    old = replace(
        instance("z-old", ("10.0.0.1", 80), "svc"),
        seat=replace(seat, epoch=1),
        born_ms=1,
    )
    new = replace(instance("a-new", ("10.0.0.2", 80), "svc"), seat=seat, born_ms=9)
    candidate = _Candidate(settings(1), None, None, None, None)
    for upstreams in ({"z-old": old, "a-new": new}, {"a-new": new, "z-old": old}):
        found = candidate._upstreams_by_rank(Snapshot(1, None, upstreams), seat)
        assert found == {0: new}
