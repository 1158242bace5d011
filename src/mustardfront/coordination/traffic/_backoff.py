"""Times in which upstreams want no requests, as they name them with a refusal."""

from __future__ import annotations

import math


def parse_retry_after(value: bytes) -> float | None:
    """Return the seconds that a ``Retry-After`` header names; None for none or a date.

    Fractions of a second are accepted.
    """
    try:
        delay_s = float(value)
    except ValueError:
        return None
    return delay_s if math.isfinite(delay_s) and delay_s >= 0 else None
