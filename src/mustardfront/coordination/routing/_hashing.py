"""Rendezvous hashing of request prefixes over upstreams."""

from __future__ import annotations

from collections.abc import Iterable

import xxhash

_MASK = (1 << 64) - 1
# Odd multiplier from the mixing step of splitmix64.
_MIX = 0xBF58476D1CE4E5B9


def upstream_hash(name: str) -> int:
    """Return the 64-bit hash of an upstream's name."""
    return xxhash.xxh3_64_intdigest(name.encode())


def rendezvous_scores(prefix: int, name_hashes: Iterable[int]) -> list[int]:
    """Return the score of each upstream for a prefix; the highest is preferred."""
    # Written inline, as a function call per upstream would take most of the time.
    return [
        (((mixed := ((prefix ^ h) * _MIX) & _MASK) ^ (mixed >> 27)) * _MIX) & _MASK
        for h in name_hashes
    ]
