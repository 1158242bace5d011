"""Quarantine of request content that crashes upstreams."""

from mustardfront.coordination.quarantine._evidence import (
    LOGGED_NAMES_MAX,
    SUSPECTS_PER_CRASH_MAX,
    CrashEvidence,
)
from mustardfront.coordination.quarantine._quarantine import CRASH_TTL_S, Quarantine
from mustardfront.coordination.quarantine._reports import (
    CrashReport,
    RequestContent,
    bounded,
)
from mustardfront.coordination.quarantine._suspects import (
    CrashSuspect,
    blamed_fingerprints,
)

__all__ = [
    "CRASH_TTL_S",
    "LOGGED_NAMES_MAX",
    "SUSPECTS_PER_CRASH_MAX",
    "CrashEvidence",
    "CrashReport",
    "CrashSuspect",
    "Quarantine",
    "RequestContent",
    "blamed_fingerprints",
    "bounded",
]
