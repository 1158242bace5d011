"""Recovery of a group that an earlier coordinator left held or armed."""

from __future__ import annotations

from contextlib import asynccontextmanager

import pytest
import trio
from tests.rank_fakes import (
    RANKS,
    REPLICATED_LAYERS,
    FakeAgents,
    FakeGroup,
    make_coordinator,
)

from mustardfront.coordination.rankmaps import (
    OrderKind,
    RankOrder,
    is_held_or_armed,
    recover,
)


@pytest.mark.parametrize("armed", [0, 1, 3])
async def test_a_successor_recovers_a_held_group(autojump_clock, armed):
    """Guards against a group that stays held after its coordinator ended."""
    group = FakeGroup(4)
    agents = FakeAgents(group)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(group.run)
        version = 1 << 24
        prepare = RankOrder(
            OrderKind.PREPARE, 1, version=version, layers=REPLICATED_LAYERS
        )
        await trio.sleep(0.2)
        for rank in range(RANKS):
            group.apply_order(rank, prepare)
        await trio.sleep(0.5)
        step = group.step + 3
        group.apply_order(0, RankOrder(OrderKind.HOLD, 1, step=step))
        for rank in range(armed):
            group.apply_order(
                rank, RankOrder(OrderKind.ARM, 1, version=version, step=step)
            )
        agents.unreachable = {0}
        members = agents.members(1, "b")
        members, states = await members.with_direct_clients(
            await members.lock_and_read(), agents.client_of
        )
        assert is_held_or_armed(states)
        await recover(members, states)
        await trio.sleep(0.5)
        nursery.cancel_scope.cancel()
    assert group.step > step
    assert group.violations == []
    assert {state.version for state in group.ranks} == {version}


def prepare_map(group: FakeGroup, version: int, ranks=range(RANKS)) -> None:
    """Order ranks to prepare a version; it is prepared only after the loading time."""
    order = RankOrder(OrderKind.PREPARE, 1, version=version, layers=REPLICATED_LAYERS)
    for rank in ranks:
        assert group.apply_order(rank, order)


@asynccontextmanager
async def run_prepared_group(seed: int):
    """Run a group whose ranks have prepared a map; yield it with a future step."""
    group = FakeGroup(seed)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(group.run)
        await trio.sleep(0.2)
        prepare_map(group, 1 << 24)
        await trio.sleep(0.5)
        yield group, FakeAgents(group), group.step + 2
        nursery.cancel_scope.cancel()


async def recover_group(agents: FakeAgents) -> None:
    """Recover the group from the agent of rank 1."""
    members = agents.members(1, "b")
    states = await members.lock_and_read()
    assert is_held_or_armed(states)
    await recover(members, states)


async def test_a_held_group_is_not_released_while_an_order_to_arm_may_arrive(
    autojump_clock,
):
    """Guards against two maps when the order arrives after the release of the step."""
    async with run_prepared_group(7) as (group, agents, step):
        apply_order = group.apply_order
        late = RankOrder(OrderKind.ARM, 1, version=1 << 24, step=step)

        def with_late_arm(rank: int, order: RankOrder) -> bool:
            done = apply_order(rank, order)
            if order.kind is OrderKind.RELEASE:
                apply_order(3, late)
            return done

        apply_order(0, RankOrder(OrderKind.HOLD, 1, step=step))
        prepare_map(group, 2 << 24, ranks=(0, 1))
        await trio.sleep(0.5)
        group.apply_order = with_late_arm
        await recover_group(agents)
        await trio.sleep(0.5)
    assert group.step > step
    assert group.violations == []


async def test_a_version_that_some_ranks_replaced_is_disarmed(autojump_clock):
    """Guards against a group that stays held for a version it can no longer arm."""
    async with run_prepared_group(8) as (group, agents, step):
        group.apply_order(0, RankOrder(OrderKind.HOLD, 1, step=step))
        group.apply_order(3, RankOrder(OrderKind.ARM, 1, version=1 << 24, step=step))
        prepare_map(group, 2 << 24, ranks=(0, 1, 2))
        await trio.sleep(0.5)
        await recover_group(agents)
        await trio.sleep(0.5)
    assert group.step > step
    assert group.violations == []


async def test_a_step_beyond_the_switch_stays_held(autojump_clock):
    """Guards against a late release of a later switch before all ranks are armed."""
    async with run_prepared_group(9) as (group, agents, step):
        group.apply_order(0, RankOrder(OrderKind.HOLD, 1, step=step))
        for rank in range(RANKS):
            arm = RankOrder(OrderKind.ARM, 1, version=1 << 24, step=step)
            group.apply_order(rank, arm)
        group.apply_order(2, RankOrder(OrderKind.HOLD, 1, step=step + 3))
        await recover_group(agents)
        await trio.sleep(0.5)
        assert (group.step, group.ranks[2].held) == (step + 2, step + 3)
        await recover_group(agents)
        await trio.sleep(0.5)
    assert group.step > step + 3
    assert group.violations == []


async def test_two_holds_never_give_one_version_two_steps(autojump_clock):
    """Guards against a late order to arm for one of two held steps."""
    async with run_prepared_group(10) as (group, agents, step):
        group.apply_order(0, RankOrder(OrderKind.HOLD, 1, step=step + 1))
        group.apply_order(2, RankOrder(OrderKind.HOLD, 1, step=step))
        await recover_group(agents)
        steps = {
            order.step
            for order in group.applied_orders
            if order.kind is OrderKind.ARM and order.version == 1 << 24
        }
    assert steps == set()


async def test_a_hold_beside_a_silent_agent_is_recovered_at_once(autojump_clock):
    """Guards against a group that stays held for seconds by a frozen coordinator."""
    group = FakeGroup(11)
    agents = FakeAgents(group)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(group.run)
        await trio.sleep(0.2)
        prepare_map(group, 1 << 24)
        await trio.sleep(0.5)
        step = group.step + 2
        group.apply_order(0, RankOrder(OrderKind.HOLD, 1, step=step))
        agents.unreachable = {0}
        await trio.sleep(0.5)
        nursery.start_soon(make_coordinator(agents, 1, "b").run)
        await trio.sleep(0.5)
        nursery.cancel_scope.cancel()
    assert group.step > step
    assert group.violations == []


async def test_a_late_hold_is_released(autojump_clock):
    """Guards against a hold that is executed after its switch was abandoned."""
    group = FakeGroup(5)
    agents = FakeAgents(group)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(group.run)
        nursery.start_soon(make_coordinator(agents, 0, "a").run)
        await trio.sleep(6)
        group.apply_order(2, RankOrder(OrderKind.HOLD, 1, step=group.step + 2))
        before = group.step
        await trio.sleep(3)
        assert group.step > before + 20
        nursery.cancel_scope.cancel()
    assert group.violations == []
