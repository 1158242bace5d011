"""State of a sidecar that is shared by its tasks."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Final

import trio

from mustardfront import events
from mustardfront.coordination.config import ConfigStore
from mustardfront.coordination.idempotency import PartitionOwner
from mustardfront.coordination.limits import AdaptiveLimit, FairQueue, Slot
from mustardfront.coordination.peers import PeerHub
from mustardfront.coordination.quarantine import CrashEvidence, Quarantine
from mustardfront.coordination.traffic import Backoffs, RateLimits
from mustardfront.programs.sidecar._attempt import Attempt
from mustardfront.programs.sidecar._upstream import UpstreamClient
from mustardfront.protocol import Leaving, LoadReport, Request
from mustardfront.results import Result
from mustardfront.state import Limits

# Weight of a new sample in the smoothed latency of the load report.
LATENCY_SMOOTHING: Final = 0.1
# The adaptive limit varies from the configured limit down to that limit divided by
# this.
LIMIT_MIN_DIVISOR: Final = 8
# The limit is logged when it differs from the last logged one by at least that limit
# divided by this.
LIMIT_LOG_DIVISOR: Final = 4


_LEAVING_REASON: Final = "upstream"


async def _never_crashed(_attempt: Attempt) -> bool:
    return False


async def _always_runs(_attempt: Attempt) -> bool:
    return True


@dataclass(eq=False)
class Sidecar:
    """State of one upstream, its running attempts and its connections to peers."""

    upstream: str
    client: UpstreamClient
    store: ConfigStore
    hub: PeerHub
    limits: Limits = field(default_factory=Limits)
    attempts: set[Attempt] = field(default_factory=set)
    # Whether the upstream passes its health checks. Before the first check that passes
    # it gets no requests.
    healthy: bool = False
    instance: str = ""
    latency_ms: float = 0.0
    # Held by a request that is suspected of crashing upstreams, so that only one such
    # request runs at a time.
    suspect_lock: trio.Lock = field(default_factory=trio.Lock)
    # Claims and records requests of a plain service that must not be repeated.
    owner: PartitionOwner | None = None
    drain_reasons: set[str] = field(default_factory=set)
    load_changed: trio.Event = field(default_factory=trio.Event)
    # Returns whether the upstream process that ran an attempt crashed; set to
    # ``HealthChecker.confirm_crash``.
    confirm_crash: Callable[[Attempt], Awaitable[bool]] = _never_crashed
    # Returns whether that process still runs; set to ``HealthChecker.confirm_running``.
    confirm_running: Callable[[Attempt], Awaitable[bool]] = _always_runs

    def __post_init__(self) -> None:
        self.quarantine = Quarantine(trio.current_time)
        self.crash_evidence = CrashEvidence(trio.current_time)
        # This sidecar alone sends to its upstream, so its share is the whole limit.
        self.rate_limits = RateLimits(trio.current_time)
        self.backoffs = Backoffs(trio.current_time)
        self.queue = FairQueue(lambda: self.limit, self.limits.queue)
        self.set_limits(self.limits)

    def set_limits(self, limits: Limits) -> None:
        """Apply configured limits; a change of them resets the adaptive limit."""
        if limits != self.limits or not hasattr(self, "_adaptive"):
            limit_max = max(1, limits.max_in_flight)
            limit_min = max(1, limit_max // LIMIT_MIN_DIVISOR)
            self._adaptive = AdaptiveLimit(limit_max, limit_min, limit_max)
            self._logged_limit = limit_max
        self.limits = limits
        self.queue.max_queued = limits.queue

    @property
    def limit(self) -> int:
        """Return how many requests may run concurrently."""
        return self._adaptive.limit

    async def acquire_slot(self, req: Request, deadline_s: float) -> Result[Slot]:
        """Wait in the queue for a slot; return an Err if the request gets none."""
        team = self.store.current.teams.get(req.team)
        weight = team.weight if team else 1
        return await self.queue.acquire(req.team, weight, req.priority, deadline_s)

    @property
    def draining(self) -> bool:
        """Return whether new requests are refused because this upstream drains."""
        return bool(self.drain_reasons)

    @property
    def state(self) -> str:
        """Return the state that load reports carry."""
        if self.draining:
            return "draining"
        return "ready" if self.healthy else "down"

    def set_drain(self, reason: str, active: bool) -> None:
        """Add or remove a reason to drain; notify peers when draining starts."""
        was_draining = self.draining
        if active:
            self.drain_reasons.add(reason)
        else:
            self.drain_reasons.discard(reason)
        if self.draining and not was_draining:
            self.hub.broadcast(Leaving(self.upstream))
        if self.draining != was_draining:
            events.log(
                events.Event.PROCESS_DRAINING
                if self.draining
                else events.Event.UPSTREAM_STATE,
                upstream=self.upstream,
                reason=reason,
                state=self.state,
            )
            self.notify_load_changed()

    def record_leaving(self, instance: str) -> None:
        """Drain, because a response of this instance said that it is about to end."""
        if instance == self.instance:
            self.set_drain(_LEAVING_REASON, True)

    def set_instance(self, instance: str) -> None:
        """Record the instance that runs now; another one than before is not leaving."""
        if instance != self.instance:
            self.set_drain(_LEAVING_REASON, False)
        self.instance = instance

    def handle_refused_connection(self) -> None:
        """Record that no process runs; one without a name is not leaving any more."""
        self.set_drain(_LEAVING_REASON, False)

    def set_healthy(self, healthy: bool, text: str) -> None:
        """Record the result of a health check; log and report a change of it."""
        if healthy == self.healthy:
            return
        self.healthy = healthy
        events.log(
            events.Event.UPSTREAM_STATE,
            upstream=self.upstream,
            state=self.state,
            instance=self.instance,
            text=text,
        )
        self.notify_load_changed()

    def notify_load_changed(self) -> None:
        """Wake the tasks that wait for a change of the load or the state."""
        event, self.load_changed = self.load_changed, trio.Event()
        event.set()

    def observe_latency(self, seconds: float, *, overloaded: bool) -> None:
        """Update latency and adaptive limit with the time to the head of an answer."""
        sample = seconds * 1e3
        if not self.latency_ms:
            self.latency_ms = sample
        self.latency_ms += (sample - self.latency_ms) * LATENCY_SMOOTHING
        self._adaptive.observe(seconds, self.queue.in_flight, not overloaded)
        before, limit = self._logged_limit, self.limit
        if abs(limit - before) * LIMIT_LOG_DIVISOR >= before:
            self._logged_limit = limit
            events.log(events.Event.LIMIT_CHANGED, limit=limit, before=before)

    def load_report(self) -> LoadReport:
        """Return a report of the current load."""
        return LoadReport(
            upstream=self.upstream,
            in_flight=self.queue.in_flight,
            queued=self.queue.queued,
            limit=self.limit,
            state=self.state,
            latency_ms=self.latency_ms,
        )
