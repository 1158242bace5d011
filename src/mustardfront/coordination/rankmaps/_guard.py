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
and the rank of the coordinator is armed only after all others (``_revocations``).

If the coordinator's rank can be called again before that is known, the guard lifts the
promises that it was given, and finishes the switch. It has not released the step, and
another coordinator that may release it was given promises of its own.
"""

from __future__ import annotations

import secrets
from collections.abc import Callable, Mapping
from typing import Final

import trio

from mustardfront import events
from mustardfront.coordination.rankmaps._members import Members
from mustardfront.coordination.rankmaps._order_handler import GuardedHold
from mustardfront.coordination.rankmaps._revocations import (
    Revocation,
    RevocationAction,
    RevocationReply,
)
from mustardfront.coordination.rankmaps._switch import (
    HELD_PATIENCE_S,
    ORDER_RETRY_S,
    Sleep,
    finish,
)
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
_NAME_BYTES: Final = 8


async def guard_hold(
    hold: GuardedHold,
    members: Members,
    client: RankClient,
    sleep: Sleep = trio.sleep,
    is_contested: Callable[[], bool] = lambda: False,
) -> bool:
    """End a hold if its group stands for a while.

    ``members`` order in the name of the hold's lock; ``client`` is that of the held
    rank. ``is_contested`` tells that another coordinator has the lock of the held rank.
    Return whether this agent ended the hold.
    """
    ends_at = trio.current_time() + GUARD_MAX_S
    guard = _Guard(hold, members, client, sleep, is_contested)
    standing_since: float | None = None
    was_held = False
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
        if await guard.try_to_end():
            return True
    await guard.lift_promises()
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


class _Guard:
    """Tries to end one hold, and remembers what the other agents have promised."""

    def __init__(
        self,
        hold: GuardedHold,
        members: Members,
        client: RankClient,
        sleep: Sleep,
        is_contested: Callable[[], bool],
    ) -> None:
        self._hold = hold
        self._members = members
        self._client = client
        self._sleep = sleep
        self._is_contested = is_contested
        self._name = secrets.token_hex(_NAME_BYTES)
        self._patience_s = REVOKE_PATIENCE_S
        self._has_promises = False
        # An agent has ordered its rank to arm, so the step cannot be given up.
        self._has_begun = False

    async def try_to_end(self) -> bool:
        """Finish the switch or give it up; return whether the hold has ended."""
        if await _is_reachable(self._hold, self._members):
            return await self._finish_switch()
        if self._has_begun:
            return False
        return await self._give_up()

    async def lift_promises(self) -> None:
        """Let the agents order arms again, unless others hold them to a promise."""
        if self._has_promises:
            await self._ask(RevocationAction.LIFT, self._name, HELD_PATIENCE_S)

    async def _finish_switch(self) -> bool:
        if not self._members.is_locked():
            return False
        await self.lift_promises()
        hold = self._hold
        _log_taken_over(hold, self._members, is_switched=True)
        coordinator = frozenset({hold.guard.coordinator})
        return await finish(
            self._members.calling_directly(coordinator),
            hold.epoch,
            ArmedSwitch(hold.guard.version, hold.step),
            {self._members.own_rank: hold.step},
            self._sleep,
            armed_last=coordinator,
        )

    async def _give_up(self) -> bool:
        hold, members = self._hold, self._members
        self._has_promises = True
        answers = await self._ask(RevocationAction.REVOKE, self._name, self._patience_s)
        # Agents that relay requests may be silent, and others are asked then.
        self._patience_s = min(REVOKE_PATIENCE_MAX_S, 2 * self._patience_s)
        if any(answer.has_ordered for answer in answers.values()):
            # Nobody can have given up this hold, so the switch may still be finished.
            self._has_begun = True
            await self._ask(RevocationAction.LIFT, "", REVOKE_PATIENCE_MAX_S)
            return False
        ranks = frozenset(members.addresses)
        if not may_give_up(answers, ranks, hold.guard.coordinator):
            return False
        if self._is_contested():
            return False
        _log_taken_over(hold, members, is_switched=False)
        await release_given_up(self._client, hold.epoch, hold.step, self._sleep)
        return True

    async def _ask(
        self, action: RevocationAction, name: str, patience_s: float
    ) -> dict[int, RevocationReply]:
        req = Revocation(self._hold.epoch, self._hold.step, action, name)
        coordinator = self._hold.guard.coordinator
        return await self._members.revoke(req, patience_s, without=coordinator)


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
