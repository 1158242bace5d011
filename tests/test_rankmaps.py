"""All ranks stay on one map while orders are lost or late and coordinators end."""

from __future__ import annotations

from dataclasses import replace

import msgspec
import pytest
import trio
import trio.testing
from tests.rank_fakes import (
    EXPERTS,
    RANKS,
    REPLICATED_LAYERS,
    FakeAgents,
    FakeGroup,
    FakeRankClient,
    make_coordinator,
)

from mustardfront.codes import Code
from mustardfront.coordination.rankmaps import (
    ORDER_REQUEST,
    STATE_QUERY,
    ArmedSwitch,
    OrderKind,
    OrderRequest,
    RankOrder,
    RankOrderHandler,
    StateQuery,
    release,
    switch,
)
from mustardfront.protocol import Order


async def test_a_switch_brings_all_ranks_to_the_map_in_one_step(autojump_clock):
    group = FakeGroup(1)
    agents = FakeAgents(group)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(group.run)
        await trio.sleep(0.2)
        members = agents.members(0, "a")
        assert await switch(
            members, await members.lock_and_read(), REPLICATED_LAYERS, 0.2
        )
        await trio.sleep(1)
        nursery.cancel_scope.cancel()
    assert len({state.version for state in group.ranks}) == 1
    assert group.ranks[0].version > 0
    assert group.violations == []


async def test_a_second_coordinator_cannot_give_orders(autojump_clock):
    """Guards against two coordinators that give orders at the same time."""
    group = FakeGroup(1)
    agents = FakeAgents(group)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(group.run)
        first, second = agents.members(0, "a"), agents.members(1, "b")
        assert first.is_complete(await first.lock_and_read())
        states = await second.lock_and_read()
        assert not second.is_complete(states)
        hold = RankOrder(OrderKind.HOLD, 1, step=group.step + 5)
        await second.send_orders({1: hold})
        assert group.ranks[1].held is None
        nursery.cancel_scope.cancel()


async def test_a_refused_candidate_releases_its_locks(autojump_clock):
    """Guards against candidates that block each other by holding some locks each."""
    group = FakeGroup(2)
    agents = FakeAgents(group)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(group.run)
        await agents.members(3, "other").send_requests(
            {"r3": ("state", {"holder": "other", "lock": True})}
        )
        await make_coordinator(agents, 0, "a").run()
        assert [handler.holder for handler in agents.handlers] == ["", "", "", "other"]
        nursery.cancel_scope.cancel()


async def test_no_order_to_arm_before_the_group_is_held(autojump_clock):
    """Guards against two maps after a coordinator that armed only some ranks."""
    group = FakeGroup(3)
    agents = FakeAgents(group)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(group.run)
        members = agents.members(0, "a")
        await switch(members, await members.lock_and_read(), REPLICATED_LAYERS, 0.2)
        nursery.cancel_scope.cancel()
    kinds = [order.kind for order in group.applied_orders]
    assert kinds.index(OrderKind.HOLD) < kinds.index(OrderKind.ARM)
    last_arm = len(kinds) - 1 - kinds[::-1].index(OrderKind.ARM)
    assert last_arm < kinds.index(OrderKind.RELEASE)


@pytest.mark.parametrize(("cost_s", "is_switched"), [(0.1, True), (1000.0, False)])
async def test_loading_experts_must_save_more_than_it_costs(
    autojump_clock, monkeypatch, cost_s, is_switched
):
    """Guards against plans that ignore the cost of loading experts."""
    monkeypatch.setattr(
        "mustardfront.coordination.rankmaps._coordinator.LOAD_COST_REQUEST_S", cost_s
    )
    group = FakeGroup(12)
    agents = FakeAgents(group)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(group.run)
        nursery.start_soon(make_coordinator(agents, 0, "a").run)
        await trio.sleep(4)
        nursery.cancel_scope.cancel()
    assert bool(group.switches_by_version) is is_switched


async def test_prepared_rows_are_compared_with_the_order(autojump_clock):
    """Guards against a rank that prepared other rows under the ordered version."""
    group = FakeGroup(6)
    agents = FakeAgents(group)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(group.run)
        members = agents.members(0, "a")
        await members.lock_and_read()
        prepare = RankOrder(OrderKind.PREPARE, 1, version=9, layers=REPLICATED_LAYERS)
        await members.send_orders(dict.fromkeys(range(RANKS), prepare))
        await trio.sleep(0.5)
        group.ranks[2].prepared = (9, ((1,), (1,)))
        states = await members.lock_and_read()
        nursery.cancel_scope.cancel()
    assert states[1].checked == 9
    assert states[2].checked is None


@pytest.mark.parametrize("pause_s", [0.0, 5.0])
async def test_a_paused_agent_does_not_act_on_a_lapsed_lock(autojump_clock, pause_s):
    """Guards against an order sent after the lock that allowed it has lapsed."""
    group = FakeGroup(6)
    client = FakeRankClient(group, 1)
    now = [100.0]

    async def report_after_pause():
        now[0] += pause_s
        return await FakeRankClient.report(client)

    handler = RankOrderHandler(client, lambda: now[0])
    async with trio.open_nursery() as nursery:
        group.nursery = nursery
        query = msgspec.json.encode(StateQuery("a"))
        await handler.execute_local(Order(1, "g", STATE_QUERY, 0, query))
        client.report = report_after_pause
        prepare = RankOrder(OrderKind.PREPARE, 1, version=9, layers=REPLICATED_LAYERS)
        data = msgspec.json.encode(OrderRequest("a", prepare))
        reply = await handler.execute_local(Order(2, "g", ORDER_REQUEST, 0, data))
        nursery.cancel_scope.cancel()
    assert (reply.code == Code.FENCED) is bool(pause_s)
    assert bool(group.applied_orders) is not bool(pause_s)


async def run_with_faults(
    seed: int, *, relayed: bool = False
) -> tuple[FakeGroup, bool]:
    """Run a minute of faults and return whether the group runs afterwards."""
    group = FakeGroup(seed)
    group.late_ratio, group.lost_ratio = 0.25, 0.1
    agents = FakeAgents(group, relayed=relayed)
    rng = group.rng

    async def run_agent(rank: int) -> None:
        term = 0
        while True:
            term += 1
            with trio.move_on_after(rng.uniform(0.5, 8)):
                # Like the agent, become the coordinator only when the lock is free.
                await trio.sleep(0.3 + 0.7 * rank)
                if not agents.handlers[rank].holder:
                    await make_coordinator(agents, rank, f"c{rank}-{term}").run()
                await trio.sleep(rng.uniform(0.1, 0.5))
            if rng.random() < 0.5:
                agents.unreachable.add(rank)
            await trio.sleep(rng.uniform(0.2, 3))
            agents.restart(rank)
            agents.unreachable.discard(rank)

    async def cause_faults() -> None:
        while True:
            await trio.sleep(rng.uniform(0.5, 2))
            group.hot_expert = rng.randrange(EXPERTS)
            if rng.random() < 0.06:
                group.start_new_epoch()

    async def run_last_coordinator() -> None:
        # A term ends at once while the lock of an earlier coordinator is valid.
        while True:
            await make_coordinator(agents, 0, "last").run()
            await trio.sleep(0.5)

    async with trio.open_nursery() as nursery:
        nursery.start_soon(group.run)
        with trio.move_on_after(60):
            async with trio.open_nursery() as faults:
                for rank in range(RANKS):
                    faults.start_soon(run_agent, rank)
                faults.start_soon(cause_faults)
        group.late_ratio = group.lost_ratio = 0.0
        agents.unreachable.clear()
        nursery.start_soon(run_last_coordinator)
        await trio.sleep(14)
        before = group.step
        await trio.sleep(4)
        is_running = group.step > before + 40
        nursery.cancel_scope.cancel()
    return group, is_running


@pytest.mark.parametrize("seed", range(24))
async def test_maps_stay_equal_under_faults(autojump_clock, seed):
    """Guards against different maps on the ranks and a group that stays held.

    Orders are lost or late, agents restart or are unreachable, coordinators end, and
    the group starts new epochs.
    """
    group, is_running = await run_with_faults(seed)
    assert is_running, "the group does not step after the faults end"
    assert group.violations == []
    assert group.switches_by_version, "no map was ever switched"


@pytest.mark.parametrize("seed", range(24))
async def test_maps_stay_equal_under_faults_with_relayed_requests(autojump_clock, seed):
    """Guards against different maps when agents relay orders and then fail."""
    group, is_running = await run_with_faults(seed, relayed=True)
    assert is_running, "the group does not step after the faults end"
    assert group.violations == []
    assert group.switches_by_version, "no map was ever switched"


async def test_one_agent_without_answer_does_not_stop_map_changes(autojump_clock):
    """Guards against a group that keeps its map while one agent is down."""
    group = FakeGroup(5)
    agents = FakeAgents(group)
    agents.unreachable.add(2)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(group.run)
        nursery.start_soon(make_coordinator(agents, 0, "a").run)
        await trio.sleep(4)
        nursery.cancel_scope.cancel()
    assert group.switches_by_version
    assert group.violations == []


async def _no_hold(members, epoch, states, sleep, steps_ahead):
    return max(state.report.step for state in states.values()) + 2


async def _unchecked(members, epoch, target, held, sleep, **_options):
    arm = RankOrder(OrderKind.ARM, epoch, version=target.version, step=target.step)
    await members.send_orders(dict.fromkeys(members.addresses, arm))
    return await release(members, epoch, held, sleep)


@pytest.mark.parametrize(
    ("name", "defect"), [("_hold", _no_hold), ("finish", _unchecked)]
)
async def test_checks_detect_defects(autojump_clock, monkeypatch, name, defect):
    """Shows that the test above fails when a switch omits the hold or the check."""
    monkeypatch.setattr(f"mustardfront.coordination.rankmaps._switch.{name}", defect)
    for seed in range(24):
        group, is_running = await run_with_faults(seed)
        if group.violations or not is_running:
            return
    pytest.fail("no seed detects the defect")


def test_armed_compares_version_and_step():
    assert ArmedSwitch(1, 2) != ArmedSwitch(1, 3)


async def test_state_of_another_rank_at_an_old_address_is_not_used(autojump_clock):
    """Guards against orders to a rank of another group at a reused address."""
    agents = FakeAgents(FakeGroup(1))
    members = agents.members(0, "c1")
    # Rank 1 has the address at which the coordinator's snapshot lists rank 2.
    addresses = dict(members.addresses) | {2: members.addresses[1]}
    moved = replace(members, addresses=addresses)
    found = await moved.lock_and_read()
    assert found.keys() == {0, 1, 3}
    assert not moved.is_complete(found)
    await moved.unlock()
    foreign = replace(members, group="another", holder="c2")
    assert await foreign.lock_and_read() == {}
    assert [handler.holder for handler in agents.handlers] == [""] * RANKS
    _, found = await foreign.with_direct_clients({}, lambda rank: agents.clients[rank])
    assert found == {}
