"""Configuration, upstream state and selection for entries with direct upstreams."""

from mustardfront.coordination.traffic._feed import (
    Change,
    Changes,
    EntryChange,
    Feed,
    Snapshot,
    UpstreamGone,
    follow,
    keep_announced,
)
from mustardfront.coordination.traffic._routes import RouteTable, pick_service
from mustardfront.coordination.traffic._silence import (
    FirstEventTimes,
    silence_timeout_s,
)
from mustardfront.coordination.traffic._upstreams import (
    TrafficState,
    Upstream,
    least_loaded,
    selectable_upstreams,
)

__all__ = [
    "Change",
    "Changes",
    "EntryChange",
    "Feed",
    "FirstEventTimes",
    "RouteTable",
    "Snapshot",
    "TrafficState",
    "Upstream",
    "UpstreamGone",
    "follow",
    "keep_announced",
    "least_loaded",
    "pick_service",
    "selectable_upstreams",
    "silence_timeout_s",
]
