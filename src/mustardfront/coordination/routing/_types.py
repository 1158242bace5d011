"""What a routing decision takes and gives."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class RouteRequest:
    """A request to route; ``prefix`` is the 64-bit hash of its start, 0 for none.

    ``place`` is the entry's own place. ``role`` is what the upstream has to do;
    ``model`` and ``version``, when given, have to be those of the service.
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
    """An upstream that was compared: its estimated load and its score, lower first."""

    upstream: str
    load: float
    score: float


@dataclass(frozen=True, slots=True)
class Decision:
    """The chosen upstream, its sidecar's address ``"IP:PORT"``, and why."""

    upstream: str
    address: str
    reason: str
    candidates: tuple[Candidate, ...]
    config_version: int
