"""Weighted fair queue by team in front of one upstream."""

from __future__ import annotations

import heapq
import itertools
from collections.abc import Callable
from types import TracebackType

import trio

from mustardfront.codes import Code
from mustardfront.results import Err, Ok, Result


class Slot:
    """The right to run one request; released once, also as a context manager."""

    __slots__ = ("_queue", "_released", "_started_at", "_team")

    def __init__(self, queue: FairQueue, team: str) -> None:
        self._queue = queue
        self._team = team
        self._started_at = trio.current_time()
        self._released = False

    def release(self) -> None:
        """Give the slot back; a second call does nothing."""
        if not self._released:
            self._released = True
            self._queue._release(self._team, trio.current_time() - self._started_at)

    def __enter__(self) -> Slot:
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        exc: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self.release()


class _Waiter:
    __slots__ = ("event", "outcome", "team")

    def __init__(self, team: str) -> None:
        self.team = team
        self.event = trio.Event()
        self.outcome: Result[Slot] | None = None


class FairQueue:
    """Grants up to ``limit()`` slots; waiting teams share them by weight."""

    def __init__(self, limit: Callable[[], int], max_queued: int) -> None:
        self._limit = limit
        self._max_queued = max_queued
        self._in_flight = 0
        self._order = itertools.count()
        self._virtual = 0.0
        self._tags: dict[str, float] = {}
        self._heap: list[tuple[float, int, int, _Waiter]] = []
        self._queued = 0

    @property
    def in_flight(self) -> int:
        """Return the number of slots that are held."""
        return self._in_flight

    @property
    def queued(self) -> int:
        """Return the number of requests that wait."""
        return self._queued

    async def acquire(
        self, team: str, weight: float, priority: int, deadline_s: float
    ) -> Result[Slot]:
        """Wait for a slot until ``deadline_s`` of trio's clock.

        Err(QUEUE_FULL), Err(DEADLINE_PASSED) or Err(SHED): the request did not run.
        """
        await trio.lowlevel.checkpoint()
        if deadline_s <= trio.current_time():
            return Err(Code.DEADLINE_PASSED, "its deadline had passed on arrival")
        if not self._queued and self._in_flight < self._limit():
            return Ok(self._grant(team))
        if self._queued >= self._max_queued:
            return Err(Code.QUEUE_FULL, f"{self._queued} requests wait already")
        waiter = _Waiter(team)
        tag = max(self._virtual, self._tags.get(team, 0.0)) + 1.0 / weight
        self._tags[team] = tag
        heapq.heappush(self._heap, (tag, -priority, next(self._order), waiter))
        self._queued += 1
        try:
            with trio.move_on_at(deadline_s):
                await waiter.event.wait()
        except BaseException:
            if waiter.outcome is None:
                self._forget(waiter)
            elif isinstance(waiter.outcome, Ok):
                waiter.outcome.value.release()
            raise
        if waiter.outcome is None:
            self._forget(waiter)
            return Err(Code.DEADLINE_PASSED, "its deadline passed in the queue")
        return waiter.outcome

    def _forget(self, waiter: _Waiter) -> None:
        waiter.outcome = Err(Code.CANCELLED, "no longer waits")
        self._queued -= 1

    def _grant(self, team: str) -> Slot:
        self._in_flight += 1
        return Slot(self, team)

    def _release(self, team: str, held_s: float) -> None:
        self._in_flight -= 1
        while self._heap and self._in_flight < self._limit():
            tag, _, _, waiter = heapq.heappop(self._heap)
            if waiter.outcome is not None:
                continue
            self._virtual = tag
            self._queued -= 1
            waiter.outcome = Ok(self._grant(waiter.team))
            waiter.event.set()
