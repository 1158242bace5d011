"""The coordinator of a group: watches loads, plans maps and switches to them."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

import trio

from mustardfront import events
from mustardfront.coordination.rankmaps._loads import DecayedLoads
from mustardfront.coordination.rankmaps._members import Members, States
from mustardfront.coordination.rankmaps._plan import Plan, PlanLimits, plan_layers
from mustardfront.coordination.rankmaps._recover import current_layers, recover
from mustardfront.coordination.rankmaps._switch import is_held_or_armed, switch
from mustardfront.coordination.rankmaps._types import RankClient
from mustardfront.state import EngineModel, LayerMap

POLL_S: Final = 0.4
# An armed group reaches the step of its switch within a few steps, and the next plan
# starts from the map that is in force then.
ARMED_POLL_S: Final = 0.1
# A coordinator that has not held the locks of all ranks in one epoch for this long ends
# its term; the next term reads the members of the group again.
INCOMPLETE_MAX_S: Final = 2.0
# A switch of this coordinator is complete by the next poll of the group. One that takes
# longer than this is recovered like a switch that an earlier coordinator left.
RECOVER_AFTER_S: Final = 0.25
# Experts that one rank may load in one change; loading more takes longer than the
# popularity of experts lasts.
NEW_EXPERTS_MAX: Final = 2
# A change must shorten a step by this share.
STEP_SAVING_MIN: Final = 0.03
# The popularity of experts lasts about this long before it shifts.
POPULARITY_LASTS_S: Final = 3.0
# Waiting time that loading one expert must save, summed over all requests.
LOAD_COST_REQUEST_S: Final = 1.5


@dataclass(frozen=True, slots=True)
class _CurrentMap:
    """The map in force with its version and epoch."""

    version: int
    epoch: int
    layers: tuple[LayerMap, ...]


class GroupCoordinator:
    """One term as coordinator of a group."""

    def __init__(
        self,
        members: Members,
        model: EngineModel,
        client_of: Callable[[int], RankClient],
        loads: DecayedLoads,
    ) -> None:
        self._members = members
        self._model = model
        self._client_of = client_of
        self._loads = loads
        self._current_map: _CurrentMap | None = None
        self._held_or_armed_since: float | None = None
        self._poll_s = POLL_S

    async def run(self) -> None:
        """Coordinate until ranks stay unreachable or locked by another coordinator.

        A term that never held all locks ends when the first lock is refused.
        """
        last_complete_s = trio.current_time()
        was_complete = False
        while True:
            began_s = trio.current_time()
            states = await self._members.lock_and_read(
                with_counts=True, with_maps=self._current_map is None
            )
            if self._members.is_complete(states):
                last_complete_s, was_complete = began_s, True
                await self._run_round(states)
            else:
                is_refused = any(not state.locked for state in states.values())
                if is_refused and not was_complete:
                    await self._members.unlock()
                    return
                if not is_refused:
                    await self._recover_without_agents(states)
                if began_s - last_complete_s > INCOMPLETE_MAX_S:
                    await self._members.unlock()
                    return
            await trio.sleep_until(began_s + self._poll_s)

    async def _run_round(self, states: States) -> None:
        self._poll_s = POLL_S
        self._add_counts(states)
        if is_held_or_armed(states):
            await self._recover_if_stuck(states)
            return
        self._held_or_armed_since = None
        current = self._update_current_map(states)
        popularity = self._loads.popularity()
        if current is None or not popularity:
            return
        plan = plan_layers(current.layers, popularity, self._limits(states))
        if not self._is_worthwhile(plan):
            return
        load_s = plan.rank_new_experts_max * self._model.expert_load_s
        events.log(
            events.Event.MAP_PLANNED,
            group=self._members.group,
            cost_before=round(plan.cost_before, 3),
            cost_after=round(plan.cost_after, 3),
            loads=plan.new_experts,
            load_ms=round(load_s * 1000),
        )
        self._current_map = None
        await switch(self._members, states, plan.layers, load_s)

    def _limits(self, states: States) -> PlanLimits:
        """Return the limits of a plan.

        The more requests are active or queued, the less must loading an expert gain.
        """
        requests = sum(
            state.report.active + state.report.queued for state in states.values()
        )
        # Lowering the largest load in one layer by the mean load saves this share of a
        # balanced step.
        share = self._model.expert_share / self._model.layers
        saved_s = share * max(1, requests) * POPULARITY_LASTS_S
        return PlanLimits(
            slots=self._model.slots_per_rank,
            new_experts_max=NEW_EXPERTS_MAX,
            layer_new_experts_max=self._model.loads_max,
            new_expert_gain_min=LOAD_COST_REQUEST_S / saved_s,
        )

    def _is_worthwhile(self, plan: Plan) -> bool:
        share = self._model.expert_share
        before = 1 - share + share * plan.cost_before
        after = 1 - share + share * plan.cost_after
        return 1 - after / before >= STEP_SAVING_MIN

    def _add_counts(self, states: States) -> None:
        counts = [state.counts for state in states.values() if state.counts]
        self._loads.add(trio.current_time(), counts)

    def _update_current_map(self, states: States) -> _CurrentMap | None:
        """Return the map in force, assembled from the rows of all ranks, if known."""
        versions = {state.report.version for state in states.values()}
        epoch = states[self._members.own_rank].report.seat.epoch
        if len(versions) != 1:
            self._current_map = None
            return None
        version = next(iter(versions))
        known = self._current_map
        if known is not None and (known.version, known.epoch) == (version, epoch):
            return known
        layers = current_layers(states)
        self._current_map = _CurrentMap(version, epoch, layers) if layers else None
        return self._current_map

    async def _recover_if_stuck(self, states: States) -> None:
        """Recover held and armed ranks, unless a fully armed group awaits its step."""
        now = trio.current_time()
        if self._held_or_armed_since is None:
            self._held_or_armed_since = now
        all_armed = all(state.report.armed for state in states.values())
        held = any(state.report.held is not None for state in states.values())
        if all_armed and not held:
            self._poll_s = ARMED_POLL_S
            return
        if now - self._held_or_armed_since < RECOVER_AFTER_S and not held:
            return
        await recover(self._members, states)

    async def _recover_without_agents(self, states: States) -> None:
        """Recover a held or armed group although some agents do not answer."""
        members, all_states = await self._members.with_direct_clients(
            states, self._client_of
        )
        if members.is_complete(all_states) and is_held_or_armed(all_states):
            await recover(members, all_states)
