"""Rates of requests to cold upstreams, which all entries together must keep.

Entries do not ask each other before each request. The entry to which an upstream is
assigned may use half of the limit or more; a few others, the same ones in the view of
all, may use the rest. The shares add up to what a cold upstream bears in any second,
with the bursts included. Entries that disagree for a moment about who runs exceed it by
a part only: a change of one entry moves at most one owner and one sharer.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Final

from mustardfront import events
from mustardfront.coordination.traffic._rate_limits import sharing_entries
from mustardfront.coordination.traffic._upstream import Upstream
from mustardfront.state import TrafficConfig

# Part of an owner's requests of a second that it may send at once.
OWNER_BURST_RATIO: Final = 0.25
# Requests that another sharer may send within a second: one at once, and one more.
SHARER_REQUESTS: Final = 2.0
# An entry that has just started may know few of the others. For this long it takes the
# share of one in a fleet of ENTRIES_ASSUMED.
SETTLE_S: Final = 2.0
ENTRIES_ASSUMED: Final = 40
UPSTREAMS_MAX: Final = 4_096


@dataclass(frozen=True, slots=True)
class WarmUpShare:
    """What one entry may send: ``burst`` requests at once, and ``per_s`` a second."""

    burst: float
    per_s: float


@dataclass(slots=True)
class _ColdUpstream:
    """``tokens`` requests may be sent at ``at_s``; the process is cold to ``ends_at``.

    ``limit_per_s`` is for all entries together.
    """

    limit_per_s: float
    ends_at: float
    at_s: float
    tokens: float = 0.0


class WarmUps:
    """The cold upstreams that this entry knows, and its share of what they bear.

    ``clock`` returns seconds; ``entry`` is this entry's name.
    """

    def __init__(self, clock: Callable[[], float], entry: str = "") -> None:
        self._clock = clock
        self._entry = entry
        self._entries: frozenset[str] = frozenset((entry,))
        self._settled_at = math.inf
        self._cold: dict[str, _ColdUpstream] = {}
        # Whether this entry is one of the sharers beside the owner, by incarnation.
        self._is_sharer: dict[str, bool] = {}

    def set_entries(self, entries: Iterable[str]) -> None:
        """Divide the limits among these entries and this one from now on."""
        if self._settled_at == math.inf:
            self._settled_at = self._clock() + SETTLE_S
        self._entries = frozenset((*entries, self._entry))
        self._is_sharer.clear()

    def begin(
        self, incarnation: str, limit_per_s: float, duration_s: float, source: str
    ) -> None:
        """Record that an upstream is cold for ``duration_s`` from now."""
        now_s = self._clock()
        known = self._cold.get(incarnation)
        if known is not None and known.ends_at > now_s:
            known.ends_at = max(known.ends_at, now_s + duration_s)
            known.limit_per_s = limit_per_s
            return
        # Without tokens, as requests of the last second were sent without limit.
        cold = _ColdUpstream(limit_per_s, now_s + duration_s, now_s)
        self._cold[incarnation] = cold
        if len(self._cold) > UPSTREAMS_MAX:
            self._drop_warm(now_s)
        events.log(
            events.Event.UPSTREAM_COLD,
            upstream=incarnation,
            per_s=limit_per_s,
            left_ms=round(duration_s * 1000),
            source=source,
        )

    def cold_count(self) -> int:
        """Return how many upstreams are cold."""
        now_s = self._clock()
        return sum(cold.ends_at > now_s for cold in self._cold.values())

    def wait_s(self, incarnation: str, *, is_own: bool) -> float:
        """Return after how many seconds this entry may send a request; 0 if now.

        ``is_own`` tells whether the upstream is assigned to this entry.
        """
        cold = self._find(incarnation)
        if cold is None:
            return 0.0
        share = self._share(incarnation, cold.limit_per_s, is_own=is_own)
        self._refill(cold, share)
        missing = 1.0 - cold.tokens
        if missing <= 0.0:
            return 0.0
        return missing / share.per_s if share.per_s else math.inf

    def take(self, incarnation: str) -> None:
        """Count a request that is about to be sent."""
        cold = self._find(incarnation)
        if cold is not None:
            cold.tokens -= 1.0

    def forget(self, incarnation: str) -> None:
        """Forget a process that has ended."""
        self._cold.pop(incarnation, None)
        self._is_sharer.pop(incarnation, None)

    def _find(self, incarnation: str) -> _ColdUpstream | None:
        cold = self._cold.get(incarnation)
        if cold is not None and cold.ends_at <= self._clock():
            self.forget(incarnation)
            return None
        return cold

    def _refill(self, cold: _ColdUpstream, share: WarmUpShare) -> None:
        now_s = self._clock()
        refilled = cold.tokens + (now_s - cold.at_s) * share.per_s
        cold.tokens, cold.at_s = min(share.burst, refilled), now_s

    def _share(
        self, incarnation: str, limit_per_s: float, *, is_own: bool
    ) -> WarmUpShare:
        if self._clock() < self._settled_at:
            return WarmUpShare(1.0, limit_per_s / ENTRIES_ASSUMED)
        count = len(self._entries)
        if is_own:
            return owner_share(limit_per_s, count)
        if incarnation not in self._is_sharer:
            sharers = sharer_count(limit_per_s, count)
            sharing = sharing_entries(incarnation, sharers, self._entries)
            self._is_sharer[incarnation] = any(
                one.entry == self._entry for one in sharing
            )
        is_sharer = self._is_sharer[incarnation]
        return WarmUpShare(1.0, SHARER_REQUESTS - 1.0 if is_sharer else 0.0)

    def _drop_warm(self, now_s: float) -> None:
        self._cold = {
            incarnation: cold
            for incarnation, cold in self._cold.items()
            if cold.ends_at > now_s
        }


def sharer_count(limit_per_s: float, entry_count: int) -> int:
    """Return how many entries beside the owner may use half of a limit."""
    return max(0, min(entry_count - 1, int(limit_per_s / 2 / SHARER_REQUESTS)))


def owner_share(limit_per_s: float, entry_count: int) -> WarmUpShare:
    """Return the owner's share: what the other sharers leave of a limit."""
    others = sharer_count(limit_per_s, entry_count) * SHARER_REQUESTS
    left = limit_per_s - others
    burst = max(1.0, OWNER_BURST_RATIO * left)
    return WarmUpShare(burst, max(left - burst, left / 2))


def begin_warm_ups(
    warm_ups: WarmUps,
    cfg: TrafficConfig | None,
    upstreams: Iterable[Upstream],
    duration_s: float | None,
    source: str,
) -> None:
    """Limit the requests to cold upstreams whose services name a warm-up.

    ``duration_s`` None is the whole warm-up.
    """
    services = cfg.services if cfg is not None else {}
    for upstream in upstreams:
        service = services.get(upstream.announced.service)
        if service is None or service.warm_up is None:
            continue
        left_s = service.warm_up.duration_s if duration_s is None else duration_s
        warm_ups.begin(upstream.incarnation, service.warm_up.per_s, left_s, source)
