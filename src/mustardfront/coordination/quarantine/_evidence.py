"""Which request content crashes upstreams, inferred from crashes and successes.

A crash is evidence against the content of all requests that waited for their first
output there, most of them sound. Content that crashes upstreams is at all its crashes
and never produces output, which tells it from content that is there by chance. All
entries collect the same reports, since the crashes of one fleet spread over them.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Final

from mustardfront import events
from mustardfront.coordination.quarantine._inference import (
    Crash,
    Presence,
    explain,
    may_be_held,
)
from mustardfront.coordination.quarantine._quarantine import (
    CRASH_TTL_S,
    CRASHES_TO_HOLD,
)
from mustardfront.coordination.quarantine._reports import CrashReport, RequestContent

# Bounds the memory: beyond these numbers the oldest are forgotten.
PARTS_MAX: Final = 8_192
CRASHES_MAX: Final = 128
SUSPECTS_PER_CRASH_MAX: Final = 32
# Names that count at one crash, and at all crashes together.
NAMES_PER_CRASH_MAX: Final = 8_192
NAMES_MAX: Final = 32_768
# Names in one line of the log.
LOGGED_NAMES_MAX: Final = 32


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
        self._crashes: dict[str, Crash] = {}
        self._last_number = 0
        # Crashes up to this number do not count against the part or fingerprint.
        self._cleared: dict[str, int] = {}
        # The crashes that count against each part or fingerprint, by their numbers.
        self._counted: dict[str, dict[int, Presence]] = {}
        self._name_count = 0
        # The names whose crashes are enough to hold them, unless a part that is more
        # often there explains these crashes. Kept at each change, because output and
        # reports change few of thousands of names.
        self._candidates: set[str] = set()
        # The held content, or None if it must be inferred again.
        self._held: frozenset[str] | None = frozenset()
        self._logged: frozenset[str] = frozenset()

    def record_success(self, content: RequestContent) -> dict[str, list[str]]:
        """Clear the content of a request that produced output.

        Return, by crash, the names that other entries may still hold: those that were
        at several crashes, and that no report says had output between them.
        """
        found = self._suspected_names(content)
        if content.fingerprint in self._counted:
            self._clear(content.fingerprint, self._last_number)
        for part in content.parts:
            self._clear(part, self._last_number)
        return found

    def _suspected_names(self, content: RequestContent) -> dict[str, list[str]]:
        found: dict[str, list[str]] = {}
        for name in (content.fingerprint, *content.parts):
            counted = self._counted.get(name, {})
            if len(counted) < CRASHES_TO_HOLD:
                continue
            crashes = [one.crash for one in counted.values()]
            if any(name in crash.sound for crash in crashes):
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

        Reports of one crash count once, however often they arrive. Suspects beyond the
        limit of a crash are not new either: peers pass on what is new.
        """
        self._drop_expired()
        now_s = self._unix_clock()
        noticed_s = now_s if report.noticed_s is None else report.noticed_s
        crash = self._crashes.get(report.crash)
        if crash is None:
            self._last_number += 1
            number = self._last_number
            crash = Crash(report.crash, number, self._clock(), noticed_s)
            self._crashes[report.crash] = crash
        crash.noticed_s = min(crash.noticed_s, noticed_s)
        crash.sound.update(report.sound_parts)
        for name in report.sound_parts:
            self._clear(name, crash.number - 1)
        for name in report.cleared:
            self._clear_at(crash, name)
        sent_s = report.sent_s or (now_s,) * len(report.suspects)
        new = [
            suspect
            for suspect, suspect_sent_s in zip(report.suspects, sent_s, strict=False)
            if self._add_suspect(crash, suspect, suspect_sent_s)
        ]
        self._drop_beyond_limits()
        if new:
            _log_suspects(report, new)
        return bool(new)

    def knows(self, crash: str) -> bool:
        """Return whether a crash is known and has not expired."""
        self._drop_expired()
        return crash in self._crashes

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
            if name not in self._cleared:
                return False
            counted = self._counted.get(name, ())
            return not counted or (len(counted) == 1 and own_number in counted)

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
        if not held:
            return None
        for name in (content.fingerprint, *content.parts):
            if name in held:
                return name
        return None

    def held(self) -> frozenset[str]:
        """Return the fingerprints and parts for which requests must be refused."""
        if self._held is not None:
            return self._held
        requests = {name for name in self._candidates if self._is_request(name)}
        parts = {name: self._counted[name] for name in self._candidates - requests}
        held = requests | explain(parts, self._cleared.keys())
        for name in sorted(held - self._logged):
            events.log(
                events.Event.REQUEST_HELD,
                content=name,
                crashes=len(self._counted[name]),
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

    def _is_request(self, name: str) -> bool:
        presences = self._counted[name].values()
        return any(name in one.crash.suspects for one in presences)

    def _add_suspect(
        self, crash: Crash, suspect: RequestContent, sent_s: float
    ) -> bool:
        """Count a crash against a request and its parts; return whether it is new."""
        is_new = suspect.fingerprint not in crash.suspects
        if is_new and len(crash.suspects) >= SUSPECTS_PER_CRASH_MAX:
            return False
        crash.suspects.setdefault(suspect.fingerprint, suspect)
        for position, name in enumerate((suspect.fingerprint, *suspect.parts)):
            if crash.number <= self._cleared.get(name, 0) or name in crash.cleared:
                continue
            presence = self._presence(crash, name, suspect.fingerprint)
            if presence is None:
                continue
            presence.position = max(presence.position, position)
            presence.is_shared |= presence.fingerprint != suspect.fingerprint
            presence.sent_s = max(presence.sent_s, sent_s)
            self._update_candidate(name)
        return is_new

    def _presence(self, crash: Crash, name: str, fingerprint: str) -> Presence | None:
        """Return how a name was at a crash; None if no more names count there."""
        counted = self._counted.get(name, {})
        presence = counted.get(crash.number)
        if presence is None:
            if len(crash.names) >= NAMES_PER_CRASH_MAX:
                return None
            presence = Presence(crash, fingerprint)
            self._counted.setdefault(name, counted)[crash.number] = presence
            crash.names.add(name)
            self._name_count += 1
        return presence

    def _update_candidate(self, name: str) -> None:
        presences = self._counted.get(name, {}).values()
        if may_be_held(name, presences, name in self._cleared):
            self._candidates.add(name)
            self._held = None
        elif name in self._candidates:
            self._candidates.discard(name)
            self._held = None

    def _clear(self, name: str, number: int) -> None:
        number = max(number, self._cleared.pop(name, 0))
        # Moved to the end, so that the least recently used one is dropped.
        self._cleared[name] = number
        if len(self._cleared) > PARTS_MAX:
            del self._cleared[next(iter(self._cleared))]
        if name in self._counted:
            self._uncount(name, [one for one in self._counted[name] if one <= number])

    def _clear_at(self, crash: Crash, name: str) -> None:
        """Clear a name of one crash, as another entry saw its output afterwards."""
        crash.cleared.add(name)
        crash.announced.add(name)
        self._clear(name, 0)
        self._uncount(name, [crash.number])

    def _uncount(self, name: str, numbers: Iterable[int]) -> None:
        counted = self._counted.get(name)
        if counted is None:
            return
        for number in numbers:
            presence = counted.pop(number, None)
            if presence is not None:
                presence.crash.names.discard(name)
                self._name_count -= 1
        if not counted:
            del self._counted[name]
        self._update_candidate(name)

    def _drop_expired(self) -> None:
        oldest_s = self._clock() - CRASH_TTL_S
        while self._crashes:
            if next(iter(self._crashes.values())).at_s > oldest_s:
                return
            self._drop_oldest()

    def _drop_beyond_limits(self) -> None:
        while len(self._crashes) > CRASHES_MAX or (
            self._name_count > NAMES_MAX and len(self._crashes) > 1
        ):
            self._drop_oldest()

    def _drop_oldest(self) -> None:
        crash = self._crashes.pop(next(iter(self._crashes)))
        for name in tuple(crash.names):
            self._uncount(name, [crash.number])


def _log_suspects(report: CrashReport, new: list[RequestContent]) -> None:
    parts = sorted({part for one in new for part in one.parts})
    events.log(
        events.Event.CRASH_SUSPECTED,
        crash=report.crash,
        reporter=report.reporter,
        requests=[one.fingerprint for one in new],
        parts=parts[:LOGGED_NAMES_MAX],
        part_count=len(parts),
        sound_parts=report.sound_parts[:LOGGED_NAMES_MAX],
    )
