"""Recovers a group that an earlier coordinator left held or armed.

Orders of that coordinator may still be executed. A held step is therefore released only
when all ranks are armed for the same version and step. If the earlier version can still
be armed at every rank, that switch is completed. If it cannot, or if its step is
unknown, the group switches to a new version of the map in force, which invalidates
every order to arm an older version.

An agent may have begun to give up the hold (``_guard``): agents then order no arms for
the step any more. If one has ordered any, or its rank is armed, nobody can have
released the step, and the others order them again; if all know that they have not, the
step is released. Ranks whose agents may have given up a step are armed last, as the one
who gives it up does not ask the agent of the coordinator that held it.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Final

import trio

from mustardfront import events
from mustardfront.coordination.rankmaps import _switch
from mustardfront.coordination.rankmaps._members import Members, States
from mustardfront.coordination.rankmaps._revocations import (
    Revocation,
    RevocationAction,
    RevocationReply,
)
from mustardfront.coordination.rankmaps._types import ArmedSwitch, OrderKind, RankOrder
from mustardfront.state import LayerMap

# Agents that relay requests may be silent, and others are asked then.
_SETTLE_PATIENCE_S: Final = 1.2


async def recover(
    members: Members, states: States, sleep: _switch.Sleep = trio.sleep
) -> None:
    """Recover held and armed ranks; what fails is retried at the next poll."""
    epoch = states[members.own_rank].report.seat.epoch
    held = _held_steps(states)
    armed = {state.report.armed for state in states.values() if state.report.armed}
    events.log(
        events.Event.MAP_RECOVERED,
        group=members.group,
        held=sorted(held.values()),
        armed=sorted((switch.version, switch.step) for switch in armed),
        prepared=sorted({state.report.prepared or 0 for state in states.values()}),
    )
    if held and not await _settle_given_up(members, epoch, held, sleep):
        return
    target = _find_target(states, held, armed)
    if target is None:
        await _switch_to_new_version(members, states, sleep)
    elif held:
        last = _armed_last(members, states)
        await _switch.finish(members, epoch, target, held, sleep, armed_last=last)
    elif not _is_armed_everywhere(states, target):
        hold = RankOrder(OrderKind.HOLD, epoch, step=target.step)
        await members.send_orders({members.own_rank: hold})


async def _settle_given_up(
    members: Members, epoch: int, held: Mapping[int, int], sleep: _switch.Sleep
) -> bool:
    """Return whether the ranks may be armed for the step that the group is held at."""
    step = min(held.values())
    answers = await members.revoke(
        Revocation(epoch, step, RevocationAction.ASK), _SETTLE_PATIENCE_S
    )
    if not any(answer.was_revoked for answer in answers.values()):
        return True
    if any(answer.has_ordered for answer in answers.values()):
        lift = Revocation(epoch, step, RevocationAction.LIFT)
        await members.revoke(lift, _SETTLE_PATIENCE_S)
        return True
    # A promise that cannot lead to a release would only stop who finishes the switch.
    if not _exclude_arming(members, answers):
        return False
    name = members.holder
    revocation = Revocation(epoch, step, RevocationAction.REVOKE, name)
    answers = await members.revoke(revocation, _SETTLE_PATIENCE_S)
    if not _exclude_arming(members, answers):
        lift = Revocation(epoch, step, RevocationAction.LIFT, name)
        await members.revoke(lift, _SETTLE_PATIENCE_S)
        return False
    steps = {rank: one for rank, one in held.items() if one == step}
    await _switch.release(members, epoch, steps, sleep)
    return False


def _exclude_arming(members: Members, answers: Mapping[int, RevocationReply]) -> bool:
    """Return whether no rank is armed, or armed by the order of an agent."""
    all_exclude = all(answer.excludes_arming for answer in answers.values())
    return all_exclude and answers.keys() == members.addresses.keys()


def _armed_last(members: Members, states: States) -> frozenset[int]:
    """Return the own rank and those whose coordinators may have held the group."""
    reports = [state.report for state in states.values()]
    versions = {one.prepared for one in reports if one.prepared is not None}
    versions |= {one.armed.version for one in reports if one.armed is not None}
    proposers = {_switch.proposer_of(version) for version in versions}
    return frozenset({members.own_rank} | proposers) & members.addresses.keys()


def current_layers(states: States) -> tuple[LayerMap, ...] | None:
    """Return the map in force, assembled from the rows of all ranks, if known."""
    versions = {state.report.version for state in states.values()}
    rows = [
        state.maps.rows
        for _, state in sorted(states.items())
        if state.maps is not None and state.maps.version in versions
    ]
    if len(versions) != 1 or len(rows) != len(states):
        return None
    return tuple(zip(*rows, strict=True))


def _held_steps(states: States) -> dict[int, int]:
    return {
        rank: state.report.held
        for rank, state in states.items()
        if state.report.held is not None
    }


def _is_armed_everywhere(states: States, target: ArmedSwitch) -> bool:
    return all(state.report.armed == target for state in states.values())


def _find_target(
    states: States, held: Mapping[int, int], armed: set[ArmedSwitch]
) -> ArmedSwitch | None:
    """Return the interrupted switch; None if it is unknown or cannot be completed.

    An order to arm may still be in transit, so a version keeps its step: the step of
    the ranks that are armed, or else the only step that is held.
    """
    prepared = {state.report.prepared for state in states.values()}
    in_force = {state.report.version for state in states.values()}
    version = next(iter(prepared))
    if len(armed) == 1:
        target = next(iter(armed))
        if _is_armed_everywhere(states, target) or prepared == {target.version}:
            return target
        return None
    steps = set(held.values())
    if armed or len(prepared) != 1 or version is None or version in in_force:
        return None
    return ArmedSwitch(version, steps.pop()) if len(steps) == 1 else None


async def _switch_to_new_version(
    members: Members, states: States, sleep: _switch.Sleep
) -> None:
    """Switch all ranks to a new version of the map in force and release them."""
    epoch = states[members.own_rank].report.seat.epoch
    last = _armed_last(members, states)
    await _disarm_superseded(members, epoch, states)
    states = await members.lock_and_read(with_maps=True)
    layers = current_layers(states) if members.is_complete(states) else None
    if layers is None:
        return
    version = _switch.next_version(states, members.own_rank)
    order = RankOrder(OrderKind.PREPARE, epoch, version=version, layers=layers)
    prepared_states = await _switch.prepare(members, order, 0.0, sleep)
    held = _held_steps(prepared_states) if prepared_states is not None else {}
    if held:
        target = ArmedSwitch(version, min(held.values()))
        await _switch.finish(members, epoch, target, held, sleep, armed_last=last)


async def _disarm_superseded(members: Members, epoch: int, states: States) -> None:
    """Disarm ranks whose version can no longer be armed at every rank.

    Only such an order is safe when it is executed late: ranks never load an older map,
    so no coordinator completes the switch to that version.
    """
    newest = max(state.report.prepared or 0 for state in states.values())
    orders = {
        rank: RankOrder(OrderKind.DISARM, epoch, version=state.report.armed.version)
        for rank, state in states.items()
        if state.report.armed is not None and state.report.armed.version < newest
    }
    await members.send_orders(orders)
