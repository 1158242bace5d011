"""Distribution of the configuration: reach, speed, version order, few calls."""

import random

import trio
import trio.testing
from bench._fleet import PLACES, Fleet
from bench._memory_kv import MemoryKv
from bench.config_spread import measure
from hypothesis import given, settings
from hypothesis import strategies as st

from mustardfront import events
from mustardfront.codes import Code
from mustardfront.coordination.config import list_tickets, submit_ticket
from mustardfront.coordination.config._push import TicketLog, apply_push
from mustardfront.coordination.config._watch import (
    REREAD_INTERVAL_S,
    WATCHERS_PER_PLACE,
)
from mustardfront.protocol import ConfigPull
from mustardfront.results import Err, Ok
from mustardfront.state import Config, Place, Ticket, apply_ticket, config_to_bytes

# A change must be in force in all processes within 12 s.
IN_FORCE_S = 12.0


async def submit(kv: MemoryKv, number: int) -> None:
    ticket = Ticket(number, "a", "r", {"places": {f"p{number}": Place("region")}})
    assert isinstance(await submit_ticket(kv, ticket), Ok)


async def ignore_messages(_conn, _message) -> bool:
    """Act as a frozen process: read no message after this one."""
    await trio.sleep_forever()
    return True


async def wait_version(fleet: Fleet, version: int) -> None:
    with trio.fail_after(IN_FORCE_S):
        for member in list(fleet.members.values()):
            await member.store.wait_for_newer(version - 1)


async def test_change_is_in_force_everywhere_with_few_watchers(autojump_clock):
    fleet = Fleet(20)
    async with fleet.running():
        await trio.sleep(1)
        for number in range(1, 4):
            await submit(fleet.kv, number)
            await wait_version(fleet, number)
        watching = sum(m.spread.is_watching for m in fleet.members.values())
        assert watching == WATCHERS_PER_PLACE * len(PLACES)
        assert fleet.kv.calls["watch"] == watching
        assert all(m.spread.synced.is_set() for m in fleet.members.values())


async def test_each_process_dials_three_peers_one_in_another_place(autojump_clock):
    fleet = Fleet(20)
    async with fleet.running():
        await trio.sleep(5)
        connection_ends = sum(len(m.hub.connections) for m in fleet.members.values())
        assert connection_ends == 20 * 3 * 2  # Each dials three; both ends count it.
        cross_place_ends = sum(
            conn.remote.place != member.identity.place
            for member in fleet.members.values()
            for conn in member.hub.connections
        )
        assert cross_place_ends == 20 * 1 * 2


async def test_change_spreads_while_all_watchers_are_dead(autojump_clock):
    # The host list still lists the dead watchers as live, so no others are elected and
    # the change can only be found by the polls of the remaining processes.
    fleet = Fleet(60)
    async with fleet.running():
        await trio.sleep(1)
        for index, member in list(fleet.members.items()):
            if member.spread.is_watching:
                fleet.stop(index)
        await submit(fleet.kv, 1)
        await wait_version(fleet, 1)


async def test_watch_that_delivers_nothing_is_replaced(autojump_clock):
    # Guards against missing changes when a watch's connection died without a reset.
    fleet = Fleet(6)
    async with fleet.running():
        await trio.sleep(1)
        watches = fleet.kv.calls["watch"]
        fleet.kv.is_watch_silent = True
        await submit(fleet.kv, 1)
        await wait_version(fleet, 1)
        await trio.sleep(10)
        assert fleet.kv.calls["watch"] == 2 * watches


async def test_frozen_peer_does_not_stop_a_pull(autojump_clock):
    # A frozen process keeps its connections open and responds to nothing.
    fleet = Fleet(9)
    async with fleet.running():
        await trio.sleep(3)
        for index in (1, 4):
            member = fleet.members[index]

            member.hub._handlers.insert(0, ignore_messages)
            if not member.spread.is_watching:
                del fleet.members[index]
        await submit(fleet.kv, 1)
        for member in list(fleet.members.values()):
            if member.index not in (1, 4):
                with trio.fail_after(IN_FORCE_S):
                    await member.store.wait_for_newer(0)


async def test_only_silent_peers_are_disconnected(autojump_clock):
    silent_peers: list[str] = []

    def record_silent_peer(event: events.Event, fields: dict) -> None:
        if event is events.Event.PEER_SILENT:
            silent_peers.append(fields["peer_host"])

    fleet = Fleet(6)
    events.add_listener(record_silent_peer)
    try:
        async with fleet.running():
            # Heartbeats are sent every 2 s from the start, so pings are unanswered now.
            await trio.sleep(8.00005)
            # Simulates a pause of all processes: no peer is silent, but its messages
            # are still unread.
            autojump_clock.jump(30)
            await trio.sleep(10)
            assert not silent_peers
            fleet.members[0].hub._handlers.insert(0, ignore_messages)
            await trio.sleep(20)
            assert "h0" in silent_peers
            # The silent process reads nothing either and may disconnect all others.
            assert all(m.hub.connections for m in fleet.members.values())
    finally:
        events.remove_listener(record_silent_peer)


async def test_start_during_an_outage_uses_the_newest_version_of_three_peers(
    autojump_clock,
):
    fleet = Fleet(10)
    async with fleet.running() as nursery:
        await trio.sleep(1)
        await submit(fleet.kv, 1)
        await wait_version(fleet, 1)
        fleet.stop(7)
        await submit(fleet.kv, 2)
        await wait_version(fleet, 2)
        fleet.kv.set_down(True)
        restarted = fleet.start(nursery, 7)
        with trio.fail_after(IN_FORCE_S):
            await restarted.spread.synced.wait()
        assert restarted.store.current.version == 2


async def test_start_during_an_outage_waits_for_the_newest_version(autojump_clock):
    # One of the three peers has a newer version and ignores pulls for 3 s.
    fleet = Fleet(4)
    async with fleet.running() as nursery:
        await trio.sleep(1)
        await submit(fleet.kv, 1)
        await wait_version(fleet, 1)
        fleet.stop(3)
        fleet.kv.set_down(True)
        ignored_until = trio.current_time() + 3.0

        async def ignore_pulls(_conn, message) -> bool:
            pull = isinstance(message, ConfigPull)
            return pull and trio.current_time() < ignored_until

        fleet.members[0].hub._handlers.insert(0, ignore_pulls)
        fleet.members[0].store.update_if_newer(Config(version=9), "test")
        restarted = fleet.start(nursery, 3)
        with trio.fail_after(IN_FORCE_S):
            await restarted.spread.synced.wait()
        assert restarted.store.current.version == 9


async def test_start_during_an_outage_without_enough_peers_is_not_ready(
    autojump_clock,
):
    fleet = Fleet(10)
    async with fleet.running() as nursery:
        await trio.sleep(1)
        await submit(fleet.kv, 1)
        await wait_version(fleet, 1)
        fleet.kv.set_down(True)
        for index in range(10):
            if index > 1:
                fleet.stop(index)
        restarted = fleet.start(nursery, 7)
        await trio.sleep(60)
        # Two of nine listed peers respond; a third may have a newer version.
        assert not restarted.spread.synced.is_set()
        fleet.kv.set_down(False)
        with trio.fail_after(IN_FORCE_S):
            await restarted.spread.synced.wait()
        assert restarted.store.current.version == 1


async def test_starting_processes_do_not_count_for_each_other(autojump_clock):
    # They may all have old versions; see the defect "starting-peers-count" in
    # specs/config_spread.py.
    fleet = Fleet(5)
    async with fleet.running() as nursery:
        await trio.sleep(1)
        await submit(fleet.kv, 1)
        await wait_version(fleet, 1)
        fleet.kv.set_down(True)
        for index in range(3):
            fleet.stop(index)
        restarted = [fleet.start(nursery, index) for index in range(3)]
        await trio.sleep(60)
        assert not any(member.spread.synced.is_set() for member in restarted)
        fleet.kv.set_down(False)
        with trio.fail_after(IN_FORCE_S):
            for member in restarted:
                await member.spread.synced.wait()


async def test_process_without_host_list_polls_the_service(autojump_clock):
    fleet = Fleet(1)
    fleet.hosts_known = False
    async with fleet.running():
        await trio.sleep(1)
        await submit(fleet.kv, 1)
        await wait_version(fleet, 1)
        assert fleet.kv.calls["watch"] == 0


def test_push_contains_tickets_or_the_full_configuration():
    log, cfg = TicketLog(), Config(version=10)
    for number in range(11, 200):
        ticket = Ticket(number, "a", "r", {"places": {f"p{number % 50}": Place("x")}})
        merged = apply_ticket(cfg, ticket)
        assert isinstance(merged, Ok)
        cfg = merged.value
        log.add(ticket)
        older = Config(version=5)
        for base in (older, cfg):
            pushed = apply_push(base, log.encode_push(cfg, base.version))
            assert isinstance(pushed, Ok) and pushed.value[0] == cfg
    # Tickets on both sides of a gap must not be sent as if they were consecutive.
    log.add(Ticket(300, "a", "r"))
    assert log.encode_push(Config(version=300), 298) == config_to_bytes(
        Config(version=300)
    )


@settings(derandomize=True)
@given(st.binary(max_size=60))
def test_random_push_is_refused(data):
    assert isinstance(apply_push(Config(), data), Err)


@settings(max_examples=15, deadline=None, derandomize=True)
@given(seed=st.integers(0, 10_000))
def test_versions_never_go_back_under_random_faults(seed):
    # Guards guarantee 7 with restarts, disconnected peers and outages at random times:
    # versions never decrease within a process, nor over a restart during an outage.
    async def main() -> None:
        rng, fleet = random.Random(seed), Fleet(9, seed)
        version = settled = 0
        async with fleet.running() as nursery:
            await trio.sleep(2)
            for _ in range(25):
                fault = rng.choice(["ticket", "ticket", "down", "up", "restart", "cut"])
                if fault == "ticket" and not fleet.kv.is_down:
                    version += 1
                    await submit(fleet.kv, version)
                elif fault in ("down", "up"):
                    fleet.kv.set_down(fault == "down")
                elif fault == "cut":
                    fleet.cut = {rng.randrange(9)} if rng.random() < 0.5 else set()
                elif fault == "restart":
                    index = rng.randrange(9)
                    fleet.stop(index)
                    await trio.sleep(rng.uniform(0, 3))
                    fleet.start(nursery, index)
                before = {m: m.store.current.version for m in fleet.members.values()}
                await trio.sleep(rng.choice([0.0, 0.05, 15.0]))
                for member in fleet.members.values():
                    now = member.store.current.version
                    assert now >= before.get(member, 0)
                synced = [
                    member.store.current.version
                    for member in fleet.members.values()
                    if member.spread.synced.is_set()
                ]
                # A restarted process must not put a version in force that all synced
                # processes had replaced.
                assert min(synced, default=settled) >= settled
                settled = min(synced, default=settled)
            fleet.cut = set()
            fleet.kv.set_down(False)
            await wait_version(fleet, version)

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


def test_spread_benchmark_runs():
    # Guards against a benchmark that breaks unnoticed between two full runs.
    figures = measure("spread", 10, 1)
    assert max(figures.in_force_s) <= IN_FORCE_S
    assert figures.watches == WATCHERS_PER_PLACE * len(PLACES)
    assert figures.restarted_ready == figures.restarted


async def test_tickets_that_the_service_lost_are_written_again(autojump_clock):
    """Guards against an accepted ticket that is undone, or shares its number."""
    fleet = Fleet(20)
    async with fleet.running():
        await trio.sleep(1)
        await submit(fleet.kv, 1)
        copy = fleet.kv.copy()
        for number in (2, 3):
            await submit(fleet.kv, number)
            await wait_version(fleet, number)
        fleet.kv.restore(copy)
        other = Ticket(2, "b", "r", {"places": {"other": Place("region")}})
        refused = await submit_ticket(fleet.kv, other, in_force=3)
        assert isinstance(refused, Err) and refused.code is Code.STORE_UNAVAILABLE
        await trio.sleep(IN_FORCE_S)
        late = await submit_ticket(fleet.kv, other, in_force=3)
        assert isinstance(late, Err) and late.code is Code.TICKET_OUT_OF_ORDER
        kept = await list_tickets(fleet.kv, 3)
        assert isinstance(kept, Ok)
        assert [ticket.number for ticket in kept.value] == [3, 2, 1]
        await submit(fleet.kv, 4)
        await wait_version(fleet, 4)
        assert all("p3" in m.store.current.places for m in fleet.members.values())


async def test_watch_is_renewed_when_the_service_goes_back(autojump_clock):
    """Guards against a watch that stays at a revision that does not exist yet."""
    fleet = Fleet(1, all_watch=True)
    async with fleet.running():
        await trio.sleep(1)
        await submit(fleet.kv, 1)
        copy = fleet.kv.copy()
        await submit(fleet.kv, 2)
        await wait_version(fleet, 2)
        watches = fleet.kv.calls["watch"]
        fleet.kv.restore(copy)
        await trio.sleep(2 * REREAD_INTERVAL_S)
        assert fleet.kv.calls["watch"] > watches
        await submit(fleet.kv, 3)
        await trio.sleep(0.1)
        assert fleet.members[0].store.current.version == 3
