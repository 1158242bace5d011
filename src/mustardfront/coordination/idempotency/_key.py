"""Idempotency keys, request digests, and which sidecar owns which partition."""

from __future__ import annotations

import hashlib
import uuid
from collections.abc import Iterable
from dataclasses import dataclass

import xxhash

from mustardfront.codes import Code
from mustardfront.constants import CLOCK_SKEW_MAX_S, IDEMPOTENCY_PARTITIONS
from mustardfront.protocol import Request
from mustardfront.results import Err, Ok, Result

_DIGEST_BYTES = 16


@dataclass(frozen=True, slots=True)
class RequestKey:
    """A team's key: its digest, its time of creation, its partition."""

    digest: bytes
    time_ms: int
    partition: int


def parse_key(team: str, text: str, now_ms: int) -> Result[RequestKey]:
    """Return the key in a UUIDv7 (RFC 9562), or why it is missing or malformed."""
    if not text:
        return Err(Code.KEY_REQUIRED, "this call needs an Idempotency-Key")
    try:
        value = uuid.UUID(text)
    except ValueError:
        return Err(Code.KEY_MALFORMED, "the Idempotency-Key is not a UUID")
    if value.version != 7:
        return Err(Code.KEY_MALFORMED, "the Idempotency-Key is not a UUIDv7")
    time_ms = value.int >> 80
    if time_ms > now_ms + CLOCK_SKEW_MAX_S * 1_000:
        return Err(Code.KEY_MALFORMED, "the Idempotency-Key is from the future")
    digest = _digest(team.encode(), value.bytes)
    return Ok(RequestKey(digest, time_ms, partition_of(text)))


def partition_of(key: str) -> int:
    """Return the partition of an idempotency key; 0 when it is malformed."""
    try:
        value = uuid.UUID(key)
    except ValueError:
        return 0
    return xxhash.xxh3_64_intdigest(value.bytes) % IDEMPOTENCY_PARTITIONS


def owner_order(service: str, partition: int, upstreams: Iterable[str]) -> list[str]:
    """Return the upstreams in the order in which they should own a partition."""
    return sorted(
        upstreams,
        key=lambda name: _score(service, partition, name),
        reverse=True,
    )


def _score(service: str, partition: int, upstream: str) -> int:
    return xxhash.xxh3_64_intdigest(f"{service}/{partition}/{upstream}".encode())


def request_digest(req: Request) -> bytes:
    """Return the digest of what a resend must have in common with its first attempt."""
    return _digest(req.method.encode(), req.path.encode(), req.body)


def _digest(*parts: bytes) -> bytes:
    hasher = hashlib.sha256()
    for part in parts:
        hasher.update(len(part).to_bytes(8, "big"))
        hasher.update(part)
    return hasher.digest()[:_DIGEST_BYTES]
