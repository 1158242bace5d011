"""Watching the platform's store for changes of configuration and upstreams."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Iterable, Mapping
from dataclasses import dataclass, field, replace
from types import MappingProxyType
from typing import Final, Protocol, TypeAlias

import trio

from mustardfront import events
from mustardfront.codes import Code
from mustardfront.coordination.quarantine import CrashReport
from mustardfront.coordination.traffic._evacuation import PlaceEvacuation
from mustardfront.coordination.traffic._rate_limits import RateLimitNotice
from mustardfront.results import Err, Result
from mustardfront.state import LeasedKey, TrafficConfig, UpstreamInstance

# A watch without changes returns after this time, which confirms the view. Two watches
# and the wait for a lost one must take less time than the age that a view may have.
WATCH_WAIT_S: Final = 1.5
# A watch that lasted its whole wait without changes confirms the view up to this long
# before its end. The store may hold back the changes of the last second; the limit on
# the age of the view covers the rest of that second.
CONFIRM_LAG_S: Final = 0.5
RETRY_S: Final = 0.2
# Minimum time between the starts of two watches. Without it, each watch would return
# one change while a fleet restarts, and calls would grow with entries times upstreams.
# Changes reach an entry later by half of it on average; the bounds on draining and on
# new configurations are 2 s and more.
WATCH_SPACING_S: Final = 0.3
# Announcements that lapsed during a store outage, or that a restored store lost, return
# within 2 s of its end; an upstream that is still missing after that is gone.
LAPSED_GRACE_S: Final = 1.8
# An ended entry is counted until its lease expires; then the other entries divide its
# share of the budgets.
ENTRY_LEASE_S: Final = 10.0
ENTRY_KEEP_S: Final = 3.0


@dataclass(frozen=True, slots=True)
class Snapshot:
    """Everything the store holds for entries, at one revision.

    ``era`` changes when the store comes back from an older copy of its data. Revisions
    of different eras cannot be compared: some are given out again.
    """

    revision: int
    config: TrafficConfig | None
    upstreams: Mapping[str, UpstreamInstance]
    # The configuration version that each entry had in force when it was announced.
    entries: Mapping[str, int] = field(default_factory=lambda: MappingProxyType({}))
    slow: tuple[SlowUpstream, ...] = ()
    # Oldest first.
    crashes: tuple[CrashReport, ...] = ()
    rate_limits: tuple[RateLimitNotice, ...] = ()
    era: int = 0
    evacuated: frozenset[str] = frozenset()
    # Where entries take the reports of others.
    entry_addresses: Mapping[str, tuple[str, int]] = field(
        default_factory=lambda: MappingProxyType({})
    )


@dataclass(frozen=True, slots=True)
class UpstreamGone:
    """An upstream's announcement was removed or cannot be used."""

    instance: str


@dataclass(frozen=True, slots=True)
class EntryChange:
    """Another entry, or this one, is announced or gone.

    ``config_version`` is the version that it had in force when it was announced.
    ``address`` (IP, port) is where it takes the reports of other entries, if anywhere.
    """

    name: str
    is_gone: bool = False
    config_version: int = 0
    address: tuple[str, int] | None = None


@dataclass(frozen=True, slots=True)
class SlowUpstream:
    """An agent's notice that the upstream at (IP, port) is slow.

    ``slowness`` is how much longer than usual it takes for the same work; 1 ends an
    earlier notice.
    """

    address: tuple[str, int]
    slowness: float


Change: TypeAlias = (
    TrafficConfig
    | UpstreamInstance
    | UpstreamGone
    | EntryChange
    | SlowUpstream
    | CrashReport
    | RateLimitNotice
    | PlaceEvacuation
)


@dataclass(frozen=True, slots=True)
class Changes:
    """Changes up to ``revision`` of an era, oldest first."""

    revision: int
    changes: tuple[Change, ...]
    era: int = 0


class Feed(Protocol):
    """Access to the store; every call may fail with STORE_UNAVAILABLE."""

    async def snapshot(self) -> Result[Snapshot]:
        """Read everything; linearizable."""

    async def wait_for_changes(self, after: int, wait_s: float) -> Result[Changes]:
        """Wait for changes; Err(STORE_HISTORY_GONE) when ``after`` is too old."""

    async def announce(
        self,
        name: str,
        config_version: int,
        ttl_s: float,
        address: tuple[str, int] | None = None,
    ) -> Result[LeasedKey]:
        """Announce an entry by a key under a new lease."""

    async def renew_lease(self, written: LeasedKey) -> Result[None]:
        """Renew a key's lease; Err(LEASE_LOST) when it has ended."""

    async def report_crash(
        self, report: CrashReport, ttl_s: float
    ) -> Result[LeasedKey]:
        """Tell the other entries of a crash."""

    async def announce_rate_limit(
        self, notice: RateLimitNotice, ttl_s: float
    ) -> Result[LeasedKey]:
        """Tell the other entries of an upstream's limit."""


class TrafficView(Protocol):
    """The view that ``follow`` keeps current."""

    def replace(self, snapshot: Snapshot, keep_missing: bool) -> None:
        """Apply a snapshot; ``keep_missing`` marks missing announcements as lapsed."""

    def apply_all(self, changes: Iterable[Change], keep_missing: bool) -> None:
        """Apply changes, oldest first."""

    def drop_lapsed(self) -> None:
        """Remove what was kept without an announcement."""

    def handle_store_return(self) -> None:
        """Note that the store is back after an outage, or from an older copy."""

    def confirm(self, began_s: float) -> None:
        """Record that the view was complete at ``began_s``."""


async def follow(
    feed: Feed,
    view: TrafficView,
    clock: Callable[[], float],
    sleep: Callable[[float], Awaitable[None]] = trio.sleep,
) -> None:
    """Keep ``view`` current until cancelled; ``clock`` includes suspended time."""
    follower = _Follower(feed, view, clock)
    while True:
        await follower.snapshot()
        while follower.in_step:
            next_at_s = trio.current_time() + WATCH_SPACING_S
            await follower.wait_for_changes()
            await sleep(max(0.0, next_at_s - trio.current_time()))
        await sleep(RETRY_S if follower.lost else 0)


async def keep_announced(
    feed: Feed,
    name: str,
    config_version: Callable[[], int],
    sleep: Callable[[float], Awaitable[None]] = trio.sleep,
    *,
    address: tuple[str, int] | None = None,
) -> None:
    """Keep an entry announced until cancelled, so that others can count it.

    After a restore of the store the announcement is written again, which tells entries
    that start then the least version that the configuration must have.
    ``sleep`` may return early to have the announcement checked at once. ``address`` is
    where the entry takes reports of others.
    """
    announced: LeasedKey | None = None
    while True:
        if announced is None:
            made = await feed.announce(name, config_version(), ENTRY_LEASE_S, address)
            announced = None if isinstance(made, Err) else made.value
        else:
            kept = await feed.renew_lease(announced)
            if isinstance(kept, Err) and kept.code is Code.LEASE_LOST:
                announced = None
                continue
        await sleep(ENTRY_KEEP_S)


def _log_snapshot(snapshot: Snapshot) -> None:
    events.log(
        events.Event.VIEW_READ,
        era=snapshot.era,
        revision=snapshot.revision,
        config_version=snapshot.config.version if snapshot.config else 0,
        upstreams=len(snapshot.upstreams),
        entries=len(snapshot.entries),
        slow=len(snapshot.slow),
        crashes=len(snapshot.crashes),
        rate_limits=len(snapshot.rate_limits),
        evacuated=sorted(snapshot.evacuated),
    )


class _Follower:
    def __init__(
        self, feed: Feed, view: TrafficView, clock: Callable[[], float]
    ) -> None:
        self.in_step = False
        self.lost = False
        self._feed = feed
        self._view = view
        self._clock = clock
        self._revision = 0
        self._era: int | None = None
        self._grace_until: float | None = None

    async def snapshot(self) -> None:
        began_s = self._clock()
        result = await self._feed.snapshot()
        if isinstance(result, Err):
            self._mark_store_lost(result)
            return
        self._mark_store_regained()
        _log_snapshot(result.value)
        if self._era not in (None, result.value.era):
            self._begin_grace()
        self._era = result.value.era
        self._revision = result.value.revision
        # First, so that no request is sent before they are known.
        await self._apply_crashes(result.value.crashes)
        self._view.replace(replace(result.value, crashes=()), self._in_grace())
        self._view.confirm(began_s)
        self.in_step = True

    async def wait_for_changes(self) -> None:
        began_s = self._clock()
        result = await self._feed.wait_for_changes(self._revision, WATCH_WAIT_S)
        if isinstance(result, Err):
            self.in_step = False
            if result.code is not Code.STORE_HISTORY_GONE:
                self._mark_store_lost(result)
            return
        if result.value.era != self._era:
            # These changes do not follow those in the view; read everything again.
            self.in_step = False
            return
        self._revision = max(self._revision, result.value.revision)
        changes = result.value.changes
        crashes = [one for one in changes if isinstance(one, CrashReport)]
        others = [one for one in changes if not isinstance(one, CrashReport)]
        self._view.apply_all(others, self._in_grace())
        self._view.confirm(self._confirmed_s(began_s, result.value))
        self._end_grace()
        await self._apply_crashes(crashes)

    async def _apply_crashes(self, crashes: Iterable[CrashReport]) -> None:
        """Apply reports of crashes, and let other tasks run after each of them.

        One may name thousands of prompt parts, and a failed rack brings hundreds.
        """
        for report in crashes:
            self._view.apply_all((report,), self._in_grace())
            await trio.lowlevel.checkpoint()

    def _confirmed_s(self, began_s: float, changes: Changes) -> float:
        """Return when the view was complete, by a watch that began at ``began_s``.

        It is derived from the start: this process may have been paused before it read
        the reply.
        """
        if changes.changes or self._clock() - began_s < WATCH_WAIT_S:
            return began_s
        return began_s + max(0.0, WATCH_WAIT_S - CONFIRM_LAG_S)

    def _begin_grace(self) -> None:
        self._grace_until = self._clock() + LAPSED_GRACE_S
        self._view.handle_store_return()

    def _in_grace(self) -> bool:
        return self._grace_until is not None and self._clock() < self._grace_until

    def _end_grace(self) -> None:
        if self._grace_until is not None and not self._in_grace():
            self._grace_until = None
            self._view.drop_lapsed()

    def _mark_store_lost(self, err: Err) -> None:
        if not self.lost:
            events.log(
                events.Event.STORE_UNAVAILABLE, code=int(err.code), text=err.text
            )
        self.lost = True

    def _mark_store_regained(self) -> None:
        if not self.lost:
            return
        self.lost = False
        self._begin_grace()
        events.log(events.Event.STORE_RETURNED)
