"""Concurrency limit that adapts to the latency gradient."""

from __future__ import annotations

import math
from typing import Final

# The limit falls once the mean latency exceeds this multiple of the baseline.
TOLERANCE_RATIO: Final = 1.5
# The limit changes once per window, which is at least this many finished requests.
WINDOW_SAMPLES_MIN: Final = 10
# Weight of a window in the baseline latency, when the window is faster or slower than
# the baseline. A slow rise keeps a lasting overload from becoming the baseline.
_BASELINE_DOWN_WEIGHT: Final = 0.2
_BASELINE_UP_WEIGHT: Final = 0.01
# A slow window lowers the target to no less than this fraction of the limit.
_GRADIENT_MIN: Final = 0.5
# Fraction of the distance to the target that the limit moves after each window.
_LIMIT_SMOOTHING: Final = 0.3
# Factor on the limit when up to half of the requests in a window failed; beyond that
# the reduction grows with the failure ratio, to twice as much when all failed.
_FAILURE_FACTOR: Final = 0.9


class AdaptiveLimit:
    """Concurrency limit from ``minimum`` to ``maximum``, lowered as latency grows.

    The mean latency of each window of requests is compared with a baseline. While it
    stays within ``TOLERANCE_RATIO`` of the baseline, the limit rises by up to its
    square root per window, but only when at least half of it was in use. The limit
    also falls after a window in which requests failed by overload.
    """

    def __init__(self, initial: int, minimum: int, maximum: int) -> None:
        if not 1 <= minimum <= maximum:
            raise ValueError(
                f"limits must satisfy 1 <= minimum <= maximum: {minimum}, {maximum}"
            )
        self._minimum = minimum
        self._maximum = maximum
        self._limit = float(min(max(initial, minimum), maximum))
        self._baseline_s = 0.0
        self._latency_sum_s = 0.0
        self._latency_samples = 0
        self._failures = 0
        self._peak_in_flight = 0

    @property
    def limit(self) -> int:
        """Return the number of requests that may run concurrently."""
        return int(self._limit)

    def observe(self, latency_s: float, in_flight: int, ok: bool) -> None:
        """Record a finished request; ``ok`` is false when it failed by overload.

        ``latency_s`` should depend on the load and not on the length of the response:
        the time to first token, for example, or the time between tokens.
        """
        self._peak_in_flight = max(self._peak_in_flight, in_flight)
        if not ok:
            self._failures += 1
        elif math.isfinite(latency_s) and latency_s > 0:
            self._latency_sum_s += latency_s
            self._latency_samples += 1
        window = max(WINDOW_SAMPLES_MIN, self.limit // 2)
        if self._latency_samples + self._failures >= window:
            self._finish_window()

    def _finish_window(self) -> None:
        """Update the limit from the current window and start a new one."""
        limit = self._limit
        if self._failures:
            failure_ratio = self._failures / (self._latency_samples + self._failures)
            limit *= 1 - (1 - _FAILURE_FACTOR) * max(failure_ratio, 0.5) * 2
        elif self._latency_samples:
            limit = self._next_limit(self._latency_sum_s / self._latency_samples)
        self._limit = min(max(limit, self._minimum), self._maximum)
        self._latency_sum_s, self._latency_samples, self._failures = 0.0, 0, 0
        self._peak_in_flight = 0

    def _next_limit(self, mean_latency_s: float) -> float:
        """Return the limit after a window without failures; update the baseline."""
        baseline_s = self._baseline_s or mean_latency_s
        gradient = max(
            _GRADIENT_MIN, min(1.0, TOLERANCE_RATIO * baseline_s / mean_latency_s)
        )
        weight = (
            _BASELINE_DOWN_WEIGHT
            if mean_latency_s < baseline_s
            else _BASELINE_UP_WEIGHT
        )
        self._baseline_s = baseline_s + (mean_latency_s - baseline_s) * weight
        # An underused limit is not raised: the latency then says nothing about it.
        if gradient == 1.0 and self._peak_in_flight * 2 < self._limit:
            return self._limit
        headroom = math.sqrt(self._limit) if gradient == 1.0 else 0.0
        target = self._limit * gradient + headroom
        return self._limit + (target - self._limit) * _LIMIT_SMOOTHING
