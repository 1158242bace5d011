"""Evacuated places get no requests, whatever happens to the store or the entry."""

from __future__ import annotations

from dataclasses import replace

import trio

from gateway_fakes import (
    FakeUpstream,
    config,
    encode_chunk,
    encode_events,
    gateway,
    instance,
    respond,
    send_request,
    stream_head,
)
from mustardfront.coordination.traffic import (
    PlaceEvacuation,
    Snapshot,
    TrafficState,
    follow,
)
from mustardfront.metrics import Metrics
from mustardfront_platform._store import open_store
from platform_fakes import (
    FakeStore,
    operator_config,
    running_store,
    wait_until,
    worker_record,
)


def move(gw, upstream: str, place: str) -> None:
    """Announce an upstream in another place."""
    announced = gw.state.get(upstream).announced
    moved = replace(announced, place=place, sequence=announced.sequence + 1)
    gw.state.apply(moved, keep_missing=False)


async def call(gw, number: int) -> int:
    response = await send_request(gw, "/get/x", headers={"x-request-id": f"r{number}"})
    return response.status


async def test_evacuated_place_gets_no_requests_until_it_is_taken_back():
    """Guards against an operator's request that no entry reads."""
    left, kept = FakeUpstream([respond(200)]), FakeUpstream([respond(200)])
    async with gateway({"u1": left, "u2": kept}) as gw:
        # Neither is in the entry's own place, which would come first.
        move(gw, "u1", "b")
        move(gw, "u2", "c")
        gw.state.apply(PlaceEvacuation("b"), keep_missing=False)
        assert {await call(gw, number) for number in range(12)} == {200}
        assert (len(left.requests), len(kept.requests)) == (0, 12)
        gw.state.apply(PlaceEvacuation("b", is_ended=True), keep_missing=False)
        for number in range(12):
            await call(gw, 20 + number)
        assert left.requests


async def test_stream_that_runs_in_an_evacuated_place_ends_there():
    """Guards against answers that an evacuation cuts off."""
    evacuated = trio.Event()

    async def slow_stream(request, conn):
        await conn.send_all(stream_head(request) + encode_chunk(encode_events(1, 2)))
        await evacuated.wait()
        await conn.send_all(encode_chunk(encode_events(2, 4)) + b"0\r\n\r\n")

    left, kept = FakeUpstream([slow_stream]), FakeUpstream([respond(200)])
    async with gateway({"u1": left, "u2": kept}) as gw:
        move(gw, "u1", "b")
        gw.state.apply(
            replace(gw.state.get("u2").announced, place="c", sequence=1), False
        )
        gw.state.apply(PlaceEvacuation("c"), keep_missing=False)

        async def evacuate() -> None:
            await wait_until(lambda: bool(left.requests))
            gw.state.apply(PlaceEvacuation("b"), keep_missing=False)
            gw.state.apply(PlaceEvacuation("c", is_ended=True), keep_missing=False)
            evacuated.set()

        async with trio.open_nursery() as nursery:
            nursery.start_soon(evacuate)
            response = await send_request(gw, "/draft/x")
        assert response.complete
        assert response.body == encode_events(1, 4)
        assert not kept.requests


async def test_request_whose_places_are_all_evacuated_is_refused_at_once():
    """Guards against a request that waits where waiting cannot help."""
    upstream = FakeUpstream([respond(200)])
    async with gateway({"u1": upstream}) as gw:
        gw.state.apply(PlaceEvacuation("a"), keep_missing=False)
        started_at = trio.current_time()
        response = await send_request(gw, "/get/x")
        assert trio.current_time() - started_at < 0.2
        assert response.status == 503
        assert not upstream.requests


async def follow_store(store: FakeStore, state: TrafficState) -> None:
    async with open_store(store.address, Metrics()) as client:
        await follow(client, state, trio.current_time)


async def test_entry_reads_evacuations_at_its_start_and_while_it_runs():
    """Guards against an entry that starts during an evacuation and ignores it."""
    store = FakeStore()
    store.put("op/config", operator_config())
    store.put("servers/w1", worker_record("10.0.0.1:80", zone="zone-a"))
    store.put("servers/w2", worker_record("10.0.0.2:80", zone="zone-b"))
    store.put("op/evacuate/zone-a", {})
    state = TrafficState(trio.current_time, "edge-1")
    async with running_store(store), trio.open_nursery() as nursery:
        nursery.start_soon(follow_store, store, state)
        await wait_until(lambda: state.routes is not None)
        assert [one.instance for one in state.upstreams_of("svc")] == ["w2"]
        store.put("op/evacuate/zone-b", {})
        await wait_until(lambda: not state.upstreams_of("svc"))
        assert state.index.is_evacuated("svc")
        store.remove("op/evacuate/zone-a")
        await wait_until(lambda: len(state.upstreams_of("svc")) == 1)
        nursery.cancel_scope.cancel()


async def test_evacuation_holds_while_the_store_is_down():
    """Guards against an entry that takes an outage for the end of an evacuation."""
    store = FakeStore()
    store.put("op/config", operator_config())
    store.put("servers/w1", worker_record("10.0.0.1:80", zone="zone-a"))
    store.put("servers/w2", worker_record("10.0.0.2:80", zone="zone-b"))
    state = TrafficState(trio.current_time, "edge-1")
    async with running_store(store), trio.open_nursery() as nursery:
        nursery.start_soon(follow_store, store, state)
        await wait_until(lambda: len(state.upstreams_of("svc")) == 2)
        store.put("op/evacuate/zone-a", {})
        await wait_until(lambda: len(state.upstreams_of("svc")) == 1)
        store.status = 503
        store.changed.set()
        store.changed = trio.Event()
        await trio.sleep(0.6)
        # Taken back unseen, which the entry learns from the snapshot after the outage.
        assert state.evacuated_places == {"zone-a"}
        store.remove("op/evacuate/zone-a")
        store.status = 0
        await wait_until(lambda: len(state.upstreams_of("svc")) == 2)
        nursery.cancel_scope.cancel()


def test_evacuation_outlasts_a_store_that_lost_its_last_writes():
    """Guards against requests to an evacuated place after the store was restored."""
    state = TrafficState(lambda: 0.0, "e1")
    known = {"u1": instance("u1", ("127.0.0.1", 9), "svc")}
    before = Snapshot(9, config(), known, era=1, evacuated=frozenset({"a"}))
    state.replace(before, keep_missing=False)
    state.replace(Snapshot(7, config(), known, era=2), keep_missing=True)
    assert not state.upstreams_of("svc")
    state.apply(PlaceEvacuation("a"), keep_missing=True)
    state.drop_lapsed()
    assert state.evacuated_places == {"a"}
    state.replace(Snapshot(5, config(), known, era=3), keep_missing=True)
    state.drop_lapsed()
    assert len(state.upstreams_of("svc")) == 1
