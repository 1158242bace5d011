"""Settles a group that an earlier coordinator left held or armed.

Orders of that coordinator may still be carried out. A held step is therefore released
only when all ranks are armed alike. Where the earlier version can still be armed at
every rank, that switch is brought to its end; where it cannot, or where nothing tells
which step it was for, the group goes through a fresh version of the map in force, which
makes every order to arm an older one void.
"""

from __future__ import annotations

from collections.abc import Mapping

import trio

from mustardfront import events
from mustardfront.coordination.rankmaps import _switch
from mustardfront.coordination.rankmaps._members import Members, States
from mustardfront.coordination.rankmaps._types import Armed, OrderKind, RankOrder
from mustardfront.state import LayerMap


async def recover(
    members: Members, states: States, sleep: _switch.Sleep = trio.sleep
) -> None:
    """Settle held steps and armed ranks; what fails is left to the next look."""
    epoch = states[members.own].report.seat.epoch
    held = _held(states)
    armed = {state.report.armed for state in states.values() if state.report.armed}
    events.log(
        events.Event.MAP_RECOVERED,
        group=members.group,
        held=sorted(held.values()),
        armed=sorted((one.version, one.step) for one in armed),
        prepared=sorted({state.report.prepared or 0 for state in states.values()}),
    )
    target = _target(states, held, armed)
    if target is None:
        await _replace(members, states, sleep)
    elif held:
        await _switch.finish(members, epoch, target, held, sleep)
    elif not _is_armed_everywhere(states, target):
        hold = RankOrder(OrderKind.HOLD, epoch, step=target.step)
        await members.order({members.own: hold})


def current_layers(states: States) -> tuple[LayerMap, ...] | None:
    """Return the map in force, put together from the rows of all ranks."""
    versions = {state.report.version for state in states.values()}
    rows = [
        state.maps.rows
        for _, state in sorted(states.items())
        if state.maps is not None and state.maps.version in versions
    ]
    if len(versions) != 1 or len(rows) != len(states):
        return None
    return tuple(zip(*rows, strict=True))


def _held(states: States) -> dict[int, int]:
    return {
        rank: state.report.held
        for rank, state in states.items()
        if state.report.held is not None
    }


def _is_armed_everywhere(states: States, target: Armed) -> bool:
    return all(state.report.armed == target for state in states.values())


def _target(states: States, held: Mapping[int, int], armed: set[Armed]) -> Armed | None:
    """Return what the group was to switch to; None when that cannot be or is unknown.

    An order to arm may be on its way, so a version keeps its step: that of the ranks
    that are armed, or else the only one that is held.
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
    return Armed(version, steps.pop()) if len(steps) == 1 else None


async def _replace(members: Members, states: States, sleep: _switch.Sleep) -> None:
    """Arm a fresh version of the map in force at all ranks and release with it."""
    epoch = states[members.own].report.seat.epoch
    await _disarm_dead(members, epoch, states)
    states = await members.states(with_maps=True)
    layers = current_layers(states) if members.is_whole(states) else None
    if layers is None:
        return
    version = _switch.next_version(states, members.own)
    order = RankOrder(OrderKind.PREPARE, epoch, version=version, layers=layers)
    ready = await _switch.prepare(members, order, 0.0, sleep)
    held = _held(ready) if ready is not None else {}
    if held:
        target = Armed(version, min(held.values()))
        await _switch.finish(members, epoch, target, held, sleep)


async def _disarm_dead(members: Members, epoch: int, states: States) -> None:
    """Disarm ranks whose version can no longer be armed at every rank.

    Only such an order is safe to be carried out late: ranks never load an older map, so
    nobody brings that version to its end.
    """
    newest = max(state.report.prepared or 0 for state in states.values())
    orders = {
        rank: RankOrder(OrderKind.DISARM, epoch, version=state.report.armed.version)
        for rank, state in states.items()
        if state.report.armed is not None and state.report.armed.version < newest
    }
    await members.order(orders)
