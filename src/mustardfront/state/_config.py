"""The configuration: immutable data with a version that only increases."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from types import MappingProxyType
from typing import Literal, TypeAlias, TypeVar

import xxhash

ServiceKind: TypeAlias = Literal["model", "plain"]
AdminState: TypeAlias = Literal["active", "draining"]
T = TypeVar("T")


def _empty_mapping() -> Mapping[str, T]:
    return MappingProxyType({})


@dataclass(frozen=True, slots=True)
class Place:
    """An availability zone and its region."""

    region: str


@dataclass(frozen=True, slots=True)
class Host:
    """A machine; if it is ``draining``, its upstreams get no new requests."""

    place: str
    state: AdminState = "active"


@dataclass(frozen=True, slots=True)
class Route:
    """Whether a plain service's calls of a method and path prefix are idempotent.

    The first route that matches a call applies.
    """

    method: str
    path: str
    idempotent: bool


@dataclass(frozen=True, slots=True)
class Service:
    """A model or a plain service that callers can request."""

    kind: ServiceKind
    routes: tuple[Route, ...] = ()
    model: str = ""
    version: str = ""
    deadline_ms: int = 30_000


@dataclass(frozen=True, slots=True)
class Team:
    """A customer: the SHA-256 of its key, its weight and its limits."""

    key_sha256: str
    services: tuple[str, ...] = ()
    weight: int = 1
    max_in_flight: int = 1_000
    priority: int = 1


@dataclass(frozen=True, slots=True)
class Upstream:
    """A back end; ``address`` is its sidecar's peer address ``"IP:PORT"``."""

    service: str
    host: str
    address: str
    adapters: tuple[str, ...] = ()
    role: str = "both"
    checks_fence: bool = False
    state: AdminState = "active"


@dataclass(frozen=True, slots=True)
class Group:
    """An expert-parallel model group; ``ranks`` are its upstreams in rank order.

    The first ``fronts`` ranks take requests; each entry uses one of them.
    ``store_rate`` is the weight store's bandwidth for the whole group, in bytes per
    second.
    """

    service: str
    ranks: tuple[str, ...]
    layers: int = 1
    experts: int = 1
    slots_per_rank: int = 1
    expert_bytes: int = 1
    store_rate: float = 1e9
    skew_weight: float = 1.0
    cost_weight: float = 1.0
    fronts: int = 1

    def front_for(self, entry: str) -> str:
        """Return the rank that takes an entry's requests.

        Rendezvous hashing by the entry's host spreads the entries over the fronts, so
        that no entry needs a connection to each front, nor a front to each entry.
        """

        def score(rank: str) -> int:
            return xxhash.xxh3_64_intdigest(f"{entry}\0{rank}".encode())

        return max(self.ranks[: self.fronts], key=score)


@dataclass(frozen=True, slots=True)
class Limits:
    """Limits of a service; they are keyed by the service's name."""

    max_in_flight: int = 64
    queue: int = 256
    retry_ratio: float = 0.1
    idempotency_retention_s: int = 3_600


@dataclass(frozen=True, slots=True)
class Config:
    """The whole configuration, with all tickets up to ``version`` applied."""

    version: int = 0
    places: Mapping[str, Place] = field(default_factory=_empty_mapping)
    hosts: Mapping[str, Host] = field(default_factory=_empty_mapping)
    services: Mapping[str, Service] = field(default_factory=_empty_mapping)
    teams: Mapping[str, Team] = field(default_factory=_empty_mapping)
    upstreams: Mapping[str, Upstream] = field(default_factory=_empty_mapping)
    groups: Mapping[str, Group] = field(default_factory=_empty_mapping)
    limits: Mapping[str, Limits] = field(default_factory=_empty_mapping)

    def place_of(self, upstream: str) -> str:
        """Return the place of an upstream's host, or ``""`` if unknown."""
        record = self.upstreams.get(upstream)
        host = self.hosts.get(record.host) if record else None
        return host.place if host else ""

    def is_draining(self, upstream: str) -> bool:
        """Return whether an upstream or its host is draining or was removed."""
        record = self.upstreams.get(upstream)
        if record is None or record.state == "draining":
            return True
        host = self.hosts.get(record.host)
        return host is None or host.state == "draining"

    def fronts(self, service: str, entry: str = "") -> tuple[str, ...]:
        """Return the upstreams that take an entry's requests, in name order.

        Of an expert group, this is only the rank that ``Group.front_for`` selects.
        """
        other_ranks = {
            rank
            for group in self.groups.values()
            for rank in group.ranks
            if rank != group.front_for(entry)
        }
        return tuple(
            sorted(
                name
                for name, upstream in self.upstreams.items()
                if upstream.service == service and name not in other_ranks
            )
        )

    def limits_of(self, service: str) -> Limits:
        """Return a service's limits, or the defaults."""
        return self.limits.get(service, Limits())


SECTIONS: Mapping[str, type] = MappingProxyType(
    {
        "places": Place,
        "hosts": Host,
        "services": Service,
        "teams": Team,
        "upstreams": Upstream,
        "groups": Group,
        "limits": Limits,
    }
)
