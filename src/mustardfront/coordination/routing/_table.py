"""What this process knows about all upstreams that take requests."""

from __future__ import annotations

import random
import statistics
from collections.abc import Callable

from mustardfront import events
from mustardfront.coordination.routing._health import DOUBLINGS_MAX, NEVER
from mustardfront.coordination.routing._knobs import RoutingKnobs
from mustardfront.coordination.routing._state import UpstreamState
from mustardfront.protocol import LoadReport
from mustardfront.state import Config

# States in a load report of an upstream that takes new requests.
READY_STATES = frozenset({"", "ready", "live", "up", "active"})
# What is computed over all upstreams of a service is kept for this long, as it takes
# longer than a decision.
_OVERVIEW_S = 0.1
# Differences of less than this many seconds do not make an upstream slow.
_SPEED_FLOOR_S = 0.01


class Overview:
    """A service's upstreams in name order, and what is computed over all of them."""

    __slots__ = ("at", "own_shares", "states", "utilisation", "utilisation_by_region")

    def __init__(
        self, states: tuple[UpstreamState, ...], own_shares: dict[str, float]
    ) -> None:
        self.states = states
        # This process's share of the load, by place. Entries prefer near upstreams,
        # so it differs by place. The last known one stays when reports are stale.
        self.own_shares = own_shares
        self.at = NEVER
        # Load as a share of capacity, of the available upstreams.
        self.utilisation = 0.0
        self.utilisation_by_region: dict[str, float] = {}


class UpstreamTable:
    """The upstreams of all services, from configuration, reports and own requests.

    ``clock`` returns seconds, like ``trio.current_time``. Calls about an upstream
    that the configuration does not name are ignored: it was removed meanwhile.
    ``entry`` is the host of the entry, which decides on the ranks that it uses.
    """

    def __init__(
        self,
        clock: Callable[[], float],
        knobs: RoutingKnobs | None = None,
        rng: random.Random | None = None,
        entry: str = "",
    ) -> None:
        self.clock = clock
        self.knobs = knobs or RoutingKnobs()
        self.rng = rng or random.Random()
        self._states: dict[str, UpstreamState] = {}
        self._overviews: dict[str, Overview] = {}
        self._regions: dict[str, str] = {}
        self._entry = entry

    def update_config(self, cfg: Config) -> None:
        """Take over the upstreams of a configuration; keep what is known of them."""
        states: dict[str, UpstreamState] = {}
        services: dict[str, Overview] = {}
        ranks_of = {
            group.front_for(self._entry): group.ranks for group in cfg.groups.values()
        }
        for service in cfg.services:
            names = cfg.fronts(service, self._entry)
            for name in names:
                state = self._states.get(name) or UpstreamState(name)
                self._configure(state, cfg, service)
                # A group works in lock-step: when one rank drains, it all drains.
                ranks = ranks_of.get(name, (name,))
                state.draining = any(cfg.is_draining(rank) for rank in ranks)
                state.update_availability()
                states[name] = state
            old = self._overviews.get(service)
            services[service] = Overview(
                tuple(states[name] for name in names), old.own_shares if old else {}
            )
        self._states = states
        self._overviews = services
        self._regions = {name: place.region for name, place in cfg.places.items()}

    def _configure(self, state: UpstreamState, cfg: Config, service: str) -> None:
        entry = cfg.upstreams[state.name]
        place = cfg.place_of(state.name)
        state.service = service
        state.address = entry.address
        state.place = place
        state.region = cfg.places[place].region if place in cfg.places else ""
        state.role = entry.role
        state.adapters = frozenset(entry.adapters)
        if state.report_at == NEVER:
            state.limit = max(1, cfg.limits_of(service).max_in_flight)

    def fronts(self, service: str) -> tuple[UpstreamState, ...]:
        """Return the states of the upstreams that take a service's requests."""
        known = self._overviews.get(service)
        return known.states if known else ()

    def region_of(self, place: str) -> str:
        """Return the region of a place, or ``""`` when not known."""
        return self._regions.get(place, "")

    def state(self, upstream: str) -> UpstreamState | None:
        """Return what is known of an upstream."""
        return self._states.get(upstream)

    def report(self, report: LoadReport) -> None:
        """Take over a sidecar's load report."""
        state = self._states.get(report.upstream)
        if state is None:
            return
        now = self.clock()
        ready = report.state in READY_STATES
        if ready and not state.report_ready:
            state.leaving = False
            self._returned(state)
        state.report_ready = ready
        state.report_at = now
        state.report_load = report.in_flight + report.queued
        state.report_own = state.own_at(now - self.knobs.report_lag_s)
        state.report_latency_s = report.latency_ms / 1_000
        if report.limit > 0:
            state.limit = report.limit
        state.update_availability()

    def leaving(self, upstream: str) -> None:
        """Stop choosing an upstream until it reconnects or reports a new start."""
        state = self._states.get(upstream)
        if state is None or state.leaving:
            return
        state.leaving = True
        state.update_availability()
        events.log(events.Event.UPSTREAM_LEAVING, upstream=upstream)

    def connected(self, upstream: str, up: bool) -> None:
        """Note that the connection to its sidecar works, or that it was lost.

        Closing an idle connection is no loss. A lost upstream is tried again after
        a delay that doubles.
        """
        state = self._states.get(upstream)
        if state is None:
            return
        if up:
            if state.lost or state.leaving:
                self._returned(state)
            state.lost = 0
            state.down_until = NEVER
            state.leaving = False
            state.report_ready = True
            state.update_availability()
            return
        knobs = self.knobs
        doublings = min(state.lost, DOUBLINGS_MAX)
        delay = min(knobs.reconnect_base_s * 2.0**doublings, knobs.reconnect_max_s)
        state.lost += 1
        state.down_until = self.clock() + delay
        state.report_at = NEVER
        state.update_availability()

    def started(self, upstream: str) -> None:
        """Count a request that was sent to the upstream."""
        state = self._states.get(upstream)
        if state is not None:
            state.count(self.clock(), 1, self.knobs.report_lag_s)

    def first_token(self, upstream: str, seconds: float) -> None:
        """Note the time to first token of a request."""
        state = self._states.get(upstream)
        if state is not None:
            half_life_s = self.knobs.latency_half_life_s
            state.ttft.add(self.clock(), seconds, half_life_s)

    def finished(self, upstream: str, seconds: float, ok: bool | None) -> None:
        """Uncount a request; ``ok`` is false when the upstream failed it.

        ``ok`` is None when the end tells nothing about the upstream: the caller went
        away, or the request was refused for lack of capacity.
        """
        state = self._states.get(upstream)
        if state is None:
            return
        now = self.clock()
        state.count(now, -1, self.knobs.report_lag_s)
        if ok is None:
            return
        if ok:
            state.latency.add(now, seconds, self.knobs.latency_half_life_s)
        failing = state.health.record(now, ok, self.knobs)
        if ok and state.health.probing:
            # Requests from before the ejection prove nothing about new ones.
            if now - seconds >= state.health.ejected_until:
                self._returned(state)
        elif failing and now >= state.health.ejected_until:
            self._eject(state, now)

    def overview(self, service: str) -> Overview:
        """Return what is computed over all upstreams of a service."""
        view = self._overviews[service]
        now = self.clock()
        if now >= view.at + _OVERVIEW_S:
            view.at = now
            self._compare_speeds(view, now)
            self._compute_shares(view, now)
            self._compute_utilisation(view, now)
        return view

    def _compute_shares(self, view: Overview, now: float) -> None:
        sums: dict[str, list[int]] = {}
        for state in view.states:
            if now - state.report_at <= self.knobs.report_stale_s:
                pair = sums.setdefault(state.place, [0, 0])
                pair[0] += state.report_own
                pair[1] += state.report_load
        for place, (own, total) in sums.items():
            if own and total:
                view.own_shares[place] = min(1.0, own / total)

    def _compare_speeds(self, view: Overview, now: float) -> None:
        """Set how much slower than the median each upstream is."""
        oldest = now - 2 * self.knobs.latency_half_life_s
        stale = now - self.knobs.report_stale_s
        slow = dict.fromkeys(view.states, 1.0)
        for values in (
            {s: s.ttft.value for s in view.states if s.ttft.at >= oldest},
            {s: s.report_latency_s for s in view.states if s.report_at >= stale},
        ):
            if len(values) < 3:
                continue
            median = statistics.median(values.values()) + _SPEED_FLOOR_S
            for state, value in values.items():
                slow[state] = max(slow[state], (value + _SPEED_FLOOR_S) / median)
        for state, ratio in slow.items():
            is_slow = ratio >= self.knobs.slow_ratio
            state.slow = min(ratio, self.knobs.slow_ratio_max) if is_slow else 1.0

    def _compute_utilisation(self, view: Overview, now: float) -> None:
        sums: dict[str, list[float]] = {}
        for state in view.states:
            state.update_capacity(now, self.knobs)
            if state.available_at <= now:
                pair = sums.setdefault(state.region, [0.0, 0.0])
                share = view.own_shares.get(state.place, 0.0)
                pair[0] += state.load(now, share, self.knobs)
                pair[1] += state.capacity
        view.utilisation_by_region = {
            region: load / capacity for region, (load, capacity) in sums.items()
        }
        capacity = sum(pair[1] for pair in sums.values())
        load = sum(pair[0] for pair in sums.values())
        view.utilisation = load / capacity if capacity else 0.0

    def _eject(self, state: UpstreamState, now: float) -> None:
        peers = self.fronts(state.service)
        others = sum(peer.health.ejected for peer in peers if peer is not state)
        # The small addend keeps a third of 3 from being rounded down to 0.
        if others + 1 > int(len(peers) * self.knobs.eject_groups_max_ratio + 1e-9):
            return
        seconds = state.health.eject(now, self.knobs)
        state.update_availability()
        events.log(
            events.Event.UPSTREAM_EJECTED,
            upstream=state.name,
            seconds=seconds,
            ejections=state.health.ejections,
        )

    def _returned(self, state: UpstreamState) -> None:
        now = self.clock()
        state.health.returned(now)
        state.update_availability()
        state.update_capacity(now, self.knobs)
        events.log(events.Event.UPSTREAM_RETURNED, upstream=state.name)
