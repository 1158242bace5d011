"""Partitions of a service's idempotency keys and the order of their owners."""

from __future__ import annotations

from collections.abc import Iterable

import xxhash

from mustardfront.constants import IDEMPOTENCY_PARTITIONS


def partition_of(service: str, key: str) -> int:
    """Return the partition of a key, from 0 to ``IDEMPOTENCY_PARTITIONS`` - 1."""
    return (
        xxhash.xxh3_64_intdigest(f"{service}\0{key}".encode()) % IDEMPOTENCY_PARTITIONS
    )


def owner_order(service: str, partition: int, upstreams: Iterable[str]) -> list[str]:
    """Return upstreams by rendezvous score for a partition, the likely owner first.

    Every process computes the same order, and it changes only for the partitions of
    an upstream that comes or goes.
    """

    def score(upstream: str) -> int:
        return xxhash.xxh3_64_intdigest(f"{service}\0{partition}\0{upstream}".encode())

    return sorted(upstreams, key=lambda name: (-score(name), name))
