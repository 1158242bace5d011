"""Outlier ejection, probing and slow start of an upstream."""

from __future__ import annotations

from collections import deque
from typing import Final

from mustardfront.coordination.routing._knobs import RoutingKnobs

NEVER = float("-inf")
# Bounds the exponent of back-off delays, which would overflow after hours of
# failures. With this many doublings the delays are at their maximum anyway.
BACKOFF_DOUBLINGS_MAX: Final = 16


class Health:
    """Recent outcomes of an upstream, its ejection and its slow start."""

    __slots__ = (
        "_consecutive_failures",
        "_outcomes",
        "ejected",
        "ejected_until",
        "ejections",
        "probing",
        "returned_at",
    )

    def __init__(self) -> None:
        self._outcomes: deque[tuple[float, bool]] = deque()
        self._consecutive_failures = 0
        # Stays set after ``ejected_until`` until a request succeeds. Counts towards the
        # maximum share of ejected upstreams.
        self.ejected = False
        self.ejected_until = NEVER
        self.ejections = 0
        # While probing, the upstream gets one request at a time until one succeeds.
        self.probing = False
        self.returned_at = NEVER

    def record_outcome(self, now: float, succeeded: bool, knobs: RoutingKnobs) -> bool:
        """Record an outcome; return whether the upstream should be ejected now."""
        outcomes = self._outcomes
        outcomes.append((now, succeeded))
        while outcomes[0][0] < now - knobs.eject_window_s:
            outcomes.popleft()
        if succeeded:
            self._consecutive_failures = 0
            return False
        self._consecutive_failures += 1
        if self.probing or self._consecutive_failures >= knobs.eject_failures_count:
            return True
        failures = sum(not outcome for _, outcome in outcomes)
        return (
            failures >= knobs.eject_failures_count
            and failures >= knobs.eject_failure_ratio * len(outcomes)
        )

    def eject(self, now: float, knobs: RoutingKnobs) -> float:
        """Eject the upstream and return for how many seconds.

        The time doubles with each consecutive ejection.
        """
        doublings = min(self.ejections, BACKOFF_DOUBLINGS_MAX)
        duration_s = min(knobs.eject_base_s * 2.0**doublings, knobs.eject_max_s)
        self.ejected = True
        self.ejected_until = now + duration_s
        self.ejections += 1
        self.probing = True
        self._consecutive_failures = 0
        self._outcomes.clear()
        return duration_s

    def begin_slow_start(self, now: float) -> None:
        """End any ejection and begin the slow start."""
        self.ejected = False
        self.ejected_until = NEVER
        self.ejections = 0
        self.probing = False
        self.returned_at = now

    def slow_start_weight(self, now: float, knobs: RoutingKnobs) -> float:
        """Return the fraction of the full load that the slow start allows, up to 1."""
        elapsed_s = now - self.returned_at
        if elapsed_s >= knobs.slow_start_s:
            return 1.0
        return max(knobs.slow_start_weight_min, elapsed_s / knobs.slow_start_s)
