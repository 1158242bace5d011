"""Quarantine of requests that crash upstreams: held after a second crash."""

from mustardfront.coordination.quarantine._quarantine import Quarantine
from mustardfront.coordination.quarantine._suspects import (
    CrashSuspect,
    blamed_fingerprints,
)

__all__ = ["CrashSuspect", "Quarantine", "blamed_fingerprints"]
