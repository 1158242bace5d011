"""Load and health of the upstreams that an entry calls directly."""

from __future__ import annotations

import random
import time
from collections.abc import Callable, Iterable

import trio

from mustardfront import events
from mustardfront.coordination.quarantine import CrashEvidence, CrashReport
from mustardfront.coordination.traffic._admission import PlaceTurns
from mustardfront.coordination.traffic._backoff import Backoffs
from mustardfront.coordination.traffic._ended import EndedUpstreams
from mustardfront.coordination.traffic._entries import KnownEntries
from mustardfront.coordination.traffic._evacuation import Evacuations, PlaceEvacuation
from mustardfront.coordination.traffic._feed import (
    Change,
    EntryChange,
    SlowUpstream,
    Snapshot,
    UpstreamGone,
)
from mustardfront.coordination.traffic._health import (
    exclude_after_failure,
    pause_after_refusal,
    pause_ranks,
    reset_failures,
)
from mustardfront.coordination.traffic._index import ServiceIndex
from mustardfront.coordination.traffic._peer_loads import PeerLoads
from mustardfront.coordination.traffic._rate_limits import RateLimitNotice, RateLimits
from mustardfront.coordination.traffic._routes import RouteTable
from mustardfront.coordination.traffic._upstream import Upstream, superseded_upstreams
from mustardfront.coordination.traffic._warm_up import WarmUps, begin_warm_ups
from mustardfront.state import TrafficConfig, UpstreamInstance, UpstreamState


class TrafficState:
    """Configuration and upstreams in force at an entry, and the age of this view.

    ``clock`` returns seconds and includes time during which the host was suspended.
    ``entry`` is this entry's name.
    """

    def __init__(self, clock: Callable[[], float], entry: str = "") -> None:
        self.routes: RouteTable | None = None
        self.configured = trio.Event()
        self._clock = clock
        self._confirmed_s: float | None = None
        self._entries = KnownEntries()
        self._evacuations = Evacuations()
        self._store_returned = trio.Event()
        self._upstreams: dict[str, Upstream] = {}
        self._ended = EndedUpstreams()
        self.index = ServiceIndex(entry)
        # By address; an agent knows the upstream on its host by its address.
        self._slowness: dict[tuple[str, int], float] = {}
        self._listeners: list[Callable[[], None]] = []
        self._restore_listeners: list[Callable[[], None]] = []
        self._era: int | None = None
        self.crash_evidence = CrashEvidence(clock, time.time)
        self.rate_limits = RateLimits(clock, entry)
        self.backoffs = Backoffs(clock)
        self.warm_ups = WarmUps(clock, entry)
        self.peer_loads = PeerLoads(clock)
        self.place_turns = PlaceTurns(random.random)

    def on_change(self, listener: Callable[[], None]) -> None:
        """Call ``listener`` after each change of the configuration or upstreams."""
        self._listeners.append(listener)

    def on_restore(self, listener: Callable[[], None]) -> None:
        """Call ``listener`` after the store came back without its last writes."""
        self._restore_listeners.append(listener)

    @property
    def entries(self) -> frozenset[str]:
        """Return the names of the entries that are announced."""
        return self._entries.names

    @property
    def evacuated_places(self) -> frozenset[str]:
        """Return the places whose upstreams get no requests."""
        return self._evacuations.places

    @property
    def version(self) -> int:
        """Return the configuration's version; 0 before the first."""
        return self.routes.config.version if self.routes else 0

    @property
    def is_outdated(self) -> bool:
        """Return whether an entry was announced with a later configuration.

        An entry that starts just after a restore of the store reads an older
        configuration there, until the operator has written the later one again.
        """
        return self.version < self._entries.version

    def age_s(self) -> float:
        """Return the seconds since the view was last known to be complete."""
        if self._confirmed_s is None:
            return float("inf")
        return self._clock() - self._confirmed_s

    def upstreams_of(self, service: str) -> tuple[Upstream, ...]:
        """Return the service's upstreams that accept new requests."""
        return self.index.upstreams_of(service)

    def entry_address(self, name: str) -> tuple[str, int] | None:
        """Return where an entry takes the reports of others; None if nowhere."""
        return self._entries.address(name)

    def all_upstreams(self) -> Iterable[Upstream]:
        """Return all known upstreams, with those that take no requests."""
        return self._upstreams.values()

    def get(self, instance: str) -> Upstream | None:
        """Return an upstream by its instance."""
        return self._upstreams.get(instance)

    def replace(self, snapshot: Snapshot, keep_missing: bool) -> None:
        """Apply a snapshot; ``keep_missing`` marks missing announcements as lapsed."""
        entries = {
            name: EntryChange(name, False, version, snapshot.entry_addresses.get(name))
            for name, version in snapshot.entries.items()
        }
        self._entries.replace(entries, keep_missing=keep_missing)
        self._share_limits()
        if snapshot.config is not None:
            self._apply_config(snapshot.config)
        self._slowness = {one.address: one.slowness for one in snapshot.slow}
        for report in snapshot.crashes:
            self.crash_evidence.record_crash(report)
        is_start = self._era is None
        is_restored = self._era not in (None, snapshot.era)
        self._era = snapshot.era
        if is_restored:
            self.rate_limits.replace_announced(snapshot.rate_limits)
        else:
            for notice in snapshot.rate_limits:
                self.rate_limits.record_announced(notice, is_start=is_start)
        for announced in snapshot.upstreams.values():
            if not (is_restored and self._ended.was_removed(announced)):
                self._apply_announcement(announced)
        for instance in self._upstreams.keys() - snapshot.upstreams.keys():
            self._remove_upstream(instance, keep_missing)
        taken_back = self._evacuations.replace(
            snapshot.evacuated, keep_missing=is_restored
        )
        self._cool_places(taken_back)
        self._rebuild_index()
        if is_restored:
            for listener in self._restore_listeners:
                listener()

    def apply(self, change: Change, keep_missing: bool) -> None:
        """Apply one change."""
        self.apply_all((change,), keep_missing)

    def apply_all(self, changes: Iterable[Change], keep_missing: bool) -> None:
        """Apply changes, oldest first.

        The index is rebuilt once for all of them: a fleet that restarts changes
        thousands of upstreams between two watches.
        """
        changed = [self._apply(change, keep_missing) for change in changes]
        if any(changed):
            self._rebuild_index()

    def _apply(self, change: Change, keep_missing: bool) -> bool:
        """Apply one change; return whether the index must be rebuilt."""
        if isinstance(change, SlowUpstream):
            self._apply_slowness(change)
            return False
        if isinstance(change, CrashReport):
            self.crash_evidence.record_crash(change)
            return False
        if isinstance(change, RateLimitNotice):
            self.rate_limits.record_announced(change)
            return False
        if isinstance(change, TrafficConfig):
            self._apply_config(change)
        elif isinstance(change, EntryChange):
            self._entries.apply(change)
            self._share_limits()
        elif isinstance(change, PlaceEvacuation):
            self._cool_places(self._evacuations.apply(change))
        elif isinstance(change, UpstreamGone):
            self._remove_upstream(change.instance, keep_missing)
        else:
            self._apply_announcement(change)
        return True

    def _share_limits(self) -> None:
        self.rate_limits.set_entries(self.entries)
        self.warm_ups.set_entries(self.entries)

    def drop_lapsed(self) -> None:
        """Remove what was not announced again after a store outage."""
        self._entries.drop_lapsed()
        self._share_limits()
        self._cool_places(self._evacuations.drop_lapsed())
        for upstream in tuple(self._upstreams.values()):
            if upstream.lapsed:
                self._remove_upstream(upstream.instance, keep=False)
        self._rebuild_index()

    def handle_store_return(self) -> None:
        """Wake the tasks that announce something."""
        returned, self._store_returned = self._store_returned, trio.Event()
        returned.set()

    async def sleep_until_store_returns(self, delay_s: float) -> None:
        """Sleep for ``delay_s``, or until the store is back after an outage."""
        with trio.move_on_after(delay_s):
            await self._store_returned.wait()

    def confirm(self, began_s: float) -> None:
        """Record that the view was complete at ``began_s``."""
        self._confirmed_s = max(began_s, self._confirmed_s or began_s)

    def record_failure(
        self, upstream: Upstream, reason: str, *, is_answer: bool = False
    ) -> None:
        """Exclude an upstream temporarily after it failed, by its answer or without."""
        exclude_after_failure(upstream, self._clock(), reason, is_answer=is_answer)

    def failing_keys(self) -> tuple[int, ...]:
        """Return the keys of upstreams whose answers to this entry were failures."""
        now = self._clock()
        return tuple(one.key for one in self.all_upstreams() if now < one.failing_until)

    def record_leaving(self, upstream: Upstream) -> None:
        """Send an upstream no more requests, whatever the store announces of it."""
        incarnation = upstream.incarnation
        if not self._ended.record_leaving(incarnation):
            return
        known = self._upstreams.get(upstream.instance)
        if known is not None:
            known.leaving = known.leaving or known.incarnation == incarnation
        events.log(
            events.Event.UPSTREAM_STATE,
            upstream=upstream.instance,
            state=UpstreamState.DRAINING.value,
            source="response",
        )
        self._rebuild_index()

    def record_refusal(self, upstream: Upstream) -> None:
        """Pause an upstream briefly after it refused a request."""
        pause_after_refusal(upstream, self._clock())

    def remove_incarnation(self, upstream: Upstream) -> None:
        """Remove an incarnation after another one answered at its address."""
        self._ended.record_replaced(upstream.announced)
        self._remove_upstream(upstream.instance, keep=False)
        self._rebuild_index()

    def pause_group(self, group: str, reason: str) -> None:
        """Pause all ranks of a group that lost a rank."""
        ranks = (one for one in self._upstreams.values() if one.group == group)
        pause_ranks(group, tuple(ranks) if group else (), self._clock(), reason)

    def wait_s(self, upstream: Upstream) -> float:
        """Return after how many seconds an upstream may get a request; 0 if now."""
        incarnation = upstream.incarnation
        is_own = upstream.instance in self.index.own_upstreams(
            upstream.announced.service
        )
        return max(
            self.backoffs.left_s(incarnation),
            self.rate_limits.wait_s(incarnation),
            self.warm_ups.wait_s(incarnation, is_own=is_own),
        )

    def record_sent(self, upstream: Upstream) -> None:
        """Count a request that is about to be sent to an upstream."""
        self.rate_limits.take(upstream.incarnation)
        self.warm_ups.take(upstream.incarnation)

    def record_down(self, upstream: Upstream) -> None:
        """Treat an upstream that refuses connections as cold when it answers again.

        Its process has ended, most likely, and the next one may have the same name.
        """
        self._begin_warm_up([upstream], None, "connection")

    def is_refusing(self, upstream: Upstream) -> bool:
        """Return whether an upstream is paused after a refusal."""
        return self._clock() < upstream.refused_until

    def record_success(self, upstream: Upstream) -> None:
        """Reset an upstream's consecutive failures."""
        reset_failures(upstream)

    def is_blocked(self, upstream: Upstream) -> bool:
        """Return whether an upstream is excluded after failures, here or elsewhere."""
        is_blocked = self._clock() < upstream.blocked_until
        return is_blocked or self.peer_loads.is_failing(upstream.key)

    def slowness(self, upstream: Upstream) -> float:
        """Return how much longer than usual an upstream takes, as its agent says."""
        return self._slowness.get(upstream.announced.address, 1.0)

    def _apply_slowness(self, change: SlowUpstream) -> None:
        if change.slowness > 1.0:
            self._slowness[change.address] = change.slowness
        else:
            self._slowness.pop(change.address, None)

    def _apply_config(self, cfg: TrafficConfig) -> None:
        if cfg.version <= self.version:
            if cfg.version < self.version:
                events.log(
                    events.Event.CONFIG_STALE_IGNORED,
                    version=cfg.version,
                    in_force=self.version,
                )
            return
        self.routes = RouteTable(cfg)
        self.configured.set()
        events.log(
            events.Event.CONFIG_IN_FORCE,
            version=cfg.version,
            routes=len(cfg.routes),
            keys=len(cfg.access),
        )

    def _apply_announcement(self, announced: UpstreamInstance) -> None:
        if self._ended.is_replaced(announced):
            return
        known = self._upstreams.get(announced.instance)
        if known is None or known.announced.born_ms != announced.born_ms:
            known = self._upstreams[announced.instance] = Upstream(announced)
            known.leaving = self._ended.is_leaving(known.incarnation)
            self._ended.forget_removed(announced.instance)
        elif announced.sequence < known.announced.sequence:
            # A restored store lists older announcements for a moment.
            return
        is_first = known.announced is announced
        is_news = is_first or known.announced.sequence < announced.sequence
        changed = known.announced.state is not announced.state
        known.announced, known.lapsed = announced, False
        if is_news and announced.warmup_ms > 0:
            self._begin_warm_up([known], announced.warmup_ms / 1000, "announcement")
        if changed:
            events.log(
                events.Event.UPSTREAM_STATE,
                upstream=announced.instance,
                state=announced.state.value,
            )

    def _begin_warm_up(
        self, upstreams: Iterable[Upstream], duration_s: float | None, source: str
    ) -> None:
        cfg = self.routes.config if self.routes else None
        begin_warm_ups(self.warm_ups, cfg, upstreams, duration_s, source)

    def _cool_places(self, places: frozenset[str]) -> None:
        """Treat the upstreams of places that were taken back as cold."""
        cold = [one for one in self.all_upstreams() if one.announced.place in places]
        self._begin_warm_up(cold, None, "place")

    def _superseded(self) -> set[str]:
        named = self.routes.config.services if self.routes else None
        return superseded_upstreams(self._upstreams.values(), named)

    def _remove_upstream(self, instance: str, keep: bool) -> None:
        known = self._upstreams.get(instance)
        if known is None:
            return
        if keep:
            known.lapsed = True
            return
        del self._upstreams[instance]
        self._ended.record_removed(known.announced)
        self.rate_limits.forget(known.incarnation)
        self.warm_ups.forget(known.incarnation)
        events.log(events.Event.UPSTREAM_LEAVING, upstream=instance, reason="gone")

    def _set_superseded(self, superseded: set[str]) -> None:
        for upstream in self._upstreams.values():
            is_superseded = upstream.instance in superseded
            if is_superseded == upstream.superseded:
                continue
            upstream.superseded = is_superseded
            state = "superseded" if is_superseded else upstream.announced.state.value
            events.log(
                events.Event.UPSTREAM_STATE, upstream=upstream.instance, state=state
            )

    def _rebuild_index(self) -> None:
        self._set_superseded(self._superseded())
        self.index.rebuild(
            self._upstreams.values(),
            self.evacuated_places,
            self.entries,
            self.routes.config if self.routes else None,
        )
        for listener in self._listeners:
            listener()
