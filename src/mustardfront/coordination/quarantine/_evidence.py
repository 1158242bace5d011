"""Which request content crashes upstreams, inferred from crashes and successes.

A crash is evidence against the content of all requests that waited for their first
output there, most of them sound. Content that crashes upstreams is at all its crashes
and never produces output, which tells it from content that is there by chance. All
entries collect the same reports, since the crashes of one fleet spread over them.
"""

from __future__ import annotations

from collections.abc import Callable, Collection, Iterable, Mapping
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
CRASHES_MAX: Final = 128
SUSPECTS_PER_CRASH_MAX: Final = 32


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
    and fingerprints that had produced output since the crash before, ``cleared`` are
    those that produced output after this crash. ``noticed_s`` is when the entry noticed
    the crash, ``sent_s`` when it sent each suspect, in Unix seconds.

    Reports of earlier versions have no times; such a crash counts for itself.
    """

    crash: str
    reporter: str
    suspects: tuple[RequestContent, ...]
    sound_parts: tuple[str, ...] = ()
    cleared: tuple[str, ...] = ()
    noticed_s: float | None = None
    sent_s: tuple[float, ...] = ()


@dataclass(slots=True)
class _Crash:
    """A crash; ``at_s`` is in this process's time, ``noticed_s`` in Unix seconds.

    ``sound`` and ``cleared`` are the names that reports say had output before and after
    it; ``announced`` are the cleared ones that other entries know.
    """

    name: str
    number: int
    at_s: float
    noticed_s: float
    suspects: dict[str, RequestContent] = field(default_factory=dict)
    sound: set[str] = field(default_factory=set)
    cleared: set[str] = field(default_factory=set)
    announced: set[str] = field(default_factory=set)


@dataclass(slots=True)
class _Presence:
    """How a part or request was at one crash.

    ``position`` is a part's last position in a prompt; ``fingerprints`` are the
    suspects that had it. ``sent_s`` is when the last of them was sent, in Unix seconds.
    """

    crash: _Crash
    position: int = 0
    fingerprints: set[str] = field(default_factory=set)
    sent_s: float = 0.0


class CrashEvidence:
    """Crashes and successes by request content.

    ``clock`` returns seconds, ``unix_clock`` the time that entries agree on.
    """

    def __init__(
        self,
        clock: Callable[[], float],
        unix_clock: Callable[[], float] | None = None,
    ) -> None:
        self._clock = clock
        self._unix_clock = unix_clock or clock
        # Oldest first.
        self._crashes: dict[str, _Crash] = {}
        self._last_number = 0
        # Crashes up to this number do not count against the part or fingerprint.
        self._cleared: dict[str, int] = {}
        # The crashes that count against each part or fingerprint, by their numbers.
        self._counted: dict[str, dict[int, _Presence]] = {}
        # The held content, or None if it must be inferred again. It is inferred when it
        # is asked for: a failed rack brings hundreds of reports at once.
        self._held: frozenset[str] | None = frozenset()
        self._logged: frozenset[str] = frozenset()

    def record_success(self, content: RequestContent) -> dict[str, list[str]]:
        """Clear the content of a request that produced output.

        Return, by crash, the names that other entries may still hold: those that were
        at several crashes, and that no report says had output between them.
        """
        found = self._suspected_names(content)
        was_suspect = content.fingerprint in self._counted
        if was_suspect:
            self._clear(content.fingerprint, self._last_number)
        for part in content.parts:
            was_suspect = was_suspect or part in self._counted
            self._clear(part, self._last_number)
        if was_suspect:
            self._held = None
        return found

    def _suspected_names(self, content: RequestContent) -> dict[str, list[str]]:
        found: dict[str, list[str]] = {}
        for name in (content.fingerprint, *content.parts):
            crashes = [one.crash for one in self._counted.get(name, {}).values()]
            is_known_sound = any(name in crash.sound for crash in crashes)
            if len(crashes) < CRASHES_TO_HOLD or is_known_sound:
                continue
            for crash in crashes:
                crash.cleared.add(name)
                found.setdefault(crash.name, []).append(name)
        return found

    def lacks_clearance(self, report: CrashReport) -> bool:
        """Return whether other entries do not know all that a report clears."""
        crash = self._crashes.get(report.crash)
        return crash is not None and not crash.announced.issuperset(report.cleared)

    def record_crash(self, report: CrashReport) -> bool:
        """Add a report, and return whether it was new.

        Reports of one crash count once, however often they arrive.
        """
        self._drop_expired()
        crash = self._crashes.get(report.crash)
        now_s = self._unix_clock()
        noticed_s = now_s if report.noticed_s is None else report.noticed_s
        if crash is None:
            self._last_number += 1
            number = self._last_number
            crash = _Crash(report.crash, number, self._clock(), noticed_s)
            self._crashes[report.crash] = crash
        crash.noticed_s = min(crash.noticed_s, noticed_s)
        crash.sound.update(report.sound_parts)
        for part in report.sound_parts:
            self._clear(part, crash.number - 1)
        for name in report.cleared:
            self._clear_at(crash, name)
        new = [one for one in report.suspects if one.fingerprint not in crash.suspects]
        sent_s = report.sent_s or (now_s,) * len(report.suspects)
        for suspect, suspect_sent_s in zip(report.suspects, sent_s, strict=False):
            self._add_suspect(crash, suspect, suspect_sent_s)
        if new:
            events.log(
                events.Event.CRASH_SUSPECTED,
                crash=report.crash,
                reporter=report.reporter,
                requests=[one.fingerprint for one in new],
                parts=sorted({part for one in new for part in one.parts}),
                sound_parts=report.sound_parts,
            )
            self._held = None
        if report.sound_parts or report.cleared:
            self._held = None
        return bool(new)

    def suspects_by_crash(self) -> dict[str, tuple[RequestContent, ...]]:
        """Return the suspects of each unexpired crash, to be sent to a new peer."""
        self._drop_expired()
        return {
            name: tuple(crash.suspects.values())
            for name, crash in self._crashes.items()
        }

    def sound_parts(self, crash: str, contents: Iterable[RequestContent]) -> list[str]:
        """Return the names that produced output after the crashes before ``crash``.

        Names are the parts and the fingerprints of ``contents``.
        """
        known = self._crashes.get(crash)
        own_number = known.number if known else 0

        def is_sound(name: str) -> bool:
            others = self._counted.get(name, {}).keys() - {own_number}
            return name in self._cleared and not others

        names = {
            name
            for content in contents
            for name in (content.fingerprint, *content.parts)
        }
        return sorted(filter(is_sound, names))

    def held_content(self, content: RequestContent) -> str | None:
        """Return the fingerprint or part for which a request must be refused."""
        self._drop_expired()
        held = self.held()
        for name in (content.fingerprint, *content.parts):
            if name in held:
                return name
        return None

    def held(self) -> frozenset[str]:
        """Return the fingerprints and parts for which requests must be refused."""
        if self._held is not None:
            return self._held
        repeated = {
            name: counted
            for name, counted in self._counted.items()
            if len(counted) >= CRASHES_TO_HOLD
        }
        held = {
            name
            for name, counted in repeated.items()
            if any(name in one.crash.suspects for one in counted.values())
            and _are_separate(counted.values())
        }
        held |= self._explain(
            {name: counted for name, counted in repeated.items() if name not in held}
        )
        for name in sorted(held - self._logged):
            events.log(
                events.Event.REQUEST_HELD, content=name, crashes=len(repeated[name])
            )
        self._held = self._logged = frozenset(held)
        return self._held

    def is_proven(self, content: RequestContent) -> bool:
        """Return whether each part has produced output since the last crash with it."""
        return all(
            part in self._cleared and part not in self._counted
            for part in content.parts
        )

    def hold_left_s(self) -> float:
        """Return after how many seconds all present holds have expired."""
        if not self._crashes:
            return 0.0
        latest = next(reversed(self._crashes.values()))
        return max(0.0, latest.at_s + CRASH_TTL_S - self._clock())

    def _add_suspect(
        self, crash: _Crash, suspect: RequestContent, sent_s: float
    ) -> None:
        is_full = len(crash.suspects) >= SUSPECTS_PER_CRASH_MAX
        if is_full and suspect.fingerprint not in crash.suspects:
            return
        crash.suspects[suspect.fingerprint] = suspect
        for position, name in enumerate((suspect.fingerprint, *suspect.parts)):
            if crash.number <= self._cleared.get(name, 0) or name in crash.cleared:
                continue
            counted = self._counted.setdefault(name, {})
            presence = counted.setdefault(crash.number, _Presence(crash))
            presence.position = max(presence.position, position)
            presence.fingerprints.add(suspect.fingerprint)
            presence.sent_s = max(presence.sent_s, sent_s)

    def _clear(self, name: str, number: int) -> None:
        number = max(number, self._cleared.pop(name, 0))
        # Moved to the end, so that the least recently used one is dropped.
        self._cleared[name] = number
        if len(self._cleared) > PARTS_MAX:
            del self._cleared[next(iter(self._cleared))]
        if name in self._counted:
            self._uncount(name, [one for one in self._counted[name] if one <= number])

    def _clear_at(self, crash: _Crash, name: str) -> None:
        """Clear a name of one crash, as another entry saw its output afterwards."""
        crash.cleared.add(name)
        crash.announced.add(name)
        self._clear(name, 0)
        self._uncount(name, [crash.number])

    def _uncount(self, name: str, numbers: Iterable[int]) -> None:
        counted = self._counted.get(name, {})
        for number in numbers:
            counted.pop(number, None)
        if not counted:
            self._counted.pop(name, None)

    def _drop_expired(self) -> None:
        oldest_s = self._clock() - CRASH_TTL_S
        has_dropped = False
        while self._crashes:
            name, crash = next(iter(self._crashes.items()))
            if crash.at_s > oldest_s and len(self._crashes) <= CRASHES_MAX:
                break
            del self._crashes[name]
            has_dropped = True
            for suspect in crash.suspects.values():
                for one in (suspect.fingerprint, *suspect.parts):
                    self._uncount(one, [crash.number])
        if has_dropped:
            self._held = None

    def _explain(self, counted: Mapping[str, Mapping[int, _Presence]]) -> set[str]:
        """Return the fewest parts that explain the crashes.

        The part with most crashes explains them; only further crashes count against
        the others. Among equal ones it is a part that never produced output, then the
        one that comes later in prompts, which fewer requests share.
        """
        held: set[str] = set()
        left = {part: dict(presences) for part, presences in counted.items()}

        def rank(part: str) -> tuple[int, bool, int, str]:
            presences = left[part].values()
            position = max((one.position for one in presences), default=0)
            return len(presences), part not in self._cleared, position, part

        while left:
            best = max(left, key=rank)
            explained = left.pop(best)
            if len(explained) < CRASHES_TO_HOLD:
                break
            if not self._is_enough(best, explained.values()):
                continue
            held.add(best)
            for presences in left.values():
                for number in explained:
                    presences.pop(number, None)
        return held

    def _is_enough(self, part: str, presences: Collection[_Presence]) -> bool:
        """Return whether crashes at which a part was present are enough to hold it."""
        # Crashes of one request are evidence against that request alone.
        if len(set().union(*(one.fingerprints for one in presences))) < 2:
            return False
        if part not in self._cleared:
            return True
        times = [one.crash.at_s for one in presences]
        is_apart = max(times) - min(times) >= SEPARATE_CRASH_S
        return len(presences) >= KNOWN_PART_CRASHES_TO_HOLD and is_apart


def _are_separate(presences: Collection[_Presence]) -> bool:
    """Return whether one content was at crashes that followed each other.

    Upstreams of one rack crash at once, with whatever runs there. A request that was
    sent after an earlier crash was noticed is no victim of that.
    """
    first = min(presences, key=lambda one: one.crash.noticed_s)
    return any(
        one.sent_s >= first.crash.noticed_s for one in presences if one is not first
    )
