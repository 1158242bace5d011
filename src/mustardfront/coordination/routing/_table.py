"""What this process knows about each upstream that takes requests."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from mustardfront import events
from mustardfront.coordination.routing._knobs import RoutingKnobs
from mustardfront.protocol import LoadReport
from mustardfront.state import Config

# States in a load report of an upstream that takes new requests.
READY_STATES = frozenset({"", "ready", "live", "up", "active"})


class UpstreamState:
    """Counts, reports, latency and health of one upstream."""

    __slots__ = (
        "adapters",
        "address",
        "down_until",
        "draining",
        "ejected_until",
        "ejections",
        "failures",
        "in_flight",
        "latency_s",
        "leaving",
        "limit",
        "lost",
        "name",
        "outcomes",
        "place",
        "region",
        "report_at",
        "report_load",
        "report_own",
        "report_ready",
        "returned_at",
        "role",
        "service",
        "ttft_s",
    )

    def __init__(self, name: str) -> None:
        self.name = name
        self.service = ""
        self.address = ""
        self.place = ""
        self.region = ""
        self.role = "both"
        self.adapters: frozenset[str] = frozenset()
        self.draining = False
        self.in_flight = 0
        self.leaving = False
        self.lost = 0
        self.down_until = float("-inf")
        self.report_at = float("-inf")
        self.report_load = 0
        self.report_own = 0
        self.report_ready = True
        self.limit = 1
        self.latency_s = 0.0
        self.ttft_s = 0.0
        self.failures = 0
        self.outcomes: list[tuple[float, bool]] = []
        self.ejected_until = float("-inf")
        self.ejections = 0
        self.returned_at = float("-inf")


class UpstreamTable:
    """The upstreams of all services, from configuration, reports and own requests.

    ``clock`` returns seconds, like ``trio.current_time``. Calls about an upstream
    that the configuration does not name are ignored: it was removed meanwhile.
    """

    def __init__(
        self, clock: Callable[[], float], knobs: RoutingKnobs | None = None
    ) -> None:
        self.clock = clock
        self.knobs = knobs or RoutingKnobs()
        self._states: dict[str, UpstreamState] = {}
        self._fronts: dict[str, tuple[UpstreamState, ...]] = {}

    def update_config(self, cfg: Config) -> None:
        """Take over the upstreams of a configuration; keep what is known of them."""
        states: dict[str, UpstreamState] = {}
        fronts: dict[str, tuple[UpstreamState, ...]] = {}
        ranks_of = {group.ranks[0]: group.ranks for group in cfg.groups.values()}
        for service in cfg.services:
            names = cfg.fronts(service)
            for name in names:
                state = self._states.get(name) or UpstreamState(name)
                entry = cfg.upstreams[name]
                place = cfg.place_of(name)
                state.service = service
                state.address = entry.address
                state.place = place
                state.region = cfg.places[place].region if place in cfg.places else ""
                state.role = entry.role
                state.adapters = frozenset(entry.adapters)
                if state.report_at == float("-inf"):
                    state.limit = max(1, cfg.limits_of(service).max_in_flight)
                # A group works in lock-step: when one rank drains, it all drains.
                ranks = ranks_of.get(name, (name,))
                state.draining = any(cfg.is_draining(rank) for rank in ranks)
                states[name] = state
            fronts[service] = tuple(states[name] for name in names)
        self._states = states
        self._fronts = fronts

    def fronts(self, service: str) -> tuple[UpstreamState, ...]:
        """Return the states of the upstreams that take a service's requests."""
        return self._fronts.get(service, ())

    def state(self, upstream: str) -> UpstreamState | None:
        """Return what is known of an upstream."""
        return self._states.get(upstream)

    def report(self, report: LoadReport) -> None:
        """Take over a sidecar's load report."""
        state = self._states.get(report.upstream)
        if state is None:
            return
        ready = report.state in READY_STATES
        if ready and not state.report_ready:
            self._returned(state)
        state.report_ready = ready
        state.report_at = self.clock()
        state.report_load = report.in_flight + report.queued
        state.report_own = state.in_flight
        if report.limit > 0:
            state.limit = report.limit

    def leaving(self, upstream: str) -> None:
        """Stop choosing an upstream until it reports ready again or reconnects."""
        state = self._states.get(upstream)
        if state is None or state.leaving:
            return
        state.leaving = True
        state.report_ready = False
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
            state.down_until = float("-inf")
            state.report_ready = True
            return
        knobs = self.knobs
        delay = min(knobs.reconnect_base_s * 2**state.lost, knobs.reconnect_max_s)
        state.lost += 1
        state.down_until = self.clock() + delay
        state.report_at = float("-inf")

    def started(self, upstream: str) -> None:
        """Count a request that was sent to the upstream."""
        state = self._states.get(upstream)
        if state is not None:
            state.in_flight += 1

    def first_token(self, upstream: str, seconds: float) -> None:
        """Note the time to first token of a request."""
        state = self._states.get(upstream)
        if state is not None:
            state.ttft_s += (seconds - state.ttft_s) * (0.1 if state.ttft_s else 1.0)

    def finished(self, upstream: str, seconds: float, ok: bool) -> None:
        """Uncount a request; ``ok`` is false when the upstream failed it."""
        state = self._states.get(upstream)
        if state is None:
            return
        state.in_flight = max(0, state.in_flight - 1)
        if ok:
            change = 0.1 if state.latency_s else 1.0
            state.latency_s += (seconds - state.latency_s) * change

    def names(self) -> Iterable[str]:
        """Return the names of all upstreams that take requests."""
        return self._states.keys()

    def _returned(self, state: UpstreamState) -> None:
        state.leaving = False
        state.returned_at = self.clock()
        events.log(events.Event.UPSTREAM_RETURNED, upstream=state.name)
