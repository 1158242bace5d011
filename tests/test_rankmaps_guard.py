"""Groups whose coordinator or whose held rank's agent stops during a switch of maps."""

from __future__ import annotations

import pytest
import trio
from tests.rank_fakes import (
    RANKS,
    REPLICATED_LAYERS,
    STEP_S,
    FakeAgents,
    FakeGroup,
)

from mustardfront.coordination.rankmaps import (
    OrderKind,
    OrderOutcome,
    RankOrder,
    may_give_up,
    recover,
    switch,
)
from mustardfront.coordination.rankmaps._revocations import (
    REVOKE_UPTIME_MIN_S,
    Revocation,
    RevocationAction,
    RevocationReply,
)

# The users' bound on how long a stopped agent may hold a group.
HELD_MAX_S = 0.5
FREEZE_S = 4.0


class StandingTime:
    """The longest time in which a group began no step."""

    def __init__(self, group: FakeGroup) -> None:
        self.group = group
        self.longest_s = 0.0

    async def run(self) -> None:
        step, since = self.group.step, trio.current_time()
        while True:
            await trio.sleep(STEP_S / 5)
            if self.group.step != step:
                step, since = self.group.step, trio.current_time()
            # A step of its own time is no standstill.
            self.longest_s = max(self.longest_s, trio.current_time() - since - STEP_S)


async def run_switch(
    agents: FakeAgents,
    boundary: int,
    frozen: int,
    *,
    freezes_coordinator: bool,
    is_cut_off: bool = False,
) -> tuple[StandingTime, FakeGroup]:
    """Switch a group from rank 0; freeze an agent after ``boundary`` applied orders.

    The orders that prepare a map do not count. With ``is_cut_off``, the agent's whole
    host is frozen.
    """
    group = agents.group
    apply_order = group.apply_order
    applied = 0
    stopped = trio.CancelScope()

    def apply_and_freeze(rank: int, order: RankOrder) -> bool:
        nonlocal applied
        done = apply_order(rank, order)
        applied += order.kind is not OrderKind.PREPARE
        if applied == boundary and not agents.silent:
            agents.silent.add(frozen)
            if is_cut_off:
                agents.cut_off.add(frozen)
            if freezes_coordinator:
                stopped.cancel()
        return done

    group.apply_order = apply_and_freeze
    standing = StandingTime(group)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(group.run)
        agents.guard_holds(nursery)
        await trio.sleep(REVOKE_UPTIME_MIN_S)
        members = agents.members(0, "a")
        with stopped:
            states = await members.lock_and_read()
            nursery.start_soon(standing.run)
            await switch(members, states, REPLICATED_LAYERS, 0.25)
        await trio.sleep(FREEZE_S)
        agents.silent.clear()
        agents.cut_off.clear()
        await trio.sleep(1.0)
        nursery.cancel_scope.cancel()
    return standing, group


# One hold, an order to arm for each rank, and the release.
BOUNDARIES = range(1, RANKS + 2)


@pytest.mark.parametrize("relayed", [False, True])
@pytest.mark.parametrize("boundary", BOUNDARIES)
async def test_group_goes_on_when_its_coordinator_freezes(
    autojump_clock, boundary, relayed
):
    """Guards against a group that stands for as long as its coordinator is frozen."""
    agents = FakeAgents(FakeGroup(boundary), relayed=relayed)
    standing, group = await run_switch(agents, boundary, 0, freezes_coordinator=True)
    assert standing.longest_s <= HELD_MAX_S
    assert group.violations == []
    assert all(rank.held is None for rank in group.ranks)
    # The switch that the coordinator began is in force at all ranks.
    assert {rank.version for rank in group.ranks} != {0}


@pytest.mark.parametrize("frozen", range(1, RANKS))
@pytest.mark.parametrize("boundary", BOUNDARIES)
async def test_group_goes_on_when_another_agent_freezes(
    autojump_clock, boundary, frozen
):
    """Guards against a coordinator that waits for an agent while the group stands.

    Rank 1 is the one that is held; its own agent may be the frozen one.
    """
    agents = FakeAgents(FakeGroup(boundary))
    standing, group = await run_switch(
        agents, boundary, frozen, freezes_coordinator=False
    )
    assert standing.longest_s <= HELD_MAX_S
    assert group.violations == []
    assert {rank.version for rank in group.ranks} != {0}


async def test_group_goes_on_when_the_coordinators_host_freezes_after_the_hold(
    autojump_clock,
):
    """Guards against a group that stands since one of its ranks cannot be armed."""
    agents = FakeAgents(FakeGroup(5))
    standing, group = await run_switch(
        agents, 1, 0, freezes_coordinator=True, is_cut_off=True
    )
    assert standing.longest_s <= HELD_MAX_S
    assert group.violations == []
    assert {rank.version for rank in group.ranks} == {0}


@pytest.mark.parametrize("late_ratio", [0.0, 0.4])
@pytest.mark.parametrize("boundary", BOUNDARIES)
async def test_maps_stay_equal_when_the_coordinators_host_freezes(
    autojump_clock, boundary, late_ratio
):
    """Guards against a hold that is given up while a rank is armed or may become so.

    Some orders are executed seconds later, in the time of the freeze.
    """
    for seed in range(4):
        group = FakeGroup(seed)
        group.late_ratio = late_ratio
        agents = FakeAgents(group)
        await run_switch(agents, boundary, 0, freezes_coordinator=True, is_cut_off=True)
        assert group.violations == []


def reply(*, ordered: bool = False, certain: bool = True) -> RevocationReply:
    return RevocationReply(ordered, certain, was_revoked=False)


NONE_ORDERED = {rank: reply() for rank in (1, 2, 3)}


@pytest.mark.parametrize(
    ("answers", "expected"),
    [
        (NONE_ORDERED, True),
        (NONE_ORDERED | {0: reply(ordered=True)}, True),
        ({1: reply(), 2: reply()}, False),
        (NONE_ORDERED | {2: reply(ordered=True)}, False),
        (NONE_ORDERED | {2: reply(certain=False)}, False),
        ({}, False),
    ],
)
def test_hold_is_given_up_only_if_no_other_rank_may_be_armed(answers, expected):
    assert may_give_up(answers, frozenset(range(4)), 0) is expected


async def test_agent_that_revoked_a_step_gives_no_order_to_arm_for_it(autojump_clock):
    """Guards against a coordinator that wakes and arms a rank after the release."""
    group = FakeGroup(2)
    agents = FakeAgents(group)
    await trio.sleep(REVOKE_UPTIME_MIN_S)
    members = agents.members(0, "a")
    await members.lock_and_read()
    answers = await members.revoke(Revocation(1, 9), 1.0)
    assert [answers[rank].excludes_arming for rank in range(RANKS)] == [True] * RANKS
    arm = RankOrder(OrderKind.ARM, 1, version=1, step=9)
    results = await members.send_orders(dict.fromkeys(range(RANKS), arm))
    assert {one.outcome for one in results.values()} == {OrderOutcome.REFUSED}
    assert not group.applied_orders


async def test_agent_that_ordered_to_arm_says_so(autojump_clock):
    """Guards against a release beside an order that is executed late."""
    group = FakeGroup(2)
    group.lost_ratio = 1.0
    agents = FakeAgents(group)
    await trio.sleep(REVOKE_UPTIME_MIN_S)
    members = agents.members(0, "a")
    await members.lock_and_read()
    await members.send_orders({2: RankOrder(OrderKind.ARM, 1, version=1, step=9)})
    assert (await members.revoke(Revocation(1, 9), 1.0))[2].has_ordered


async def test_agent_that_has_just_started_promises_nothing(autojump_clock):
    """Guards against an order of the process before, which this one does not know."""
    agents = FakeAgents(FakeGroup(2))
    members = agents.members(0, "a")
    answers = await members.revoke(Revocation(1, 9), 1.0)
    assert not any(answer.excludes_arming for answer in answers.values())


@pytest.mark.parametrize("seed", range(8))
async def test_coordinator_and_guard_may_act_at_once(autojump_clock, monkeypatch, seed):
    """Guards against two maps when a slow coordinator and the guard both finish."""
    monkeypatch.setattr("mustardfront.coordination.rankmaps._guard.GUARD_DELAY_S", 0.0)
    group = FakeGroup(seed)
    group.late_ratio = 0.2
    group.lost_ratio = 0.1
    agents = FakeAgents(group)
    await run_switch(agents, 99, 0, freezes_coordinator=False)
    assert group.violations == []


async def test_rank_of_another_agent_is_held():
    """Guards against a hold that only the coordinator itself can release."""
    agents = FakeAgents(FakeGroup(1))
    assert [agents.members(rank, "a").hold_rank() for rank in range(RANKS)] == [
        *range(1, RANKS),
        0,
    ]


async def held_and_revoked(ordered_rank: int | None):
    """Hold a group, let all agents revoke the step, and recover it from rank 1."""
    group = FakeGroup(9)
    agents = FakeAgents(group)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(group.run)
        await trio.sleep(REVOKE_UPTIME_MIN_S)
        prepare = RankOrder(
            OrderKind.PREPARE, 1, version=1 << 24, layers=REPLICATED_LAYERS
        )
        for rank in range(RANKS):
            group.apply_order(rank, prepare)
        await trio.sleep(0.5)
        step = group.step + 2
        group.apply_order(2, RankOrder(OrderKind.HOLD, 1, step=step))
        members = agents.members(1, "b")
        await members.lock_and_read()
        if ordered_rank is not None:
            arm = RankOrder(OrderKind.ARM, 1, version=1 << 24, step=step)
            await members.send_orders({ordered_rank: arm})
        await members.revoke(Revocation(1, step, RevocationAction.REVOKE), 1.0)
        await recover(members, await members.lock_and_read())
        await trio.sleep(0.5)
        nursery.cancel_scope.cancel()
    assert group.step > step
    assert group.violations == []
    return {rank.version for rank in group.ranks}


async def test_next_coordinator_releases_a_hold_that_was_given_up(autojump_clock):
    """Guards against a group that stands for good, since no rank may be armed."""
    assert await held_and_revoked(None) == {0}


@pytest.mark.parametrize("ordered_rank", [0, 2])
async def test_next_coordinator_finishes_a_switch_whose_revocation_came_late(
    autojump_clock, ordered_rank
):
    """Guards against agents that refuse arms while another rank is armed already."""
    assert await held_and_revoked(ordered_rank) == {1 << 24}
