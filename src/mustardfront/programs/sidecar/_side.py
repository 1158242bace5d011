"""State of a sidecar that its tasks share."""

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
from mustardfront.coordination.quarantine import Quarantine
from mustardfront.programs.sidecar._attempt import Attempt
from mustardfront.programs.sidecar._upstream import UpstreamClient
from mustardfront.protocol import Leaving, LoadReport, Request
from mustardfront.results import Result
from mustardfront.state import Limits

# Weight of a new sample in the smoothed latency of the load report.
LATENCY_SMOOTHING: Final = 0.1
# The adaptive limit moves between the configured one and this fraction of it.
LIMIT_RANGE: Final = 8
# The limit is logged when it moved by a quarter since the last time.
LIMIT_LOG_STEPS: Final = 4


async def _no_loss(_attempt: Attempt) -> bool:
    return False


@dataclass(eq=False)
class Sidecar:
    """One upstream, what runs on it, and what peers must learn of it."""

    upstream: str
    client: UpstreamClient
    store: ConfigStore
    hub: PeerHub
    limits: Limits = field(default_factory=Limits)
    attempts: set[Attempt] = field(default_factory=set)
    # Answers health checks; before the first good one the upstream takes no work.
    healthy: bool = False
    instance: str = ""
    latency_ms: float = 0.0
    # Held by the one suspect of crashing upstreams that may run at a time.
    suspect_turn: trio.Lock = field(default_factory=trio.Lock)
    # Claims and records the calls of a plain service that must not be repeated.
    owner: PartitionOwner | None = None
    drain_reasons: set[str] = field(default_factory=set)
    load_changed: trio.Event = field(default_factory=trio.Event)
    # Says whether the upstream process that ran an attempt is gone; see ``Health``.
    confirm_loss: Callable[[Attempt], Awaitable[bool]] = _no_loss

    def __post_init__(self) -> None:
        self.quarantine = Quarantine(trio.current_time)
        self.queue = FairQueue(lambda: self.limit, self.limits.queue)
        self.set_limits(self.limits)

    def set_limits(self, limits: Limits) -> None:
        """Put configured limits in force; what was learned under others is dropped."""
        if limits != self.limits or not hasattr(self, "_adaptive"):
            most = max(1, limits.max_in_flight)
            least = max(1, most // LIMIT_RANGE)
            self._adaptive = AdaptiveLimit(most, least, most)
            self._logged_limit = most
        self.limits = limits
        self.queue.max_queued = limits.queue

    @property
    def limit(self) -> int:
        """Return how many requests may run at a time."""
        return self._adaptive.limit

    async def acquire_slot(self, req: Request, deadline_s: float) -> Result[Slot]:
        """Wait for the request's turn; an Err says why it does not get one."""
        team = self.store.current.teams.get(req.team)
        weight = team.weight if team else 1
        return await self.queue.acquire(req.team, weight, req.priority, deadline_s)

    @property
    def draining(self) -> bool:
        """Say whether new work is refused because this upstream is leaving."""
        return bool(self.drain_reasons)

    @property
    def state(self) -> str:
        """Return the state for load reports."""
        if self.draining:
            return "draining"
        return "ready" if self.healthy else "down"

    def set_drain(self, reason: str, wanted: bool) -> None:
        """Start or end draining for one reason, and tell peers about a start."""
        was = self.draining
        if wanted:
            self.drain_reasons.add(reason)
        else:
            self.drain_reasons.discard(reason)
        if self.draining and not was:
            self.hub.broadcast(Leaving(self.upstream))
        if self.draining != was:
            events.log(
                events.Event.PROCESS_DRAINING
                if self.draining
                else events.Event.UPSTREAM_STATE,
                upstream=self.upstream,
                reason=reason,
                state=self.state,
            )
            self.changed()

    def set_healthy(self, healthy: bool, text: str) -> None:
        """Note what health checks found, and tell peers when it changed."""
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
        self.changed()

    def changed(self) -> None:
        """Let a load report follow soon."""
        changed, self.load_changed = self.load_changed, trio.Event()
        changed.set()

    def observe(self, seconds: float, *, overloaded: bool) -> None:
        """Learn from the time between hand-over and the first part of an answer."""
        sample = seconds * 1e3
        if not self.latency_ms:
            self.latency_ms = sample
        self.latency_ms += (sample - self.latency_ms) * LATENCY_SMOOTHING
        self._adaptive.observe(seconds, self.queue.in_flight, not overloaded)
        before, limit = self._logged_limit, self.limit
        if abs(limit - before) * LIMIT_LOG_STEPS >= before:
            self._logged_limit = limit
            events.log(events.Event.LIMIT_CHANGED, limit=limit, before=before)

    def load_report(self) -> LoadReport:
        """Return the load at this moment."""
        return LoadReport(
            upstream=self.upstream,
            in_flight=self.queue.in_flight,
            queued=self.queue.queued,
            limit=self.limit,
            state=self.state,
            latency_ms=self.latency_ms,
        )
