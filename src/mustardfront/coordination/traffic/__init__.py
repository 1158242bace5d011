"""Configuration, upstream state and selection for entries with direct upstreams."""

from mustardfront.coordination.traffic._admission import (
    AdmissionPolicy,
    AdmissionQueue,
    Demand,
    PlaceRatio,
    PlaceTurns,
    Waiter,
    admission_policy,
    place_limit,
)
from mustardfront.coordination.traffic._assignment import assign_upstreams
from mustardfront.coordination.traffic._backoff import Backoffs, parse_retry_after
from mustardfront.coordination.traffic._draining import StopDeadline, may_finish
from mustardfront.coordination.traffic._evacuation import PlaceEvacuation
from mustardfront.coordination.traffic._feed import (
    Change,
    Changes,
    EntryChange,
    Feed,
    SlowUpstream,
    Snapshot,
    UpstreamGone,
    follow,
    keep_announced,
)
from mustardfront.coordination.traffic._pace import GroupPace
from mustardfront.coordination.traffic._peer_loads import (
    REPORT_INTERVAL_S,
    LoadReport,
    PeerLoads,
    report_peers,
    reported_loads,
    upstream_key,
)
from mustardfront.coordination.traffic._placing import (
    choose_upstream,
    compared_upstreams,
    expected_foreign_load,
    known_loads,
    selectable_upstreams,
    with_room,
)
from mustardfront.coordination.traffic._rate_limits import (
    RateLimitNotice,
    RateLimits,
    parse_rate_limit,
)
from mustardfront.coordination.traffic._routes import RouteTable, pick_service
from mustardfront.coordination.traffic._silence import (
    FirstEventTimes,
    silence_timeout_s,
)
from mustardfront.coordination.traffic._upstream import Upstream
from mustardfront.coordination.traffic._upstreams import TrafficState
from mustardfront.coordination.traffic._warm_up import WarmUps

__all__ = [
    "REPORT_INTERVAL_S",
    "AdmissionPolicy",
    "AdmissionQueue",
    "Backoffs",
    "Change",
    "Changes",
    "Demand",
    "EntryChange",
    "Feed",
    "FirstEventTimes",
    "GroupPace",
    "LoadReport",
    "PeerLoads",
    "PlaceEvacuation",
    "PlaceRatio",
    "PlaceTurns",
    "RateLimitNotice",
    "RateLimits",
    "RouteTable",
    "SlowUpstream",
    "Snapshot",
    "StopDeadline",
    "TrafficState",
    "Upstream",
    "UpstreamGone",
    "Waiter",
    "WarmUps",
    "admission_policy",
    "assign_upstreams",
    "choose_upstream",
    "compared_upstreams",
    "expected_foreign_load",
    "follow",
    "keep_announced",
    "known_loads",
    "may_finish",
    "parse_rate_limit",
    "parse_retry_after",
    "pick_service",
    "place_limit",
    "report_peers",
    "reported_loads",
    "selectable_upstreams",
    "silence_timeout_s",
    "upstream_key",
    "with_room",
]
