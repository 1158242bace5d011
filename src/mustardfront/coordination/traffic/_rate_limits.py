"""Rates of requests that upstreams in need name, shared by all entries.

Entries do not ask each other before each request. Of a limit, a few entries, the same
ones in the view of all, each keep an equal share; the others send nothing.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

from mustardfront import events

# A limit with another value within this ratio is taken as unchanged.
CHANGE_RATIO_MIN: Final = 0.1


@dataclass(frozen=True, slots=True)
class RateLimitNotice:
    """An upstream's limit as one entry read it; None when it names none any more."""

    incarnation: str
    per_s: float | None


class RateLimits:
    """The limits that upstreams name; ``clock`` returns seconds."""

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._limits: dict[str, float] = {}

    def record(self, notice: RateLimitNotice, source: str) -> bool:
        """Take over a limit; return whether it changed."""
        per_s = notice.per_s
        if _is_same(self._limits.get(notice.incarnation), per_s):
            return False
        if per_s is None:
            del self._limits[notice.incarnation]
        else:
            self._limits[notice.incarnation] = per_s
        events.log(
            events.Event.RATE_LIMIT_CHANGED,
            upstream=notice.incarnation,
            per_s=per_s or 0.0,
            source=source,
        )
        return True


def _is_same(known: float | None, per_s: float | None) -> bool:
    if known is None or per_s is None:
        return known is per_s
    return abs(per_s - known) <= CHANGE_RATIO_MIN * known


def parse_rate_limit(value: bytes) -> float | None:
    """Return the requests a second that a header names, or None if it names none."""
    try:
        per_s = float(value)
    except ValueError:
        return None
    return per_s if math.isfinite(per_s) and per_s >= 0 else None
