"""Input and output types of routing decisions."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class RouteRequest:
    """A request to route.

    ``prefix`` is the 64-bit hash of the start of the request, 0 for none. ``place`` is
    the entry's own place. An upstream's role must be ``role`` or "both". ``model`` and
    ``version``, when given, must match those of the service.
    """

    request_id: str
    service: str
    team: str
    place: str
    prefix: int = 0
    adapter: str = ""
    priority: int = 1
    role: str = "both"
    model: str = ""
    version: str = ""


@dataclass(frozen=True, slots=True)
class Candidate:
    """An upstream that was compared: its estimated load and score, lower is better."""

    upstream: str
    load: float
    score: float


@dataclass(frozen=True, slots=True)
class Decision:
    """The chosen upstream, its sidecar's address ``"IP:PORT"`` and the reason."""

    upstream: str
    address: str
    reason: str
    candidates: tuple[Candidate, ...]
    config_version: int
