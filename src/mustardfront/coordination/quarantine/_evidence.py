"""Which request content crashes upstreams, inferred from crashes and successes.

A crash is evidence against the content of all requests that waited for their first
output there, most of them sound. Content that crashes upstreams is at all its crashes
and never produces output, which tells it from content that is there by chance. All
entries collect the same reports, since the crashes of one fleet spread over them.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field
from typing import Final

from mustardfront import events
from mustardfront.coordination.quarantine._quarantine import (
    CRASH_TTL_S,
    CRASHES_TO_HOLD,
)

# A part that has produced output before is common enough to be at a crash by chance,
# and upstreams of one rack crash at once; so it takes more crashes, at two times.
KNOWN_PART_CRASHES_TO_HOLD: Final = 4
SEPARATE_CRASH_S: Final = 1.0
# Bounds the memory: beyond these numbers the oldest are forgotten.
PARTS_MAX: Final = 8_192
CRASHES_MAX: Final = 512
SUSPECTS_PER_CRASH_MAX: Final = 64


@dataclass(frozen=True, slots=True)
class RequestContent:
    """What may crash an upstream: the whole request, or one of its shared parts.

    ``fingerprint`` identifies the whole request; ``parts`` are the prompt's parts that
    other requests may share, in order.
    """

    fingerprint: str
    parts: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class CrashReport:
    """One entry's report of a crash.

    ``crash`` names the incarnation that crashed, ``suspects`` are this entry's requests
    that waited for their first output there. ``sound_parts`` are those of their parts
    that had produced output since the crash before.
    """

    crash: str
    reporter: str
    suspects: tuple[RequestContent, ...]
    sound_parts: tuple[str, ...] = ()


@dataclass(slots=True)
class _Crash:
    number: int
    at_s: float
    suspects: dict[str, RequestContent] = field(default_factory=dict)

    def parts(self) -> dict[str, int]:
        """Return the suspects' parts, each with its last position in a prompt."""
        positions: dict[str, int] = {}
        for suspect in self.suspects.values():
            for position, part in enumerate(suspect.parts):
                positions[part] = max(position, positions.get(part, 0))
        return positions


class CrashEvidence:
    """Crashes and successes by request content; ``clock`` returns seconds."""

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._crashes: dict[str, _Crash] = {}
        self._last_number = 0
        # Crashes up to this number do not count against the part or fingerprint.
        self._cleared: dict[str, int] = {}
        self._suspects: frozenset[str] = frozenset()
        self._held: frozenset[str] = frozenset()

    def record_success(self, content: RequestContent) -> None:
        """Clear the content of a request that produced output."""
        for part in content.parts:
            self._clear(part, self._last_number)
        suspects = self._suspects.intersection((content.fingerprint, *content.parts))
        if suspects:
            self._clear(content.fingerprint, self._last_number)
            self._infer()

    def record_crash(self, report: CrashReport) -> bool:
        """Add a report, and return whether it was new.

        Reports of one crash count once, however often they arrive.
        """
        self._drop_expired()
        crash = self._crashes.get(report.crash)
        if crash is None:
            self._last_number += 1
            crash = _Crash(self._last_number, self._clock())
            self._crashes[report.crash] = crash
        for part in report.sound_parts:
            self._clear(part, crash.number - 1)
        new = [one for one in report.suspects if one.fingerprint not in crash.suspects]
        room = SUSPECTS_PER_CRASH_MAX - len(crash.suspects)
        crash.suspects |= {one.fingerprint: one for one in new[:room]}
        if new:
            events.log(
                events.Event.CRASH_SUSPECTED,
                crash=report.crash,
                reporter=report.reporter,
                requests=[one.fingerprint for one in new],
                parts=sorted({part for one in new for part in one.parts}),
                sound_parts=report.sound_parts,
            )
        self._infer()
        return bool(new)

    def suspects_by_crash(self) -> dict[str, tuple[RequestContent, ...]]:
        """Return the suspects of each unexpired crash, to be sent to a new peer."""
        self._drop_expired()
        return {
            name: tuple(crash.suspects.values())
            for name, crash in self._crashes.items()
        }

    def sound_parts(self, crash: str, contents: Iterable[RequestContent]) -> list[str]:
        """Return the parts that produced output after the crashes before ``crash``."""
        others = [one for name, one in self._crashes.items() if name != crash]
        parts = sorted({part for content in contents for part in content.parts})
        return [
            part
            for part in parts
            if part in self._cleared and not self._counted(part, others)
        ]

    def held_content(self, content: RequestContent) -> str | None:
        """Return the fingerprint or part for which a request must be refused."""
        if not self._held:
            return None
        self._drop_expired()
        for name in (content.fingerprint, *content.parts):
            if name in self._held:
                return name
        return None

    def is_proven(self, content: RequestContent) -> bool:
        """Return whether each part has produced output since the last crash with it."""
        return all(
            part in self._cleared and part not in self._suspects
            for part in content.parts
        )

    def hold_left_s(self) -> float:
        """Return after how many seconds all present holds have expired."""
        latest = max((one.at_s for one in self._crashes.values()), default=0.0)
        return max(0.0, latest + CRASH_TTL_S - self._clock())

    def _clear(self, name: str, number: int) -> None:
        number = max(number, self._cleared.pop(name, 0))
        # Moved to the end, so that the least recently used one is dropped.
        self._cleared[name] = number
        if len(self._cleared) > PARTS_MAX:
            del self._cleared[next(iter(self._cleared))]

    def _drop_expired(self) -> None:
        oldest_s = self._clock() - CRASH_TTL_S
        expired = [name for name, one in self._crashes.items() if one.at_s <= oldest_s]
        excess = len(self._crashes) - CRASHES_MAX
        expired += list(self._crashes)[: max(0, excess)]
        if not expired:
            return
        for name in expired:
            self._crashes.pop(name, None)
        self._infer()

    def _infer(self) -> None:
        """Derive the suspects and the held content from all crashes."""
        crashes = list(self._crashes.values())
        parts = {part for crash in crashes for part in crash.parts()}
        prints = {name for crash in crashes for name in crash.suspects}
        counted = {name: self._counted(name, crashes) for name in parts | prints}
        self._suspects = frozenset(name for name, found in counted.items() if found)
        held = {name for name in prints if len(counted[name]) >= CRASHES_TO_HOLD}
        held |= self._explain({part: counted[part] for part in parts})
        for name in sorted(held - self._held):
            events.log(
                events.Event.REQUEST_HELD, content=name, crashes=len(counted[name])
            )
        self._held = frozenset(held)

    def _counted(self, name: str, crashes: Iterable[_Crash]) -> list[_Crash]:
        """Return the crashes that count against a fingerprint or part."""
        cleared = self._cleared.get(name, 0)
        return [
            crash
            for crash in crashes
            if crash.number > cleared
            and (name in crash.suspects or name in crash.parts())
        ]

    def _explain(self, counted: Mapping[str, list[_Crash]]) -> set[str]:
        """Return the fewest parts that explain the crashes.

        The part with most crashes explains them; only further crashes count against
        the others. Among equal ones it is a part that never produced output, then the
        one that comes later in prompts, which fewer requests share.
        """
        held: set[str] = set()
        left = {part: list(crashes) for part, crashes in counted.items()}

        def rank(part: str) -> tuple[int, bool, int, str]:
            positions = [crash.parts()[part] for crash in left[part]]
            is_new = part not in self._cleared
            return len(left[part]), is_new, max(positions, default=0), part

        while left:
            best = max(left, key=rank)
            if not left[best]:
                break
            explained = left.pop(best)
            if not self._is_enough(best, explained):
                continue
            held.add(best)
            numbers = {crash.number for crash in explained}
            left = {
                part: [crash for crash in crashes if crash.number not in numbers]
                for part, crashes in left.items()
            }
        return held

    def _is_enough(self, part: str, crashes: list[_Crash]) -> bool:
        """Return whether crashes at which a part was present are enough to hold it."""
        suspects = {
            name
            for crash in crashes
            for name, suspect in crash.suspects.items()
            if part in suspect.parts
        }
        # Crashes of one request are evidence against that request alone.
        if len(suspects) < 2:
            return False
        if part not in self._cleared:
            return len(crashes) >= CRASHES_TO_HOLD
        times = [crash.at_s for crash in crashes]
        is_apart = max(times) - min(times) >= SEPARATE_CRASH_S
        return len(crashes) >= KNOWN_PART_CRASHES_TO_HOLD and is_apart
