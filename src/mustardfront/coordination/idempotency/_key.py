"""Idempotency keys, request digests, and the assignment of partitions to owners."""

from __future__ import annotations

import hashlib
import time
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
    """A team's idempotency key: its digest, its creation time and its partition."""

    digest: bytes
    time_ms: int
    partition: int


def wall_clock_ms() -> int:
    """Return the Unix time in ms, the unit of the time in UUIDv7 keys."""
    return time.time_ns() // 1_000_000


def parse_key(team: str, text: str, now_ms: int) -> Result[RequestKey]:
    """Parse an idempotency key, which must be a UUIDv7 (RFC 9562).

    The key's time may be ahead of ``now_ms`` by at most ``CLOCK_SKEW_MAX_S``.
    """
    if not text:
        return Err(Code.KEY_REQUIRED, "the request requires an Idempotency-Key header")
    try:
        value = uuid.UUID(text)
    except ValueError:
        return Err(Code.KEY_MALFORMED, "the Idempotency-Key is not a UUID")
    if value.version != 7:
        return Err(Code.KEY_MALFORMED, "the Idempotency-Key is not a UUIDv7")
    time_ms = value.int >> 80
    if time_ms > now_ms + CLOCK_SKEW_MAX_S * 1_000:
        return Err(Code.KEY_MALFORMED, "the Idempotency-Key has a time in the future")
    digest = _hash_parts(team.encode(), value.bytes)
    return Ok(RequestKey(digest, time_ms, partition_of(text)))


def partition_of(key: str) -> int:
    """Return the partition of an idempotency key, or 0 if the key is malformed."""
    try:
        value = uuid.UUID(key)
    except ValueError:
        return 0
    return xxhash.xxh3_64_intdigest(value.bytes) % IDEMPOTENCY_PARTITIONS


def owner_order(service: str, partition: int, upstreams: Iterable[str]) -> list[str]:
    """Return the upstreams by preference as owners of a partition.

    The order is that of rendezvous hashing, highest score first.
    """
    return sorted(
        upstreams,
        key=lambda name: _rendezvous_score(service, partition, name),
        reverse=True,
    )


def _rendezvous_score(service: str, partition: int, upstream: str) -> int:
    return xxhash.xxh3_64_intdigest(f"{service}/{partition}/{upstream}".encode())


def request_digest(req: Request) -> bytes:
    """Return the digest of the parts that must be equal in all attempts with a key."""
    return _hash_parts(req.method.encode(), req.path.encode(), req.body)


def _hash_parts(*parts: bytes) -> bytes:
    hasher = hashlib.sha256()
    for part in parts:
        hasher.update(len(part).to_bytes(8, "big"))
        hasher.update(part)
    return hasher.digest()[:_DIGEST_BYTES]
