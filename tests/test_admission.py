"""Order of waiting requests and even load by reports, played without a network."""

from __future__ import annotations

import random
from dataclasses import replace

import msgspec
import pytest
import trio
from bench._shared_fleet import FleetRun
from bench._shared_load import Decision, FleetLoad, FleetResult, KindLoad

from gateway_fakes import (
    FakeUpstream,
    config,
    gateway,
    instance,
    respond,
    route,
    send_request,
    stream_events,
)
from mustardfront.coordination.traffic import (
    AdmissionQueue,
    Demand,
    EntryChange,
    LoadReport,
    PeerLoads,
    PlaceTurns,
    Snapshot,
    TrafficState,
    Waiter,
    admission_policy,
    place_limit,
    report_peers,
    reported_loads,
    upstream_key,
)
from mustardfront.coordination.traffic._admission import (
    PLACE_RATIO_MIN,
    PlaceRatio,
)
from mustardfront.coordination.traffic._peer_loads import (
    PEERS_MAX,
    REPORT_MAX_AGE_S,
    REPORTED_MAX,
)
from mustardfront.programs.gateway._load_exchange import LoadExchange
from mustardfront.state import EngineModel, RequestKind, TrafficService
from platform_fakes import wait_until

BEFORE = Decision("assigned")
AFTER = Decision("reports", has_admission=True, has_urgency=True)


def mixed_load(burst: float, **fields) -> FleetLoad:
    """Return urgent drafts, batch work with a burst, and lessons in between."""
    kinds = (
        KindLoad("urgent", 40.6, 0, 0.406, 2.0, 674, 139),
        KindLoad("batch", 53.6, 2, 1.007, 4.0, 960, 139, bursts=((3.0, 9.0, burst),)),
        KindLoad("lesson", 17.9, 1, 0.407, 2.0, 787, 139),
    )
    return FleetLoad(kinds, **fields)


def play(load: FleetLoad) -> tuple[FleetResult, FleetResult]:
    return FleetRun(load, BEFORE, 1).play(), FleetRun(load, AFTER, 1).play()


def share(result: FleetResult, kind: str) -> float:
    """Return the share of a kind's requests that met their objective."""
    found = result.kinds[kind]
    return found.in_objective / found.asked


@pytest.mark.parametrize("burst", [2.6, 4.0])
def test_urgent_requests_meet_their_objective_in_a_burst_of_batch_work(burst):
    """Guards against batch work that makes all kinds late."""
    before, after = play(mixed_load(burst))
    assert share(after, "urgent") > max(0.85, share(before, "urgent") + 0.15)
    assert share(after, "lesson") > share(before, "lesson") + 0.1
    # Batch work gains too, since less of it is served too late.
    assert share(after, "batch") >= share(before, "batch")
    assert after.rejected <= before.rejected + 10


def test_nothing_changes_for_the_worse_in_calm():
    before, after = play(mixed_load(1.0))
    for kind in ("urgent", "batch", "lesson"):
        assert share(after, kind) >= share(before, kind)
        assert after.kinds[kind].unserved <= before.kinds[kind].unserved
    assert after.idle_beside_overrun < before.idle_beside_overrun


def test_more_requests_are_in_time_after_a_stall():
    """Guards against a backlog that is worked off oldest first."""
    stalls = ((5.0, 9.0, 0), (5.0, 9.0, 1))
    before, after = play(mixed_load(1.0, stalls=stalls))
    for kind in ("urgent", "batch", "lesson"):
        assert share(after, kind) > share(before, kind)


@pytest.mark.parametrize(
    "fields",
    [
        {"busy_entry_ratio": 4.0},
        {"frozen": ((5.0, 9.0, 1),)},
        {"joins_at_s": 8.0},
        {"slow": {1: 1.5}},
    ],
    ids=["busy entry", "frozen entry", "entry joins", "slow group"],
)
def test_load_is_more_even_whatever_happens_to_an_entry(fields):
    """Guards against upstreams that are overrun in turns while others idle."""
    before, after = play(mixed_load(1.6, **fields))
    assert share(after, "urgent") >= share(before, "urgent")
    assert after.idle_beside_overrun <= before.idle_beside_overrun


def ranks(demands: list[Demand], now_s: float) -> list[int]:
    return sorted(range(len(demands)), key=lambda index: demands[index].rank(now_s))


def test_order_of_waiting_requests():
    """Resumed streams, then urgent ones, then by what can meet its objective."""
    demands = [
        Demand(2, 5.0, 4.0),
        Demand(0, 1.0, 0.5),
        Demand(0, 3.0, 2.5),
        Demand(2, 1.0, 0.2),
        Demand(2, 1.5, 0.6),
        Demand(2, 9.0, 4.1, is_resumed=True),
    ]
    # The late ones (3 and 4) go after the others of their priority, newest first.
    assert ranks(demands, 2.0) == [5, 2, 1, 0, 4, 3]


def test_queue_grants_in_order_and_passes_over_few():
    queue: AdmissionQueue[str] = AdmissionQueue(lambda: 0.0)
    for name, priority in (("a", 2), ("b", 0), ("c", 1)):
        queue.add(Waiter(Demand(priority, 1.0, 0.0), name))
    assert not queue.goes_first(Demand(1, 2.0, 0.0))
    assert queue.goes_first(Demand(0, 0.5, 0.0))
    got: list[str] = []

    def place(waiter: Waiter[str]) -> bool:
        if waiter.handle == "b":
            return False
        got.append(waiter.handle)
        return True

    assert queue.grant(place, misses_max=1) == 0
    assert queue.grant(place, misses_max=2) == 2
    assert got == ["c", "a"]
    assert queue.count_by_priority() == {0: 1}


def test_one_entry_takes_a_free_place_on_average():
    """Guards against all entries that send to the one upstream with a free place."""
    rng = random.Random(4)
    waiting = [1, 4, 10, 5]
    takers = 0
    for _ in range(2_000):
        for own in waiting:
            turns = PlaceTurns(rng.random)
            turns.draw([7], own, sum(waiting) - own)
            takers += turns.may_take(7)
    assert takers / 2_000 == pytest.approx(1.0, abs=0.1)


def test_entry_that_alone_waits_takes_each_free_place():
    turns = PlaceTurns(lambda: 0.999)
    turns.draw([1, 2, 3], 5, 0)
    assert all(turns.may_take(key) for key in (1, 2, 3))


def test_some_upstreams_keep_a_slot_free_of_the_least_urgent():
    limits = [place_limit(5, key, 1.0, is_least_urgent=True) for key in range(16)]
    assert limits.count(4) == 4
    assert {place_limit(5, key, 1.0, is_least_urgent=False) for key in range(16)} == {5}
    assert place_limit(1, 0, PLACE_RATIO_MIN, is_least_urgent=True) == 1


def test_part_of_the_slots_follows_the_pauses_of_streams():
    ratio = PlaceRatio()
    for _ in range(200):
        ratio.record_stream(is_in_pace=True, has_waiting=True)
    assert ratio.ratio == 1.0
    for _ in range(9):
        ratio.record_stream(is_in_pace=False, has_waiting=True)
    assert ratio.ratio == PLACE_RATIO_MIN
    # It does not rise while nobody waits.
    ratio.record_stream(is_in_pace=True, has_waiting=False)
    assert ratio.ratio == PLACE_RATIO_MIN


class Clock:
    def __init__(self) -> None:
        self.now_s = 0.0

    def __call__(self) -> float:
        return self.now_s


def test_reports_replace_each_other_and_expire():
    """Guards against the load of an entry that has ended or that is counted twice."""
    clock = Clock()
    peers = PeerLoads(clock)
    assert peers.record(LoadReport("e1", 2, {7: 3}, waiting=4, failing=(9,)))
    assert peers.record(LoadReport("e2", 1, {7: 1, 8: 2}))
    assert not peers.record(LoadReport("e1", 1, {7: 50}))
    assert peers.in_flight(7) == 4
    assert peers.is_failing(9)
    assert peers.waiting_count() == 4
    assert peers.record(LoadReport("e1", 3, {8: 1}))
    assert (peers.in_flight(7), peers.in_flight(8)) == (1, 3)
    assert not peers.is_failing(9)
    clock.now_s += REPORT_MAX_AGE_S + 0.1
    peers.drop_old()
    assert (peers.reporting_count, peers.in_flight(8)) == (0, 0)


def test_report_of_nonsense_loads_stays_bounded():
    """Guards against a lying entry that makes all upstreams look loaded for ever."""
    peers = PeerLoads(lambda: 0.0)
    peers.record(LoadReport("e1", 1, {7: 10**9, 8: -5}))
    assert peers.in_flight(7) <= 4_096
    assert peers.in_flight(8) == 0


def test_report_fits_in_a_datagram():
    loads = reported_loads((upstream_key(f"u{one}"), 9) for one in range(2_800))
    assert len(loads) == REPORTED_MAX
    failing = tuple(upstream_key(f"u{one}") for one in range(32))
    report = LoadReport("entry-of-some-name", 2**62, loads, 400, failing)
    assert len(msgspec.msgpack.encode(report)) <= 1_400


@pytest.mark.parametrize("count", [2, 14, 400])
def test_an_entry_reports_to_a_bounded_number(count):
    names = [f"e{index:03}" for index in range(count)]
    for own in names:
        peers = report_peers(names, own)
        assert own not in peers
        assert len(set(peers)) == min(PEERS_MAX, count - 1)


def engine_config(priorities: tuple[int, ...]):
    routes = tuple(
        route(f"/r{index}/", RequestKind.STREAM, priority=priority, resumable=True)
        for index, priority in enumerate(priorities)
    )
    services = {"svc": TrafficService("svc", 10, EngineModel(layers=1))}
    return replace(config(2), routes=routes, services=services)


@pytest.mark.parametrize(
    ("priorities", "is_on", "least"),
    [((0, 2, 1), True, 2), ((1, 1), False, None), ((1,), False, None)],
)
def test_services_whose_requests_wait_in_the_entries(priorities, is_on, least):
    """Guards against a new order in deployments that do not call for it."""
    policy = admission_policy(engine_config(priorities), "svc")
    assert (policy.is_on, policy.least_urgent) == (is_on, least)
    plain = replace(engine_config(priorities), services=config().services)
    assert not admission_policy(plain, "svc").is_on


async def test_entries_report_to_each_other_over_datagrams():
    """Guards against reports that nobody takes, and takes those of strangers."""
    states = [TrafficState(trio.current_time, name) for name in ("e1", "e2")]
    sockets = [trio.socket.socket(type=trio.socket.SOCK_DGRAM) for _ in states]
    for sock in sockets:
        await sock.bind(("127.0.0.1", 0))
    addresses = [sock.getsockname() for sock in sockets]
    for sock in sockets:
        sock.close()
    known = {"u1": instance("u1", ("127.0.0.1", 9), "svc")}
    snapshot = Snapshot(
        1,
        engine_config((0, 2)),
        known,
        {"e1": 1, "e2": 1},
        entry_addresses=dict(zip(("e1", "e2"), addresses, strict=True)),
    )
    reported = trio.Event()
    for state in states:
        state.replace(snapshot, keep_missing=False)
    states[0].get("u1").in_flight = 3

    def note() -> None:
        if states[1].peer_loads.in_flight(upstream_key("u1")) == 3:
            reported.set()

    async with trio.open_nursery() as nursery:
        for state, name, address in zip(states, ("e1", "e2"), addresses, strict=True):
            exchange = LoadExchange(state, name, lambda: 0, note)
            nursery.start_soon(exchange.run, address)
        with trio.socket.socket(type=trio.socket.SOCK_DGRAM) as stranger:
            await stranger.bind(("127.0.0.3", 0))
            lie = LoadReport("e1", 2**62, {upstream_key("u1"): 99})
            await stranger.sendto(msgspec.msgpack.encode(lie), addresses[1])
            await stranger.sendto(b"\xff" * 40, addresses[1])
        with trio.fail_after(10):
            await reported.wait()
        nursery.cancel_scope.cancel()


def test_an_entry_without_address_is_known_without_one():
    state = TrafficState(lambda: 0.0, "e1")
    state.apply(EntryChange("e2"), keep_missing=False)
    assert state.entries == {"e2"}
    assert state.entry_address("e2") is None


async def test_upstream_that_fails_streams_does_not_get_the_most_requests():
    """Guards against a failing upstream that always seems free."""
    failing = FakeUpstream([respond(500)])
    sound = FakeUpstream([stream_events(3)])
    async with gateway({"u1": failing, "u2": sound}) as gw:
        for number in range(12):
            headers = {"x-request-id": f"r{number}"}
            response = await send_request(gw, "/draft/x", headers=headers)
            assert response.status == 200
    assert len(failing.requests) == 1


async def test_request_waits_for_a_place_and_gets_it_on_a_release():
    """Guards against a request that is refused or sent while all places are taken."""
    release = trio.Event()
    first_taken = trio.Event()

    async def slow(request, conn):
        first_taken.set()
        await release.wait()
        await stream_events(2)(request, conn)

    upstream = FakeUpstream([slow, stream_events(2)])
    async with gateway({"u1": upstream}) as gw:
        cfg = engine_config((0, 2))
        gw.state.apply(cfg, keep_missing=False)
        known = gw.state.get("u1").announced
        gw.state.apply(replace(known, slots=1, sequence=1), keep_missing=False)
        statuses: list[int] = []

        async def call(number: int) -> None:
            headers = {"x-request-id": f"r{number}"}
            response = await send_request(gw, "/r0/x", headers=headers)
            statuses.append(response.status)

        async with trio.open_nursery() as nursery:
            nursery.start_soon(call, 1)
            await first_taken.wait()
            nursery.start_soon(call, 2)
            places = gw.frontend.forwarder.places
            await wait_until(lambda: places.waiting_count() == 1)
            assert len(upstream.requests) == 1
            release.set()
    assert statuses == [200, 200]
    assert len(upstream.requests) == 2


async def test_waiting_request_whose_caller_leaves_reserves_no_place():
    """Guards against places that are lost with callers that left."""
    upstream = FakeUpstream([stream_events(2)])
    async with gateway({"u1": upstream}) as gw:
        gw.state.apply(engine_config((0, 2)), keep_missing=False)
        known = gw.state.get("u1")
        announced = replace(known.announced, slots=1, sequence=1)
        gw.state.apply(announced, keep_missing=False)
        known.in_flight = 1
        with trio.move_on_after(0.2):
            await send_request(gw, "/r0/x")
        await wait_until(lambda: not gw.frontend.forwarder.places.waiting_count())
        known.in_flight = 0
        response = await send_request(gw, "/r0/x", headers={"x-request-id": "r2"})
        assert response.status == 200
        await wait_until(lambda: known.in_flight == 0)
