"""Ends the hold of a group whose coordinator stopped while it held the group.

The agent of the held rank knows the version and the step for which the ranks are armed.
If it can call all ranks, it finishes the switch with the same orders as the
coordinator. Both may act at the same time: their orders are equal, and repeating one
changes nothing. The step is released only once every rank was seen armed for it, and an
armed rank stays so: it is disarmed only for a version that another rank has replaced,
and such a rank cannot be armed for that version.

If the coordinator's host is frozen, its rank cannot be called and so cannot be armed.
The group then goes on with the old map, provided that no rank can ever be armed for the
step: all other agents have promised to give no such order any more and have given none,
and the coordinator's own rank is armed only after all others.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import replace
from typing import Final

import trio

from mustardfront import events
from mustardfront.coordination.rankmaps._members import Members
from mustardfront.coordination.rankmaps._order_handler import (
    GuardedHold,
    Revocation,
    RevocationAction,
    RevocationReply,
)
from mustardfront.coordination.rankmaps._switch import ORDER_RETRY_S, Sleep, finish
from mustardfront.coordination.rankmaps._types import (
    ArmedSwitch,
    OrderKind,
    RankClient,
    RankOrder,
)
from mustardfront.results import Err, Ok

# A coordinator that runs has released the group by then, most of the time.
GUARD_DELAY_S: Final = 0.15
GUARD_POLL_S: Final = 0.03
# Time in which all agents can answer; one round over a large group takes a third of it.
REVOKE_PATIENCE_S: Final = 0.15
REVOKE_PATIENCE_MAX_S: Final = 1.2
RELEASE_TRIES: Final = 40
# The group reaches the held step within this time, or not at all.
GUARD_MAX_S: Final = 5.0


async def guard_hold(
    hold: GuardedHold, members: Members, client: RankClient, sleep: Sleep = trio.sleep
) -> bool:
    """End a hold if its group stands for a while.

    ``members`` order in the name of the hold's lock; ``client`` is that of the held
    rank. Return whether this agent acted.
    """
    ends_at = trio.current_time() + GUARD_MAX_S
    standing_since: float | None = None
    was_held = False
    patience_s = REVOKE_PATIENCE_S
    while trio.current_time() < ends_at:
        await sleep(GUARD_POLL_S)
        read = await client.report()
        if isinstance(read, Err):
            continue
        report = read.value
        if report.seat.epoch != hold.epoch or report.step >= hold.step:
            return False
        if report.held != hold.step:
            # Not held yet, or released before the group came to the step.
            if was_held:
                return False
            continue
        was_held = True
        if report.step + 1 < hold.step:
            continue
        now_s = trio.current_time()
        standing_since = now_s if standing_since is None else standing_since
        if now_s - standing_since < GUARD_DELAY_S:
            continue
        if await _end_hold(hold, members, client, sleep, patience_s):
            return True
        # Agents that relay requests may be silent, and others are asked then.
        patience_s = min(REVOKE_PATIENCE_MAX_S, 2 * patience_s)
    return False


def may_give_up(
    answers: Mapping[int, RevocationReply], ranks: frozenset[int], coordinator: int
) -> bool:
    """Return whether no rank is or can be armed for a held step.

    ``answers`` are those of agents that order no arms for it any more. The rank of the
    coordinator is armed after all others, so it need not answer.
    """
    others = ranks - {coordinator}
    return others <= answers.keys() and all(
        answers[rank].excludes_arming for rank in others
    )


async def _end_hold(
    hold: GuardedHold,
    members: Members,
    client: RankClient,
    sleep: Sleep,
    patience_s: float,
) -> bool:
    """Try to end a hold; return whether nothing is left to do here."""
    if await _is_reachable(hold, members):
        if not members.is_locked():
            return False
        _log_taken_over(hold, members, is_switched=True)
        target = ArmedSwitch(hold.guard.version, hold.step)
        held = {members.own_rank: hold.step}
        direct = members.calling_directly([hold.guard.coordinator])
        await finish(direct, hold.epoch, target, held, sleep)
        # Orders to arm are on their way, so the hold must not be given up any more.
        return True
    coordinator = hold.guard.coordinator
    revocation = Revocation(hold.epoch, hold.step)
    answers = await members.revoke(revocation, patience_s, without=coordinator)
    if any(answer.has_ordered for answer in answers.values()):
        # No agent can have given up this hold, so the switch may still be finished.
        lift = replace(revocation, action=RevocationAction.LIFT)
        await members.revoke(lift, REVOKE_PATIENCE_MAX_S, without=coordinator)
        return True
    if not may_give_up(answers, frozenset(members.addresses), coordinator):
        return False
    _log_taken_over(hold, members, is_switched=False)
    await release_given_up(client, hold.epoch, hold.step, sleep)
    return True


async def release_given_up(
    client: RankClient, epoch: int, step: int, sleep: Sleep
) -> None:
    """Release a step for which no rank can be armed, whoever has the lock."""
    for _ in range(RELEASE_TRIES):
        await client.send_order(RankOrder(OrderKind.RELEASE, epoch, step=step))
        read = await client.report()
        if isinstance(read, Ok) and read.value.held != step:
            return
        await sleep(ORDER_RETRY_S)


async def _is_reachable(hold: GuardedHold, members: Members) -> bool:
    """Return whether the coordinator's rank can be called without its agent."""
    if members.client_of is None:
        return True
    client = members.client_of(hold.guard.coordinator)
    return isinstance(await client.report(), Ok)


def _log_taken_over(hold: GuardedHold, members: Members, *, is_switched: bool) -> None:
    events.log(
        events.Event.HOLD_TAKEN_OVER,
        group=members.group,
        map_version=hold.guard.version,
        step=hold.step,
        holder=hold.holder,
        is_switched=is_switched,
    )
