"""Configuration, upstream state and selection for entries with direct upstreams."""

from mustardfront.coordination.traffic._feed import (
    Change,
    Changes,
    EntrySeen,
    Feed,
    Snapshot,
    UpstreamGone,
    follow,
    keep_announced,
)
from mustardfront.coordination.traffic._patience import FirstEventTimes, patience_s
from mustardfront.coordination.traffic._routes import RouteTable, pick_service
from mustardfront.coordination.traffic._upstreams import (
    TrafficState,
    Upstream,
    least_loaded,
    preferred,
)

__all__ = [
    "Change",
    "Changes",
    "EntrySeen",
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
    "patience_s",
    "pick_service",
    "preferred",
]
