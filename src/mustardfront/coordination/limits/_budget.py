"""Retry budget and the teams' in-flight limits."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Final

import trio

from mustardfront.codes import Code
from mustardfront.results import Err, Ok, Result

_WINDOW_S: Final = 10.0
_BUCKET_S: Final = 1.0


class RetryBudget:
    """Allows retries up to ``ratio`` of the requests of the last 10 s.

    ``minimum`` retries are allowed in each window, so a quiet entry can retry too.
    ``ratio`` and ``minimum`` may be changed at any time.
    """

    def __init__(self, ratio: float, minimum: int) -> None:
        self.ratio = ratio
        self.minimum = minimum
        # Each bucket: its start in seconds, requests, retries.
        self._buckets: deque[list[float]] = deque()

    def record_request(self) -> None:
        """Count a caller's request; its retries are not counted here."""
        self._current_bucket()[1] += 1

    def try_spend(self) -> bool:
        """Take one retry from the budget; return whether there was one."""
        bucket = self._current_bucket()
        requests = sum(item[1] for item in self._buckets)
        retries = sum(item[2] for item in self._buckets)
        if retries + 1 > self.minimum + self.ratio * requests:
            return False
        bucket[2] += 1
        return True

    def _current_bucket(self) -> list[float]:
        now = trio.current_time()
        while self._buckets and self._buckets[0][0] <= now - _WINDOW_S:
            self._buckets.popleft()
        if not self._buckets or self._buckets[-1][0] <= now - _BUCKET_S:
            self._buckets.append([now, 0, 0])
        return self._buckets[-1]


class TeamLimits:
    """Requests in flight by team at this entry."""

    def __init__(self) -> None:
        self._in_flight: dict[str, int] = {}

    def in_flight(self, team: str) -> int:
        """Return the number of a team's requests in flight."""
        return self._in_flight.get(team, 0)

    @contextmanager
    def hold(self, team: str, maximum: int) -> Iterator[Result[None]]:
        """Count a request while in the context; yield Err(TEAM_LIMIT) when over."""
        count = self._in_flight.get(team, 0)
        if count >= maximum:
            yield Err(Code.TEAM_LIMIT, f"team {team} has {count} requests in flight")
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
