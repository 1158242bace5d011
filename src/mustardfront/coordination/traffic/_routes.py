"""Matching of requests to routes, teams and services."""

from __future__ import annotations

from collections.abc import Sequence

import xxhash

from mustardfront.codes import Code
from mustardfront.results import Err, Ok, Result
from mustardfront.state import ServiceShare, TeamAccess, TrafficConfig, TrafficRoute


class RouteTable:
    """Routes of one configuration, indexed by host and path prefix."""

    def __init__(self, cfg: TrafficConfig) -> None:
        self.config = cfg
        self._by_host: dict[str, dict[str, TrafficRoute]] = {}
        for route in cfg.routes:
            self._by_host.setdefault(route.host.lower(), {})[route.prefix] = route
        self._priorities: dict[str, set[int]] = {}
        for route in cfg.routes:
            for share in route.shares:
                self._priorities.setdefault(share.service, set()).add(route.priority)

    def has_priorities(self, service: str) -> bool:
        """Return whether routes of a service differ in their priority."""
        return len(self._priorities.get(service, ())) > 1

    def match(self, host: str, path: str) -> Result[TrafficRoute]:
        """Return the host's route with the longest matching prefix of ``path``.

        Prefixes begin and end with a slash. Err(NO_ROUTE) when none matches.
        """
        prefixes = self._by_host.get(_host_name(host))
        end = len(path) if prefixes else 0
        while end > 0:
            end = path.rfind("/", 0, end) + 1
            route = prefixes.get(path[:end]) if prefixes and end else None
            if route is not None:
                return Ok(route)
            end -= 1
        return Err(Code.NO_ROUTE, "no route for this host and path")

    def access(self, route: TrafficRoute, key: str) -> Result[TeamAccess | None]:
        """Return the team that may use the route; None for an anonymous request.

        Err(WRONG_KEY) when the route needs a key and this one is not in force.
        """
        found = self.config.access.get(key) if key else None
        if found is not None:
            return Ok(found)
        if route.anonymous or not self.config.has_teams:
            return Ok(None)
        return Err(Code.WRONG_KEY, "the key is missing or not in force")


def _host_name(host: str) -> str:
    name, separator, port = host.rpartition(":")
    return (name if separator and port.isdigit() else host).lower()


def pick_service(shares: Sequence[ServiceShare], request_id: str) -> str:
    """Return a route's service for a request, by the shares' weights.

    The choice hashes the request's ID, so all attempts of a request use one service.
    """
    if len(shares) == 1:
        return shares[0].service
    total = sum(share.weight for share in shares)
    point = xxhash.xxh3_64_intdigest(request_id.encode()) / 2**64 * total
    for share in shares:
        point -= share.weight
        if point < 0:
            return share.service
    return shares[-1].service
