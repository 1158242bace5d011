"""Quarantine of request content that crashes upstreams."""

from mustardfront.coordination.quarantine._evidence import (
    CrashEvidence,
    CrashReport,
    RequestContent,
)
from mustardfront.coordination.quarantine._quarantine import CRASH_TTL_S, Quarantine
from mustardfront.coordination.quarantine._suspects import (
    CrashSuspect,
    blamed_fingerprints,
)

__all__ = [
    "CRASH_TTL_S",
    "CrashEvidence",
    "CrashReport",
    "CrashSuspect",
    "Quarantine",
    "RequestContent",
    "blamed_fingerprints",
]
