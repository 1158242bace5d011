"""Steps for which agents order no arms, and the other paths that can arm a rank."""

from __future__ import annotations

from dataclasses import replace

import pytest
import trio
from tests.rank_fakes import RANKS, REPLICATED_LAYERS, FakeAgents, FakeGroup
from tests.test_rankmaps_guard import HELD_MAX_S, StandingTime

from mustardfront.coordination.rankmaps import (
    ArmedSwitch,
    Members,
    OrderKind,
    RankOrder,
    recover,
    switch,
)
from mustardfront.coordination.rankmaps._revocations import (
    REVOKE_UPTIME_MIN_S,
    Revocation,
    RevocationAction,
    RevokedSteps,
)
from mustardfront.coordination.rankmaps._switch import finish, proposer_of

VERSION = 1 << 24
HELD_RANK = 1
FREEZE_S = 1.0


class ArmLog:
    """The ranks that were armed, in this order, and what the group did besides."""

    def __init__(self, group: FakeGroup) -> None:
        self.ranks: list[int] = []
        self._apply_order = group.apply_order
        group.apply_order = self._apply

    def _apply(self, rank: int, order: RankOrder) -> bool:
        done = self._apply_order(rank, order)
        if order.kind is OrderKind.ARM and done and rank not in self.ranks:
            self.ranks.append(rank)
        return done


async def hold_group(group: FakeGroup) -> int:
    """Let all ranks prepare a map and hold the group; return the step."""
    prepare = RankOrder(OrderKind.PREPARE, 1, version=VERSION, layers=REPLICATED_LAYERS)
    for rank in range(RANKS):
        group.apply_order(rank, prepare)
    await trio.sleep(0.5)
    step = group.step + 2
    group.apply_order(HELD_RANK, RankOrder(OrderKind.HOLD, 1, step=step))
    return step


@pytest.mark.parametrize("restarted", [2, 3])
async def test_maps_stay_equal_when_a_frozen_coordinator_wakes_in_a_revoked_step(
    autojump_clock, restarted
):
    """Guards against a rank that is armed directly for a step that agents revoked.

    An agent had just been restarted, so that the guard could not give up the hold. When
    the coordinator's host woke, the guard armed its rank and no other one, and a later
    coordinator released the step since no agent knew of the order.
    """
    group = FakeGroup(5)
    agents = FakeAgents(group)
    apply_order = group.apply_order
    frozen = trio.CancelScope()

    def freeze_after_hold(rank: int, order: RankOrder) -> bool:
        done = apply_order(rank, order)
        if order.kind is OrderKind.HOLD and not agents.silent:
            agents.silent.add(0)
            agents.cut_off.add(0)
            frozen.cancel()
        return done

    group.apply_order = freeze_after_hold
    standing = StandingTime(group)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(group.run)
        agents.guard_holds(nursery)
        await trio.sleep(REVOKE_UPTIME_MIN_S)
        agents.restart(restarted)
        members = agents.members(0, "a")
        with frozen:
            states = await members.lock_and_read()
            nursery.start_soon(standing.run)
            await switch(members, states, REPLICATED_LAYERS, 0.25)
        await trio.sleep(FREEZE_S)
        agents.silent.clear()
        agents.cut_off.clear()
        later = agents.members(0, "a")
        while group.step < 400:
            await trio.sleep(0.4)
            states = await later.lock_and_read()
            if any(state.report.held is not None for state in states.values()):
                await recover(later, states)
        nursery.cancel_scope.cancel()
    assert group.violations == []
    assert standing.longest_s <= FREEZE_S + HELD_MAX_S
    assert {rank.version for rank in group.ranks} != {0}


async def run_held(agents: FakeAgents, play) -> None:
    """Run a group whose agents remember all orders, and hold it; then ``play``."""
    async with trio.open_nursery() as nursery:
        nursery.start_soon(agents.group.run)
        await trio.sleep(REVOKE_UPTIME_MIN_S)
        step = await hold_group(agents.group)
        members = agents.members(0, "a")
        await members.lock_and_read()
        await play(members, step)
        nursery.cancel_scope.cancel()
    assert agents.group.violations == []


async def test_no_rank_is_armed_directly_because_an_agent_refused(autojump_clock):
    """Guards against a revoked agent's refusal that counts as an order it gave."""
    agents = FakeAgents(FakeGroup(3))
    armed = ArmLog(agents.group)

    async def play(members: Members, step: int) -> None:
        await members.revoke(Revocation(1, step, by="guard"), 1.0)
        agents.unreachable.add(3)
        target = ArmedSwitch(VERSION, step)
        assert not await finish(members, 1, target, {HELD_RANK: step}, trio.sleep)

    await run_held(agents, play)
    assert armed.ranks == []


@pytest.mark.parametrize("is_answering", [False, True])
async def test_rank_is_armed_directly_only_after_an_agent_noted_an_order(
    autojump_clock, is_answering
):
    """Guards against a direct order that leaves no trace where a step is given up."""
    agents = FakeAgents(FakeGroup(3))
    armed = ArmLog(agents.group)

    async def play(members: Members, step: int) -> None:
        agents.unreachable |= {3} if is_answering else {1, 2, 3}
        with trio.move_on_after(2.0):
            target = ArmedSwitch(VERSION, step)
            direct = members.calling_directly([3])
            await finish(direct, 1, target, {HELD_RANK: step}, trio.sleep)

    await run_held(agents, play)
    # The agents of ranks 1 and 2 note the order at the same time.
    assert armed.ranks[2:] == ([3, 0] if is_answering else [])
    assert sorted(armed.ranks[:2]) == ([1, 2] if is_answering else [])


async def test_coordinator_that_held_the_group_is_armed_last(autojump_clock):
    """Guards against a step that is given up without the agent of an armed rank.

    Whoever gives up a hold does not ask the agent of the coordinator that ordered it.
    """
    agents = FakeAgents(FakeGroup(3))
    armed = ArmLog(agents.group)

    async def play(members: Members, step: int) -> None:
        await members.unlock()
        later = agents.members(2, "b")
        await recover(later, await later.lock_and_read())

    await run_held(agents, play)
    assert proposer_of(VERSION) == 0
    assert sorted(armed.ranks[-2:]) == [0, 2]


async def test_recovery_releases_no_step_for_which_a_rank_is_armed(autojump_clock):
    """Guards against a release by what agents remember, beside an armed rank."""
    agents = FakeAgents(FakeGroup(3))

    async def play(members: Members, step: int) -> None:
        await members.revoke(Revocation(1, step, by="guard"), 1.0)
        arm = RankOrder(OrderKind.ARM, 1, version=VERSION, step=step)
        agents.group.apply_order(0, arm)
        await recover(members, await members.lock_and_read())
        await trio.sleep(0.5)

    await run_held(agents, play)
    assert {rank.version for rank in agents.group.ranks} == {VERSION}


async def test_agent_that_forgot_its_order_sees_that_its_rank_is_armed(autojump_clock):
    """Guards against a restarted agent that excludes what it ordered before."""
    agents = FakeAgents(FakeGroup(3))

    async def play(members: Members, step: int) -> None:
        arm = RankOrder(OrderKind.ARM, 1, version=VERSION, step=step)
        await members.send_orders({2: arm})
        agents.restart(2)
        await trio.sleep(REVOKE_UPTIME_MIN_S)
        answers = await members.revoke(Revocation(1, step, by="x"), 1.0)
        assert not answers[2].excludes_arming and answers[3].excludes_arming
        await members.revoke(Revocation(1, step, RevocationAction.LIFT), 1.0)

    await run_held(agents, play)


async def test_promise_that_cannot_lead_to_a_release_is_not_asked_for(autojump_clock):
    """Guards against a coordinator that stops the guard from finishing a switch."""
    agents = FakeAgents(FakeGroup(3))

    async def play(members: Members, step: int) -> None:
        await members.revoke(Revocation(1, step, by="guard"), 1.0)
        agents.restart(3)
        await recover(members, await members.lock_and_read())
        lift = Revocation(1, step, RevocationAction.LIFT, "guard")
        await members.revoke(lift, 1.0)
        answers = await members.revoke(replace(lift, action=RevocationAction.ASK), 1.0)
        assert not any(answer.was_revoked for answer in answers.values())

    await run_held(agents, play)


def revoked_by(*names: str) -> RevokedSteps:
    steps = RevokedSteps()
    for name in names:
        steps.apply(Revocation(1, 9, by=name))
    return steps


@pytest.mark.parametrize(
    ("names", "lifted_by", "is_lifted"),
    [
        (["a"], "a", True),
        (["a"], "b", False),
        (["a", "b"], "a", False),
        (["a", "b"], "", True),
    ],
)
def test_promise_holds_until_all_have_lifted_it(names, lifted_by, is_lifted):
    """Guards against a guard that lifts what another one released the step by."""
    steps = revoked_by(*names)
    assert steps.covers(1, 9) and steps.covers(1, 8) and not steps.covers(1, 10)
    steps.apply(Revocation(1, 9, RevocationAction.LIFT, lifted_by))
    assert steps.covers(1, 9) is not is_lifted


def test_lift_of_an_earlier_step_leaves_a_later_promise():
    steps = revoked_by("a")
    steps.apply(Revocation(1, 8, RevocationAction.LIFT, "a"))
    assert steps.covers(1, 8)
