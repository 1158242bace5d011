"""Validation of a caller's request before it is forwarded."""

from __future__ import annotations

import hashlib
import hmac
import uuid
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any, Final
from urllib.parse import unquote

import msgspec
import xxhash

from mustardfront.codes import Code
from mustardfront.constants import (
    BODY_MAX_BYTES,
    DEADLINE_MAX_MS,
    PRIORITY_MAX,
    REQUEST_ID_MAX_CHARS,
)
from mustardfront.decoding import decode_json
from mustardfront.results import Err, Ok, Result
from mustardfront.state import Config, Route, Service, Team

SERVICE_PREFIX: Final = "/s/"
COMPLETIONS_PATH: Final = "/v1/completions"
# Length of the prompt prefix that decides cache affinity: prompts with the same
# start share cache blocks.
PREFIX_CHARS: Final = 256
_DOT_SEGMENTS: Final = frozenset({".", ".."})
# Hop-by-hop headers and those that the entry handles itself are not forwarded.
_DROPPED_HEADERS: Final = frozenset(
    {
        "authorization",
        "connection",
        "content-length",
        "expect",
        "host",
        "idempotency-key",
        "keep-alive",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "x-deadline-ms",
        "x-priority",
        "x-request-id",
    }
)


@dataclass(frozen=True, slots=True)
class CallerRequest:
    """A validated request; ``fingerprint`` is a hash of its content."""

    request_id: str
    team: str
    service: str
    kind: str
    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    deadline_ms: int
    priority: int
    idempotent: bool
    idempotency_key: str
    streamed: bool
    fingerprint: bytes
    prefix: int
    part: bytes
    adapter: str


def request_id_of(headers: Mapping[str, str]) -> str:
    """Return the caller's request ID, or a new one when it sent none."""
    return headers.get("x-request-id", "") or str(uuid.uuid4())


def check_request(
    cfg: Config,
    method: str,
    target: str,
    headers: Mapping[str, str],
    body: bytes,
    request_id: str,
) -> Result[CallerRequest]:
    """Return the checked request; Err with the code of the first failed check.

    ``target`` is the path with its query; header names are in lower case.
    """
    if len(body) > BODY_MAX_BYTES:
        return Err(Code.BODY_TOO_LARGE, f"body over {BODY_MAX_BYTES} bytes")
    if len(request_id) > REQUEST_ID_MAX_CHARS or not request_id.isprintable():
        text = f"X-Request-Id: at most {REQUEST_ID_MAX_CHARS} printable characters"
        return Err(Code.MALFORMED_REQUEST, text)
    team = _authenticate(cfg, headers.get("authorization", ""))
    if isinstance(team, Err):
        return team
    name, entry = team.value
    if target.split("?")[0] == COMPLETIONS_PATH and method == "POST":
        found = _check_model_call(cfg, body)
    else:
        found = _check_plain_call(cfg, method, target)
    if isinstance(found, Err):
        return found
    call = found.value
    if call.service not in entry.services:
        return Err(Code.TEAM_NOT_ALLOWED, f"team {name} may not use {call.service}")
    service = cfg.services[call.service]
    deadline = _parse_integer(
        headers, "x-deadline-ms", service.deadline_ms, 1, DEADLINE_MAX_MS
    )
    if isinstance(deadline, Err):
        return deadline
    priority = _parse_integer(headers, "x-priority", entry.priority, 0, PRIORITY_MAX)
    if isinstance(priority, Err):
        return priority
    key = headers.get("idempotency-key", "")
    if not call.idempotent and not key:
        text = f"{method} {call.path} of {call.service} needs Idempotency-Key"
        return Err(Code.KEY_REQUIRED, text)
    return Ok(
        CallerRequest(
            request_id=request_id,
            team=name,
            service=call.service,
            kind=service.kind,
            method=method,
            path=call.path,
            headers=tuple(
                (header, value)
                for header, value in headers.items()
                if header not in _DROPPED_HEADERS
            ),
            body=body,
            deadline_ms=deadline.value,
            priority=priority.value,
            idempotent=call.idempotent,
            idempotency_key="" if call.idempotent else key,
            streamed=call.streamed,
            fingerprint=_fingerprint(name, call.service, method, call.path, body),
            prefix=call.prefix,
            part=call.prefix.to_bytes(8, "big") if call.prefix else b"",
            adapter=call.adapter,
        )
    )


@dataclass(frozen=True, slots=True)
class _CheckedCall:
    service: str
    path: str
    idempotent: bool
    streamed: bool = False
    prefix: int = 0
    adapter: str = ""


def _authenticate(cfg: Config, header: str) -> Result[tuple[str, Team]]:
    scheme, _, credentials = header.partition(" ")
    name, separator, key = credentials.partition(":")
    if scheme.lower() != "bearer" or not separator:
        text = "Authorization must be 'Bearer <team>:<key>'"
        return Err(Code.WRONG_KEY, text)
    team = cfg.teams.get(name)
    if team is None:
        return Err(Code.UNKNOWN_TEAM, f"no team {name!r}")
    digest = hashlib.sha256(key.encode()).hexdigest()
    if not hmac.compare_digest(digest, team.key_sha256.lower()):
        return Err(Code.WRONG_KEY, f"wrong key for team {name!r}")
    return Ok((name, team))


def _check_model_call(cfg: Config, body: bytes) -> Result[_CheckedCall]:
    try:
        data: Any = decode_json(body)
        model = msgspec.convert(data["model"], str)
        prompt = msgspec.convert(data["prompt"], str)
        streamed = msgspec.convert(data.get("stream", False), bool)
        adapter = msgspec.convert(data.get("adapter", ""), str)
    except (msgspec.MsgspecError, KeyError, TypeError, AttributeError) as exc:
        text = f"completion body needs the strings 'model' and 'prompt': {exc}"
        return Err(Code.MALFORMED_REQUEST, text)
    service = cfg.services.get(model)
    if service is None or service.kind != "model":
        return Err(Code.UNKNOWN_SERVICE, f"no model service {model!r}")
    prefix = xxhash.xxh3_64_intdigest(f"{model}\0{prompt[:PREFIX_CHARS]}".encode())
    return Ok(_CheckedCall(model, COMPLETIONS_PATH, True, streamed, prefix, adapter))


def _check_plain_call(cfg: Config, method: str, target: str) -> Result[_CheckedCall]:
    if not target.startswith(SERVICE_PREFIX):
        return Err(Code.UNKNOWN_SERVICE, f"no service at {target.split('?')[0]!r}")
    name, _, rest = target.removeprefix(SERVICE_PREFIX).partition("/")
    service = cfg.services.get(name)
    if service is None or service.kind != "plain":
        return Err(Code.UNKNOWN_SERVICE, f"no plain service {name!r}")
    path = "/" + rest
    if not _DOT_SEGMENTS.isdisjoint(unquote(path.split("?")[0]).split("/")):
        # The upstream may resolve them to a path that another route covers.
        return Err(Code.MALFORMED_REQUEST, "the path has '.' or '..' segments")
    route = _match_route(service, method, path)
    if route is None and service.routes:
        return Err(Code.NO_ROUTE, f"{name} has no call {method} {path.split('?')[0]}")
    idempotent = route.idempotent if route else method in ("GET", "HEAD")
    return Ok(_CheckedCall(name, path, idempotent))


def _match_route(service: Service, method: str, path: str) -> Route | None:
    path_only = path.split("?")[0]
    for route in service.routes:
        path_matches = path_only == route.path or path_only.startswith(
            route.path.rstrip("/") + "/"
        )
        if route.method == method and path_matches:
            return route
    return None


def _parse_integer(
    headers: Mapping[str, str], name: str, default: int, minimum: int, maximum: int
) -> Result[int]:
    text = headers.get(name)
    if text is None:
        return Ok(default)
    if not text.isascii() or not text.isdigit() or len(text) > 9:
        return Err(
            Code.MALFORMED_REQUEST,
            f"{name}: {text[:40]!r} is not a non-negative integer",
        )
    if not minimum <= int(text) <= maximum:
        text = f"{name}: {text} is not from {minimum} to {maximum}"
        return Err(Code.MALFORMED_REQUEST, text)
    return Ok(int(text))


def _fingerprint(team: str, service: str, method: str, path: str, body: bytes) -> bytes:
    head = "\0".join((team, service, method, path)).encode()
    return xxhash.xxh3_128_digest(head + b"\0" + body)
