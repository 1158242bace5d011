"""Which upstream takes a request, and what the entry knows about each upstream."""

from mustardfront.coordination.routing._choose import (
    Policy,
    capable_upstreams,
    choose,
)
from mustardfront.coordination.routing._knobs import RoutingKnobs
from mustardfront.coordination.routing._table import UpstreamState, UpstreamTable
from mustardfront.coordination.routing._types import Candidate, Decision, RouteRequest

__all__ = [
    "Candidate",
    "Decision",
    "Policy",
    "RouteRequest",
    "RoutingKnobs",
    "UpstreamState",
    "UpstreamTable",
    "capable_upstreams",
    "choose",
]
