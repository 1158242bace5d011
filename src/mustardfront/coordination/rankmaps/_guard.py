"""Releases a group whose coordinator stopped while it held the group.

The agent of the held rank knows the version and the step for which the ranks are armed,
so it can finish the switch with the same orders as the coordinator. Both may act at the
same time: their orders are equal, and repeating one changes nothing. The step is
released only once every rank has reported that it is armed for it, and an armed rank
stays so: it is disarmed only for a version that another rank has replaced, and such a
rank cannot be armed for that version.
"""

from __future__ import annotations

from typing import Final

import trio

from mustardfront import events
from mustardfront.coordination.rankmaps._members import Members
from mustardfront.coordination.rankmaps._order_handler import GuardedHold
from mustardfront.coordination.rankmaps._switch import Sleep, finish
from mustardfront.coordination.rankmaps._types import ArmedSwitch, RankClient
from mustardfront.results import Err

# A coordinator that runs has released the group by then, most of the time.
GUARD_DELAY_S: Final = 0.2
GUARD_POLL_S: Final = 0.05
# The group reaches the held step within this time, or not at all.
GUARD_MAX_S: Final = 5.0


async def guard_hold(
    hold: GuardedHold, members: Members, client: RankClient, sleep: Sleep = trio.sleep
) -> bool:
    """Finish a switch if its group is still held after a while.

    ``members`` order in the name of the hold's lock; ``client`` is that of the held
    rank. Return whether this agent released the group.
    """
    ends_at = trio.current_time() + GUARD_MAX_S
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
        if now_s - standing_since >= GUARD_DELAY_S and members.is_locked():
            return await _take_over(hold, members, sleep)
    return False


async def _take_over(hold: GuardedHold, members: Members, sleep: Sleep) -> bool:
    target = ArmedSwitch(hold.guard.version, hold.step)
    events.log(
        events.Event.HOLD_TAKEN_OVER,
        group=members.group,
        map_version=target.version,
        step=target.step,
        holder=hold.holder,
    )
    held = {members.own_rank: hold.step}
    return await finish(members, hold.epoch, target, held, sleep)
