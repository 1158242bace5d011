"""Weighted fair queue in front of one upstream, with one flow per team."""

from __future__ import annotations

import bisect
import heapq
import itertools
from collections.abc import Callable
from types import TracebackType
from typing import Final

import trio

from mustardfront.codes import Code
from mustardfront.results import Err, Ok, Result

# Weight of the latest release in the moving average of the time that a slot is held.
_HOLD_TIME_SMOOTHING: Final = 0.05
# Releases that the average needs before it is used to predict waits.
_HOLD_TIME_SAMPLES_MIN: Final = 8
# Fraction of the slots that is reserved for teams holding less than their share.
RESERVE_RATIO: Final = 0.125
# A team counts as active for this long after its last request arrived.
_TEAM_ACTIVE_S: Final = 30.0
_PURGE_INTERVAL_S: Final = 1.0
# A team may also take reserved slots until it holds this multiple of the reserve, as
# the requests of a small team come in bursts that exceed its share.
_RESERVE_BURST_RATIO: Final = 2


class Slot:
    """Permission to run one request, to be released; also a context manager."""

    __slots__ = ("_charged_s", "_granted_at", "_queue", "_team")

    def __init__(self, queue: FairQueue, team: _TeamState, charged_s: float) -> None:
        self._queue: FairQueue | None = queue
        self._team = team
        self._charged_s = charged_s
        self._granted_at = trio.current_time()

    def release(self) -> None:
        """Release the slot; repeated calls do nothing."""
        queue, self._queue = self._queue, None
        if queue is not None:
            held_s = trio.current_time() - self._granted_at
            queue._release_slot(self._team, held_s, self._charged_s)

    def __enter__(self) -> Slot:
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self.release()


class _TeamState:
    """A team's waiting requests and the slot time charged to it."""

    __slots__ = ("in_flight", "seen_at", "used_s", "waiting", "weight")

    def __init__(self, used_s: float) -> None:
        self.weight = 1.0
        # Slot time charged so far, each charge divided by the weight at that time. The
        # team with the least of it is served next.
        self.used_s = used_s
        # When the latest request arrived, in seconds of trio's clock.
        self.seen_at = 0.0
        self.in_flight = 0
        # Sorted in the order of service: highest priority first, then the oldest.
        self.waiting: list[_Waiter] = []


class _Waiter:
    """A waiting request; ``event`` is set once it is granted a slot or shed."""

    __slots__ = ("event", "result", "sort_key", "team")

    def __init__(self, team: _TeamState, priority: int, sequence: int) -> None:
        self.team = team
        self.sort_key = (-priority, sequence)
        self.event = trio.Event()
        self.result: Result[Slot] | None = None


def _sort_key(waiter: _Waiter) -> tuple[int, int]:
    return waiter.sort_key


class FairQueue:
    """Grants up to ``limit()`` slots; waiting teams share slot time by weight.

    The next slot goes to the waiting team with the least slot time in proportion to
    its weight, and within the team to the request of the highest priority (a larger
    number is more important). An idle team accrues no claim to later slots.

    A fraction ``reserve_ratio`` of the slots is granted only to teams that hold less
    than their share, so that a small team need not wait for the long requests of a
    large one to finish. A team that has been the only active one for 30 s may use all
    slots.

    ``max_queued`` may be changed at any time. When ``limit()`` rises other than at a
    release, call ``grant_free_slots`` to use the added slots.
    """

    def __init__(
        self,
        limit: Callable[[], int],
        max_queued: int,
        reserve_ratio: float = RESERVE_RATIO,
    ) -> None:
        self.max_queued = max_queued
        self._reserve_ratio = reserve_ratio
        # Sum of the weights of the active teams.
        self._active_weight_sum = 0.0
        # Heap of (slot time, sequence, team). Entries may be stale; ``_pop_next_team``
        # skips those.
        self._team_heap: list[tuple[float, int, _TeamState]] = []
        self._last_purge_at = 0.0
        self._limit = limit
        self._in_flight = 0
        self._queued = 0
        # Orders requests by arrival, and heap entries of equal slot time by age.
        self._sequence = itertools.count()
        self._teams: dict[str, _TeamState] = {}
        # Highest slot time of a team at a grant, before the charge. New and idle teams
        # start from at least this value, so they hold no claim for idle time.
        self._virtual_time_s = 0.0
        self._mean_hold_s = 0.0
        self._hold_samples = 0

    @property
    def in_flight(self) -> int:
        """Return the number of slots that are held."""
        return self._in_flight

    @property
    def queued(self) -> int:
        """Return the number of waiting requests."""
        return self._queued

    async def acquire(
        self, team: str, weight: float, priority: int, deadline_s: float
    ) -> Result[Slot]:
        """Wait for a slot until ``deadline_s`` on trio's clock.

        Each error guarantees that the request did not run: DEADLINE_PASSED,
        DEADLINE_UNREACHABLE when the predicted wait is too long, QUEUE_FULL, and SHED
        when the request was dropped from a full queue in favour of one of higher
        priority or of a team with fewer waiting requests in proportion to its weight.
        """
        await trio.lowlevel.checkpoint()
        now = trio.current_time()
        if deadline_s <= now:
            return Err(
                Code.DEADLINE_PASSED, "the deadline had passed when the request arrived"
            )
        team_state = self._update_team(team, weight)
        if not self._queued and self._can_grant_slot(team_state):
            return Ok(self._grant_slot(team_state))
        waiter = _Waiter(team_state, priority, next(self._sequence))
        error = self._check_deadline(waiter, deadline_s - now) or self._shed_if_full(
            waiter
        )
        if error is not None:
            return error
        bisect.insort(team_state.waiting, waiter, key=_sort_key)
        self._queued += 1
        if len(team_state.waiting) == 1:
            self._push_team(team_state)
        self.grant_free_slots()
        try:
            with trio.move_on_at(deadline_s):
                await waiter.event.wait()
        except BaseException:
            # Cancelled after the slot was granted: return it instead of leaking it.
            if isinstance(waiter.result, Ok):
                waiter.result.value.release()
            raise
        finally:
            if waiter.result is None:
                self._dequeue(waiter)
        return waiter.result or Err(
            Code.DEADLINE_PASSED, "the deadline passed while the request was queued"
        )

    def grant_free_slots(self) -> None:
        """Grant free slots to waiting requests."""
        skipped: list[_TeamState] = []
        while self._queued and self._in_flight < self._limit():
            team = self._pop_next_team()
            if team is None:
                break
            if not self._can_grant_slot(team):
                skipped.append(team)
                continue
            waiter = team.waiting[0]
            self._dequeue(waiter)
            waiter.result = Ok(self._grant_slot(team))
            waiter.event.set()
        for team in skipped:
            self._push_team(team)

    def _pop_next_team(self) -> _TeamState | None:
        """Pop the waiting team with the least slot time; None when there is none."""
        while self._team_heap:
            used_s, _, team = heapq.heappop(self._team_heap)
            # Stale entries: the team's slot time has changed, or it no longer waits.
            if team.waiting and used_s == team.used_s:
                return team
        return None

    def _push_team(self, team: _TeamState) -> None:
        """Push a team onto the heap by its current slot time if it has waiters."""
        if not team.waiting:
            return
        heapq.heappush(self._team_heap, (team.used_s, next(self._sequence), team))
        # Rebuild the heap before stale entries dominate it.
        if len(self._team_heap) > 4 * len(self._teams) + 64:
            self._team_heap = [
                (team.used_s, next(self._sequence), team)
                for team in self._teams.values()
                if team.waiting
            ]
            heapq.heapify(self._team_heap)

    def _can_grant_slot(self, team: _TeamState) -> bool:
        """Return whether there is a free slot that is not reserved for other teams."""
        limit = self._limit()
        if self._in_flight >= limit:
            return False
        reserve = int(limit * self._reserve_ratio)
        if self._in_flight < limit - reserve:
            return True
        share = limit * team.weight / self._active_weight_sum
        return team.in_flight + 1 <= max(share, _RESERVE_BURST_RATIO * reserve)

    def _predict_wait_s(
        self, team: _TeamState | None, weight: float, own_ahead: int
    ) -> float:
        """Predict a wait behind ``own_ahead`` requests of the same team."""
        if self._hold_samples < _HOLD_TIME_SAMPLES_MIN:
            return 0.0
        # Each round serves every waiting team as many requests as its weight.
        rounds = (own_ahead + 1) / weight
        ahead = own_ahead + sum(
            min(len(other.waiting), rounds * other.weight)
            for other in self._teams.values()
            if other is not team
        )
        # While all slots are held, one is released every mean hold time / limit.
        return (ahead + 1) * self._mean_hold_s / max(1, self._limit())

    def _check_deadline(self, waiter: _Waiter, time_left_s: float) -> Err | None:
        """Return an Err if the predicted wait exceeds the time left."""
        team = waiter.team
        # Skip the prediction when there is time to serve the whole queue first.
        if self._mean_hold_s * (self._queued + 1) <= time_left_s * self._limit():
            return None
        own_ahead = bisect.bisect_left(team.waiting, waiter.sort_key, key=_sort_key)
        wait_s = self._predict_wait_s(team, team.weight, own_ahead)
        if wait_s <= time_left_s:
            return None
        text = (
            f"the predicted wait is {wait_s:.1f} s, the deadline in {time_left_s:.1f} s"
        )
        return Err(Code.DEADLINE_UNREACHABLE, text)

    def _shed_if_full(self, waiter: _Waiter) -> Err | None:
        """Shed the least important request if full; Err if that is ``waiter``."""
        if self._queued < self.max_queued:
            return None
        queue_full = Err(
            Code.QUEUE_FULL, f"the queue is full, {self._queued} requests are waiting"
        )
        if not self._queued:
            return queue_full
        # Select the lowest priority, then the team with the longest queue in proportion
        # to its weight, then the latest arrival.
        candidate = max(
            (team.waiting[-1] for team in self._teams.values() if team.waiting),
            key=lambda last: (
                last.sort_key[0],
                _weighted_backlog(last.team, 0),
                last.sort_key[1],
            ),
        )
        if candidate.sort_key[0] < waiter.sort_key[0]:
            return queue_full
        # At equal priority, shed only from a team whose queue is longer in proportion
        # to its weight than that of ``waiter``'s team would become.
        if candidate.sort_key[0] == waiter.sort_key[0] and _weighted_backlog(
            candidate.team, 0
        ) <= _weighted_backlog(waiter.team, 1):
            return queue_full
        self._dequeue(candidate)
        candidate.result = Err(
            Code.SHED, "dropped from the full queue in favour of another request"
        )
        candidate.event.set()
        return None

    def _update_team(self, name: str, weight: float) -> _TeamState:
        """Return a team's state, created if needed, with its weight updated."""
        now = trio.current_time()
        team = self._teams.get(name)
        if team is None:
            team = self._teams[name] = _TeamState(self._virtual_time_s)
            self._active_weight_sum += team.weight
        elif not team.in_flight and not team.waiting:
            team.used_s = max(team.used_s, self._virtual_time_s)
        # A smaller weight would let the team's share round to nothing.
        weight = max(weight, 1e-3)
        self._active_weight_sum += weight - team.weight
        team.weight = weight
        team.seen_at = now
        if now >= self._last_purge_at + _PURGE_INTERVAL_S:
            self._purge_inactive_teams(now)
        return team

    def _purge_inactive_teams(self, now: float) -> None:
        """Drop inactive teams and sum the weights of the others."""
        self._last_purge_at = now
        self._teams = {
            name: team
            for name, team in self._teams.items()
            if team.waiting or team.in_flight or team.seen_at > now - _TEAM_ACTIVE_S
        }
        self._active_weight_sum = sum(team.weight for team in self._teams.values())

    def _dequeue(self, waiter: _Waiter) -> None:
        team = waiter.team
        del team.waiting[
            bisect.bisect_left(team.waiting, waiter.sort_key, key=_sort_key)
        ]
        self._queued -= 1

    def _grant_slot(self, team: _TeamState) -> Slot:
        self._in_flight += 1
        team.in_flight += 1
        self._virtual_time_s = max(self._virtual_time_s, team.used_s)
        # The hold time is not known yet: charge the mean, which the release corrects.
        charged_s = self._mean_hold_s or 1.0
        team.used_s += charged_s / team.weight
        self._push_team(team)
        return Slot(self, team, charged_s)

    def _release_slot(self, team: _TeamState, held_s: float, charged_s: float) -> None:
        self._in_flight -= 1
        team.in_flight -= 1
        team.used_s += (held_s - charged_s) / team.weight
        self._push_team(team)
        self._hold_samples += 1
        # The first samples are averaged evenly.
        smoothing = max(_HOLD_TIME_SMOOTHING, 1 / self._hold_samples)
        self._mean_hold_s += (held_s - self._mean_hold_s) * smoothing
        self.grant_free_slots()


def _weighted_backlog(team: _TeamState, added: int) -> float:
    """Return the waiting requests plus ``added``, divided by the team's weight."""
    return (len(team.waiting) + added) / team.weight
