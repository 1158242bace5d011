"""A first-in-first-out limit on the requests that run at a time."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from types import TracebackType

import trio

from mustardfront.codes import Code
from mustardfront.results import Err, Ok, Result


class Slot:
    """The right to run one request, until it is released."""

    def __init__(self, release: Callable[[], None]) -> None:
        self._release: Callable[[], None] | None = release

    def release(self) -> None:
        """Give the slot back; later calls do nothing."""
        release, self._release = self._release, None
        if release is not None:
            release()

    def __enter__(self) -> Slot:
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        exc: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self.release()


class FifoQueue:
    """Admits up to ``limit()`` requests; up to ``max_queued`` others wait in order."""

    def __init__(self, limit: Callable[[], int], max_queued: int) -> None:
        self._limit = limit
        self.max_queued = max_queued
        self.in_flight = 0
        self._waiting: deque[trio.Event] = deque()

    @property
    def queued(self) -> int:
        """Return how many requests wait."""
        return len(self._waiting)

    async def acquire(
        self, team: str, weight: int, priority: int, deadline_s: float
    ) -> Result[Slot]:
        """Wait for a slot until ``deadline_s`` in trio time."""
        if self._waiting or self.in_flight >= self._limit():
            if len(self._waiting) >= self.max_queued:
                return Err(Code.QUEUE_FULL, f"{len(self._waiting)} requests wait")
            turn = trio.Event()
            self._waiting.append(turn)
            admitted = False
            with trio.CancelScope(deadline=deadline_s):
                try:
                    await turn.wait()
                    admitted = True
                except trio.Cancelled:
                    # The turn may come after the cancellation, before this line.
                    if turn.is_set():
                        self._release()
                    else:
                        self._waiting.remove(turn)
                    raise
            if not admitted:
                return Err(Code.DEADLINE_UNREACHABLE, "no slot before the deadline")
        else:
            self.in_flight += 1
        return Ok(Slot(self._release))

    def _release(self) -> None:
        self.in_flight -= 1
        self.wake()

    def wake(self) -> None:
        """Admit waiting requests up to the limit, after it was raised."""
        while self._waiting and self.in_flight < self._limit():
            self.in_flight += 1
            self._waiting.popleft().set()
