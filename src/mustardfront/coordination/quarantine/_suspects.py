"""Which requests a crash is counted against."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Suspicion:
    """A request that ran at a crash; ``isolated`` when it ran as the only suspect."""

    fingerprint: bytes
    isolated: bool


def blamed(
    ran: Iterable[Suspicion], crashes_of: Callable[[bytes], int]
) -> tuple[bytes, ...]:
    """Return the fingerprints that the crash counts against, in sorted order.

    A first crash counts against every request that ran. A second crash identifies
    one request only, because it leads to quarantine: the suspect that ran isolated,
    or else the only one with an earlier crash. Other requests with an earlier crash,
    which ran here because they began before that crash was known, stay suspects.
    """
    suspicions = [one for one in ran if one.fingerprint]
    new = {one.fingerprint for one in suspicions if not crashes_of(one.fingerprint)}
    known = {one.fingerprint for one in suspicions} - new
    isolated = {one.fingerprint for one in suspicions if one.isolated}
    if isolated:
        return tuple(sorted(new | isolated))
    if len(known) == 1:
        return tuple(sorted(new | known))
    return tuple(sorted(new))
