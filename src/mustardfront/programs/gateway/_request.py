"""Parsing of a caller's request and checks against the current configuration."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Any, Final, TypeAlias

import xxhash

from mustardfront.codes import Code
from mustardfront.coordination.quarantine import RequestContent
from mustardfront.coordination.traffic import RouteTable, TrafficState, pick_service
from mustardfront.programs.gateway._header_names import HeaderNames
from mustardfront.results import Err, Ok, Result
from mustardfront.state import TeamAccess, TrafficRoute

RawHeaders: TypeAlias = tuple[tuple[bytes, bytes], ...]

# Hop-by-hop headers and those that are set anew for each connection; never forwarded.
HOP_BY_HOP_HEADERS: Final = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"expect",
        b"content-length",
    }
)
# Bound the work and the memory for one request whose prompt lists very many parts.
SHARED_PARTS_MAX: Final = 2_048
PART_ID_MAX_CHARS: Final = 64
# The least urgent; 0 is served first.
URGENCY_MAX: Final = 9
# Applies when the deadline header is missing or not a number.
_DEADLINE_DEFAULT_MS: Final = 30_000.0


@dataclass(frozen=True, slots=True)
class GatewayRequest:
    """A checked request; times are in seconds of trio's clock.

    ``headers`` are the headers to forward. ``deadline_at`` is the earlier of the
    caller's deadline and the route's timeout. ``api_key`` is empty for an
    anonymous request. ``regions`` are those whose upstreams may get the request (None:
    any). ``urgency`` tells upstreams its priority; None where all are equal. The token
    counts are 0 if the caller does not send them.
    ``content`` identifies the request and its parts wherever it is sent again.
    """

    request_id: str
    method: bytes
    target: bytes
    headers: RawHeaders
    body: bytes
    route: TrafficRoute
    service: str
    team: str
    api_key: str
    priority: int
    urgency: int | None
    regions: frozenset[str] | None
    arrived_at: float
    deadline_at: float
    last_event_id: bytes
    config_version: int
    prompt_tokens: int
    max_output_tokens: int
    content: RequestContent


def read_request(
    state: TrafficState,
    header_names: HeaderNames,
    scope: dict[str, Any],
    body: bytes,
    arrived_at: float,
    is_view_unconfirmed: Callable[[], bool],
) -> Result[GatewayRequest]:
    """Parse and check a request; an Err means that it did not run."""
    table = state.routes
    if table is None:
        return Err(Code.NOT_READY, "this entry has no configuration yet")
    if state.is_outdated:
        return Err(Code.NOT_READY, "other entries have a later configuration")
    headers = {name.lower(): value for name, value in scope["headers"]}
    path = scope["raw_path"].decode("latin-1")
    route = table.match(headers.get(b"host", b"").decode("latin-1"), path)
    if isinstance(route, Err):
        return route
    key = _api_key(headers, header_names)
    access = _check_access(table, route.value, key, is_view_unconfirmed)
    if isinstance(access, Err):
        return access
    request_id = headers.get(header_names.request_id, b"").decode("latin-1")
    limit_s = (
        min(caller_deadline_ms(scope["headers"], header_names), route.value.timeout_ms)
        / 1000
    )
    service = pick_service(route.value.shares, request_id)
    priority = _priority(route.value, access.value)
    prompt, max_output = _token_counts(headers.get(header_names.token_counts, b""))
    return Ok(
        GatewayRequest(
            request_id=request_id,
            method=scope["method"].encode(),
            target=_request_target(scope),
            headers=_forwarded_headers(scope["headers"], header_names),
            body=body,
            route=route.value,
            service=service,
            team=access.value.team if access.value else "",
            api_key=key if access.value else "",
            priority=priority,
            urgency=_urgency(table, service, priority),
            regions=_allowed_regions(route.value, access.value),
            arrived_at=arrived_at,
            deadline_at=arrived_at + limit_s,
            last_event_id=headers.get(header_names.last_event_id, b""),
            config_version=state.version,
            prompt_tokens=prompt,
            max_output_tokens=max_output,
            content=_content(
                scope,
                access.value.team if access.value else "",
                headers.get(header_names.prompt_parts, b""),
                body,
            ),
        )
    )


def _check_access(
    table: RouteTable,
    route: TrafficRoute,
    key: str,
    is_view_unconfirmed: Callable[[], bool],
) -> Result[TeamAccess | None]:
    access = table.access(route, key)
    depends_on_keys = table.config.has_teams and (bool(key) or not route.anonymous)
    if depends_on_keys and is_view_unconfirmed():
        # The keys may have changed since the view was last confirmed: with an old view,
        # both a final refusal and serving the request could be wrong.
        return Err(Code.VIEW_UNCONFIRMED, "the configuration store is unreachable")
    return access


def _priority(route: TrafficRoute, access: TeamAccess | None) -> int:
    if access is not None and access.priority is not None:
        return access.priority
    return route.priority


def _urgency(table: RouteTable, service: str, priority: int) -> int | None:
    """Return what to tell an upstream; None if its service's routes are all equal."""
    if not table.has_priorities(service):
        return None
    return max(0, min(URGENCY_MAX, priority))


def _allowed_regions(
    route: TrafficRoute, access: TeamAccess | None
) -> frozenset[str] | None:
    """Return the regions that both the route and the team allow; None: all."""
    limits = [route.allowed_regions, access.allowed_regions if access else frozenset()]
    named = [regions for regions in limits if regions]
    return frozenset.intersection(*named) if named else None


def _request_target(scope: dict[str, Any]) -> bytes:
    target: bytes = scope["raw_path"]
    query: bytes = scope.get("query_string", b"")
    return target + b"?" + query if query else target


def _api_key(headers: dict[bytes, bytes], header_names: HeaderNames) -> str:
    scheme, _, key = headers.get(b"authorization", b"").decode("latin-1").partition(" ")
    return key.strip() if scheme.lower() == header_names.key_scheme.lower() else ""


def caller_deadline_ms(
    headers: Iterable[tuple[bytes, bytes]], header_names: HeaderNames
) -> float:
    """Return for how many milliseconds the caller waits after sending the headers."""
    by_name = {name.lower(): value for name, value in headers}
    try:
        return max(0.0, float(by_name.get(header_names.deadline_ms, b"")))
    except ValueError:
        return _DEADLINE_DEFAULT_MS


def _token_counts(value: bytes) -> tuple[int, int]:
    """Return the prompt's token count and the most tokens the output may have."""
    prompt, _, max_output = value.partition(b",")
    try:
        return int(prompt), int(max_output or 0)
    except ValueError:
        return 0, 0


def _content(
    scope: dict[str, Any], team: str, parts: bytes, body: bytes
) -> RequestContent:
    method, target = scope["method"].encode(), _request_target(scope)
    identity = b"\0".join((team.encode(), method, target, parts, body))
    return RequestContent(xxhash.xxh3_64_hexdigest(identity), _shared_parts(parts))


def _shared_parts(value: bytes) -> tuple[str, ...]:
    """Return the IDs of all parts but the last, which is the request's own.

    Of very many parts these are the last ones, which fewer requests share.
    """
    parts = value.decode("latin-1").split(",")[:-1]
    ids = (part.partition(":")[0].strip() for part in parts[-SHARED_PARTS_MAX:])
    return tuple(dict.fromkeys(_short_id(part_id) for part_id in ids if part_id))


def _short_id(part_id: str) -> str:
    if len(part_id) <= PART_ID_MAX_CHARS:
        return part_id
    return xxhash.xxh3_128_hexdigest(part_id.encode())


def _forwarded_headers(
    headers: Iterable[tuple[bytes, bytes]], header_names: HeaderNames
) -> RawHeaders:
    consumed = {
        b"authorization",
        header_names.deadline_ms,
        header_names.team,
        header_names.priority,
        header_names.expect_instance,
        header_names.last_event_id,
    }
    lowered = [(name.lower(), value) for name, value in headers]
    connection_options = {
        token.strip().lower()
        for name, value in lowered
        if name == b"connection"
        for token in value.split(b",")
    }
    dropped = HOP_BY_HOP_HEADERS | consumed | connection_options
    return tuple((name, value) for name, value in lowered if name not in dropped)
