"""Settings of the routing policy; ``docs/tuning.md`` describes each one."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class RoutingKnobs:
    """Defaults of the routing policy, with the unit in each name."""

    # Sidecars report at least every 2 s, so after 5 s two reports are missing.
    report_stale_s: float = 5.0
    # Assumed age of a report on arrival: the change of own requests in flight since
    # then is added to it.
    report_lag_s: float = 1.0
    # Weight of the load estimate from own requests; the report, which is late, has
    # the rest.
    own_blend_ratio: float = 0.5
    latency_half_life_s: float = 5.0
    # Multiple of the median latency from which an upstream counts as slow. Request
    # lengths and cache hits alone make latencies differ by less.
    slow_ratio: float = 2.0
    slow_ratio_max: float = 10.0
    choices_count: int = 2
    prefix_load_bound_ratio: float = 1.2
    # Above this utilisation a request would queue, which costs more than a cache
    # miss.
    prefix_utilisation_max: float = 1.12
    # Upstreams tried in a prefix's order of preference; each of them comes to cache
    # the prefix.
    prefix_tries_count: int = 3
    spill_load_ratio: float = 1.1
    # Up to this utilisation a region sends no requests to other regions.
    spill_utilisation_min: float = 0.5
    slow_start_s: float = 10.0
    slow_start_weight_min: float = 0.1
    eject_failures_count: int = 3
    eject_window_s: float = 10.0
    eject_failure_ratio: float = 0.5
    eject_base_s: float = 10.0
    eject_max_s: float = 60.0
    eject_groups_max_ratio: float = 1 / 3
    reconnect_base_s: float = 0.5
    reconnect_max_s: float = 10.0
    logged_candidates_max: int = 8
