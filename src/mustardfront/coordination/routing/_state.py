"""What this process knows about one upstream."""

from __future__ import annotations

from collections import deque

from mustardfront.coordination.routing._hashing import upstream_hash
from mustardfront.coordination.routing._health import NEVER, Health
from mustardfront.coordination.routing._knobs import RoutingKnobs


class Smoothed:
    """An exponential average over time, in the unit of its samples."""

    __slots__ = ("at", "value")

    def __init__(self) -> None:
        self.value = 0.0
        self.at = NEVER

    def add(self, now: float, sample: float, half_life_s: float) -> None:
        """Take a sample; many samples at one time weigh at least a tenth each."""
        if self.at == NEVER:
            self.value = sample
        else:
            kept = min(0.9, 0.5 ** ((now - self.at) / half_life_s))
            self.value += (sample - self.value) * (1 - kept)
        self.at = now


class UpstreamState:
    """Counts, reports, latency and health of one upstream."""

    __slots__ = (
        "_own_history",
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
        self.lost = 0
        self.down_until = NEVER
        self.in_flight = 0
        # Own requests in flight after each change of the last ``report_lag_s``; the
        # first item may be older.
        self._own_history: deque[tuple[float, int]] = deque(((NEVER, 0),))
        self.report_at = NEVER
        self.report_load = 0
        self.report_own = 0
        self.report_ready = True
        self.report_latency_s = 0.0
        self.limit = 1
        self.latency = Smoothed()
        self.ttft = Smoothed()
        self.slow = 1.0
        # Load it can carry, lowered while it is slow or returning; kept up to date by
        # the table.
        self.capacity = 1.0
        self.health = Health()
        # From when it may get requests; infinite while that depends on an event.
        self.available_at = NEVER

    def count(self, now: float, change: int, lag_s: float) -> None:
        """Change the number of own requests in flight."""
        self.in_flight = max(0, self.in_flight + change)
        self._own_history.append((now, self.in_flight))
        self._trim(now - lag_s)
        if self.health.probing:
            self.update_availability()

    def own_at(self, when: float) -> int:
        """Return the own requests in flight at ``when``, within the lag."""
        self._trim(when)
        return self._own_history[0][1]

    def _trim(self, when: float) -> None:
        history = self._own_history
        while len(history) > 1 and history[1][0] <= when:
            history.popleft()

    def load(self, now: float, own_share: float, knobs: RoutingKnobs) -> float:
        """Estimate all requests at the upstream, of every entry.

        One estimate is the report, corrected by the change of own requests since it
        was made; it is late. The other takes own requests as ``own_share`` of all;
        it is fresh but noisy. Without a fresh report, only the second counts.
        ``own_share`` is 0 when not known; own requests are then all that is known.
        """
        scaled = self.in_flight / own_share if own_share else self.in_flight
        if now - self.report_at > knobs.report_stale_s:
            return scaled
        reported = max(
            self.in_flight, self.report_load + self.in_flight - self.report_own
        )
        blend = knobs.own_blend_ratio if own_share else 0.0
        return blend * scaled + (1 - blend) * reported

    def update_capacity(self, now: float, knobs: RoutingKnobs) -> None:
        """Compute the capacity from limit, slow start and speed."""
        self.capacity = self.limit * self.health.weight(now, knobs) / self.slow

    def update_availability(self) -> None:
        """Compute ``available_at``; called after each change of what it depends on."""
        busy_probe = self.health.probing and self.in_flight > 0
        if self.draining or self.leaving or not self.report_ready or busy_probe:
            self.available_at = float("inf")
        else:
            self.available_at = max(self.down_until, self.health.ejected_until)
