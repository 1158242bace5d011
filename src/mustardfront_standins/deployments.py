"""Teams, services and hosts of the two deployments used by the demo and tests."""

from __future__ import annotations

import hashlib
import json
import secrets
import time
import uuid
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any, Final

TEAM_KEYS: Final[Mapping[str, str]] = {
    "nordsee-lofts": "nordsee-key",
    "ostsee-skippers": "ostsee-key",
    "notaires-quebec": "notaires-key",
    "prets-sur-gage": "gage-key",
}
PLACES: Final[Mapping[str, str]] = {
    "bayern-a": "bayern",
    "bayern-b": "bayern",
    "bayern-c": "bayern",
    "qc-east-a": "qc-east",
    "qc-east-b": "qc-east",
    "qc-east-c": "qc-east",
}


@dataclass(frozen=True, slots=True)
class UpstreamPlan:
    """Name, service, kind and place of an upstream that is to be started."""

    name: str
    service: str
    kind: str
    place: str

    @property
    def host(self) -> str:
        """Return the name of the upstream's host."""
        return f"host-{self.name}"


@dataclass(frozen=True, slots=True)
class Deployment:
    """A deployment with its model service, plain service, teams and places."""

    name: str
    model: str
    plain: str
    teams: tuple[str, ...]
    places: tuple[str, ...]

    def upstreams(self, models: int, plains: int) -> tuple[UpstreamPlan, ...]:
        """Return the upstreams of both services, assigned to the places in turn."""
        return tuple(
            UpstreamPlan(
                f"{service}-{number + 1}",
                service,
                kind,
                self.places[number % len(self.places)],
            )
            for service, kind, count in (
                (self.model, "model", models),
                (self.plain, "plain", plains),
            )
            for number in range(count)
        )


NETZWERK: Final = Deployment(
    name="Netzwerk Schleppnetz",
    model="net-writer",
    plain="member-ledger",
    teams=("nordsee-lofts", "ostsee-skippers"),
    places=("bayern-a", "bayern-b", "bayern-c"),
)
BELANGER: Final = Deployment(
    name="Maison Bélanger",
    model="narrative-llm",
    plain="cert-registry",
    teams=("notaires-quebec", "prets-sur-gage"),
    places=("qc-east-a", "qc-east-b", "qc-east-c"),
)


def first_ticket(
    deployments: tuple[Deployment, ...],
    upstreams: tuple[UpstreamPlan, ...],
    addresses: Mapping[str, str],
    limits: Mapping[str, Any] | None = None,
) -> dict[str, Any]:
    """Return ticket 1; ``addresses`` maps upstream names to sidecar addresses."""
    places = {place for deployment in deployments for place in deployment.places}
    return {
        "ticket": 1,
        "author": "operator",
        "reason": "first services of the deployments",
        "set": {
            "places": {place: {"region": PLACES[place]} for place in sorted(places)},
            "hosts": {plan.host: {"place": plan.place} for plan in upstreams},
            "services": _service_records(deployments),
            "teams": {
                team: {
                    "key_sha256": hashlib.sha256(TEAM_KEYS[team].encode()).hexdigest(),
                    "services": [deployment.model, deployment.plain],
                    "weight": 3 if number == 0 else 1,
                }
                for deployment in deployments
                for number, team in enumerate(deployment.teams)
            },
            "upstreams": {
                plan.name: {
                    "service": plan.service,
                    "host": plan.host,
                    "address": addresses[plan.name],
                    "checks_fence": True,
                }
                for plan in upstreams
            },
            "limits": dict(limits or {}),
        },
        "remove": {},
    }


def drain_ticket(number: int, plan: UpstreamPlan) -> dict[str, Any]:
    """Return a ticket that drains the host of an upstream."""
    return {
        "ticket": number,
        "author": "operator",
        "reason": f"replace {plan.host}",
        "set": {"hosts": {plan.host: {"place": plan.place, "state": "draining"}}},
        "remove": {},
    }


def bearer(team: str, key: str | None = None) -> str:
    """Return the value of the ``Authorization`` header of a team."""
    return f"Bearer {team}:{key if key is not None else TEAM_KEYS.get(team, 'none')}"


def new_key() -> str:
    """Return a new idempotency key, a UUIDv7 of the current time."""
    value = int(time.time() * 1000) << 80 | secrets.randbits(80)
    value = value & ~(0xF << 76) | 0x7 << 76
    value = value & ~(0x3 << 62) | 0x2 << 62
    return str(uuid.UUID(int=value))


def completion(model: str, prompt: str, tokens: int, stream: bool = True) -> bytes:
    """Return the body of a completion request."""
    data = {"model": model, "prompt": prompt, "max_tokens": tokens, "stream": stream}
    return json.dumps(data).encode()


def _service_records(deployments: tuple[Deployment, ...]) -> dict[str, Any]:
    services: dict[str, Any] = {}
    for deployment in deployments:
        services[deployment.model] = {"kind": "model", "model": deployment.model}
        services[deployment.plain] = {
            "kind": "plain",
            "routes": [
                {"method": "GET", "path": "/records", "idempotent": True},
                {"method": "POST", "path": "/records", "idempotent": False},
            ],
        }
    return services
