"""A monotonic clock that keeps running while the host is suspended."""

from __future__ import annotations

import time


def boottime_clock() -> float:
    """Return seconds of a monotonic clock that includes time in suspension."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)
