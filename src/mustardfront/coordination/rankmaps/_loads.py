"""Recent popularity of experts, computed from the selection counts of ranks."""

from __future__ import annotations

import math
from collections.abc import Iterable
from typing import Final

from mustardfront.coordination.rankmaps._types import Counts

# Half-life of the weight of counts; popularity may shift every few seconds.
HALF_LIFE_S: Final = 0.35
# Weight of the counts of the whole past, so that an interval with few requests does
# not determine the popularity.
_PAST_WEIGHT: Final = 0.1


class CountDeltas:
    """Computes the counts that a rank added between two updates.

    Increments take a fraction of the bytes of the totals since the rank's start.
    """

    def __init__(self) -> None:
        self._born_ms: int | None = None
        self._counts: Counts = ()

    def update(self, born_ms: int, counts: Counts) -> Counts:
        """Return what a rank that started at ``born_ms`` added to its counts.

        The first update returns no counts, as its totals may be from long ago.
        """
        old_counts, old_born_ms = self._counts, self._born_ms
        self._born_ms, self._counts = born_ms, counts
        if old_born_ms is None:
            return ()
        if old_born_ms != born_ms or len(old_counts) != len(counts):
            return counts
        return tuple(
            max(0, new - old) for new, old in zip(counts, old_counts, strict=True)
        )


class DecayedLoads:
    """Exponentially decayed counts of all ranks of a group, by layer and expert.

    Each layer has ``experts`` experts.
    """

    def __init__(self, experts: int) -> None:
        self._experts = experts
        self.loads: list[list[float]] = []
        self._past: list[list[float]] = []
        self._added_at: float | None = None

    def add(self, now: float, ranks: Iterable[Counts]) -> None:
        """Add what each rank counted since its previous update, as read at ``now``."""
        non_empty = [counts for counts in ranks if counts]
        if not non_empty:
            return
        new_loads = self._by_layer(
            [float(sum(column)) for column in zip(*non_empty, strict=True)]
        )
        if not any(map(any, new_loads)):
            return
        elapsed_s = now - self._added_at if self._added_at is not None else 0.0
        self._added_at = now
        decay = math.exp2(-elapsed_s / HALF_LIFE_S)
        if not self.loads:
            self.loads = new_loads
            self._past = [list(row) for row in new_loads]
            return
        self.loads = _add_rows(
            [[load * decay for load in row] for row in self.loads], new_loads
        )
        self._past = _add_rows(self._past, new_loads)

    def _by_layer(self, counts: list[float]) -> list[list[float]]:
        size = self._experts
        return [counts[start : start + size] for start in range(0, len(counts), size)]

    def popularity(self) -> list[list[float]]:
        """Return each expert's share of its layer; empty before the first counts."""
        return [
            _blend(recent, past)
            for recent, past in zip(self.loads, self._past, strict=True)
        ]


def _blend(recent: list[float], past: list[float]) -> list[float]:
    recent_sum, past_sum = sum(recent) or 1.0, sum(past) or 1.0
    return [
        (1 - _PAST_WEIGHT) * new / recent_sum + _PAST_WEIGHT * old / past_sum
        for new, old in zip(recent, past, strict=True)
    ]


def _add_rows(sums: list[list[float]], rows: list[list[float]]) -> list[list[float]]:
    return [
        [total + count for total, count in zip(left, right, strict=True)]
        for left, right in zip(sums, rows, strict=True)
    ]
