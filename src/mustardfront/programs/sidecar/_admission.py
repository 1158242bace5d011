"""Reasons to refuse a request before the upstream sees any of it."""

from __future__ import annotations

from typing import Any, Final

import msgspec

from mustardfront.codes import Code
from mustardfront.programs.sidecar._side import Sidecar
from mustardfront.programs.sidecar._upstream import UpstreamCall
from mustardfront.protocol import Request
from mustardfront.results import Err, Ok, Result

# A caller may try again after about one round of load reports.
RETRY_AFTER_MS: Final = 200


def refusal(side: Sidecar, req: Request) -> Err | None:
    """Return why a new request must be refused whatever its key says, or None."""
    cfg = side.store.current
    if cfg.version == 0:
        return Err(Code.NOT_READY, "no configuration in force yet")
    if side.draining:
        return Err(Code.DRAINING, f"{side.upstream} is leaving")
    entry = cfg.upstreams.get(side.upstream)
    if entry is None or entry.service != req.service:
        return Err(Code.NO_CAPABLE_UPSTREAM, f"no {req.service} at {side.upstream}")
    if req.deadline_ms == 0:
        return Err(Code.DEADLINE_PASSED, "the deadline passed before admission")
    return None


def unable(side: Sidecar, req: Request) -> Err | None:
    """Return why a request must not start now, or None."""
    if req.fingerprint and side.quarantine.is_held(req.fingerprint):
        return Err(Code.REQUEST_HELD, "it crashed upstreams and is quarantined")
    if not side.healthy:
        return Err(Code.UPSTREAM_DOWN, f"{side.upstream} fails its health checks")
    return None


def upstream_call(req: Request, upstream_id: str) -> Result[UpstreamCall]:
    """Return the HTTP request to make; Err(MALFORMED_REQUEST) when there is none.

    ``upstream_id`` names the attempt at the upstream.
    """
    if not req.path.startswith("/") or not _is_printable(req.path):
        return Err(Code.MALFORMED_REQUEST, "the path is not a request target")
    if not req.method.isalpha() or not req.method.isascii():
        return Err(Code.MALFORMED_REQUEST, "the method is not a word")
    for name, value in req.headers:
        if not name or not _is_printable(name) or not _is_field_value(value):
            return Err(Code.MALFORMED_REQUEST, f"malformed header {name!r}")
    body = req.body
    if req.streamed:
        streamed = _streamed_body(req)
        if isinstance(streamed, Err):
            return streamed
        body = streamed.value
    kept = tuple(pair for pair in req.headers if pair[0].lower() != "x-request-id")
    headers = (*kept, ("x-request-id", upstream_id))
    return Ok(UpstreamCall(req.method, req.path, headers, body))


def _is_printable(text: str) -> bool:
    return all("!" <= char <= "~" for char in text)


def _is_field_value(text: str) -> bool:
    return all(
        " " <= char <= "~" or "\xa0" <= char <= "\xff" or char == "\t" for char in text
    )


def _streamed_body(req: Request) -> Result[bytes]:
    """Return the body with ``stream`` and, for a resumed answer, where it goes on."""
    try:
        body = msgspec.json.decode(req.body, type=dict[str, Any])
    except msgspec.DecodeError as exc:
        return Err(Code.MALFORMED_REQUEST, f"the body is not a JSON object: {exc}")
    if req.resume_from == 0 and body.get("stream") is True:
        return Ok(req.body)
    body["stream"] = True
    if req.resume_from:
        body["resume_from"] = req.resume_from
        body["resume_text"] = req.resume_text
    return Ok(msgspec.json.encode(body))
