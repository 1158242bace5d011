"""Choice of an upstream for each request, and the state it is based on."""

from mustardfront.coordination.routing._baselines import BASELINES
from mustardfront.coordination.routing._choose import capable_upstreams, choose
from mustardfront.coordination.routing._hashing import rendezvous_scores, upstream_hash
from mustardfront.coordination.routing._knobs import RoutingKnobs
from mustardfront.coordination.routing._policy import Policy, default_policy
from mustardfront.coordination.routing._state import TrackedUpstream
from mustardfront.coordination.routing._table import UpstreamTable
from mustardfront.coordination.routing._types import Candidate, Decision, RouteRequest

__all__ = [
    "BASELINES",
    "Candidate",
    "Decision",
    "Policy",
    "RouteRequest",
    "RoutingKnobs",
    "TrackedUpstream",
    "UpstreamTable",
    "capable_upstreams",
    "choose",
    "default_policy",
    "rendezvous_scores",
    "upstream_hash",
]
