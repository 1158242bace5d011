"""The project's policy: incremental moves that pay for themselves."""

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

# Tokens are summed over buckets; the median of the last ones forgets any flash that is
# shorter than half of the window, and a lasting shift shows after half of it.
BUCKET_S: Final = 4.0
WINDOW_BUCKETS: Final = 7
# Weight of the newest median in the decayed load.
DECAY: Final = 0.4
# The popularity is compared with that of this long ago to predict how long it lasts.
CHANGE_INTERVAL_S: Final = 60.0
# Share of the tokens that may go to other experts before a plan is no longer worth it.
CHANGE_TOLERATED: Final = 0.2
LASTS_MIN_S: Final = 60.0
LASTS_MAX_S: Final = 600.0
# Hysteresis: a smaller skew is left alone, and a smaller saving is not worth a switch.
SKEW_TRIGGER: Final = 0.06
SAVING_MIN: Final = 0.03
# Work bound of a plan, and how soon the layers are planned again.
STEPS_MAX: Final = 64
SKEW_GOAL: Final = 0.02
LAYERS_PER_CALL: Final = 8
REPLAN_S: Final = 12.0
# A map is in force only when all its moves are done, so a plan stays small.
BATCH_MAX_S: Final = 10.0
# Seconds of one skew unit that a switch costs, whatever it moves, and that loading
# every slot of a layer once costs beside the time of the transfer.
SWITCH_COST_S: Final = 0.5
FULL_PLAN_COST_S: Final = 120.0
# Moves are limited to a share of one full plan for each interval. The share follows the
# root of the weights' ratio, which keeps it within a factor of 3 for ratios up to 10.
BUDGET_INTERVAL_S: Final = 60.0
BUDGET_SHARE: Final = 0.034
BUDGET_SHARE_MIN: Final = 0.008
BUDGET_SHARE_MAX: Final = 0.065
BUDGET_BURST_S: Final = 240.0


class _LoadForecast:
    """The predicted share of each expert of one layer."""

    def __init__(self) -> None:
        self.shares: list[float] = []
        self.changed_at = 0.0
        self.lasts_s = LASTS_MIN_S
        self._window: deque[list[float]] = deque(maxlen=WINDOW_BUCKETS)
        self._earlier: list[float] = []

    def add(self, now: float, tokens: Sequence[float]) -> None:
        """Take in the tokens of one bucket."""
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
            self._compare(now)

    def _compare(self, now: float) -> None:
        pairs = zip(self.shares, self._earlier, strict=True)
        changed = sum([abs(new - old) for new, old in pairs]) / 2
        lasts = (now - self.changed_at) * CHANGE_TOLERATED / max(changed, 1e-6)
        self.lasts_s = min(LASTS_MAX_S, max(LASTS_MIN_S, lasts))
        self._earlier, self.changed_at = self.shares, now


class _MoveBudget:
    """A token bucket of moves for all layers; the weights set its rate."""

    def __init__(self, settings: BalanceSettings, layers: int) -> None:
        ratio = settings.skew_weight / max(settings.cost_weight, 1e-9)
        share = BUDGET_SHARE * math.sqrt(ratio)
        share = min(BUDGET_SHARE_MAX, max(BUDGET_SHARE_MIN, share))
        slots = layers * settings.ranks * settings.slots
        self._rate = share * slots / BUDGET_INTERVAL_S
        self._most = self._rate * BUDGET_BURST_S
        self._filled_at: float | None = None
        self.left = self._most

    def refill(self, now: float) -> None:
        """Add the moves allowed since the last call."""
        if self._filled_at is not None:
            added = (now - self._filled_at) * self._rate
            self.left = min(self._most, self.left + added)
        self._filled_at = now


@dataclass(frozen=True, slots=True)
class _Segment:
    """Steps of a layer up to ``count`` that are worth taking together."""

    index: int
    count: int
    moves: int
    value: float


def default_policy(settings: BalanceSettings) -> Policy:
    """Return the project's policy with its own state."""
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
        # A call refines a few layers, so that none takes long; the last one decides.
        end = min(layer + LAYERS_PER_CALL, len(loads))
        for index in range(layer, end):
            refined[index] = _refined(current.layers[index], forecasts[index], settings)
        layer = end % len(loads)
        if layer:
            return None
        planned_at = now
        budget.refill(now)
        return _plan_layers(current, forecasts, refined, settings, budget)

    return plan


def _refined(
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
            lasts_s = forecasts[index].lasts_s
            segments += _segments(index, skew, refined[index], lasts_s, settings)
    chosen: dict[int, int] = {}
    moves_max = min(budget.left, BATCH_MAX_S / settings.move_s)
    # A layer's segments have falling values, so they are taken in their order.
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


def _segments(
    index: int,
    skew: float,
    steps: Sequence[RefineStep],
    lasts_s: float,
    settings: BalanceSettings,
) -> list[_Segment]:
    """Return the worthwhile steps as segments of falling value for each move."""
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
            net = settings.skew_weight * saved * lasts_s - fixed - price * moves
            value = net / max(moves, 0.25)
            if value > best:
                best, best_count, best_moves = value, end + 1, moves
        if not best_count:
            break
        found.append(_Segment(index, best_count, best_moves, best))
        skew, count, fixed = steps[best_count - 1].skew, best_count, 0.0
    return found


def skew_of(layer: LayerMap, shares: Sequence[float]) -> float:
    """Return the slowest rank over the mean rank of a layer; 1 without tokens."""
    by_rank = rank_loads(layer, shares)
    total = sum(by_rank)
    return max(by_rank) * len(by_rank) / total if total else 1.0
