"""The coordinator of a group: watches loads, plans maps and switches to them."""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

import trio

from mustardfront import events
from mustardfront.coordination.rankmaps._loads import DecayedLoads
from mustardfront.coordination.rankmaps._members import Members, States
from mustardfront.coordination.rankmaps._plan import Plan, PlanLimits, plan_layers
from mustardfront.coordination.rankmaps._recover import current_layers, recover
from mustardfront.coordination.rankmaps._switch import (
    HOLD_STEPS_AHEAD_MIN,
    is_held_or_armed,
    switch,
)
from mustardfront.coordination.rankmaps._types import RankClient
from mustardfront.state import EngineModel, LayerMap

POLL_S: Final = 0.4
# An armed group reaches the step of its switch within a few steps, and the next plan
# starts from the map that is in force then.
ARMED_POLL_S: Final = 0.1
IN_FORCE_POLL_S: Final = 0.05
# The locks of the other ranks are not renewed in this time, so it is shorter than they.
IN_FORCE_WAIT_MAX_S: Final = 0.8
# A coordinator that has not held the locks of all ranks in one epoch for this long ends
# its term; the next term reads the members of the group again.
INCOMPLETE_MAX_S: Final = 2.0
# A switch of this coordinator is complete by the next poll of the group. One that takes
# longer than this is recovered like a switch that an earlier coordinator left.
RECOVER_AFTER_S: Final = 0.25
# While some agents do not answer, their ranks are called directly. A map is switched
# only if they are at most this share of the group (one rank in any case), and a held
# group is recovered only if the other agents, which are locked, are the majority.
DIRECT_MAX_RATIO: Final = 1 / 8
# Ranks whose state is missing that a log line names.
_LOGGED_RANKS_MAX: Final = 6
# The slowest recent arming of the ranks loses this share at each switch.
_ARM_TIME_DECAY: Final = 0.2
# Assumed before the first switch, whose connections are opened while ranks are armed.
_ARM_TIME_START_S: Final = 0.15
_STEPS_AHEAD_MAX: Final = 40
# Experts that one rank may load in one change; loading more takes longer than the
# popularity of experts lasts.
NEW_EXPERTS_MAX: Final = 2
# A change must shorten a step by this share.
STEP_SAVING_MIN: Final = 0.03
# A rank that reports less does not get more than its share of the experts.
SLOWNESS_MIN: Final = 1.0
# The popularity of experts lasts about this long before it shifts.
POPULARITY_LASTS_S: Final = 3.0
_LOCKED_BY_OTHER: Final = "another coordinator holds locks"
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
        self._logged_reason = ""
        # Time and value of the last step that was read.
        self._step_read: tuple[float, int] | None = None
        self._steps_per_s = 0.0
        self._arm_s = _ARM_TIME_START_S

    async def run(self) -> None:
        """Coordinate until ranks stay unreachable or locked by another coordinator.

        A term that never held all locks ends when the first lock is refused.
        """
        last_complete_s = trio.current_time()
        was_complete = False
        while True:
            began_s = trio.current_time()
            members, states = await self._read_group()
            if members.is_complete(states):
                last_complete_s, was_complete = began_s, True
                await self._run_round(members, states)
            else:
                reason = self._incomplete_reason(states)
                self._log_round(reason, states)
                is_refused = reason == _LOCKED_BY_OTHER and not was_complete
                if is_refused or began_s - last_complete_s > INCOMPLETE_MAX_S:
                    await self._members.unlock()
                    return
            await trio.sleep_until(began_s + self._poll_s)

    async def _read_group(self) -> tuple[Members, States]:
        """Lock and read all ranks; call ranks whose agents do not answer directly."""
        with_maps = self._current_map is None
        states = await self._members.lock_and_read(
            with_counts=True, with_maps=with_maps
        )
        self._update_pace(states)
        size = len(self._members.addresses)
        missing = size - len(states)
        is_locked = all(state.locked for state in states.values())
        if missing == 0 or not is_locked or 2 * missing >= size:
            return self._members, states
        return await self._members.with_direct_clients(
            states, self._client_of, with_maps=with_maps
        )

    def _update_pace(self, states: States) -> None:
        """Measure how many steps the group begins in a second."""
        now = trio.current_time()
        step = max((state.report.step for state in states.values()), default=0)
        if self._step_read is not None:
            read_at, old_step = self._step_read
            elapsed_s = max(now - read_at, 1e-3)
            self._steps_per_s = max(0.0, (step - old_step) / elapsed_s)
        self._step_read = (now, step)

    def _incomplete_reason(self, states: States) -> str:
        if not all(state.locked for state in states.values()):
            return _LOCKED_BY_OTHER
        if len(states) < len(self._members.addresses):
            return "ranks did not answer"
        return "the group is not open in one epoch"

    def _log_round(self, reason: str, states: States) -> None:
        """Log why a round did not plan a map, once until the reason changes."""
        if reason == self._logged_reason:
            return
        self._logged_reason = reason
        missing = sorted(self._members.addresses.keys() - states.keys())
        events.log(
            events.Event.MAP_ROUND_SKIPPED,
            group=self._members.group,
            reason=reason,
            ranks=len(self._members.addresses),
            missing=len(missing),
            first_missing=missing[:_LOGGED_RANKS_MAX],
        )

    async def _run_round(self, members: Members, states: States) -> None:
        self._poll_s = POLL_S
        self._add_counts(states)
        if is_held_or_armed(states):
            await self._recover_if_stuck(members, states)
            return
        self._held_or_armed_since = None
        direct_max = max(1, int(DIRECT_MAX_RATIO * len(members.addresses)))
        if len(members.direct_clients) > direct_max:
            self._log_round("too many agents do not answer", states)
            return
        current = self._update_current_map(states)
        popularity = self._loads.popularity()
        if current is None or not popularity:
            self._log_round("the map in force or the counts are not known", states)
            return
        slowness = [
            max(SLOWNESS_MIN, state.report.slowness)
            for _, state in sorted(states.items())
        ]
        plan = plan_layers(current.layers, popularity, self._limits(states), slowness)
        if not self._is_worthwhile(plan):
            self._log_round("no change of the map saves enough", states)
            return
        self._log_round("", states)
        load_s = plan.rank_new_experts_max * self._model.expert_load_s
        events.log(
            events.Event.MAP_PLANNED,
            group=self._members.group,
            cost_before=round(plan.cost_before, 3),
            cost_after=round(plan.cost_after, 3),
            loads=plan.new_experts,
            load_ms=round(load_s * 1000),
            slowest=round(max(slowness), 2),
        )
        self._current_map = None
        result = await switch(
            members,
            states,
            plan.layers,
            load_s,
            old_layers=current.layers,
            steps_ahead=self._steps_ahead(),
        )
        if result is not None:
            self._arm_s = max(result.arm_s, (1 - _ARM_TIME_DECAY) * self._arm_s)
            self._current_map = _CurrentMap(result.version, current.epoch, plan.layers)
            await self._wait_until_in_force(result.version)

    async def _wait_until_in_force(self, version: int) -> None:
        """Wait until the own rank has switched; all ranks switch at the same step.

        A round before that would read all ranks to plan nothing.
        """
        with trio.move_on_after(IN_FORCE_WAIT_MAX_S):
            while True:
                state = await self._members.read_own()
                if state is None or state.report.version == version:
                    return
                await trio.sleep(IN_FORCE_POLL_S)

    def _steps_ahead(self) -> int:
        """Return how many steps the group makes while its ranks are armed."""
        steps = math.ceil(self._arm_s * self._steps_per_s) + 1
        return min(_STEPS_AHEAD_MAX, max(HOLD_STEPS_AHEAD_MIN, steps))

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

    async def _recover_if_stuck(self, members: Members, states: States) -> None:
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
        await recover(members, states)
