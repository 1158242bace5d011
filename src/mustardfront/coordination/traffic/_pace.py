"""How long groups take to a first event, as one entry sees it.

It is for services with several groups: one slow rank slows all ranks of its group, and
one lost rank stops them, while the other groups keep their pace. New requests then go
to the other groups as far as these have room.
"""

from __future__ import annotations

import itertools
import math
from collections.abc import Callable
from typing import Final

# Weight of the newest sample in the moving average.
_SMOOTHING_WEIGHT: Final = 0.3
# A difference below this ratio is within what prompts of different lengths explain.
SLOW_RATIO_MIN: Final = 1.4
SLOW_RATIO_MAX: Final = 6.0
# Without new samples, the excess of a group's ratio halves in this time, so that the
# group is tried again.
FORGET_HALF_LIFE_S: Final = 1.0


class GroupPace:
    """Times to the first event by group; ``clock`` returns seconds."""

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._ids = itertools.count()
        self._usual_s: dict[str, float] = {}
        self._sampled_at: dict[str, float] = {}
        # Start times of the attempts that have no event yet, by group and attempt.
        self._waiting: dict[str, dict[int, float]] = {}

    def start(self, group: str) -> int:
        """Record that an attempt begins; return its number."""
        number = next(self._ids)
        if group:
            self._waiting.setdefault(group, {})[number] = self._clock()
        return number

    def record_first_event(self, group: str, number: int) -> None:
        """Record the first event of an attempt."""
        started_at = self._waiting.get(group, {}).pop(number, None)
        if started_at is not None:
            self._add_sample(group, self._clock() - started_at)

    def end(self, group: str, number: int) -> None:
        """Record that an attempt ended; without an event it took at least so long."""
        started_at = self._waiting.get(group, {}).pop(number, None)
        if started_at is None:
            return
        elapsed_s = self._clock() - started_at
        if elapsed_s > self._usual_s.get(group, math.inf):
            self._add_sample(group, elapsed_s)

    def slow_ratio(self, group: str, groups: frozenset[str]) -> float:
        """Return how much slower a group is than the fastest of ``groups``; 1 if not.

        A group without samples counts as fast.
        """
        times = {one: self._time_s(one) for one in groups}
        known = [time_s for time_s in times.values() if time_s > 0.0]
        own_s = times.get(group, 0.0)
        if len(known) < 2 or own_s <= 0.0:
            return 1.0
        ratio = min(SLOW_RATIO_MAX, own_s / min(known))
        age_s = self._clock() - self._sampled_at[group]
        ratio = 1.0 + (ratio - 1.0) * math.exp2(-age_s / FORGET_HALF_LIFE_S)
        return ratio if ratio >= SLOW_RATIO_MIN else 1.0

    def _time_s(self, group: str) -> float:
        """Return a group's usual time, or that of its longest waiting attempt."""
        usual_s = self._usual_s.get(group, 0.0)
        waiting = self._waiting.get(group)
        if not waiting or usual_s <= 0.0:
            return usual_s
        longest_s = self._clock() - min(waiting.values())
        if longest_s > SLOW_RATIO_MIN * usual_s:
            # A wait is as new as a sample.
            self._sampled_at[group] = self._clock()
        return max(usual_s, longest_s)

    def _add_sample(self, group: str, elapsed_s: float) -> None:
        usual_s = self._usual_s.get(group, elapsed_s)
        self._usual_s[group] = usual_s + _SMOOTHING_WEIGHT * (elapsed_s - usual_s)
        self._sampled_at[group] = self._clock()
