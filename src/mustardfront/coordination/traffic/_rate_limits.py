"""Rates of requests that upstreams in need name, shared by all entries.

Entries do not ask each other before each request. Of a limit, a few entries, the same
ones in the view of all, each keep an equal share; the others send nothing. It is for
upstreams that name a few requests a second before dozens of entries: a share for each
entry would be less than the one request that it may send at once.
"""

from __future__ import annotations

import heapq
import math
from collections.abc import Callable, Collection, Iterable
from dataclasses import dataclass
from typing import Final

import xxhash

from mustardfront import events

# A limit with another value within this ratio is taken as unchanged.
CHANGE_RATIO_MIN: Final = 0.1
# An upstream that takes no requests still gets some: only an answer tells when its
# limit ends.
TRIAL_PER_S: Final = 0.25
# Entries that share a limit. Each may send one request at once, so that at most these
# many arrive together, or a second's worth of a higher limit.
SHARING_ENTRIES_MIN: Final = 3
UPSTREAMS_MAX: Final = 4_096


@dataclass(frozen=True, slots=True)
class RateLimitNotice:
    """An upstream's limit as one entry read it; None when it names none any more.

    ``incarnation`` names the upstream's process, ``per_s`` is in requests a second.
    """

    incarnation: str
    per_s: float | None


@dataclass(slots=True)
class _Allowance:
    """What this entry may send: ``tokens`` requests at ``at_s``, at most one."""

    named_per_s: float
    tokens: float
    at_s: float

    def tokens_at(self, now_s: float, share_per_s: float) -> float:
        return min(1.0, self.tokens + (now_s - self.at_s) * share_per_s)


class RateLimits:
    """The limits that upstreams name, and this entry's shares of them.

    ``clock`` returns seconds; ``entry`` is this entry's name.
    """

    def __init__(self, clock: Callable[[], float], entry: str = "") -> None:
        self._clock = clock
        self._entry = entry
        self._entries: frozenset[str] = frozenset((entry,))
        self._limits: dict[str, _Allowance] = {}
        self._shares: dict[str, float] = {}
        # The entries that share each limit, those with the lowest ranks first.
        self._sharing: dict[str, list[_Sharer]] = {}
        # The latest notices in the store.
        self._announced: dict[str, RateLimitNotice] = {}

    def set_entries(self, entries: Iterable[str]) -> None:
        """Divide the limits among these entries and this one from now on."""
        new = frozenset((*entries, self._entry))
        if new == self._entries:
            return
        self._settle()
        joined, left = new - self._entries, self._entries - new
        self._entries = new
        for incarnation, sharing in tuple(self._sharing.items()):
            if any(one.entry in left for one in sharing):
                del self._sharing[incarnation]
                continue
            ranked = (_Sharer(_rank(incarnation, one), one) for one in joined)
            kept = heapq.nsmallest(len(sharing), (*sharing, *ranked))
            self._sharing[incarnation] = kept

    def record(
        self, notice: RateLimitNotice, source: str, *, is_start: bool = False
    ) -> bool:
        """Take over a limit; return whether it changed."""
        known = self._limits.get(notice.incarnation)
        if _is_same(known.named_per_s if known else None, notice.per_s):
            return False
        self._shares.pop(notice.incarnation, None)
        if notice.per_s is None:
            del self._limits[notice.incarnation]
            self._sharing.pop(notice.incarnation, None)
        else:
            # Nothing at once: the requests of the last seconds were sent without limit.
            # A process that starts has sent none, and tries a rate that would make it
            # wait for long.
            is_trial = is_start and notice.per_s < TRIAL_PER_S
            tokens = known.tokens if known else float(is_trial)
            allowance = _Allowance(notice.per_s, tokens, self._clock())
            self._limits[notice.incarnation] = allowance
        while len(self._limits) > UPSTREAMS_MAX:
            self._sharing.pop(next(iter(self._limits)), None)
            del self._limits[next(iter(self._limits))]
        events.log(
            events.Event.RATE_LIMIT_CHANGED,
            upstream=notice.incarnation,
            per_s=notice.per_s,
            share_per_s=round(self._share_per_s(notice.incarnation), 3),
            source=source,
        )
        return True

    def record_announced(
        self, notice: RateLimitNotice, *, is_start: bool = False
    ) -> None:
        """Take over a limit that an entry announced; ``is_start`` if before requests.

        The limit may have ended while no entry ran to see it, and only an answer tells.
        """
        self._announced[notice.incarnation] = notice
        while len(self._announced) > UPSTREAMS_MAX:
            del self._announced[next(iter(self._announced))]
        self.record(notice, source="store", is_start=is_start)

    def replace_announced(self, notices: Iterable[RateLimitNotice]) -> None:
        """Take over the notices of a store that lost its last writes.

        What this entry knows of an upstream is newer than a notice that is left.
        """
        known = self._limits.keys() | self._announced.keys()
        self._announced = {}
        for notice in notices:
            if notice.incarnation in known:
                self._announced[notice.incarnation] = notice
            else:
                self.record_announced(notice)

    def missing_notices(self) -> list[RateLimitNotice]:
        """Return the limits known here that the other entries lack."""
        notices = map(self.named, self._limits.keys() | self._announced.keys())
        return [one for one in notices if self.needs_announcement(one)]

    def needs_announcement(self, notice: RateLimitNotice) -> bool:
        """Return whether a notice still holds and the other entries lack it."""
        announced = self._announced.get(notice.incarnation)
        known_s = announced.per_s if announced else None
        return self.named(notice.incarnation) == notice and not _is_same(
            known_s, notice.per_s
        )

    def named(self, incarnation: str) -> RateLimitNotice:
        """Return the limit of an upstream, as a notice to other entries."""
        known = self._limits.get(incarnation)
        return RateLimitNotice(incarnation, known.named_per_s if known else None)

    def wait_s(self, incarnation: str) -> float:
        """Return after how many seconds this entry may send a request; 0 if now."""
        known = self._limits.get(incarnation)
        if known is None:
            return 0.0
        share_per_s = self._share_per_s(incarnation)
        missing = 1.0 - known.tokens_at(self._clock(), share_per_s)
        if missing <= 0.0:
            return 0.0
        return missing / share_per_s if share_per_s else math.inf

    def take(self, incarnation: str) -> None:
        """Count a request that is about to be sent."""
        known = self._limits.get(incarnation)
        if known is not None:
            now_s = self._clock()
            share_per_s = self._share_per_s(incarnation)
            known.tokens = known.tokens_at(now_s, share_per_s) - 1.0
            known.at_s = now_s

    def forget(self, incarnation: str) -> None:
        """Forget the limit of a process that has ended."""
        self._limits.pop(incarnation, None)
        self._announced.pop(incarnation, None)
        self._shares.pop(incarnation, None)
        self._sharing.pop(incarnation, None)

    def _settle(self) -> None:
        """Account for the time so far at the present shares, and drop these."""
        now_s = self._clock()
        for incarnation, known in self._limits.items():
            known.tokens = known.tokens_at(now_s, self._share_per_s(incarnation))
            known.at_s = now_s
        self._shares.clear()

    def _share_per_s(self, incarnation: str) -> float:
        known = self._limits.get(incarnation)
        if known is None:
            return 0.0
        if incarnation not in self._shares:
            per_s = max(TRIAL_PER_S, known.named_per_s)
            count = sharing_count(per_s, len(self._entries))
            sharing = self._sharing.get(incarnation, [])
            if len(sharing) < count:
                sharing = sharing_entries(incarnation, count, self._entries)
            self._sharing[incarnation] = sharing = sharing[:count]
            is_sharing = any(one.entry == self._entry for one in sharing)
            self._shares[incarnation] = per_s / count if is_sharing else 0.0
        return self._shares[incarnation]


def entry_share_per_s(
    incarnation: str, per_s: float, entries: Collection[str], entry: str
) -> float:
    """Return the part of an upstream's limit that an entry may use, or 0.

    All entries that know the same ``entries`` agree. A change of one entry changes at
    most one of those that share a limit.
    """
    count = sharing_count(per_s, len(entries))
    sharing = sharing_entries(incarnation, count, entries)
    return per_s / count if any(one.entry == entry for one in sharing) else 0.0


@dataclass(frozen=True, slots=True, order=True)
class _Sharer:
    """An entry that shares a limit; the lowest ranks do."""

    rank: int
    entry: str


def sharing_count(per_s: float, entry_count: int) -> int:
    """Return how many entries share a limit."""
    return min(entry_count, max(SHARING_ENTRIES_MIN, int(per_s)))


def sharing_entries(
    incarnation: str, count: int, entries: Collection[str]
) -> list[_Sharer]:
    """Return the entries that share a limit, lowest rank first."""
    ranked = (_Sharer(_rank(incarnation, one), one) for one in entries)
    return heapq.nsmallest(count, ranked)


def _rank(incarnation: str, entry: str) -> int:
    return xxhash.xxh3_64_intdigest(f"{incarnation}\0{entry}".encode())


def parse_rate_limit(value: bytes) -> float | None:
    """Return the requests a second that a header names, or None if it names none."""
    try:
        per_s = float(value)
    except ValueError:
        return None
    return per_s if math.isfinite(per_s) and per_s >= 0 else None


def _is_same(known: float | None, per_s: float | None) -> bool:
    if known is None or per_s is None:
        return known is per_s
    return abs(per_s - known) <= CHANGE_RATIO_MIN * known
