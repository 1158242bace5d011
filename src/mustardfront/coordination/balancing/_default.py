"""The project's policy: incremental moves that pay for themselves."""

from __future__ import annotations

from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Final

from mustardfront.coordination.balancing._policies import BalanceSettings, Policy
from mustardfront.coordination.balancing._refine import (
    RefineStep,
    apply_steps,
    refine,
)
from mustardfront.state import ExpertMap, LayerMap, Loads

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
# Work bound of a plan, and how soon a layer is planned again.
STEPS_MAX: Final = 48
REPLAN_S: Final = 12.0
# A map is in force only when all its moves are done, so a plan stays small.
BATCH_MAX_S: Final = 10.0
# Seconds of lost time that a switch costs a group, whatever it moves.
SWITCH_COST_S: Final = 0.01


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


@dataclass(frozen=True, slots=True)
class _LayerPlan:
    """The steps chosen for a layer, and their value for each second of transfer."""

    index: int
    steps: list[RefineStep]
    moves: int
    value: float


def default_policy(settings: BalanceSettings) -> Policy:
    """Return the project's policy with its own state."""
    sums: list[list[float]] = []
    forecasts: list[_LoadForecast] = []
    bucket_at: float | None = None
    planned_at = 0.0

    def plan(
        now: float, loads: Loads, current: ExpertMap, busy: bool
    ) -> ExpertMap | None:
        nonlocal sums, bucket_at, planned_at
        if bucket_at is None:
            bucket_at = planned_at = now
            forecasts.extend(_LoadForecast() for _ in loads)
        if now - bucket_at >= BUCKET_S and sums:
            bucket_at = now
            for forecast, tokens in zip(forecasts, sums, strict=True):
                forecast.add(now, tokens)
            sums = []
        sums = _added(sums, loads)
        if busy or now - planned_at < REPLAN_S or not forecasts[0].shares:
            return None
        planned_at = now
        return _plan_layers(current, forecasts, settings)

    return plan


def _added(sums: list[list[float]], loads: Loads) -> list[list[float]]:
    if not sums:
        return [list(tokens) for tokens in loads]
    return [
        [total + count for total, count in zip(row, tokens, strict=True)]
        for row, tokens in zip(sums, loads, strict=True)
    ]


def _plan_layers(
    current: ExpertMap, forecasts: Sequence[_LoadForecast], settings: BalanceSettings
) -> ExpertMap | None:
    plans = []
    for index, (layer, forecast) in enumerate(
        zip(current.layers, forecasts, strict=True)
    ):
        plan = _plan_layer(index, layer, forecast, settings, len(forecasts))
        if plan is not None:
            plans.append(plan)
    layers = list(current.layers)
    left_s = BATCH_MAX_S
    for plan in sorted(plans, key=lambda plan: -plan.value):
        transfer_s = plan.moves * settings.move_s
        if transfer_s > left_s and left_s < BATCH_MAX_S:
            continue
        left_s -= transfer_s
        layers[plan.index] = apply_steps(layers[plan.index], plan.steps)
    if not plans:
        return None
    return ExpertMap(current.version + 1, tuple(layers))


def _plan_layer(
    index: int,
    layer: LayerMap,
    forecast: _LoadForecast,
    settings: BalanceSettings,
    layers: int,
) -> _LayerPlan | None:
    """Return the steps with the best value, or None when none is worth its cost."""
    if not forecast.shares:
        return None
    skew = _skew(layer, forecast.shares)
    if skew < 1 + SKEW_TRIGGER:
        return None
    steps = refine(layer, forecast.shares, settings.slots, STEPS_MAX)
    best = 0.0
    chosen = moves = chosen_moves = 0
    for count, step in enumerate(steps, 1):
        moves += step.moves
        saved = skew - step.skew
        if saved < SAVING_MIN:
            continue
        transfer_s = moves * settings.move_s
        gain_s = saved * max(0.0, forecast.lasts_s - transfer_s) / layers
        cost_s = transfer_s + SWITCH_COST_S / layers
        value = settings.skew_weight * gain_s - settings.cost_weight * cost_s
        if value > best:
            best, chosen, chosen_moves = value, count, moves
    if not chosen:
        return None
    per_second = best / max(chosen_moves * settings.move_s, 1e-9)
    return _LayerPlan(index, steps[:chosen], chosen_moves, per_second)


def _skew(layer: LayerMap, shares: Sequence[float]) -> float:
    from mustardfront.state import rank_loads

    by_rank = rank_loads(layer, shares)
    return max(by_rank) * len(by_rank) / (sum(by_rank) or 1.0)
