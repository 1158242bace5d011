"""Retry budget and limits on the requests in flight per team."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Final

import trio

from mustardfront.codes import Code
from mustardfront.results import Err, Ok, Result

# Requests and retries of this period count; they are summed in buckets of _BUCKET_S.
_WINDOW_S: Final = 10.0
_BUCKET_S: Final = 1.0


class RetryBudget:
    """Allows retries up to a ``ratio`` of the requests in the last 10 s.

    ``minimum`` further retries are allowed in the same period, so that an entry with
    little traffic can retry too.
    ``ratio`` and ``minimum`` may be changed at any time.
    """

    def __init__(self, ratio: float, minimum: int) -> None:
        self.ratio = ratio
        self.minimum = minimum
        # Each bucket is [start in seconds, requests, retries], the oldest first.
        self._buckets: deque[list[float]] = deque()

    def record_request(self) -> None:
        """Count a caller's request, once however often it is retried."""
        self._current_bucket()[1] += 1

    def try_spend(self) -> bool:
        """Return whether a retry is within the budget, and count it if so."""
        bucket = self._current_bucket()
        requests = sum(item[1] for item in self._buckets)
        retries = sum(item[2] for item in self._buckets)
        if retries + 1 > self.minimum + self.ratio * requests:
            return False
        bucket[2] += 1
        return True

    def _current_bucket(self) -> list[float]:
        """Drop expired buckets; return the newest one, created when needed."""
        now = trio.current_time()
        while self._buckets and self._buckets[0][0] <= now - _WINDOW_S:
            self._buckets.popleft()
        if not self._buckets or self._buckets[-1][0] <= now - _BUCKET_S:
            self._buckets.append([now, 0, 0])
        return self._buckets[-1]


class TeamLimits:
    """Counts the requests in flight of each team at this entry."""

    def __init__(self) -> None:
        self._in_flight: dict[str, int] = {}

    def in_flight(self, team: str) -> int:
        """Return the number of requests that a team has in flight."""
        return self._in_flight.get(team, 0)

    @contextmanager
    def admit(self, team: str, maximum: int) -> Iterator[Result[None]]:
        """Count a request during the context; yield Err(TEAM_LIMIT) at ``maximum``."""
        count = self._in_flight.get(team, 0)
        if count >= maximum:
            yield Err(
                Code.TEAM_LIMIT,
                f"team {team} is at its limit, {count} requests in flight",
            )
            return
        self._in_flight[team] = count + 1
        try:
            yield Ok(None)
        finally:
            remaining = self._in_flight[team] - 1
            if remaining:
                self._in_flight[team] = remaining
            else:
                del self._in_flight[team]
