"""Which names explain crashes, among those that were at several of them."""

from __future__ import annotations

import heapq
from collections.abc import Collection, Mapping
from dataclasses import dataclass, field
from typing import Final

from mustardfront.coordination.quarantine._quarantine import CRASHES_TO_HOLD
from mustardfront.coordination.quarantine._reports import RequestContent

# A part that has produced output before is common enough to be at a crash by chance,
# and upstreams of one rack crash at once; so it takes more crashes, at two times.
KNOWN_PART_CRASHES_TO_HOLD: Final = 4
SEPARATE_CRASH_S: Final = 1.0


@dataclass(slots=True)
class Crash:
    """A crash; ``at_s`` is in this process's time, ``noticed_s`` in Unix seconds.

    ``sound`` and ``cleared`` are the names that reports say had output before and after
    it; ``announced`` are the cleared ones that other entries know. ``names`` are those
    that count at it.
    """

    name: str
    number: int
    at_s: float
    noticed_s: float
    suspects: dict[str, RequestContent] = field(default_factory=dict)
    sound: set[str] = field(default_factory=set)
    cleared: set[str] = field(default_factory=set)
    announced: set[str] = field(default_factory=set)
    names: set[str] = field(default_factory=set)


@dataclass(slots=True)
class Presence:
    """How a part or request was at one crash.

    ``position`` is a part's last position in a prompt, ``fingerprint`` the first
    suspect that had it; ``is_shared`` tells that another one had it too. ``sent_s`` is
    when the last of them was sent, in Unix seconds.
    """

    crash: Crash
    fingerprint: str
    is_shared: bool = False
    position: int = 0
    sent_s: float = 0.0


def may_be_held(name: str, presences: Collection[Presence], is_known: bool) -> bool:
    """Return whether these crashes are enough to hold a name by themselves.

    ``is_known`` tells whether it produced output before.
    """
    if len(presences) < CRASHES_TO_HOLD:
        return False
    if any(name in one.crash.suspects for one in presences):
        return _are_separate(presences)
    return _is_part_enough(presences, is_known)


def _are_separate(presences: Collection[Presence]) -> bool:
    """Return whether one request was at crashes that followed each other.

    Upstreams of one rack crash at once, with whatever runs there. A request that was
    sent after an earlier crash was noticed is no victim of that.
    """
    first = min(presences, key=lambda one: one.crash.noticed_s)
    return any(
        one.sent_s >= first.crash.noticed_s for one in presences if one is not first
    )


def _is_part_enough(presences: Collection[Presence], is_known: bool) -> bool:
    """Return whether crashes at which a part was present are enough to hold it."""
    # Crashes of one request are evidence against that request alone.
    is_shared = any(one.is_shared for one in presences)
    if not is_shared and len({one.fingerprint for one in presences}) < 2:
        return False
    if not is_known:
        return True
    times = [one.crash.at_s for one in presences]
    is_apart = max(times) - min(times) >= SEPARATE_CRASH_S
    return len(presences) >= KNOWN_PART_CRASHES_TO_HOLD and is_apart


def explain(
    candidates: Mapping[str, Mapping[int, Presence]], known: Collection[str]
) -> set[str]:
    """Return the fewest parts that explain the crashes.

    ``candidates`` are the presences of parts by the number of the crash, ``known`` the
    parts that produced output before. The part with most crashes explains them; only
    further crashes count against the others. Among equal ones it is a part that never
    produced output, then the one that comes later in prompts, which fewer requests
    share.

    Each part is ranked once, and again only if a part before it explained some of its
    crashes, so that the time grows with the parts and not with their square.
    """
    held: set[str] = set()
    explained: set[int] = set()
    order = {name: place for place, name in enumerate(sorted(candidates, reverse=True))}

    def left(part: str) -> list[Presence]:
        return [
            presence
            for number, presence in candidates[part].items()
            if number not in explained
        ]

    def rank(part: str, presences: Collection[Presence]) -> tuple[int, bool, int, int]:
        position = max((one.position for one in presences), default=0)
        return -len(presences), part in known, -position, order[part]

    heap = [(rank(part, left(part)), part) for part in candidates]
    heapq.heapify(heap)
    while heap:
        ranked, part = heapq.heappop(heap)
        presences = left(part)
        if len(presences) < CRASHES_TO_HOLD:
            continue
        current = rank(part, presences)
        if current != ranked:
            heapq.heappush(heap, (current, part))
        elif _is_part_enough(presences, part in known):
            held.add(part)
            explained.update(one.crash.number for one in presences)
    return held
