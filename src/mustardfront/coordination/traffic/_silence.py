"""Timeout after which a request leaves a silent upstream for another one."""

from __future__ import annotations

from typing import Final

from mustardfront.state import RequestKind, TrafficRoute

# Weight of the newest sample in the moving average.
_SMOOTHING_WEIGHT: Final = 0.1
# An upstream counts as hanging after this multiple of the latency objective or of the
# service's usual time, whichever is longer.
_OBJECTIVE_FACTOR: Final = 2.5
_USUAL_TIME_FACTOR: Final = 5.0
# Callers abandon a silent stream after 2 s; the retry must start well before that.
_SILENCE_MAX_S: Final = 1.5
_NON_STREAM_MIN_S: Final = 0.4


class FirstEventTimes:
    """Moving average of the seconds to a first event or an answer, by service."""

    def __init__(self) -> None:
        self._usual_s: dict[str, float] = {}

    def add(self, service: str, elapsed_s: float) -> None:
        """Add the elapsed time of one request."""
        usual_s = self._usual_s.get(service, elapsed_s)
        self._usual_s[service] = usual_s + _SMOOTHING_WEIGHT * (elapsed_s - usual_s)

    def usual_s(self, service: str) -> float:
        """Return the average in seconds; 0 when none is known."""
        return self._usual_s.get(service, 0.0)


def silence_timeout_s(route: TrafficRoute, usual_s: float) -> float:
    """Return how long to wait for the first event, and between two events."""
    wanted_s = max(
        _OBJECTIVE_FACTOR * route.objective_ms / 1000, _USUAL_TIME_FACTOR * usual_s
    )
    if route.kind is RequestKind.STREAM:
        return min(_SILENCE_MAX_S, wanted_s)
    return min(route.timeout_ms / 1000 / 2, max(_NON_STREAM_MIN_S, wanted_s))
