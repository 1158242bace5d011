"""Crash counts of request fingerprints, which expire."""

from __future__ import annotations

from collections.abc import Callable, Collection, Iterable
from dataclasses import dataclass, field
from typing import Final, TypeAlias

from mustardfront import events

# A fingerprint's crashes expire this long after the last one, which ends its hold.
CRASH_TTL_S: Final = 600.0
CRASHES_TO_HOLD: Final = 2
# Bounds the memory: beyond this number, the oldest fingerprint is evicted.
FINGERPRINTS_MAX: Final = 4_096

# The upstream and its instance that crashed.
Crash: TypeAlias = tuple[str, str]


@dataclass(slots=True)
class _CrashRecord:
    """Crashes of one fingerprint.

    ``disproved`` are the crashes that no longer count since the request completed.
    ``first`` are those of runs that began before any other crash of it was known.
    """

    crashes: set[Crash] = field(default_factory=set)
    first: set[Crash] = field(default_factory=set)
    disproved: set[Crash] = field(default_factory=set)
    last_crash_s: float = 0.0


class Quarantine:
    """Crash counts by request fingerprint; ``clock`` returns the time in seconds.

    A crash is the end of one instance of an upstream, and is identified by the two.
    Reports of the same crash that arrive over several connections, or in several parts,
    count once.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._records: dict[bytes, _CrashRecord] = {}

    def record_crash(
        self,
        upstream: str,
        instance: str,
        fingerprints: Iterable[bytes],
        unsuspected: Collection[bytes] = (),
    ) -> bool:
        """Count a crash against ``fingerprints``; return whether any count was new.

        ``unsuspected`` are those that no crash was known of when they ran. Upstreams of
        one rack crash at once, with whatever runs there; so such crashes alone hold
        nothing, however many they are.
        """
        crash = (upstream, instance)
        counted = [
            self._count_crash(crash, fingerprint, fingerprint in unsuspected)
            for fingerprint in fingerprints
        ]
        return any(counted)

    def _count_crash(
        self, crash: Crash, fingerprint: bytes, is_unsuspected: bool
    ) -> bool:
        record = self._unexpired_record(fingerprint)
        if record is None:
            record = _CrashRecord()
        elif crash in record.crashes or crash in record.disproved:
            return False
        # Move the record to the end, so that the table is ordered by last crash.
        self._records.pop(fingerprint, None)
        self._records[fingerprint] = record
        record.crashes.add(crash)
        if is_unsuspected:
            record.first.add(crash)
        record.last_crash_s = self._clock()
        while len(self._records) > FINGERPRINTS_MAX:
            del self._records[next(iter(self._records))]
        held = _holds(record)
        events.log(
            events.Event.REQUEST_HELD if held else events.Event.CRASH_SUSPECTED,
            fingerprint=fingerprint.hex(),
            upstream=crash[0],
            instance=crash[1],
            crashes=len(record.crashes),
        )
        return True

    def crashes_of(self, fingerprint: bytes) -> int:
        """Return the number of unexpired crashes that count against a fingerprint."""
        record = self._unexpired_record(fingerprint)
        return len(record.crashes) if record else 0

    def is_held(self, fingerprint: bytes) -> bool:
        """Return whether a request must be refused because of its crashes."""
        record = self._unexpired_record(fingerprint)
        return record is not None and _holds(record)

    def unsuspected_at(
        self, crash: Crash, fingerprints: Iterable[bytes]
    ) -> tuple[bytes, ...]:
        """Return the fingerprints that no crash was known of at ``crash``."""
        records = ((one, self._unexpired_record(one)) for one in fingerprints)
        return tuple(one for one, found in records if found and crash in found.first)

    def clear_crashes(self, fingerprint: bytes) -> None:
        """Clear the crashes of a request that completed, unless it is held.

        A held request stays held: it crashed upstreams more than once, whatever one
        run of it did. Late reports of the cleared crashes do not count again.
        """
        record = self._unexpired_record(fingerprint)
        if record is None or _holds(record):
            return
        record.disproved |= record.crashes
        record.crashes.clear()

    def unexpired_crashes(self) -> dict[Crash, tuple[bytes, ...]]:
        """Return the fingerprints of each unexpired crash, to be sent to a new peer."""
        crashes: dict[Crash, list[bytes]] = {}
        for fingerprint in tuple(self._records):
            record = self._unexpired_record(fingerprint)
            for crash in record.crashes if record else ():
                crashes.setdefault(crash, []).append(fingerprint)
        return {crash: tuple(ran) for crash, ran in crashes.items()}

    def _unexpired_record(self, fingerprint: bytes) -> _CrashRecord | None:
        record = self._records.get(fingerprint)
        if record is None:
            return None
        if self._clock() - record.last_crash_s >= CRASH_TTL_S:
            del self._records[fingerprint]
            return None
        return record


def _holds(record: _CrashRecord) -> bool:
    is_repeated = bool(record.crashes - record.first)
    return len(record.crashes) >= CRASHES_TO_HOLD and is_repeated
