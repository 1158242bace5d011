"""What a coordinator makes of a group that an earlier one left held or armed."""

from __future__ import annotations

from contextlib import asynccontextmanager

import pytest
import trio
from tests.rank_fakes import RANKS, SPREAD, FakeDesks, FakeGroup, leader

from mustardfront.coordination.rankmaps import (
    OrderKind,
    RankOrder,
    is_unsettled,
    recover,
)


@pytest.mark.parametrize("armed", [0, 1, 3])
async def test_a_successor_settles_a_group_that_was_left_held(autojump_clock, armed):
    """Guards against a group that stands still after its coordinator's end."""
    group = FakeGroup(4)
    desks = FakeDesks(group)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(group.run)
        version = 1 << 24
        prepare = RankOrder(OrderKind.PREPARE, 1, version=version, layers=SPREAD)
        await trio.sleep(0.2)
        for rank in range(RANKS):
            group.carry_out(rank, prepare)
        await trio.sleep(0.5)
        step = group.step + 3
        group.carry_out(0, RankOrder(OrderKind.HOLD, 1, step=step))
        for rank in range(armed):
            group.carry_out(
                rank, RankOrder(OrderKind.ARM, 1, version=version, step=step)
            )
        desks.gone = {0}
        members = desks.members(1, "b")
        members, states = await members.with_direct(
            await members.states(), desks.port_of
        )
        assert is_unsettled(states)
        await recover(members, states)
        await trio.sleep(0.5)
        nursery.cancel_scope.cancel()
    assert group.step > step
    assert group.violations == []
    assert {one.version for one in group.ranks} == {version}


def prepared(group: FakeGroup, version: int, ranks=range(RANKS)) -> None:
    """Let ranks load a version, which takes them a moment."""
    order = RankOrder(OrderKind.PREPARE, 1, version=version, layers=SPREAD)
    for rank in ranks:
        assert group.carry_out(rank, order)


@asynccontextmanager
async def prepared_group(seed: int):
    """Run a group in which all ranks have prepared a map, and yield a step ahead."""
    group = FakeGroup(seed)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(group.run)
        await trio.sleep(0.2)
        prepared(group, 1 << 24)
        await trio.sleep(0.5)
        yield group, FakeDesks(group), group.step + 2
        nursery.cancel_scope.cancel()


async def settle(desks: FakeDesks) -> None:
    """Let the agent of rank 1 settle the group."""
    members = desks.members(1, "b")
    states = await members.states()
    assert is_unsettled(states)
    await recover(members, states)


async def test_a_held_group_is_not_released_while_an_order_to_arm_may_arrive(
    autojump_clock,
):
    """Guards against two maps: the order arrives between the release and the step."""
    async with prepared_group(7) as (group, desks, step):
        carry_out = group.carry_out
        late = RankOrder(OrderKind.ARM, 1, version=1 << 24, step=step)

        def with_late_arm(rank: int, order: RankOrder) -> bool:
            done = carry_out(rank, order)
            if order.kind is OrderKind.RELEASE:
                carry_out(3, late)
            return done

        carry_out(0, RankOrder(OrderKind.HOLD, 1, step=step))
        prepared(group, 2 << 24, ranks=(0, 1))
        await trio.sleep(0.5)
        group.carry_out = with_late_arm
        await settle(desks)
        await trio.sleep(0.5)
    assert group.step > step
    assert group.violations == []


async def test_a_version_that_one_rank_replaced_is_disarmed(autojump_clock):
    """Guards against a group that stays held for a map it can no longer switch to."""
    async with prepared_group(8) as (group, desks, step):
        group.carry_out(0, RankOrder(OrderKind.HOLD, 1, step=step))
        group.carry_out(3, RankOrder(OrderKind.ARM, 1, version=1 << 24, step=step))
        prepared(group, 2 << 24, ranks=(0, 1, 2))
        await trio.sleep(0.5)
        await settle(desks)
        await trio.sleep(0.5)
    assert group.step > step
    assert group.violations == []


async def test_a_step_beyond_the_switch_stays_held(autojump_clock):
    """Guards against a late release that frees a later switch before all are armed."""
    async with prepared_group(9) as (group, desks, step):
        group.carry_out(0, RankOrder(OrderKind.HOLD, 1, step=step))
        for rank in range(RANKS):
            arm = RankOrder(OrderKind.ARM, 1, version=1 << 24, step=step)
            group.carry_out(rank, arm)
        group.carry_out(2, RankOrder(OrderKind.HOLD, 1, step=step + 3))
        await settle(desks)
        await trio.sleep(0.5)
        assert (group.step, group.ranks[2].held) == (step + 2, step + 3)
        await settle(desks)
        await trio.sleep(0.5)
    assert group.step > step + 3
    assert group.violations == []


async def test_two_holds_never_give_one_version_two_steps(autojump_clock):
    """Guards against an order to arm for the first of two held steps that is late."""
    async with prepared_group(10) as (group, desks, step):
        group.carry_out(0, RankOrder(OrderKind.HOLD, 1, step=step + 1))
        group.carry_out(2, RankOrder(OrderKind.HOLD, 1, step=step))
        await settle(desks)
        steps = {
            order.step
            for order in group.carried_out
            if order.kind is OrderKind.ARM and order.version == 1 << 24
        }
    assert steps == set()


async def test_a_hold_beside_a_silent_agent_is_settled_at_once(autojump_clock):
    """Guards against a group that waits for seconds for a frozen coordinator."""
    group = FakeGroup(11)
    desks = FakeDesks(group)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(group.run)
        await trio.sleep(0.2)
        prepared(group, 1 << 24)
        await trio.sleep(0.5)
        step = group.step + 2
        group.carry_out(0, RankOrder(OrderKind.HOLD, 1, step=step))
        desks.gone = {0}
        await trio.sleep(0.5)
        nursery.start_soon(leader(desks, 1, "b").run)
        await trio.sleep(0.5)
        nursery.cancel_scope.cancel()
    assert group.step > step
    assert group.violations == []


async def test_a_late_hold_is_released(autojump_clock):
    """Guards against a hold that is carried out after its switch was given up."""
    group = FakeGroup(5)
    desks = FakeDesks(group)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(group.run)
        nursery.start_soon(leader(desks, 0, "a").run)
        await trio.sleep(6)
        group.carry_out(2, RankOrder(OrderKind.HOLD, 1, step=group.step + 2))
        before = group.step
        await trio.sleep(3)
        assert group.step > before + 20
        nursery.cancel_scope.cancel()
    assert group.violations == []
