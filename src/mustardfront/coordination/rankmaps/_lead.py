"""The coordinator of a group: watches loads, plans maps and switches to them."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

import trio

from mustardfront import events
from mustardfront.coordination.rankmaps._loads import LoadWindow
from mustardfront.coordination.rankmaps._members import Members, States
from mustardfront.coordination.rankmaps._plan import Plan, PlanLimits, plan_layers
from mustardfront.coordination.rankmaps._recover import current_layers, recover
from mustardfront.coordination.rankmaps._switch import is_unsettled, switch
from mustardfront.coordination.rankmaps._types import RankPort
from mustardfront.state import EngineModel, LayerMap

POLL_S: Final = 0.4
# A group that is armed gets to its step within a few passes, and the next plan starts
# from the map that is in force then.
ARMED_POLL_S: Final = 0.1
# A coordinator that does not reach all ranks for this long looks for the group anew.
INCOMPLETE_MAX_S: Final = 2.0
# An open switch of this coordinator is settled by the next look at the group; one that
# takes longer than this is treated as left behind.
SETTLE_AFTER_S: Final = 0.25
# New experts that one rank loads in one change; more take longer than a popularity
# lasts.
LOADS_MAX: Final = 2
# A change must lower the time of a step by this share.
SAVING_MIN: Final = 0.03
# A popularity lasts about this long.
LASTS_S: Final = 3.0
# What loading one expert must save: seconds of waiting, summed over all requests.
LOAD_COST_REQUEST_S: Final = 1.5


@dataclass(frozen=True, slots=True)
class _Current:
    """The map in force with its version and epoch."""

    version: int
    epoch: int
    layers: tuple[LayerMap, ...]


class Leader:
    """One term as coordinator of a group."""

    def __init__(
        self,
        members: Members,
        model: EngineModel,
        port_of: Callable[[int], RankPort],
        window: LoadWindow,
    ) -> None:
        self._members = members
        self._model = model
        self._port_of = port_of
        self._window = window
        self._current: _Current | None = None
        self._unsettled_since: float | None = None
        self._poll_s = POLL_S

    async def run(self) -> None:
        """Lead until ranks stay locked by another coordinator or out of reach.

        A term that never had all locks ends at the first one that is refused.
        """
        whole_at = trio.current_time()
        was_whole = False
        while True:
            began_s = trio.current_time()
            states = await self._members.states(
                with_counts=True, with_maps=self._current is None
            )
            if self._members.is_whole(states):
                whole_at, was_whole = began_s, True
                await self._round(states)
            else:
                is_refused = any(not state.locked for state in states.values())
                if is_refused and not was_whole:
                    await self._members.unlock()
                    return
                if not is_refused:
                    await self._settle_without(states)
                if began_s - whole_at > INCOMPLETE_MAX_S:
                    await self._members.unlock()
                    return
            await trio.sleep_until(began_s + self._poll_s)

    async def _round(self, states: States) -> None:
        self._poll_s = POLL_S
        self._take_counts(states)
        if is_unsettled(states):
            await self._settle(states)
            return
        self._unsettled_since = None
        current = self._take_maps(states)
        popularity = self._window.popularity()
        if current is None or not popularity:
            return
        plan = plan_layers(current.layers, popularity, self._limits(states))
        if not self._is_worth(plan):
            return
        load_s = plan.rank_loads_max * self._model.expert_load_s
        events.log(
            events.Event.MAP_PLANNED,
            group=self._members.group,
            cost_before=round(plan.cost_before, 3),
            cost_after=round(plan.cost_after, 3),
            loads=plan.loads,
            load_ms=round(load_s * 1000),
        )
        self._current = None
        await switch(self._members, states, plan.layers, load_s)

    def _limits(self, states: States) -> PlanLimits:
        """Return what a plan may ask now: the more requests wait, the more."""
        requests = sum(
            state.report.active + state.report.queued for state in states.values()
        )
        # A mean load less in one layer saves this share of a balanced step.
        share = self._model.expert_share / self._model.layers
        saved_s = share * max(1, requests) * LASTS_S
        return PlanLimits(
            slots=self._model.slots_per_rank,
            loads_max=LOADS_MAX,
            layer_loads_max=self._model.loads_max,
            load_gain_min=LOAD_COST_REQUEST_S / saved_s,
        )

    def _is_worth(self, plan: Plan) -> bool:
        share = self._model.expert_share
        before = 1 - share + share * plan.cost_before
        after = 1 - share + share * plan.cost_after
        return 1 - after / before >= SAVING_MIN

    def _take_counts(self, states: States) -> None:
        counts = [state.counts for state in states.values() if state.counts]
        self._window.add(trio.current_time(), counts)

    def _take_maps(self, states: States) -> _Current | None:
        """Return the map in force, put together from the rows of all ranks."""
        versions = {state.report.version for state in states.values()}
        epoch = states[self._members.own].report.seat.epoch
        if len(versions) != 1:
            self._current = None
            return None
        version = next(iter(versions))
        known = self._current
        if known is not None and (known.version, known.epoch) == (version, epoch):
            return known
        layers = current_layers(states)
        self._current = _Current(version, epoch, layers) if layers else None
        return self._current

    async def _settle(self, states: States) -> None:
        """Settle held and armed ranks; a group on its way to a step has time."""
        now = trio.current_time()
        if self._unsettled_since is None:
            self._unsettled_since = now
        all_armed = all(state.report.armed for state in states.values())
        held = any(state.report.held is not None for state in states.values())
        if all_armed and not held:
            self._poll_s = ARMED_POLL_S
            return
        if now - self._unsettled_since < SETTLE_AFTER_S and not held:
            return
        await recover(self._members, states)

    async def _settle_without(self, states: States) -> None:
        """Settle a held group though some ranks' desks are gone."""
        members, found = await self._members.with_direct(states, self._port_of)
        if members.is_whole(found) and is_unsettled(found):
            await recover(members, found)
