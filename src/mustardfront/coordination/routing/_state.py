"""State of one upstream as this process knows it."""

from __future__ import annotations

from collections import deque

from mustardfront.coordination.routing._hashing import upstream_hash
from mustardfront.coordination.routing._health import NEVER, Health
from mustardfront.coordination.routing._knobs import RoutingKnobs


class MovingAverage:
    """An exponentially decaying average over time, in the unit of its samples."""

    __slots__ = ("at", "value")

    def __init__(self) -> None:
        self.value = 0.0
        self.at = NEVER

    def add_sample(self, now: float, sample: float, half_life_s: float) -> None:
        """Add a sample, with a weight of at least a tenth.

        The minimum lets samples that arrive at the same time count.
        """
        if self.at == NEVER:
            self.value = sample
        else:
            decay = min(0.9, 0.5 ** ((now - self.at) / half_life_s))
            self.value += (sample - self.value) * (1 - decay)
        self.at = now


class TrackedUpstream:
    """Settings, requests in flight, load report, latency and health of an upstream."""

    __slots__ = (
        "_in_flight_history",
        "adapters",
        "address",
        "available_at",
        "capacity",
        "down_until",
        "draining",
        "health",
        "in_flight",
        "latency",
        "leaving",
        "limit",
        "lost",
        "name",
        "name_hash",
        "place",
        "region",
        "report_at",
        "report_latency_s",
        "report_load",
        "report_own",
        "report_ready",
        "role",
        "service",
        "slow",
        "ttft",
    )

    def __init__(self, name: str) -> None:
        self.name = name
        self.name_hash = upstream_hash(name)
        self.service = ""
        self.address = ""
        self.place = ""
        self.region = ""
        self.role = "both"
        self.adapters: frozenset[str] = frozenset()
        self.draining = False
        self.leaving = False
        # Consecutive lost or failed connections, which determine the reconnect delay.
        self.lost = 0
        self.down_until = NEVER
        # Requests in flight from this process only.
        self.in_flight = 0
        # Times and values of the changes of ``in_flight`` within the last
        # ``report_lag_s``. The first item may be older: it holds the value at the
        # start of that time.
        self._in_flight_history: deque[tuple[float, int]] = deque(((NEVER, 0),))
        self.report_at = NEVER
        self.report_load = 0
        # Own requests in flight at the assumed time of the report.
        self.report_own = 0
        self.report_ready = True
        self.report_latency_s = 0.0
        self.limit = 1
        self.latency = MovingAverage()
        self.ttft = MovingAverage()
        # Latency as a multiple of the service's median; 1 when below ``slow_ratio``.
        self.slow = 1.0
        # Requests that it can serve at a time, reduced while it is slow or in slow
        # start. Updated by the table.
        self.capacity = 1.0
        self.health = Health()
        # Time from which it may get requests; infinite while that depends on an event.
        self.available_at = NEVER

    def change_in_flight(self, now: float, change: int, lag_s: float) -> None:
        """Change the number of own requests in flight by ``change``."""
        self.in_flight = max(0, self.in_flight + change)
        self._in_flight_history.append((now, self.in_flight))
        self._trim_history(now - lag_s)
        if self.health.probing:
            self.update_availability()

    def in_flight_at(self, time_s: float) -> int:
        """Return the own requests in flight at a time within ``report_lag_s``."""
        self._trim_history(time_s)
        return self._in_flight_history[0][1]

    def _trim_history(self, time_s: float) -> None:
        history = self._in_flight_history
        while len(history) > 1 and history[1][0] <= time_s:
            history.popleft()

    def estimate_load(self, now: float, own_share: float, knobs: RoutingKnobs) -> float:
        """Estimate the requests at the upstream from all entries.

        Blends two estimates. The first is the report plus the change of own requests
        since it was made; it is late. The second divides own requests by
        ``own_share``, the fraction of all requests that are own; it is current but
        noisy. Without a fresh report, only the second is used. ``own_share`` is 0
        when not known: then a fresh report is used alone, and without one the
        estimate is the number of own requests.
        """
        from_own = self.in_flight / own_share if own_share else self.in_flight
        if now - self.report_at > knobs.report_stale_s:
            return from_own
        from_report = max(
            self.in_flight, self.report_load + self.in_flight - self.report_own
        )
        own_weight = knobs.own_blend_ratio if own_share else 0.0
        return own_weight * from_own + (1 - own_weight) * from_report

    def update_capacity(self, now: float, knobs: RoutingKnobs) -> None:
        """Compute the capacity from limit, slow start and relative latency."""
        self.capacity = (
            self.limit * self.health.slow_start_weight(now, knobs) / self.slow
        )

    def update_availability(self) -> None:
        """Compute ``available_at``; call after each change of one of its inputs."""
        probe_in_flight = self.health.probing and self.in_flight > 0
        if self.draining or self.leaving or not self.report_ready or probe_in_flight:
            self.available_at = float("inf")
        else:
            self.available_at = max(self.down_until, self.health.ejected_until)
