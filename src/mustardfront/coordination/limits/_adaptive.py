"""A concurrency limit that follows the latency gradient."""

from __future__ import annotations

import math
from typing import Final

# Latency may grow by this factor over its baseline before the limit falls.
TOLERANCE_RATIO: Final = 1.5
# One change of the limit is based on at least so many finished requests.
WINDOW_SAMPLES_MIN: Final = 10
# The baseline latency follows improvements fast and deterioration slowly, so that a
# lasting overload does not become the baseline.
_BASELINE_DOWN_WEIGHT: Final = 0.2
_BASELINE_UP_WEIGHT: Final = 0.01
_GRADIENT_MIN: Final = 0.5
_LIMIT_SMOOTHING: Final = 0.3
_FAILURE_FACTOR: Final = 0.9


class AdaptiveLimit:
    """Limit between ``minimum`` and ``maximum``, lowered as latency grows.

    It compares the mean latency of a window with the baseline. While latency does
    not grow, the limit rises by up to its square root in each window, but only when
    at least half of it was in use.
    """

    def __init__(self, initial: int, minimum: int, maximum: int) -> None:
        if not 1 <= minimum <= maximum:
            raise ValueError(f"limits {minimum} to {maximum} are not a range from 1")
        self._minimum = minimum
        self._maximum = maximum
        self._value = float(min(max(initial, minimum), maximum))
        self._baseline_s = 0.0
        self._sum_s = 0.0
        self._samples = 0
        self._failures = 0
        self._peak_in_flight = 0

    @property
    def limit(self) -> int:
        """Return the number of requests that may run at a time."""
        return int(self._value)

    def observe(self, latency_s: float, in_flight: int, ok: bool) -> None:
        """Record one finished request; ``ok`` is false when it failed by overload.

        ``latency_s`` should depend on the load and not on the length of the answer,
        such as the time to first token or the time between tokens.
        """
        self._peak_in_flight = max(self._peak_in_flight, in_flight)
        if not ok:
            self._failures += 1
        elif math.isfinite(latency_s) and latency_s > 0:
            self._sum_s += latency_s
            self._samples += 1
        window = max(WINDOW_SAMPLES_MIN, self.limit // 2)
        if self._samples + self._failures >= window:
            self._finish_window()

    def _finish_window(self) -> None:
        value = self._value
        if self._failures:
            share = self._failures / (self._samples + self._failures)
            value *= 1 - (1 - _FAILURE_FACTOR) * max(share, 0.5) * 2
        elif self._samples:
            value = self._next_value(self._sum_s / self._samples)
        self._value = min(max(value, self._minimum), self._maximum)
        self._sum_s, self._samples, self._failures = 0.0, 0, 0
        self._peak_in_flight = 0

    def _next_value(self, mean_s: float) -> float:
        baseline_s = self._baseline_s or mean_s
        gradient = max(_GRADIENT_MIN, min(1.0, TOLERANCE_RATIO * baseline_s / mean_s))
        weight = _BASELINE_DOWN_WEIGHT if mean_s < baseline_s else _BASELINE_UP_WEIGHT
        self._baseline_s = baseline_s + (mean_s - baseline_s) * weight
        if gradient == 1.0 and self._peak_in_flight * 2 < self._value:
            return self._value
        headroom = math.sqrt(self._value) if gradient == 1.0 else 0.0
        target = self._value * gradient + headroom
        return self._value + (target - self._value) * _LIMIT_SMOOTHING
