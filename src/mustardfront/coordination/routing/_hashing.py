"""Rendezvous hashing of request prefixes over upstreams."""

from __future__ import annotations

import xxhash

_MASK = (1 << 64) - 1
# Odd multiplier of the 64-bit mixing step of splitmix64.
_MIX = 0xBF58476D1CE4E5B9


def upstream_hash(name: str) -> int:
    """Return the 64-bit hash of an upstream's name."""
    return xxhash.xxh3_64_intdigest(name.encode())


def rendezvous_score(prefix: int, name_hash: int) -> int:
    """Return the score of an upstream for a prefix; the highest is preferred."""
    mixed = ((prefix ^ name_hash) * _MIX) & _MASK
    return ((mixed ^ (mixed >> 27)) * _MIX) & _MASK
