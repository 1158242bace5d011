"""Weighted fair queue by team in front of one upstream."""

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

# Weight of one release in the smoothed time that a slot is held.
_HOLD_TIME_SMOOTHING: Final = 0.05
# Releases before the smoothed time is used to predict waits.
_HOLD_TIME_SAMPLES_MIN: Final = 8
# Share of the slots that is kept for teams which hold less than their share.
RESERVE_RATIO: Final = 0.125
# A team counts as active for this long after its last request.
_TEAM_ACTIVE_S: Final = 30.0
_PURGE_INTERVAL_S: Final = 1.0
# Reserved slots are also open to a team that holds up to this many times as many, as
# a small team's requests come in bursts over its share.
_RESERVE_BURST: Final = 2


class Slot:
    """The right to run one request; released once, also as a context manager."""

    __slots__ = ("_charged_s", "_queue", "_started_at", "_team")

    def __init__(self, queue: FairQueue, team: _Team, charged_s: float) -> None:
        self._queue: FairQueue | None = queue
        self._team = team
        self._charged_s = charged_s
        self._started_at = trio.current_time()

    def release(self) -> None:
        """Release the slot; a second call does nothing."""
        queue, self._queue = self._queue, None
        if queue is not None:
            held_s = trio.current_time() - self._started_at
            queue._release(self._team, held_s, self._charged_s)

    def __enter__(self) -> Slot:
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        exc: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self.release()


class _Team:
    """A team's waiting requests and how much slot time it had, by its weight."""

    __slots__ = ("in_flight", "seen_at", "used_s", "waiting", "weight")

    def __init__(self, used_s: float) -> None:
        self.weight = 1.0
        self.used_s = used_s
        self.seen_at = 0.0
        self.in_flight = 0
        # In the order of serving: highest priority first, then the oldest.
        self.waiting: list[_Waiter] = []


class _Waiter:
    __slots__ = ("event", "key", "outcome", "team")

    def __init__(self, team: _Team, priority: int, order: int) -> None:
        self.team = team
        self.key = (-priority, order)
        self.event = trio.Event()
        self.outcome: Result[Slot] | None = None


def _waiter_key(waiter: _Waiter) -> tuple[int, int]:
    return waiter.key


class FairQueue:
    """Grants up to ``limit()`` slots; waiting teams share slot time by weight.

    The next slot goes to the waiting team that had the least slot time for its
    weight, and there to the request of the highest priority (a larger number is more
    important). A team gains nothing from the time in which it asked for nothing.

    ``reserve_ratio`` of the slots are granted only to teams that hold less than their
    share, so a small team need not wait for a large one's answers to end. A team
    that is alone for 30 s has all slots.
    ``max_queued`` may be changed at any time. When ``limit`` rises other than by a
    release, ``wake`` grants the new slots.
    """

    def __init__(
        self,
        limit: Callable[[], int],
        max_queued: int,
        reserve_ratio: float = RESERVE_RATIO,
    ) -> None:
        self.max_queued = max_queued
        self._reserve_ratio = reserve_ratio
        self._active_weight = 0.0
        # Heap of waiting teams, as (slot time, order, team); see ``_pop_next_team``.
        self._ranking: list[tuple[float, int, _Team]] = []
        self._purged_at = 0.0
        self._limit = limit
        self._in_flight = 0
        self._queued = 0
        self._order = itertools.count()
        self._teams: dict[str, _Team] = {}
        # Slot time of the team that was served last, before it was charged.
        self._virtual_time_s = 0.0
        self._mean_hold_s = 0.0
        self._hold_samples = 0

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

        Each error proves that the request did not run: DEADLINE_PASSED,
        DEADLINE_UNREACHABLE when the predicted wait is too long, QUEUE_FULL, and SHED
        when it was dropped from a full queue for a request of higher priority or of a
        team that has fewer requests waiting for its weight.
        """
        await trio.lowlevel.checkpoint()
        now = trio.current_time()
        if deadline_s <= now:
            return Err(Code.DEADLINE_PASSED, "the deadline had passed on arrival")
        state = self._team(team, weight)
        if not self._queued and self._can_grant(state):
            return Ok(self._grant(state))
        waiter = _Waiter(state, priority, next(self._order))
        refused = self._check_deadline(waiter, deadline_s - now) or self._shed_if_full(
            waiter
        )
        if refused is not None:
            return refused
        bisect.insort(state.waiting, waiter, key=_waiter_key)
        self._queued += 1
        if len(state.waiting) == 1:
            self._push_ranking(state)
        self.wake()
        try:
            with trio.move_on_at(deadline_s):
                await waiter.event.wait()
        except BaseException:
            if isinstance(waiter.outcome, Ok):
                waiter.outcome.value.release()
            raise
        finally:
            if waiter.outcome is None:
                self._dequeue(waiter)
        return waiter.outcome or Err(
            Code.DEADLINE_PASSED, "the deadline passed in the queue"
        )

    def wake(self) -> None:
        """Grant the free slots to waiting requests."""
        skipped: list[_Team] = []
        while self._queued and self._in_flight < self._limit():
            team = self._pop_next_team()
            if team is None:
                break
            if not self._can_grant(team):
                skipped.append(team)
                continue
            waiter = team.waiting[0]
            self._dequeue(waiter)
            waiter.outcome = Ok(self._grant(team))
            waiter.event.set()
        for team in skipped:
            self._push_ranking(team)

    def _pop_next_team(self) -> _Team | None:
        """Take the waiting team with the least slot time out of the ranking."""
        while self._ranking:
            used_s, _, team = heapq.heappop(self._ranking)
            # An entry is out of date once its team was charged or waits no more.
            if team.waiting and used_s == team.used_s:
                return team
        return None

    def _push_ranking(self, team: _Team) -> None:
        """Enter a waiting team into the ranking under its present slot time."""
        if not team.waiting:
            return
        heapq.heappush(self._ranking, (team.used_s, next(self._order), team))
        if len(self._ranking) > 4 * len(self._teams) + 64:
            self._ranking = [
                (team.used_s, next(self._order), team)
                for team in self._teams.values()
                if team.waiting
            ]
            heapq.heapify(self._ranking)

    def _can_grant(self, team: _Team) -> bool:
        """Return whether a free slot is open to a team and not reserved for others."""
        limit = self._limit()
        if self._in_flight >= limit:
            return False
        reserve = int(limit * self._reserve_ratio)
        if self._in_flight < limit - reserve:
            return True
        share = limit * team.weight / self._active_weight
        return team.in_flight + 1 <= max(share, _RESERVE_BURST * reserve)

    def expected_wait_s(self, team: str, weight: float, priority: int) -> float:
        """Predict how long a request would wait now, in seconds; 0 when not known."""
        if self._in_flight < self._limit() and not self._queued:
            return 0.0
        state = self._teams.get(team)
        own = 0
        if state is not None:
            # Compares with a request that comes after all others of its priority.
            own = bisect.bisect_left(state.waiting, (1 - priority, 0), key=_waiter_key)
        return self._predict_wait_s(state, weight, own)

    def _predict_wait_s(
        self, team: _Team | None, weight: float, own_ahead: int
    ) -> float:
        if self._hold_samples < _HOLD_TIME_SAMPLES_MIN:
            return 0.0
        turns = (own_ahead + 1) / weight
        ahead = own_ahead + sum(
            min(len(other.waiting), turns * other.weight)
            for other in self._teams.values()
            if other is not team
        )
        # All slots are held, so one is released each hold time over their number.
        return (ahead + 1) * self._mean_hold_s / max(1, self._limit())

    def _check_deadline(self, waiter: _Waiter, left_s: float) -> Err | None:
        team = waiter.team
        if self._mean_hold_s * (self._queued + 1) <= left_s * self._limit():
            return None
        own_ahead = bisect.bisect_left(team.waiting, waiter.key, key=_waiter_key)
        wait_s = self._predict_wait_s(team, team.weight, own_ahead)
        if wait_s <= left_s:
            return None
        text = f"would wait {wait_s:.1f} s, deadline in {left_s:.1f} s"
        return Err(Code.DEADLINE_UNREACHABLE, text)

    def _shed_if_full(self, waiter: _Waiter) -> Err | None:
        """Shed the least important request when full; Err when that is ``waiter``."""
        if self._queued < self.max_queued:
            return None
        full = Err(Code.QUEUE_FULL, f"{self._queued} requests are queued already")
        if not self._queued:
            return full
        # Of the lowest priority, one of the team with the most waiting for its weight.
        victim = max(
            (team.waiting[-1] for team in self._teams.values() if team.waiting),
            key=lambda last: (last.key[0], _backlog(last.team, 0), last.key[1]),
        )
        if victim.key[0] < waiter.key[0]:
            return full
        if victim.key[0] == waiter.key[0] and _backlog(victim.team, 0) <= _backlog(
            waiter.team, 1
        ):
            return full
        self._dequeue(victim)
        victim.outcome = Err(
            Code.SHED, "dropped from the full queue for another request"
        )
        victim.event.set()
        return None

    def _team(self, name: str, weight: float) -> _Team:
        now = trio.current_time()
        team = self._teams.get(name)
        if team is None:
            team = self._teams[name] = _Team(self._virtual_time_s)
            self._active_weight += team.weight
        elif not team.in_flight and not team.waiting:
            team.used_s = max(team.used_s, self._virtual_time_s)
        # Weights below this would let a team's share round to nothing.
        weight = max(weight, 1e-3)
        self._active_weight += weight - team.weight
        team.weight = weight
        team.seen_at = now
        if now >= self._purged_at + _PURGE_INTERVAL_S:
            self._purge_inactive_teams(now)
        return team

    def _purge_inactive_teams(self, now: float) -> None:
        """Drop teams that are no longer active; sum the weights of the others."""
        self._purged_at = now
        self._teams = {
            name: team
            for name, team in self._teams.items()
            if team.waiting or team.in_flight or team.seen_at > now - _TEAM_ACTIVE_S
        }
        self._active_weight = sum(team.weight for team in self._teams.values())

    def _dequeue(self, waiter: _Waiter) -> None:
        team = waiter.team
        del team.waiting[bisect.bisect_left(team.waiting, waiter.key, key=_waiter_key)]
        self._queued -= 1

    def _grant(self, team: _Team) -> Slot:
        self._in_flight += 1
        team.in_flight += 1
        self._virtual_time_s = max(self._virtual_time_s, team.used_s)
        # The time is not known yet; the release corrects the charge.
        charged_s = self._mean_hold_s or 1.0
        team.used_s += charged_s / team.weight
        self._push_ranking(team)
        return Slot(self, team, charged_s)

    def _release(self, team: _Team, held_s: float, charged_s: float) -> None:
        self._in_flight -= 1
        team.in_flight -= 1
        team.used_s += (held_s - charged_s) / team.weight
        self._push_ranking(team)
        self._hold_samples += 1
        change = max(_HOLD_TIME_SMOOTHING, 1 / self._hold_samples)
        self._mean_hold_s += (held_s - self._mean_hold_s) * change
        self.wake()


def _backlog(team: _Team, more: int) -> float:
    return (len(team.waiting) + more) / team.weight
