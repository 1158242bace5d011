"""Selection of the requests that a crash counts against."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class CrashSuspect:
    """A request that ran at a crash; ``isolated`` if it was the only suspect there."""

    fingerprint: bytes
    isolated: bool


def blamed_fingerprints(
    ran: Iterable[CrashSuspect], crashes_of: Callable[[bytes], int]
) -> tuple[bytes, ...]:
    """Return the sorted fingerprints that a crash counts against.

    It counts against every request that ran and had no crash before. A second crash
    leads to quarantine, so it counts against at most one request with an earlier
    crash: the isolated suspect, or else the only one with an earlier crash. Other
    requests with an earlier crash, which ran here because they started before that
    crash was known, stay suspects without a further count.
    """
    suspicions = [suspect for suspect in ran if suspect.fingerprint]
    new = {
        suspect.fingerprint
        for suspect in suspicions
        if not crashes_of(suspect.fingerprint)
    }
    crashed_before = {suspect.fingerprint for suspect in suspicions} - new
    isolated = {suspect.fingerprint for suspect in suspicions if suspect.isolated}
    if isolated:
        return tuple(sorted(new | isolated))
    if len(crashed_before) == 1:
        return tuple(sorted(new | crashed_before))
    return tuple(sorted(new))
