"""The switch of all ranks of a group to a new map in one step.

Ranks do not compare maps, and an order without an answer may be carried out seconds
later. So the group is held at a step first, all ranks are armed for that step, and
the step is released only when every rank reported that it is armed. An order that is
carried out late then finds either the same intent, which changes nothing, or a step
that has begun, a newer version or another epoch, which the rank refuses. A coordinator
that ends between two orders leaves a held group; ``_recover`` lets it go on.
Specification: ``specs/timed_switch.py``.
"""

from __future__ import annotations

import random
from collections.abc import Awaitable, Callable, Iterable, Mapping, Sequence
from typing import Final

import trio

from mustardfront import events
from mustardfront.coordination.rankmaps._members import Members, States
from mustardfront.coordination.rankmaps._types import (
    Armed,
    OrderKind,
    OrderOutcome,
    RankOrder,
)
from mustardfront.state import LayerMap

Sleep = Callable[[float], Awaitable[None]]

# A version is a counter, the rank beside the coordinator, and a random part, so that
# no two coordinators ever give one version to two maps.
_COUNTER_SHIFT: Final = 24
_RANK_SHIFT: Final = 16
_RANDOM_BITS: Final = 16
# The held step is this far ahead, so that arming is done before the group gets there.
STEPS_AHEAD: Final = 2
POLL_S: Final = 0.06
# Ranks are asked whether they loaded a map from the time that it takes.
PREPARE_POLL_S: Final = 0.1
REPEAT_S: Final = 0.5
# Beyond the time that loading takes; then the map is given up.
PREPARE_SLACK_S: Final = 1.2
HOLD_TRIES: Final = 3
# Rounds of arming or releasing in one go; the next look at the group tries again.
REPEATS_MAX: Final = 40


def next_version(states: States, own: int) -> int:
    """Return a version above all that the ranks report and that nobody else uses."""
    seen = [0]
    for state in states.values():
        report = state.report
        seen += [report.version, report.prepared or 0]
        seen += [report.armed.version] if report.armed else []
    counter = (max(seen) >> _COUNTER_SHIFT) + 1
    return (
        counter << _COUNTER_SHIFT
        | own << _RANK_SHIFT
        | random.getrandbits(_RANDOM_BITS)
    )


def is_unsettled(states: States) -> bool:
    """Say whether a rank is held at a step or armed."""
    return any(
        state.report.held is not None or state.report.armed is not None
        for state in states.values()
    )


async def switch(
    members: Members,
    states: States,
    layers: Sequence[LayerMap],
    load_s: float,
    sleep: Sleep = trio.sleep,
) -> bool:
    """Bring the group to a new map; say whether all ranks are armed and released.

    ``load_s`` is how long the slowest rank loads. False leaves the old map in force,
    or a held group that ``recover`` settles.
    """
    epoch = states[members.own].report.seat.epoch
    version = next_version(states, members.own)
    order = RankOrder(OrderKind.PREPARE, epoch, version=version, layers=tuple(layers))
    began_s = trio.current_time()
    ready = await prepare(members, order, load_s, sleep)
    if ready is None:
        _log_kept(members, version, "not all ranks prepared it")
        return False
    events.log(
        events.Event.MAP_PREPARED,
        group=members.group,
        map_version=version,
        elapsed_ms=round((trio.current_time() - began_s) * 1000),
    )
    step = await _hold(members, epoch, ready, sleep)
    if step is None:
        _log_kept(members, version, "the group was not held")
        return False
    return await finish(
        members, epoch, Armed(version, step), {members.own: step}, sleep
    )


async def prepare(
    members: Members, order: RankOrder, load_s: float, sleep: Sleep
) -> States | None:
    """Let all ranks load the map; return their states once they have it."""
    ends_at = trio.current_time() + load_s + PREPARE_SLACK_S
    waiting = set(members.names)
    look_s = load_s
    repeat_at = 0.0
    while trio.current_time() < ends_at:
        if trio.current_time() >= repeat_at:
            repeat_at = trio.current_time() + look_s + REPEAT_S
            results = await members.order(dict.fromkeys(waiting, order))
            refused = [
                rank
                for rank, result in results.items()
                if result.outcome is OrderOutcome.REFUSED
            ]
            if refused and not await _has_all(members, order, refused):
                return None
        await sleep(look_s)
        look_s = PREPARE_POLL_S
        states = await members.states()
        if any(
            not state.locked or state.report.seat.epoch != order.epoch
            for state in states.values()
        ):
            return None
        waiting = {
            rank
            for rank in members.names
            if rank not in states or not _is_prepared(members, states, rank, order)
        }
        if not waiting:
            return states
    return None


def _is_prepared(members: Members, states: States, rank: int, order: RankOrder) -> bool:
    """Say whether a rank loaded a map and its rows are those that were ordered.

    The rows of a rank without a desk are not compared: a version has one content.
    """
    state = states[rank]
    if state.report.prepared != order.version:
        return False
    return rank in members.direct or state.checked == order.version


async def _has_all(members: Members, order: RankOrder, ranks: Iterable[int]) -> bool:
    """Say whether ranks that refused a map have it all the same."""
    states = await members.states()
    return all(
        rank in states and states[rank].report.prepared == order.version
        for rank in ranks
    )


async def _hold(
    members: Members, epoch: int, states: States, sleep: Sleep
) -> int | None:
    """Hold the group at a step that has not begun; return it once that is confirmed."""
    for _ in range(HOLD_TRIES):
        newest = max(state.report.step for state in states.values())
        step = newest + STEPS_AHEAD
        hold = RankOrder(OrderKind.HOLD, epoch, step=step)
        result = (await members.order({members.own: hold}))[members.own]
        if result.state is not None and result.state.report.held == step:
            return step
        await sleep(POLL_S)
        states = await members.states()
        if not members.is_whole(states):
            return None
        held = states[members.own].report.held
        if held is not None:
            return held if held > max(s.report.step for s in states.values()) else None
    return None


async def finish(
    members: Members,
    epoch: int,
    target: Armed,
    held: Mapping[int, int],
    sleep: Sleep,
) -> bool:
    """Arm every rank of a held group, check that, and release the ranks' held steps.

    A step beyond the target's stays held: a late order to release it could free a later
    switch.
    """
    began_s = trio.current_time()
    if not await _arm(members, epoch, target, sleep):
        return False
    due = {rank: step for rank, step in held.items() if step <= target.step}
    released = await release(members, epoch, due, sleep)
    events.log(
        events.Event.MAP_DECIDED,
        group=members.group,
        map_version=target.version,
        step=target.step,
        released=released,
        elapsed_ms=round((trio.current_time() - began_s) * 1000),
    )
    return released


async def _arm(members: Members, epoch: int, target: Armed, sleep: Sleep) -> bool:
    """Order all ranks to arm until each reports it; say whether all did."""
    arm = RankOrder(OrderKind.ARM, epoch, version=target.version, step=target.step)
    waiting = set(members.names)
    for _ in range(REPEATS_MAX):
        results = await members.order(dict.fromkeys(waiting, arm))
        for rank, result in results.items():
            if result.state is None:
                continue
            report = result.state.report
            if report.seat.epoch != epoch:
                return False
            if report.armed == target or report.version == target.version:
                waiting.discard(rank)
            elif report.prepared != target.version or report.step >= target.step:
                _log_kept(members, target.version, f"rank {rank} cannot be armed")
                return False
        if not waiting:
            return True
        await sleep(POLL_S)
    _log_kept(members, target.version, "not all ranks are armed; still held")
    return False


async def release(
    members: Members, epoch: int, held: Mapping[int, int], sleep: Sleep
) -> bool:
    """Release the held step of each named rank; say whether all were."""
    waiting = dict(held)
    for _ in range(REPEATS_MAX):
        results = await members.order(
            {
                rank: RankOrder(OrderKind.RELEASE, epoch, step=step)
                for rank, step in waiting.items()
            }
        )
        for rank, result in results.items():
            if result.state is None:
                continue
            report = result.state.report
            if report.seat.epoch != epoch or report.held != waiting[rank]:
                del waiting[rank]
        if not waiting:
            return True
        await sleep(POLL_S)
    return False


def _log_kept(members: Members, version: int, reason: str) -> None:
    events.log(
        events.Event.MAP_KEPT,
        group=members.group,
        map_version=version,
        reason=reason,
    )
