"""Order in which an entry's waiting requests get places at upstreams.

It is for services that are asked for more than they have places, for seconds: a burst
of one kind of request, or the backlog after a stall. Upstreams then have queues of
their own, in which urgent requests wait behind others and all become late, since the
oldest are served first. Requests therefore wait here while the upstreams' places are
taken. Urgent ones go first, then those that can still meet their objective, the one
whose objective ends first before the others; those that cannot go after them, newest
first, since the oldest are the next to be given up by their callers.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass
from typing import Final, Generic, TypeVar

from mustardfront.state import TrafficConfig

# One in so many upstreams keeps a slot free of the least urgent requests, so that more
# urgent ones find a place at once. They may otherwise wait for the end of a stream.
RESERVING_UPSTREAMS: Final = 4
# The part of the slots that is used at first, and the least: with fewer, requests wait
# for longer than the pauses gain. A stream that paused for too long weighs as much as
# twenty that did not.
PLACE_RATIO_MIN: Final = 0.8
PLACE_RATIO_FALL: Final = 0.04
PLACE_RATIO_RISE: Final = 0.002
ROUNDING_STEPS: Final = 16

HandleT = TypeVar("HandleT")


@dataclass(frozen=True, slots=True)
class Demand:
    """What the order depends on; times are in seconds of the queue's clock.

    ``priority`` 0 is first. ``objective_at`` is the latest time to start a request that
    meets its objective. ``is_resumed`` tells that its caller has got a part already.
    """

    priority: int
    objective_at: float
    arrived_at: float
    is_resumed: bool = False

    def rank(self, now_s: float) -> tuple[bool, int, bool, float]:
        """Return the sort key of the order; the lowest goes first."""
        is_late = now_s > self.objective_at
        within = -self.arrived_at if is_late else self.objective_at
        return not self.is_resumed, self.priority, is_late, within


class Waiter(Generic[HandleT]):
    """A request that waits; ``handle`` belongs to the caller of the queue."""

    __slots__ = ("demand", "handle")

    def __init__(self, demand: Demand, handle: HandleT) -> None:
        self.demand = demand
        self.handle = handle


class AdmissionQueue(Generic[HandleT]):
    """The requests of one service that wait in an entry; ``clock`` returns seconds."""

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._waiting: list[Waiter[HandleT]] = []

    def __len__(self) -> int:
        return len(self._waiting)

    @property
    def waiters(self) -> Sequence[Waiter[HandleT]]:
        """Return the requests that wait, in no particular order."""
        return self._waiting

    def add(self, waiter: Waiter[HandleT]) -> None:
        """Let a request wait."""
        self._waiting.append(waiter)

    def discard(self, waiter: Waiter[HandleT]) -> None:
        """Remove a request if it still waits."""
        if waiter in self._waiting:
            self._waiting.remove(waiter)

    def goes_first(self, demand: Demand) -> bool:
        """Return whether a request that arrives now goes before all that wait."""
        now_s = self._clock()
        own = demand.rank(now_s)
        return all(own < one.demand.rank(now_s) for one in self._waiting)

    def grant(
        self, place: Callable[[Waiter[HandleT]], bool], misses_max: int = 1
    ) -> int:
        """Give places in order until ``place(waiter)`` has failed ``misses_max`` times.

        Return how many got one.
        """
        now_s = self._clock()
        kept: list[Waiter[HandleT]] = []
        ordered = sorted(self._waiting, key=lambda one: one.demand.rank(now_s))
        for index, waiter in enumerate(ordered):
            if not place(waiter):
                kept.append(waiter)
            if len(kept) >= misses_max:
                kept += ordered[index + 1 :]
                break
        granted = len(ordered) - len(kept)
        self._waiting = kept
        return granted

    def count_by_priority(self) -> dict[int, int]:
        """Return how many requests of each priority wait."""
        counts: dict[int, int] = {}
        for one in self._waiting:
            counts[one.demand.priority] = counts.get(one.demand.priority, 0) + 1
        return counts


class PlaceRatio:
    """Part of the slots that is used, so that streams keep their pace.

    The more requests an engine runs, the longer the pauses between the events of each.
    The part falls with each stream that paused for too long, and rises with each that
    did not, as long as requests wait for a place.
    """

    def __init__(self) -> None:
        self.ratio = PLACE_RATIO_MIN

    def record_stream(self, *, is_in_pace: bool, has_waiting: bool) -> None:
        """Record a stream that has ended."""
        if not is_in_pace:
            self.ratio = max(PLACE_RATIO_MIN, self.ratio - PLACE_RATIO_FALL)
        elif has_waiting:
            self.ratio = min(1.0, self.ratio + PLACE_RATIO_RISE)


def place_limit(slots: int, key: int, ratio: float, *, is_least_urgent: bool) -> int:
    """Return the load from which on the upstream ``key`` gets no further request.

    ``ratio`` is the part of its slots to use; upstreams differ in how it is rounded.
    """
    limit = int(slots * ratio + (key % ROUNDING_STEPS) / ROUNDING_STEPS)
    is_reserving = is_least_urgent and key % RESERVING_UPSTREAMS == 0
    return max(1, limit - 1 if is_reserving else limit)


class PlaceTurns:
    """Which upstreams' free places this entry may take, until the next draw.

    All entries that have requests waiting learn of a free place at nearly the same
    time. Each takes it with the chance that its waiting requests are of all, so that
    one of them does, on average. ``draw_random`` returns numbers from 0 to 1.
    """

    def __init__(self, draw_random: Callable[[], float]) -> None:
        self._random = draw_random
        self._excluded: frozenset[int] = frozenset()

    def draw(self, keys: Iterable[int], own_waiting: int, others_waiting: int) -> None:
        """Draw anew for all upstreams."""
        if not others_waiting:
            self._excluded = frozenset()
            return
        share = max(1, own_waiting) / (max(1, own_waiting) + others_waiting)
        self._excluded = frozenset(key for key in keys if self._random() >= share)

    def may_take(self, key: int) -> bool:
        """Return whether this entry may take a free place at an upstream."""
        return key not in self._excluded


@dataclass(frozen=True, slots=True)
class AdmissionPolicy:
    """Whether requests of a service wait in the entries.

    ``least_urgent`` is the priority of its least urgent routes, None where they do not.
    """

    is_on: bool
    least_urgent: int | None = None


def admission_policy(cfg: TrafficConfig, service: str) -> AdmissionPolicy:
    """Return the policy of a service.

    Requests wait in the entries where some routes of a service with engines are more
    urgent than others. Where all are equal, waiting here gains nothing over waiting at
    the upstreams.
    """
    found = cfg.services.get(service)
    if found is None or found.engine is None:
        return AdmissionPolicy(False)
    priorities = {
        route.priority
        for route in cfg.routes
        if any(share.service == service for share in route.shares)
    }
    if len(priorities) > 1:
        return AdmissionPolicy(True, max(priorities))
    return AdmissionPolicy(False)
