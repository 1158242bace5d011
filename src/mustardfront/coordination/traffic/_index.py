"""The upstreams of each service that may get requests, as an entry sees them."""

from __future__ import annotations

from collections.abc import Collection, Iterable

from mustardfront.coordination.traffic._admission import (
    AdmissionPolicy,
    admission_policy,
)
from mustardfront.coordination.traffic._assignment import assign_upstreams
from mustardfront.coordination.traffic._upstream import Upstream
from mustardfront.state import TrafficConfig


class ServiceIndex:
    """Upstreams by service, and what follows from who they are.

    ``entry`` is the name of the entry that indexes them. The index is rebuilt with each
    change of the configuration, upstreams, places or entries.
    """

    def __init__(self, entry: str) -> None:
        self._entry = entry
        self._entries: Collection[str] = ()
        self._config: TrafficConfig | None = None
        self._by_service: dict[str, tuple[Upstream, ...]] = {}
        # Services whose upstreams are all in evacuated places.
        self._evacuated: frozenset[str] = frozenset()
        self._own: dict[str, frozenset[str]] = {}
        self._policies: dict[str, AdmissionPolicy] = {}

    def rebuild(
        self,
        upstreams: Iterable[Upstream],
        evacuated_places: frozenset[str],
        entries: Collection[str],
        cfg: TrafficConfig | None,
    ) -> None:
        """Index all known upstreams anew."""
        by_service: dict[str, list[Upstream]] = {}
        evacuated = set()
        for upstream in upstreams:
            service = upstream.announced.service
            if not upstream.takes_work or upstream.superseded:
                continue
            if upstream.announced.place in evacuated_places:
                evacuated.add(service)
            else:
                by_service.setdefault(service, []).append(upstream)
        self._by_service = {name: tuple(found) for name, found in by_service.items()}
        self._evacuated = frozenset(evacuated - by_service.keys())
        self._entries = entries
        self._config = cfg
        self._own.clear()
        self._policies.clear()

    def upstreams_of(self, service: str) -> tuple[Upstream, ...]:
        """Return the service's upstreams that accept new requests."""
        return self._by_service.get(service, ())

    def is_evacuated(self, service: str) -> bool:
        """Return whether all upstreams of a service are in evacuated places."""
        return service in self._evacuated

    def own_upstreams(self, service: str) -> frozenset[str]:
        """Return the instances of a service that are assigned to this entry."""
        if service not in self._own:
            upstreams = self.upstreams_of(service)
            self._own[service] = assign_upstreams(upstreams, self._entries, self._entry)
        return self._own[service]

    def admission_policy(self, service: str) -> AdmissionPolicy:
        """Return whether requests of a service wait in the entries."""
        if self._config is None:
            return AdmissionPolicy(False)
        if service not in self._policies:
            self._policies[service] = admission_policy(self._config, service)
        return self._policies[service]

    @property
    def shares_loads(self) -> bool:
        """Return whether a service needs that entries report their loads."""
        services = self._config.services if self._config else ()
        return any(self.admission_policy(service).is_on for service in services)
