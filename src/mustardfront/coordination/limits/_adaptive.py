"""A concurrency limit that follows the latency gradient."""

from __future__ import annotations

import math
from typing import Final

_TOLERANCE: Final = 1.5
_LONG_WEIGHT: Final = 0.01
_SMOOTHING: Final = 0.2
_FAILURE_FACTOR: Final = 0.9


class AdaptiveLimit:
    """Limit between ``minimum`` and ``maximum``, lowered as latency grows.

    It compares the latest latency with its long average; without growth, the limit
    rises by the square root of itself while at least half of it is used.
    """

    def __init__(self, initial: int, minimum: int, maximum: int) -> None:
        self._minimum = minimum
        self._maximum = maximum
        self._value = float(min(max(initial, minimum), maximum))
        self._long_s = 0.0

    @property
    def limit(self) -> int:
        """Return the number of requests that may run at a time."""
        return int(self._value)

    def observe(self, latency_s: float, in_flight: int, ok: bool) -> None:
        """Take one finished request into account; not ``ok`` means overload."""
        if not ok:
            self._set(self._value * _FAILURE_FACTOR)
            return
        if latency_s <= 0:
            return
        if not self._long_s:
            self._long_s = latency_s
        self._long_s += (latency_s - self._long_s) * _LONG_WEIGHT
        gradient = max(0.5, min(1.0, _TOLERANCE * self._long_s / latency_s))
        if gradient == 1.0 and in_flight * 2 < self._value:
            return
        target = self._value * gradient + math.sqrt(self._value)
        self._set(self._value + (target - self._value) * _SMOOTHING)

    def _set(self, value: float) -> None:
        self._value = min(max(value, self._minimum), self._maximum)
