"""State of all upstreams that take requests, as this process knows it."""

from __future__ import annotations

import random
import statistics
from collections.abc import Callable

from mustardfront import events
from mustardfront.coordination.routing._health import BACKOFF_DOUBLINGS_MAX, NEVER
from mustardfront.coordination.routing._knobs import RoutingKnobs
from mustardfront.coordination.routing._state import TrackedUpstream
from mustardfront.protocol import LoadReport
from mustardfront.state import Config

# States in a load report that mean that the upstream takes new requests.
READY_STATES = frozenset({"", "ready", "live", "up", "active"})
# Time for which the overview of a service is cached, as computing it takes longer than
# a decision.
_OVERVIEW_TTL_S = 0.1
# Added to the latencies that are compared, so that smaller differences do not make an
# upstream slow.
_LATENCY_OFFSET_S = 0.01


class ServiceOverview:
    """A service's upstreams in name order, with figures over all of them."""

    __slots__ = ("at", "own_shares", "states", "utilisation", "utilisation_by_region")

    def __init__(
        self, states: tuple[TrackedUpstream, ...], own_shares: dict[str, float]
    ) -> None:
        self.states = states
        # This process's fraction of the load, by place. Entries prefer near upstreams,
        # so it differs by place. The last known value is kept when reports are stale.
        self.own_shares = own_shares
        # Time at which the figures were computed.
        self.at = NEVER
        # Load divided by capacity, over the available upstreams.
        self.utilisation = 0.0
        self.utilisation_by_region: dict[str, float] = {}


class UpstreamTable:
    """The upstreams of all services, from configuration, reports and own requests.

    ``clock`` returns seconds, like ``trio.current_time``. Calls for an upstream that
    is not in the configuration are ignored, as it may have been removed meanwhile.
    ``entry`` is the host of the entry, which determines the ranks that it uses.
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
        self._states: dict[str, TrackedUpstream] = {}
        self._overviews: dict[str, ServiceOverview] = {}
        self._regions: dict[str, str] = {}
        self._entry_host = entry

    def update_config(self, cfg: Config) -> None:
        """Apply a configuration and keep the state of the upstreams that remain."""
        states: dict[str, TrackedUpstream] = {}
        overviews: dict[str, ServiceOverview] = {}
        group_ranks = {
            group.front_for(self._entry_host): group.ranks
            for group in cfg.groups.values()
        }
        for service in cfg.services:
            names = cfg.fronts(service, self._entry_host)
            for name in names:
                state = self._states.get(name) or TrackedUpstream(name)
                self._apply_config(state, cfg, service)
                # The ranks of a group run in lockstep, so one draining rank drains all.
                ranks = group_ranks.get(name, (name,))
                state.draining = any(cfg.is_draining(rank) for rank in ranks)
                state.update_availability()
                states[name] = state
            previous = self._overviews.get(service)
            overviews[service] = ServiceOverview(
                tuple(states[name] for name in names),
                previous.own_shares if previous else {},
            )
        self._states = states
        self._overviews = overviews
        self._regions = {name: place.region for name, place in cfg.places.items()}

    def _apply_config(self, state: TrackedUpstream, cfg: Config, service: str) -> None:
        upstream = cfg.upstreams[state.name]
        place = cfg.place_of(state.name)
        state.service = service
        state.address = upstream.address
        state.place = place
        state.region = cfg.places[place].region if place in cfg.places else ""
        state.role = upstream.role
        state.adapters = frozenset(upstream.adapters)
        if state.report_at == NEVER:
            state.limit = max(1, cfg.limits_of(service).max_in_flight)

    def fronts(self, service: str) -> tuple[TrackedUpstream, ...]:
        """Return the states of the upstreams that take a service's requests."""
        overview = self._overviews.get(service)
        return overview.states if overview else ()

    def region_of(self, place: str) -> str:
        """Return the region of a place, or ``""`` when not known."""
        return self._regions.get(place, "")

    def state(self, upstream: str) -> TrackedUpstream | None:
        """Return the state of an upstream, or None when it is not configured."""
        return self._states.get(upstream)

    def apply_report(self, report: LoadReport) -> None:
        """Update an upstream from a load report of its sidecar."""
        state = self._states.get(report.upstream)
        if state is None:
            return
        now = self.clock()
        ready = report.state in READY_STATES
        if ready and not state.report_ready:
            state.leaving = False
            self._mark_returned(state)
        state.report_ready = ready
        state.report_at = now
        state.report_load = report.in_flight + report.queued
        state.report_own = state.in_flight_at(now - self.knobs.report_lag_s)
        state.report_latency_s = report.latency_ms / 1_000
        if report.limit > 0:
            state.limit = report.limit
        state.update_availability()

    def mark_leaving(self, upstream: str) -> None:
        """Stop choosing an upstream until it reconnects or has restarted.

        A restart shows as a ready report after one that was not ready.
        """
        state = self._states.get(upstream)
        if state is None or state.leaving:
            return
        state.leaving = True
        state.update_availability()
        events.log(events.Event.UPSTREAM_LEAVING, upstream=upstream)

    def set_connected(self, upstream: str, is_up: bool) -> None:
        """Record that the connection to a sidecar works, or that it was lost.

        Closing an idle connection does not count as a loss. After a loss the upstream
        is not chosen for a delay, which doubles with each consecutive loss.
        """
        state = self._states.get(upstream)
        if state is None:
            return
        if is_up:
            if state.lost or state.leaving:
                self._mark_returned(state)
            state.lost = 0
            state.down_until = NEVER
            state.leaving = False
            state.report_ready = True
            state.update_availability()
            return
        knobs = self.knobs
        doublings = min(state.lost, BACKOFF_DOUBLINGS_MAX)
        delay = min(knobs.reconnect_base_s * 2.0**doublings, knobs.reconnect_max_s)
        state.lost += 1
        state.down_until = self.clock() + delay
        state.report_at = NEVER
        state.update_availability()

    def pause(self, upstream: str, delay_s: float) -> None:
        """Choose an upstream no sooner than ``delay_s`` from now."""
        state = self._states.get(upstream)
        if state is not None:
            state.down_until = max(state.down_until, self.clock() + delay_s)
            state.update_availability()

    def record_start(self, upstream: str) -> None:
        """Count a request as in flight at the upstream."""
        state = self._states.get(upstream)
        if state is not None:
            state.change_in_flight(self.clock(), 1, self.knobs.report_lag_s)

    def record_first_token(self, upstream: str, ttft_s: float) -> None:
        """Record the time to first token of a request."""
        state = self._states.get(upstream)
        if state is not None:
            half_life_s = self.knobs.latency_half_life_s
            state.ttft.add_sample(self.clock(), ttft_s, half_life_s)

    def record_finish(self, upstream: str, duration_s: float, ok: bool | None) -> None:
        """Record the end of a request; ``ok`` is False when the upstream failed it.

        ``ok`` is None when the end says nothing about the upstream's health: the
        caller disconnected, or the request was refused for lack of capacity.
        """
        state = self._states.get(upstream)
        if state is None:
            return
        now = self.clock()
        state.change_in_flight(now, -1, self.knobs.report_lag_s)
        if ok is None:
            return
        if ok:
            state.latency.add_sample(now, duration_s, self.knobs.latency_half_life_s)
        should_eject = state.health.record_outcome(now, ok, self.knobs)
        if ok and state.health.probing:
            # A request from before the ejection does not show that new ones succeed.
            if now - duration_s >= state.health.ejected_until:
                self._mark_returned(state)
        elif should_eject and now >= state.health.ejected_until:
            self._eject(state, now)

    def overview(self, service: str) -> ServiceOverview:
        """Return the overview of a service, computed anew when it has expired."""
        overview = self._overviews[service]
        now = self.clock()
        if now >= overview.at + _OVERVIEW_TTL_S:
            overview.at = now
            self._update_slowness(overview, now)
            self._update_own_shares(overview, now)
            self._update_utilisation(overview, now)
        return overview

    def _update_own_shares(self, overview: ServiceOverview, now: float) -> None:
        totals: dict[str, list[int]] = {}
        for state in overview.states:
            if now - state.report_at <= self.knobs.report_stale_s:
                own_and_total = totals.setdefault(state.place, [0, 0])
                own_and_total[0] += state.report_own
                own_and_total[1] += state.report_load
        for place, (own, total) in totals.items():
            if own and total:
                overview.own_shares[place] = min(1.0, own / total)

    def _update_slowness(self, overview: ServiceOverview, now: float) -> None:
        """Update how many times slower than the median each upstream is."""
        oldest_ttft_at = now - 2 * self.knobs.latency_half_life_s
        oldest_report_at = now - self.knobs.report_stale_s
        ratios = dict.fromkeys(overview.states, 1.0)
        for values in (
            {s: s.ttft.value for s in overview.states if s.ttft.at >= oldest_ttft_at},
            {
                s: s.report_latency_s
                for s in overview.states
                if s.report_at >= oldest_report_at
            },
        ):
            if len(values) < 3:
                continue
            median = statistics.median(values.values()) + _LATENCY_OFFSET_S
            for state, value in values.items():
                ratios[state] = max(ratios[state], (value + _LATENCY_OFFSET_S) / median)
        for state, ratio in ratios.items():
            is_slow = ratio >= self.knobs.slow_ratio
            state.slow = min(ratio, self.knobs.slow_ratio_max) if is_slow else 1.0

    def _update_utilisation(self, overview: ServiceOverview, now: float) -> None:
        totals: dict[str, list[float]] = {}
        for state in overview.states:
            state.update_capacity(now, self.knobs)
            if state.available_at <= now:
                load_and_capacity = totals.setdefault(state.region, [0.0, 0.0])
                own_share = overview.own_shares.get(state.place, 0.0)
                load_and_capacity[0] += state.estimate_load(now, own_share, self.knobs)
                load_and_capacity[1] += state.capacity
        overview.utilisation_by_region = {
            region: load / capacity for region, (load, capacity) in totals.items()
        }
        capacity = sum(load_and_capacity[1] for load_and_capacity in totals.values())
        load = sum(load_and_capacity[0] for load_and_capacity in totals.values())
        overview.utilisation = load / capacity if capacity else 0.0

    def _eject(self, state: TrackedUpstream, now: float) -> None:
        upstreams = self.fronts(state.service)
        ejected_others = sum(
            other.health.ejected for other in upstreams if other is not state
        )
        # Without the small addend, rounding errors could turn a third of 3 into 0.
        if ejected_others + 1 > int(
            len(upstreams) * self.knobs.eject_groups_max_ratio + 1e-9
        ):
            return
        duration_s = state.health.eject(now, self.knobs)
        state.update_availability()
        events.log(
            events.Event.UPSTREAM_EJECTED,
            upstream=state.name,
            seconds=duration_s,
            ejections=state.health.ejections,
        )

    def _mark_returned(self, state: TrackedUpstream) -> None:
        now = self.clock()
        state.health.begin_slow_start(now)
        state.update_availability()
        state.update_capacity(now, self.knobs)
        events.log(events.Event.UPSTREAM_RETURNED, upstream=state.name)
