"""Routes, services and teams of a deployment whose entries call upstreams directly."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import StrEnum
from types import MappingProxyType


class RequestKind(StrEnum):
    """What may be repeated of a request."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non-idempotent"
    STREAM = "stream"


@dataclass(frozen=True, slots=True)
class ServiceShare:
    """A service and its share of a route's requests; shares are relative."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class TrafficRoute:
    """Requests of one host under one path prefix; times in milliseconds.

    ``objective_ms`` is the time to the whole answer, of a stream to its first event;
    ``gap_ms`` the longest pause between two events. ``attempts_max`` counts upstreams.
    ``priority`` 0 is served first.
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

    @property
    def is_repeatable(self) -> bool:
        """Say whether a request may run more than once."""
        if self.kind is RequestKind.STREAM:
            return self.resumable
        return self.kind is RequestKind.IDEMPOTENT


@dataclass(frozen=True, slots=True)
class EngineModel:
    """How an engine spreads experts.

    ``layers`` sets of ``experts`` experts are spread over a group's ranks,
    ``slots_per_rank`` in each set; a rank loads at most ``loads_max`` new ones of a set
    in one change and takes ``expert_load_s`` for each. ``expert_share`` is the share of
    a step that goes to experts.
    """

    layers: int = 0
    experts: int = 0
    slots_per_rank: int = 0
    loads_max: int = 0
    expert_load_s: float = 0.0
    expert_share: float = 0.0


@dataclass(frozen=True, slots=True)
class TrafficService:
    """A service; ``engine`` is None for a plain one."""

    name: str
    connections_max: int
    engine: EngineModel | None = None


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """What a caller may send, and how long it may take or stay idle."""

    header_bytes: int = 16_384
    body_bytes: int = 4 * 1024 * 1024
    idle_timeout_ms: int = 15_000


@dataclass(frozen=True, slots=True)
class TeamAccess:
    """The team that a key belongs to; its priority goes before the route's."""

    team: str
    priority: int | None = None


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
    """Whether an upstream takes new work."""

    READY = "ready"
    DRAINING = "draining"


@dataclass(frozen=True, slots=True)
class RankPosition:
    """An upstream's position in a lock-step group.

    ``epoch`` grows at each formation.
    """

    group: str
    epoch: int
    rank: int
    size: int
    is_open: bool


@dataclass(frozen=True, slots=True)
class UpstreamInstance:
    """One incarnation of an upstream, as it announced itself.

    ``instance`` names it, ``born_ms`` tells two incarnations of one name apart.
    ``seat`` is None for an upstream that runs by itself.
    """

    instance: str
    service: str
    address: tuple[str, int]
    place: str
    state: UpstreamState
    slots: int = 1
    warmup_ms: float = 0.0
    born_ms: int = 0
    seat: RankPosition | None = None
