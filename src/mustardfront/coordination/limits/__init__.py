"""Limits and overload policy: concurrency, fair queue, retries, team limits."""

from mustardfront.coordination.limits._adaptive import AdaptiveLimit
from mustardfront.coordination.limits._budget import RetryBudget, TeamLimits
from mustardfront.coordination.limits._queue import FairQueue, Slot

__all__ = ["AdaptiveLimit", "FairQueue", "RetryBudget", "Slot", "TeamLimits"]
