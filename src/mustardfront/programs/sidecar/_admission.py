"""Checks that refuse a request before any of it is sent to the upstream."""

from __future__ import annotations

import math
from typing import Any, Final

import msgspec

from mustardfront.codes import Code
from mustardfront.decoding import decode_json
from mustardfront.programs._crash_reports import part_content
from mustardfront.programs.sidecar._state import Sidecar
from mustardfront.programs.sidecar._upstream import UpstreamCall
from mustardfront.protocol import Request
from mustardfront.results import Err, Ok, Result

# Shortest retry delay given with a refusal: about one round of load reports.
RETRY_AFTER_MS: Final = 200


def retry_after_ms(sidecar: Sidecar) -> int:
    """Return the retry delay for a refusal."""
    left_s = sidecar.backoffs.left_s(sidecar.instance)
    return max(RETRY_AFTER_MS, math.ceil(left_s * 1_000))


def admission_error(sidecar: Sidecar, req: Request) -> Err | None:
    """Return the reason to refuse a new request, or None.

    These checks come before its idempotency key is looked up.
    """
    cfg = sidecar.store.current
    if cfg.version == 0:
        return Err(Code.NOT_READY, "the sidecar has no configuration yet")
    if sidecar.draining:
        return Err(Code.DRAINING, f"upstream {sidecar.upstream} is draining")
    upstream = cfg.upstreams.get(sidecar.upstream)
    if upstream is None or upstream.service != req.service:
        return Err(
            Code.NO_CAPABLE_UPSTREAM,
            f"service {req.service} is not served by upstream {sidecar.upstream}",
        )
    if req.deadline_ms == 0:
        return Err(
            Code.DEADLINE_PASSED, "the deadline passed before the request was admitted"
        )
    return None


def start_error(sidecar: Sidecar, req: Request) -> Err | None:
    """Return the reason why an admitted request must not start now, or None."""
    if req.fingerprint and sidecar.quarantine.is_held(req.fingerprint):
        return Err(
            Code.REQUEST_HELD, "the request is quarantined because it crashed upstreams"
        )
    if sidecar.crash_evidence.held_content(part_content(req.part)) is not None:
        return Err(Code.REQUEST_HELD, "the start of this prompt crashed upstreams")
    if sidecar.backoffs.left_s(sidecar.instance):
        text = f"upstream {sidecar.upstream} asked for a time without requests"
        return Err(Code.UPSTREAM_LIMIT, text)
    if sidecar.rate_limits.wait_s(sidecar.instance):
        text = f"upstream {sidecar.upstream} names a rate that allows no request now"
        return Err(Code.UPSTREAM_LIMIT, text)
    if not sidecar.healthy:
        return Err(
            Code.UPSTREAM_DOWN, f"upstream {sidecar.upstream} fails its health checks"
        )
    return None


def build_upstream_call(req: Request, upstream_request_id: str) -> Result[UpstreamCall]:
    """Return the HTTP request for the upstream, or Err(MALFORMED_REQUEST).

    ``upstream_request_id`` is the request ID by which the upstream knows the attempt.
    """
    if not req.path.startswith("/") or not _is_printable(req.path):
        return Err(
            Code.MALFORMED_REQUEST,
            "the path does not start with / or has invalid characters",
        )
    if not req.method.isalpha() or not req.method.isascii():
        return Err(
            Code.MALFORMED_REQUEST, "the method has characters other than ASCII letters"
        )
    for name, value in req.headers:
        if not name or not _is_printable(name) or not _is_field_value(value):
            return Err(
                Code.MALFORMED_REQUEST, f"header {name!r} has an invalid name or value"
            )
    body = req.body
    if req.streamed:
        streaming_body = _streaming_body(req)
        if isinstance(streaming_body, Err):
            return streaming_body
        body = streaming_body.value
    other_headers = tuple(
        pair for pair in req.headers if pair[0].lower() != "x-request-id"
    )
    headers = (*other_headers, ("x-request-id", upstream_request_id))
    return Ok(UpstreamCall(req.method, req.path, headers, body))


def _is_printable(text: str) -> bool:
    return all("!" <= char <= "~" for char in text)


def _is_field_value(text: str) -> bool:
    return all(
        " " <= char <= "~" or "\xa0" <= char <= "\xff" or char == "\t" for char in text
    )


def _streaming_body(req: Request) -> Result[bytes]:
    """Return the body with ``stream`` set and the position of a resumed answer."""
    try:
        body = decode_json(req.body, dict[str, Any])
    except msgspec.DecodeError as exc:
        return Err(Code.MALFORMED_REQUEST, f"the body is not a JSON object: {exc}")
    if req.resume_from == 0 and body.get("stream") is True:
        return Ok(req.body)
    body["stream"] = True
    if req.resume_from:
        body["resume_from"] = req.resume_from
        body["resume_text"] = req.resume_text
    return Ok(msgspec.json.encode(body))
