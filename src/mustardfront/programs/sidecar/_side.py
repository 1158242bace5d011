"""State of a sidecar that its tasks share."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field

import trio

from mustardfront import events
from mustardfront.coordination.config import ConfigStore
from mustardfront.coordination.peers import PeerHub
from mustardfront.coordination.quarantine import Quarantine
from mustardfront.programs.sidecar._attempt import Attempt
from mustardfront.programs.sidecar._queue import FifoQueue
from mustardfront.programs.sidecar._upstream import UpstreamClient
from mustardfront.protocol import Leaving, LoadReport
from mustardfront.state import Limits

# Weight of a new sample in the smoothed latency of the load report.
LATENCY_SMOOTHING = 0.1


async def _no_loss(_attempt: Attempt) -> bool:
    return False


@dataclass(eq=False)
class Sidecar:
    """One upstream, what runs on it, and what peers must learn of it."""

    upstream: str
    client: UpstreamClient
    store: ConfigStore
    hub: PeerHub
    quarantine: Quarantine
    limits: Limits = field(default_factory=Limits)
    attempts: set[Attempt] = field(default_factory=set)
    # Answers health checks; before the first good one the upstream takes no work.
    healthy: bool = False
    instance: str = ""
    latency_ms: float = 0.0
    # Held by the one suspect of crashing upstreams that may run at a time.
    suspect_turn: trio.Lock = field(default_factory=trio.Lock)
    drain_reasons: set[str] = field(default_factory=set)
    load_changed: trio.Event = field(default_factory=trio.Event)
    # Says whether the upstream process that ran an attempt is gone; see ``Health``.
    confirm_loss: Callable[[Attempt], Awaitable[bool]] = _no_loss
    _connections: set[trio.CancelScope] = field(default_factory=set)

    def __post_init__(self) -> None:
        self.queue = FifoQueue(lambda: self.limits.max_in_flight, self.limits.queue)

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

    @contextmanager
    def connected(self) -> Iterator[trio.CancelScope]:
        """Yield a scope that ends when this process closes its connections."""
        scope = trio.CancelScope()
        self._connections.add(scope)
        try:
            yield scope
        finally:
            self._connections.discard(scope)

    def close_connections(self) -> None:
        """Stop receiving on all connections; what is queued still goes out."""
        for scope in self._connections:
            scope.cancel()

    def observe_latency(self, seconds: float) -> None:
        """Add the time from hand-over to the first part of an answer."""
        sample = seconds * 1e3
        if not self.latency_ms:
            self.latency_ms = sample
        self.latency_ms += (sample - self.latency_ms) * LATENCY_SMOOTHING

    def load_report(self) -> LoadReport:
        """Return the load at this moment."""
        return LoadReport(
            upstream=self.upstream,
            in_flight=self.queue.in_flight,
            queued=self.queue.queued,
            limit=self.limits.max_in_flight,
            state=self.state,
            latency_ms=self.latency_ms,
        )
