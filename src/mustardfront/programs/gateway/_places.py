"""Requests that wait in an entry for a place at an upstream, by service."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from typing import Final, TypeAlias

import trio

from mustardfront.coordination.traffic import (
    AdmissionQueue,
    Demand,
    PlaceRatio,
    Upstream,
    Waiter,
)

# Requests that get no place, because of where they may go, before the others are left
# to the next change.
MISSES_MAX: Final = 3


@dataclass(slots=True)
class PlaceWait:
    """One request's wait; ``find_place`` returns an upstream with a place for it.

    ``must_end`` tells whether there is a reason to refuse it. ``woken`` is set once it
    has a place, or such a reason. ``released`` is the key of an upstream that another
    request of this entry has just left.
    """

    find_place: Callable[[PlaceWait], Upstream | None]
    must_end: Callable[[], bool]
    woken: trio.Event = field(default_factory=trio.Event)
    upstream: Upstream | None = None
    released: int | None = None


_Queue: TypeAlias = AdmissionQueue[PlaceWait]


class PlaceQueues:
    """The queues of all services, which are woken by each change of the load."""

    def __init__(self, clock: Callable[[], float] = trio.current_time) -> None:
        self._clock = clock
        self._queues: dict[str, _Queue] = {}
        self._ratios: dict[str, PlaceRatio] = {}

    def ratio(self, service: str) -> float:
        """Return the part of the slots of a service's upstreams that is used."""
        return self._ratios.setdefault(service, PlaceRatio()).ratio

    def record_stream(self, service: str, *, is_in_pace: bool) -> None:
        """Record a stream that has ended, and whether its pauses were short enough."""
        ratio = self._ratios.setdefault(service, PlaceRatio())
        has_waiting = bool(self._queues.get(service))
        ratio.record_stream(is_in_pace=is_in_pace, has_waiting=has_waiting)

    def waiting_count(self) -> int:
        """Return how many requests wait."""
        return sum(len(queue) for queue in self._queues.values())

    def count_by_priority(self) -> dict[int, int]:
        """Return how many requests of each priority wait."""
        counts: dict[int, int] = {}
        for queue in self._queues.values():
            for priority, count in queue.count_by_priority().items():
                counts[priority] = counts.get(priority, 0) + count
        return counts

    def grant(self, service: str, released: int | None = None) -> None:
        """Give the places of a service that are free to the requests that wait.

        ``released`` is the key of the upstream that a request has just left.
        """
        queue = self._queues.get(service)
        if queue:
            queue.grant(partial(_try_place, released), MISSES_MAX)

    def grant_all(self) -> None:
        """Give the free places of all services."""
        for service in self._queues:
            self.grant(service)

    async def wait(
        self, service: str, demand: Demand, wait: PlaceWait, ends_at: float
    ) -> Upstream | None:
        """Wait for a place until ``ends_at``; return its upstream.

        The place is reserved until the call returns; the caller then counts its own
        request there.
        """
        if wait.must_end():
            return None
        queue = self._queues.setdefault(service, AdmissionQueue(self._clock))
        if queue.goes_first(demand):
            found = wait.find_place(wait)
            if found is not None:
                return found
        waiter = Waiter(demand, wait)
        queue.add(waiter)
        try:
            with trio.move_on_at(ends_at):
                await wait.woken.wait()
        finally:
            queue.discard(waiter)
            if wait.upstream is not None:
                wait.upstream.in_flight -= 1
        return wait.upstream


def _try_place(released: int | None, waiter: Waiter[PlaceWait]) -> bool:
    """Reserve a place for a request, or end its wait; return False if it must wait."""
    wait = waiter.handle
    if not wait.must_end():
        wait.released = released
        wait.upstream = wait.find_place(wait)
        if wait.upstream is None:
            return False
        wait.upstream.in_flight += 1
    wait.woken.set()
    return True
