"""The recent popularity of experts from the counts that ranks keep."""

from __future__ import annotations

import math
from collections.abc import Iterable
from typing import Final

from mustardfront.coordination.rankmaps._types import Counts

# Counts lose half of their weight in this time; popularity may shift every few seconds.
HALF_LIFE_S: Final = 0.35
# Counts of the whole past keep this share, so that a quiet moment decides nothing.
_PAST_SHARE: Final = 0.1


class CountsSince:
    """What a rank counted since the last reading.

    Differences take a fraction of the bytes that counts since the rank's start take.
    """

    def __init__(self) -> None:
        self._born_ms: int | None = None
        self._counts: Counts = ()

    def read(self, born_ms: int, counts: Counts) -> Counts:
        """Return the new counts of a rank that started at ``born_ms``.

        The first reading has none: what was counted before may be long past.
        """
        earlier, known = self._counts, self._born_ms
        self._born_ms, self._counts = born_ms, counts
        if known is None:
            return ()
        if known != born_ms or len(earlier) != len(counts):
            return counts
        return tuple(
            max(0, new - old) for new, old in zip(counts, earlier, strict=True)
        )


class LoadWindow:
    """Decayed counts of all ranks of a group, by layer and expert.

    Each layer has ``experts`` experts.
    """

    def __init__(self, experts: int) -> None:
        self._experts = experts
        self.loads: list[list[float]] = []
        self._past: list[list[float]] = []
        self._added_at: float | None = None

    def add(self, now: float, ranks: Iterable[Counts]) -> None:
        """Take in what each rank counted since its last reading, as read at ``now``."""
        known = [counts for counts in ranks if counts]
        if not known:
            return
        fresh = self._rows([float(sum(column)) for column in zip(*known, strict=True)])
        if not any(map(any, fresh)):
            return
        elapsed_s = now - self._added_at if self._added_at is not None else 0.0
        self._added_at = now
        keep = math.exp2(-elapsed_s / HALF_LIFE_S)
        if not self.loads:
            self.loads = fresh
            self._past = [list(row) for row in fresh]
            return
        self.loads = _added([[one * keep for one in row] for row in self.loads], fresh)
        self._past = _added(self._past, fresh)

    def _rows(self, counts: list[float]) -> list[list[float]]:
        size = self._experts
        return [counts[at : at + size] for at in range(0, len(counts), size)]

    def popularity(self) -> list[list[float]]:
        """Return each expert's share of its layer; empty before the first counts."""
        return [
            _mixed(recent, past)
            for recent, past in zip(self.loads, self._past, strict=True)
        ]


def _mixed(recent: list[float], past: list[float]) -> list[float]:
    recent_sum, past_sum = sum(recent) or 1.0, sum(past) or 1.0
    return [
        (1 - _PAST_SHARE) * new / recent_sum + _PAST_SHARE * old / past_sum
        for new, old in zip(recent, past, strict=True)
    ]


def _added(sums: list[list[float]], rows: list[list[float]]) -> list[list[float]]:
    return [
        [total + count for total, count in zip(left, right, strict=True)]
        for left, right in zip(sums, rows, strict=True)
    ]
