"""Overload protection: concurrency limit, fair queue, retry budget, team limits."""

from mustardfront.coordination.limits._adaptive import (
    TOLERANCE_RATIO,
    WINDOW_SAMPLES_MIN,
    AdaptiveLimit,
)
from mustardfront.coordination.limits._budget import RetryBudget, TeamLimits
from mustardfront.coordination.limits._queue import RESERVE_RATIO, FairQueue, Slot

__all__ = [
    "RESERVE_RATIO",
    "TOLERANCE_RATIO",
    "WINDOW_SAMPLES_MIN",
    "AdaptiveLimit",
    "FairQueue",
    "RetryBudget",
    "Slot",
    "TeamLimits",
]
