"""Switches all ranks of a group to a new map at the same step.

Ranks do not compare maps, and an order without an answer may be executed seconds later.
The group is therefore held at a step first, all ranks are armed for that step, and the
step is released only when every rank has reported that it is armed. An order that is
executed late then either repeats an earlier one, which changes nothing, or refers to a
step that has begun, an older version or another epoch, so that the rank refuses it.

The held rank is another one than the coordinator's. Its agent knows the switch and
ends the hold when the coordinator stops (``_guard``). The coordinator orders the hold
itself, and calls ranks whose agents stop directly. Its own rank is armed last. What
both leave, a later coordinator recovers (``_recover``).

A rank is armed directly only after an agent has noted an order to arm another rank for
this step. The step then cannot be released with the old map: whoever wants to release
it asks all agents first (``_revocations``), and a direct order leaves no other trace.
Specification: ``specs/timed_switch.py``.
"""

from __future__ import annotations

import random
from collections.abc import Awaitable, Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass
from typing import Final

import trio

from mustardfront import events
from mustardfront.coordination.rankmaps._members import Members, States
from mustardfront.coordination.rankmaps._order_handler import GuardedHold, OrderResult
from mustardfront.coordination.rankmaps._types import (
    ArmedSwitch,
    MapChanges,
    OrderKind,
    OrderOutcome,
    RankOrder,
    find_changes,
)
from mustardfront.state import LayerMap

Sleep = Callable[[float], Awaitable[None]]

# A version consists of a counter, the rank beside the coordinator and random bits, so
# that no two coordinators give the same version to different maps.
_COUNTER_SHIFT: Final = 24
_RANK_SHIFT: Final = 16
_RANK_MASK: Final = 0xFF
_RANDOM_BITS: Final = 16
# The held step is at least this far ahead. It should be so far ahead that the ranks are
# armed before the group reaches it.
HOLD_STEPS_AHEAD_MIN: Final = 2
ORDER_RETRY_S: Final = 0.06
# Interval of polls for a prepared map, once the expected loading time has passed.
PREPARE_POLL_S: Final = 0.1
PREPARE_RETRY_S: Final = 0.5
# The map is abandoned when ranks take this much longer than the expected loading time.
PREPARE_SLACK_S: Final = 1.2
HOLD_TRIES: Final = 3
# While a group is held it serves nobody, so agents have less time to answer. They may
# need all tries of an order that their rank leaves unanswered.
HELD_PATIENCE_S: Final = 0.3
# Rounds of orders in one call that arms or releases; the next poll tries again.
ORDER_ROUNDS_MAX: Final = 40


@dataclass(frozen=True, slots=True)
class SwitchResult:
    """A switch of all ranks; ``arm_s`` is the time from its hold to its release."""

    version: int
    arm_s: float


def next_version(states: States, own_rank: int) -> int:
    """Return a unique version above all that the ranks report."""
    seen = [0]
    for state in states.values():
        report = state.report
        seen += [report.version, report.prepared or 0]
        seen += [report.armed.version] if report.armed else []
    counter = (max(seen) >> _COUNTER_SHIFT) + 1
    return (
        counter << _COUNTER_SHIFT
        | own_rank << _RANK_SHIFT
        | random.getrandbits(_RANDOM_BITS)
    )


def proposer_of(version: int) -> int:
    """Return the rank of the coordinator that proposed a version."""
    return version >> _RANK_SHIFT & _RANK_MASK


def is_held_or_armed(states: States) -> bool:
    """Return whether any rank is held at a step or armed."""
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
    *,
    old_layers: Sequence[LayerMap] | None = None,
    steps_ahead: int = HOLD_STEPS_AHEAD_MIN,
) -> SwitchResult | None:
    """Switch the group to a new map; return the result once all ranks are released.

    ``load_s`` is the time that the slowest rank takes to load its new experts,
    ``old_layers`` the map in force if it is known, ``steps_ahead`` how many steps the
    ranks have to be armed. If None is returned, the old map stays in force or a held
    group is left to ``recover``.
    """
    own_report = states[members.own_rank].report
    epoch = own_report.seat.epoch
    version = next_version(states, members.own_rank)
    order = RankOrder(OrderKind.PREPARE, epoch, version=version, layers=tuple(layers))
    changes = (
        find_changes(own_report.version, tuple(old_layers), order.layers)
        if old_layers is not None
        else None
    )
    began_s = trio.current_time()
    prepared_states = await prepare(members, order, load_s, sleep, changes)
    if prepared_states is None:
        _log_map_kept(members, version, "not all ranks prepared the new map")
        return None
    events.log(
        events.Event.MAP_PREPARED,
        group=members.group,
        map_version=version,
        elapsed_ms=round((trio.current_time() - began_s) * 1000),
    )
    hold_began_s = trio.current_time()
    held_rank = members.hold_rank()
    step = await _hold(members, epoch, prepared_states, sleep, steps_ahead)
    if step is None:
        _log_map_kept(members, version, "the hold of the group was not confirmed")
        return None
    released = await finish(
        members, epoch, ArmedSwitch(version, step), {held_rank: step}, sleep
    )
    if not released:
        return None
    return SwitchResult(version, trio.current_time() - hold_began_s)


async def prepare(
    members: Members,
    order: RankOrder,
    load_s: float,
    sleep: Sleep,
    changes: MapChanges | None = None,
) -> States | None:
    """Order all ranks to load a map; return their states once all have, else None.

    Agents that know the map which ``changes`` refer to need not be sent the whole map.
    """
    ends_at = trio.current_time() + load_s + PREPARE_SLACK_S
    pending = set(members.addresses)
    poll_s = load_s
    next_order_at = 0.0
    while trio.current_time() < ends_at:
        if trio.current_time() >= next_order_at:
            next_order_at = trio.current_time() + poll_s + PREPARE_RETRY_S
            results = await members.send_orders(dict.fromkeys(pending, order), changes)
            lacking = [
                rank
                for rank, result in results.items()
                if result.outcome is OrderOutcome.MAP_UNKNOWN
            ]
            if lacking:
                results |= await members.send_orders(dict.fromkeys(lacking, order))
            refused = [
                rank
                for rank, result in results.items()
                if result.outcome is OrderOutcome.REFUSED
            ]
            if refused and not await _all_prepared(members, order, refused):
                return None
        await sleep(poll_s)
        poll_s = PREPARE_POLL_S
        states = await members.lock_and_read()
        if any(
            not state.locked or state.report.seat.epoch != order.epoch
            for state in states.values()
        ):
            return None
        pending = {
            rank
            for rank in members.addresses
            if rank not in states or not _is_prepared(members, states, rank, order)
        }
        if not pending:
            return states
    return None


def _is_prepared(members: Members, states: States, rank: int, order: RankOrder) -> bool:
    """Return whether a rank has loaded a map and its rows equal the ordered rows.

    The rows of a rank whose agent does not answer are not compared: a version always
    stands for the same map.
    """
    state = states[rank]
    if state.report.prepared != order.version:
        return False
    return rank in members.direct_clients or state.checked == order.version


async def _all_prepared(
    members: Members, order: RankOrder, ranks: Iterable[int]
) -> bool:
    """Return whether ranks that refused to prepare a map have already prepared it."""
    states = await members.lock_and_read()
    return all(
        rank in states and states[rank].report.prepared == order.version
        for rank in ranks
    )


async def _hold(
    members: Members, epoch: int, states: States, sleep: Sleep, steps_ahead: int
) -> int | None:
    """Hold the group at a step that has not begun; return the step once confirmed.

    All ranks have prepared the same map, by ``states``.
    """
    rank = members.hold_rank()
    guard = members.guard(states[members.own_rank].report.prepared)
    direct = members.calling_directly([rank])
    for _ in range(HOLD_TRIES):
        latest_step = max(state.report.step for state in states.values())
        step = latest_step + steps_ahead
        hold = RankOrder(OrderKind.HOLD, epoch, step=step)
        if guard is not None and rank != members.own_rank:
            guarded = GuardedHold(members.holder, epoch, step, guard)
            if not await members.announce_hold(rank, guarded, HELD_PATIENCE_S):
                return None
        results = await direct.send_orders({rank: hold}, patience_s=HELD_PATIENCE_S)
        state = results[rank].state
        if state is not None and state.report.held == step:
            return step
        await sleep(ORDER_RETRY_S)
        states = await members.lock_and_read()
        if not members.is_complete(states):
            return None
        held = states[rank].report.held
        if held is not None:
            return held if held > max(s.report.step for s in states.values()) else None
    return None


async def finish(
    members: Members,
    epoch: int,
    target: ArmedSwitch,
    held: Mapping[int, int],
    sleep: Sleep,
    *,
    armed_last: frozenset[int] | None = None,
) -> bool:
    """Arm every rank of a held group, and release the held steps once all are armed.

    A step beyond the target's stays held: an order to release it that is executed late
    could release the hold of a later switch. ``armed_last`` are the ranks that are
    armed after all others, by default that beside the coordinator.
    """
    began_s = trio.current_time()
    if armed_last is None:
        armed_last = frozenset({members.own_rank})
    if not await _arm(members, epoch, target, armed_last, sleep):
        return False
    steps = {rank: step for rank, step in held.items() if step <= target.step}
    released = await release(members, epoch, steps, sleep)
    events.log(
        events.Event.MAP_DECIDED,
        group=members.group,
        map_version=target.version,
        step=target.step,
        released=released,
        elapsed_ms=round((trio.current_time() - began_s) * 1000),
    )
    return released


async def _arm(
    members: Members,
    epoch: int,
    target: ArmedSwitch,
    armed_last: frozenset[int],
    sleep: Sleep,
) -> bool:
    """Order all ranks to arm until each reports it; return whether all did."""
    arm = RankOrder(OrderKind.ARM, epoch, version=target.version, step=target.step)
    pending = set(members.addresses)
    is_noted = False
    for _ in range(ORDER_ROUNDS_MAX):
        batch = _next_to_arm(members, pending, armed_last, is_noted=is_noted)
        results = await members.send_orders(
            dict.fromkeys(batch, arm), patience_s=HELD_PATIENCE_S
        )
        if any(result.is_revoked for result in results.values()):
            _log_map_kept(members, target.version, "this step may be given up")
            return False
        is_noted = is_noted or _has_agent_noted(members, results)
        if is_noted:
            members = members.calling_directly(_silent_ranks(results))
        for rank, result in results.items():
            if result.state is None:
                continue
            report = result.state.report
            if report.seat.epoch != epoch:
                return False
            if report.armed == target or report.version == target.version:
                pending.discard(rank)
            elif report.prepared != target.version or report.step >= target.step:
                _log_map_kept(
                    members,
                    target.version,
                    f"rank {rank} can no longer be armed for this step",
                )
                return False
        if not pending:
            return True
        if not pending <= armed_last:
            await sleep(ORDER_RETRY_S)
    _log_map_kept(
        members, target.version, "not all ranks are armed; the group stays held"
    )
    return False


async def release(
    members: Members, epoch: int, held: Mapping[int, int], sleep: Sleep
) -> bool:
    """Release the held steps, given by rank; return whether all are released."""
    pending = dict(held)
    # An agent that stopped meanwhile must not delay the release.
    members = members.calling_directly(pending)
    for _ in range(ORDER_ROUNDS_MAX):
        results = await members.send_orders(
            {
                rank: RankOrder(OrderKind.RELEASE, epoch, step=step)
                for rank, step in pending.items()
            },
            patience_s=HELD_PATIENCE_S,
        )
        for rank, result in results.items():
            if result.state is None:
                continue
            report = result.state.report
            if report.seat.epoch != epoch or report.held != pending[rank]:
                del pending[rank]
        if not pending:
            return True
        await sleep(ORDER_RETRY_S)
    return False


def _next_to_arm(
    members: Members,
    pending: set[int],
    armed_last: frozenset[int],
    *,
    is_noted: bool,
) -> set[int]:
    """Return the ranks to arm in the next round.

    ``is_noted`` tells that an agent has noted an order to arm for the step.
    """
    if is_noted:
        return pending - armed_last or pending
    by_agent = pending - members.direct_clients.keys()
    return by_agent - armed_last or by_agent


def _has_agent_noted(members: Members, results: Mapping[int, OrderResult]) -> bool:
    """Return whether an agent has surely noted an order, as its answer shows."""
    by_agent = results.keys() - members.direct_clients.keys()
    return any(results[rank].state is not None for rank in by_agent)


def _silent_ranks(results: Mapping[int, OrderResult]) -> list[int]:
    return [rank for rank, result in results.items() if result.state is None]


def _log_map_kept(members: Members, version: int, reason: str) -> None:
    events.log(
        events.Event.MAP_KEPT,
        group=members.group,
        map_version=version,
        reason=reason,
    )
