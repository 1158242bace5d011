"""Loads of a running group, its plan, and the switch to it."""

from __future__ import annotations

from math import ceil
from typing import Final

import msgspec
import trio

from mustardfront import events
from mustardfront.codes import Code
from mustardfront.coordination.balancing import BalanceSettings, Policy, make_policy
from mustardfront.coordination.expertmap._coordinator import (
    Coordinator,
    States,
    read_map,
    switch,
)
from mustardfront.results import Err, Ok, Result
from mustardfront.state import ExpertMap, Group, count_moves

# The step of a switch leaves this many times the transfer's expected time, and at
# least this long, so that ranks have voted before they reach it.
TRANSFER_MARGIN: Final = 2.0
SWITCH_MARGIN_S: Final = 2.0
# Step time to plan with until two readings of the ranks' steps are known.
STEP_S_DEFAULT: Final = 0.04


class Balance:
    """The balancing policy of one term, fed with the loads of the group's front."""

    def __init__(self, group: Group) -> None:
        self._group = group
        self._policy: Policy | None = None
        self._current: ExpertMap | None = None
        self._totals: list[list[float]] = []
        self._seen: tuple[float, int] | None = None
        self._margin = 1.0
        self.step_s = STEP_S_DEFAULT

    def _settings(self) -> BalanceSettings:
        group = self._group
        return BalanceSettings(
            len(group.ranks),
            group.slots_per_rank,
            group.expert_bytes,
            group.store_rate,
            self.step_s,
            group.skew_weight,
            group.cost_weight,
        )

    async def step(self, co: Coordinator, states: States) -> Result[bool]:
        """Read loads, plan, and switch when the policy wants to; Ok says it did."""
        front = states[co.ranks[0]]
        self._measure_step(front.step)
        if self._current is None or self._current.version != front.map_version:
            current = await read_map(co, co.ranks[0])
            if isinstance(current, Err):
                return current
            self._current = current.value
        loads = await self._read_loads(co)
        if isinstance(loads, Err):
            return loads
        if not loads.value:
            return Ok(False)
        if self._policy is None:
            self._policy = make_policy("default", self._settings())
        # Planning takes up to a tenth of a second, which requests must not wait for.
        new = await trio.to_thread.run_sync(
            self._policy, trio.current_time(), loads.value, self._current, False
        )
        if new is None:
            return Ok(False)
        return await self._switch(co, states, new)

    def _measure_step(self, step: int) -> None:
        now = trio.current_time()
        if self._seen is not None and step > self._seen[1] and now > self._seen[0]:
            self.step_s = (now - self._seen[0]) / (step - self._seen[1])
        self._seen = (now, step)

    async def _read_loads(self, co: Coordinator) -> Result[list[list[float]]]:
        """Return the tokens since the last reading; empty for the first one."""
        answer = (await co.ask({co.ranks[0]: ("loads", {})}))[co.ranks[0]]
        if isinstance(answer, Err):
            return answer
        try:
            totals = msgspec.convert(answer.value["layers"], list[list[float]])
        except (msgspec.ValidationError, KeyError) as exc:
            return Err(Code.BAD_MESSAGE, f"loads of the front rank: {exc}")
        shape = (self._group.layers, self._group.experts)
        if any((len(totals), len(row)) != shape for row in totals):
            return Err(Code.BAD_MESSAGE, f"loads are not of shape {shape}")
        before, self._totals = self._totals, totals
        if not before:
            return Ok([])
        # A restarted rank counts from 0 again; such a reading is left out.
        since = [
            [new - old for new, old in zip(row, earlier, strict=True)]
            for row, earlier in zip(totals, before, strict=True)
        ]
        return Ok(since if min(map(min, since)) >= 0 else [])

    async def _switch(
        self, co: Coordinator, states: States, new: ExpertMap
    ) -> Result[bool]:
        assert self._current is not None
        moves = sum(map(count_moves, self._current.layers, new.layers))
        transfer_s = moves * self._settings().move_s
        ahead_s = self._margin * (transfer_s * TRANSFER_MARGIN + SWITCH_MARGIN_S)
        step = max(state.step for state in states.values())
        step += max(1, ceil(ahead_s / self.step_s))
        events.log(
            events.Event.MAP_PLANNED,
            group=co.group,
            moves=moves,
            transfer_s=round(transfer_s, 3),
            step=step,
        )
        done = await switch(co, states, new, step)
        # Ranks that reached the step before their vote need more time the next time.
        switched = isinstance(done, Ok) and done.value
        self._margin = 1.0 if switched else min(16.0, self._margin * 2)
        return done
