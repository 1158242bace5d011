"""Routes, services and teams of a deployment whose entries call upstreams directly."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import StrEnum
from types import MappingProxyType


class RequestKind(StrEnum):
    """Whether and how a request may be repeated."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non-idempotent"
    STREAM = "stream"


@dataclass(frozen=True, slots=True)
class ServiceShare:
    """A service and its relative share of a route's requests."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class TrafficRoute:
    """A route: the requests of one HTTP host under one path prefix.

    ``objective_ms`` is the target time until the response is complete or, for a stream,
    until its first event; ``gap_ms`` is the longest pause between two events.
    ``attempts_max`` limits the upstreams tried. ``priority`` 0 is served first.
    ``allowed_regions`` are those whose upstreams may get the requests; none: any.
    """

    name: str
    host: str
    prefix: str
    kind: RequestKind
    shares: tuple[ServiceShare, ...]
    timeout_ms: float
    objective_ms: float
    gap_ms: float = 0.0
    priority: int = 0
    attempts_max: int = 1
    anonymous: bool = False
    resumable: bool = False
    allowed_regions: frozenset[str] = frozenset()

    @property
    def is_repeatable(self) -> bool:
        """Return whether a request may run more than once."""
        if self.kind is RequestKind.STREAM:
            return self.resumable
        return self.kind is RequestKind.IDEMPOTENT


@dataclass(frozen=True, slots=True)
class EngineModel:
    """How an inference engine places and loads experts.

    ``layers`` sets of ``experts`` experts are placed on a group's ranks; a rank has
    ``slots_per_rank`` slots for each set. In one change a rank loads at most
    ``loads_max`` new experts of a set and takes ``expert_load_s`` seconds for each.
    ``expert_share`` is the fraction of a step that experts take.
    """

    layers: int = 0
    experts: int = 0
    slots_per_rank: int = 0
    loads_max: int = 0
    expert_load_s: float = 0.0
    expert_share: float = 0.0


@dataclass(frozen=True, slots=True)
class WarmUpLimit:
    """Requests a second that an upstream bears while it is cold after its start.

    It is cold for ``duration_s`` seconds; ``per_s`` is for all entries together.
    """

    duration_s: float
    per_s: float


@dataclass(frozen=True, slots=True)
class TrafficService:
    """A service; ``engine`` is None for a plain service.

    ``warm_up`` is None where a cold upstream bears as much as a warm one.
    """

    name: str
    connections_max: int
    engine: EngineModel | None = None
    warm_up: WarmUpLimit | None = None


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Request sizes allowed, and how long a caller may take to send or stay idle."""

    header_bytes: int = 16_384
    body_bytes: int = 4 * 1024 * 1024
    idle_timeout_ms: int = 15_000


@dataclass(frozen=True, slots=True)
class TeamAccess:
    """The team that a key belongs to; its priority overrides the route's.

    ``allowed_regions`` are those whose upstreams may get its requests; none: any.
    """

    team: str
    priority: int | None = None
    allowed_regions: frozenset[str] = frozenset()


@dataclass(frozen=True, slots=True)
class TrafficConfig:
    """Everything an entry needs to serve requests, as of ``version``."""

    version: int
    routes: tuple[TrafficRoute, ...]
    services: Mapping[str, TrafficService]
    limits: CallerLimits = CallerLimits()
    # Without teams, requests need no key.
    has_teams: bool = False
    access: Mapping[str, TeamAccess] = field(
        default_factory=lambda: MappingProxyType({})
    )


class UpstreamState(StrEnum):
    """Whether an upstream takes new requests."""

    READY = "ready"
    DRAINING = "draining"


@dataclass(frozen=True, slots=True)
class RankPosition:
    """An upstream's position in a group whose ranks run in lock step.

    ``epoch`` increases each time the group is formed anew.
    """

    group: str
    epoch: int
    rank: int
    size: int
    is_open: bool


@dataclass(frozen=True, slots=True)
class UpstreamInstance:
    """One process of an upstream, as it announced itself.

    ``instance`` is its name; ``born_ms`` distinguishes processes that had the same
    name, ``sequence`` orders the announcements of one process. ``seat`` is None for an
    upstream that is in no group. ``warmup_ms`` is for how long it stays cold.
    """

    instance: str
    service: str
    address: tuple[str, int]
    place: str
    state: UpstreamState
    slots: int = 1
    warmup_ms: float = 0.0
    born_ms: int = 0
    sequence: int = 0
    seat: RankPosition | None = None
