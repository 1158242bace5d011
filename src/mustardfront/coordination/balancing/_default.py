"""The default policy: incremental moves whose benefit exceeds their cost."""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from typing import Final

from mustardfront.coordination.balancing._policies import (
    BalanceSettings,
    Policy,
    add_loads,
)
from mustardfront.coordination.balancing._refine import (
    RefineStep,
    apply_steps,
    refine,
)
from mustardfront.state import ExpertMap, LayerMap, Loads, rank_loads

# Tokens are summed over buckets. The median of the window ignores load spikes shorter
# than half of the window and follows a lasting shift after half of it.
BUCKET_S: Final = 4.0
WINDOW_BUCKETS: Final = 7
# Weight of the newest median in the exponential moving average of the load.
DECAY: Final = 0.4
# Interval between the two load distributions that are compared to predict how long
# the present one will persist.
CHANGE_INTERVAL_S: Final = 60.0
# Share of the tokens that may shift to other experts before a plan loses its value.
CHANGE_TOLERATED: Final = 0.2
PERSISTENCE_MIN_S: Final = 60.0
PERSISTENCE_MAX_S: Final = 600.0
# Hysteresis: layers below this excess skew are not refined, and a smaller saving does
# not justify a switch.
SKEW_TRIGGER: Final = 0.06
SAVING_MIN: Final = 0.03
# Limits on the work of a plan, and the minimum time between two plans.
STEPS_MAX: Final = 64
SKEW_GOAL: Final = 0.02
LAYERS_PER_CALL: Final = 8
REPLAN_S: Final = 12.0
# Limit on the transfer time of a plan: a map takes effect only after all its moves.
BATCH_MAX_S: Final = 10.0
# Costs, in seconds of one unit of skew: a fixed cost for each switch, and the cost of
# loading every slot of a layer once, in addition to the transfer time.
SWITCH_COST_S: Final = 0.5
FULL_PLAN_COST_S: Final = 120.0
# Each interval allows moves up to this share of a full plan. The share scales with the
# square root of the weights' ratio, which keeps it within a factor of 3 for ratios up
# to 10.
BUDGET_INTERVAL_S: Final = 60.0
BUDGET_SHARE: Final = 0.034
BUDGET_SHARE_MIN: Final = 0.008
BUDGET_SHARE_MAX: Final = 0.065
BUDGET_BURST_S: Final = 240.0


class _LoadForecast:
    """Predicted share of the tokens for each expert of one layer."""

    def __init__(self) -> None:
        self.shares: list[float] = []
        self.changed_at = 0.0
        self.persistence_s = PERSISTENCE_MIN_S
        self._window: deque[list[float]] = deque(maxlen=WINDOW_BUCKETS)
        self._earlier: list[float] = []

    def add(self, now: float, tokens: Sequence[float]) -> None:
        """Add the tokens of one bucket to the forecast."""
        total = sum(tokens)
        if not total:
            return
        self._window.append([count / total for count in tokens])
        if len(self._window) <= WINDOW_BUCKETS // 2:
            return
        middle = len(self._window) // 2
        medians = [sorted(row)[middle] for row in zip(*self._window, strict=True)]
        if not self.shares:
            self.shares = medians
            self._earlier, self.changed_at = medians, now
            return
        self.shares = [
            old + DECAY * (new - old)
            for old, new in zip(self.shares, medians, strict=True)
        ]
        if now - self.changed_at >= CHANGE_INTERVAL_S:
            self._update_persistence(now)

    def _update_persistence(self, now: float) -> None:
        pairs = zip(self.shares, self._earlier, strict=True)
        changed = sum([abs(new - old) for new, old in pairs]) / 2
        predicted_s = (now - self.changed_at) * CHANGE_TOLERATED / max(changed, 1e-6)
        self.persistence_s = min(PERSISTENCE_MAX_S, max(PERSISTENCE_MIN_S, predicted_s))
        self._earlier, self.changed_at = self.shares, now


class _MoveBudget:
    """Token bucket that limits the moves of all layers; the weights set its rate."""

    def __init__(self, settings: BalanceSettings, layers: int) -> None:
        ratio = settings.skew_weight / max(settings.cost_weight, 1e-9)
        share = BUDGET_SHARE * math.sqrt(ratio)
        share = min(BUDGET_SHARE_MAX, max(BUDGET_SHARE_MIN, share))
        slots = layers * settings.ranks * settings.slots
        self._rate = share * slots / BUDGET_INTERVAL_S
        self._capacity = self._rate * BUDGET_BURST_S
        self._filled_at: float | None = None
        self.left = self._capacity

    def refill(self, now: float) -> None:
        """Add the moves allowed since the last call."""
        if self._filled_at is not None:
            added = (now - self._filled_at) * self._rate
            self.left = min(self._capacity, self.left + added)
        self._filled_at = now


@dataclass(frozen=True, slots=True)
class _Segment:
    """Consecutive steps of a layer, ending before ``count``, to apply together.

    ``value`` is the net benefit for each move.
    """

    index: int
    count: int
    moves: int
    value: float


def default_policy(settings: BalanceSettings) -> Policy:
    """Return a new default policy with its own state."""
    sums: list[list[float]] = []
    forecasts: list[_LoadForecast] = []
    refined: dict[int, list[RefineStep]] = {}
    budget: _MoveBudget | None = None
    layer = 0
    base: ExpertMap | None = None
    bucket_at = planned_at = 0.0

    def plan(
        now: float, loads: Loads, current: ExpertMap, busy: bool
    ) -> ExpertMap | None:
        nonlocal sums, bucket_at, planned_at, budget, layer, base
        if budget is None:
            bucket_at = planned_at = now
            budget = _MoveBudget(settings, len(loads))
            forecasts.extend(_LoadForecast() for _ in loads)
        if now - bucket_at >= BUCKET_S and sums:
            bucket_at = now
            for forecast, tokens in zip(forecasts, sums, strict=True):
                forecast.add(now, tokens)
            sums = []
        sums = add_loads(sums, loads)
        if (
            busy
            or now - planned_at < REPLAN_S
            or not any(forecast.shares for forecast in forecasts)
        ):
            return None
        if base is not current:
            base, layer = current, 0
        # Each call refines only a few layers to stay short; the call that reaches the
        # last layer plans the moves.
        end = min(layer + LAYERS_PER_CALL, len(loads))
        for index in range(layer, end):
            refined[index] = _refine_layer(
                current.layers[index], forecasts[index], settings
            )
        layer = end % len(loads)
        if layer:
            return None
        planned_at = now
        budget.refill(now)
        return _plan_layers(current, forecasts, refined, settings, budget)

    return plan


def _refine_layer(
    layer: LayerMap, forecast: _LoadForecast, settings: BalanceSettings
) -> list[RefineStep]:
    shares = forecast.shares
    if not shares or skew_of(layer, shares) < 1 + SKEW_TRIGGER:
        return []
    return refine(layer, shares, settings.slots, STEPS_MAX, 1 + SKEW_GOAL)


def _plan_layers(
    current: ExpertMap,
    forecasts: Sequence[_LoadForecast],
    refined: Mapping[int, Sequence[RefineStep]],
    settings: BalanceSettings,
    budget: _MoveBudget,
) -> ExpertMap | None:
    segments: list[_Segment] = []
    for index, layer in enumerate(current.layers):
        if refined[index]:
            skew = skew_of(layer, forecasts[index].shares)
            persistence_s = forecasts[index].persistence_s
            segments += _worthwhile_segments(
                index, skew, refined[index], persistence_s, settings
            )
    chosen: dict[int, int] = {}
    moves_max = min(budget.left, BATCH_MAX_S / settings.move_s)
    # The values of a layer's segments decrease, so sorting keeps their order.
    for segment in sorted(segments, key=lambda segment: -segment.value):
        if segment.moves > moves_max:
            break
        moves_max -= segment.moves
        budget.left -= segment.moves
        chosen[segment.index] = segment.count
    if not chosen:
        return None
    layers = list(current.layers)
    for index, count in chosen.items():
        layers[index] = apply_steps(layers[index], refined[index][:count])
    return ExpertMap(current.version + 1, tuple(layers))


def _worthwhile_segments(
    index: int,
    skew: float,
    steps: Sequence[RefineStep],
    persistence_s: float,
    settings: BalanceSettings,
) -> list[_Segment]:
    """Return the worthwhile steps as segments of decreasing value per move."""
    move_cost_s = settings.move_s + FULL_PLAN_COST_S / settings.ranks / settings.slots
    price = settings.cost_weight * move_cost_s
    found: list[_Segment] = []
    count = 0
    fixed = settings.cost_weight * SWITCH_COST_S
    while count < len(steps):
        best, best_count, best_moves = 0.0, 0, 0
        moves = 0
        for end in range(count, len(steps)):
            moves += steps[end].moves
            saved = skew - steps[end].skew
            if not found and saved < SAVING_MIN:
                continue
            net = settings.skew_weight * saved * persistence_s - fixed - price * moves
            value = net / max(moves, 0.25)
            if value > best:
                best, best_count, best_moves = value, end + 1, moves
        if not best_count:
            break
        found.append(_Segment(index, best_count, best_moves, best))
        skew, count, fixed = steps[best_count - 1].skew, best_count, 0.0
    return found


def skew_of(layer: LayerMap, shares: Sequence[float]) -> float:
    """Return the highest rank load over the mean one of a layer; 1 without tokens."""
    by_rank = rank_loads(layer, shares)
    total = sum(by_rank)
    return max(by_rank) * len(by_rank) / total if total else 1.0
