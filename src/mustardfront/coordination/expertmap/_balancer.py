"""Planning of better maps from a running group's loads, and the switch to them."""

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
    switch_map,
)
from mustardfront.results import Err, Ok, Result
from mustardfront.state import ExpertMap, Group, count_moves

# A switch is set for a step that is ahead by this many times the expected duration of
# the weight transfer plus a fixed time, so that ranks vote before they reach it.
TRANSFER_MARGIN: Final = 2.0
SWITCH_MARGIN_S: Final = 2.0
# Assumed duration of a step until two readings of the front rank's step are known.
STEP_S_DEFAULT: Final = 0.04


class GroupBalancer:
    """The balancing policy of one term, fed with the loads that the front rank reports.

    The front rank is the group's first.
    """

    def __init__(self, group: Group) -> None:
        self._group = group
        self._policy: Policy | None = None
        self._current_map: ExpertMap | None = None
        self._token_totals: list[list[float]] = []
        # Time and step of the front rank's last reading.
        self._last_reading: tuple[float, int] | None = None
        self._lead_time_factor = 1.0
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

    async def plan_and_switch(self, co: Coordinator, states: States) -> Result[bool]:
        """Read loads, plan, and switch to the policy's new map, if any.

        Ok says whether the ranks voted for a switch.
        """
        front = states[co.ranks[0]]
        self._measure_step_duration(front.step)
        if self._current_map is None or self._current_map.version != front.map_version:
            current = await read_map(co, co.ranks[0])
            if isinstance(current, Err):
                return current
            self._current_map = current.value
        loads = await self._read_loads(co)
        if isinstance(loads, Err):
            return loads
        if not loads.value:
            return Ok(False)
        if self._policy is None:
            self._policy = make_policy("default", self._settings())
        # Planning takes up to 0.1 s, so a thread keeps it from delaying requests.
        new_map = await trio.to_thread.run_sync(
            self._policy, trio.current_time(), loads.value, self._current_map, False
        )
        if new_map is None:
            return Ok(False)
        return await self._switch(co, states, new_map)

    def _measure_step_duration(self, step: int) -> None:
        now = trio.current_time()
        if (
            self._last_reading is not None
            and step > self._last_reading[1]
            and now > self._last_reading[0]
        ):
            self.step_s = (now - self._last_reading[0]) / (step - self._last_reading[1])
        self._last_reading = (now, step)

    async def _read_loads(self, co: Coordinator) -> Result[list[list[float]]]:
        """Return the tokens of each expert of each layer since the last reading.

        The list is empty for the first reading and for one after a restart.
        """
        answer = (await co.send_orders({co.ranks[0]: ("loads", {})}))[co.ranks[0]]
        if isinstance(answer, Err):
            return answer
        try:
            totals = msgspec.convert(answer.value["layers"], list[list[float]])
        except (msgspec.ValidationError, KeyError) as exc:
            return Err(Code.BAD_MESSAGE, f"invalid loads of the front rank: {exc}")
        shape = (self._group.layers, self._group.experts)
        if any((len(totals), len(row)) != shape for row in totals):
            return Err(
                Code.BAD_MESSAGE,
                f"loads of the front rank are not of shape (layers, experts) {shape}",
            )
        earlier_totals, self._token_totals = self._token_totals, totals
        if not earlier_totals:
            return Ok([])
        # A restarted rank counts from 0 again, so its first differences are negative.
        tokens = [
            [new - old for new, old in zip(row, earlier_row, strict=True)]
            for row, earlier_row in zip(totals, earlier_totals, strict=True)
        ]
        return Ok(tokens if min(map(min, tokens)) >= 0 else [])

    async def _switch(
        self, co: Coordinator, states: States, new_map: ExpertMap
    ) -> Result[bool]:
        assert self._current_map is not None
        moves = sum(map(count_moves, self._current_map.layers, new_map.layers))
        transfer_s = moves * self._settings().move_s
        lead_time_s = self._lead_time_factor * (
            transfer_s * TRANSFER_MARGIN + SWITCH_MARGIN_S
        )
        step = max(state.step for state in states.values())
        step += max(1, ceil(lead_time_s / self.step_s))
        events.log(
            events.Event.MAP_PLANNED,
            group=co.group,
            moves=moves,
            transfer_s=round(transfer_s, 3),
            step=step,
        )
        done = await switch_map(co, states, new_map, step)
        # After a failed switch the next one gets more time, because ranks may have
        # reached the step before they voted.
        switched = isinstance(done, Ok) and done.value
        self._lead_time_factor = (
            1.0 if switched else min(16.0, self._lead_time_factor * 2)
        )
        return done
