"""Times in which upstreams want no requests, as they name them with a refusal."""

from __future__ import annotations

import math
from collections.abc import Callable
from typing import Final

UPSTREAMS_MAX: Final = 4_096


class Backoffs:
    """Until when upstreams want no requests from here; ``clock`` returns seconds.

    They are kept by the name of the process, so that they outlast a lapsed
    announcement and end with the process.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._ends_at: dict[str, float] = {}

    def record(self, incarnation: str, delay_s: float) -> None:
        """Record that an upstream wants no requests for ``delay_s``."""
        now_s = self._clock()
        ends_at = max(now_s + delay_s, self._ends_at.pop(incarnation, 0.0))
        self._ends_at[incarnation] = ends_at
        if len(self._ends_at) > UPSTREAMS_MAX:
            self._ends_at = {
                name: end for name, end in self._ends_at.items() if end > now_s
            }

    def left_s(self, incarnation: str) -> float:
        """Return for how many seconds an upstream wants no requests; 0 if it does."""
        ends_at = self._ends_at.get(incarnation)
        return max(0.0, ends_at - self._clock()) if ends_at is not None else 0.0


def parse_retry_after(value: bytes) -> float | None:
    """Return the seconds that a ``Retry-After`` header names; None for none or a date.

    Fractions of a second are accepted.
    """
    try:
        delay_s = float(value)
    except ValueError:
        return None
    return delay_s if math.isfinite(delay_s) and delay_s >= 0 else None
