"""Outlier ejection, return and slow start of one upstream."""

from __future__ import annotations

from collections import deque
from typing import Final

from mustardfront.coordination.routing._knobs import RoutingKnobs

NEVER = float("-inf")
# Beyond these a delay is at its limit, and an exponent from hours of failures would
# overflow.
DOUBLINGS_MAX: Final = 16


class Health:
    """Recent outcomes of an upstream, its ejection and its slow start."""

    __slots__ = (
        "_consecutive",
        "_outcomes",
        "ejected",
        "ejected_until",
        "ejections",
        "probing",
        "returned_at",
    )

    def __init__(self) -> None:
        self._outcomes: deque[tuple[float, bool]] = deque()
        self._consecutive = 0
        # An ejection counts against the bound until a request has succeeded again.
        self.ejected = False
        self.ejected_until = NEVER
        self.ejections = 0
        # While probing, one request at a time is sent until one succeeds.
        self.probing = False
        self.returned_at = NEVER

    def record(self, now: float, ok: bool, knobs: RoutingKnobs) -> bool:
        """Note an outcome; say whether the upstream should be ejected for it."""
        outcomes = self._outcomes
        outcomes.append((now, ok))
        while outcomes[0][0] < now - knobs.eject_window_s:
            outcomes.popleft()
        if ok:
            self._consecutive = 0
            return False
        self._consecutive += 1
        if self.probing or self._consecutive >= knobs.eject_failures_count:
            return True
        failed = sum(not outcome for _, outcome in outcomes)
        return (
            failed >= knobs.eject_failures_count
            and failed >= knobs.eject_failure_ratio * len(outcomes)
        )

    def eject(self, now: float, knobs: RoutingKnobs) -> float:
        """Eject for a time that doubles with each ejection in a row; return it."""
        doublings = min(self.ejections, DOUBLINGS_MAX)
        duration = min(knobs.eject_base_s * 2.0**doublings, knobs.eject_max_s)
        self.ejected = True
        self.ejected_until = now + duration
        self.ejections += 1
        self.probing = True
        self._consecutive = 0
        self._outcomes.clear()
        return duration

    def returned(self, now: float) -> None:
        """End the ejection and begin the slow start."""
        self.ejected = False
        self.ejected_until = NEVER
        self.ejections = 0
        self.probing = False
        self.returned_at = now

    def weight(self, now: float, knobs: RoutingKnobs) -> float:
        """Return the share of full load that the slow start allows, up to 1."""
        age = now - self.returned_at
        if age >= knobs.slow_start_s:
            return 1.0
        return max(knobs.slow_start_weight_min, age / knobs.slow_start_s)
