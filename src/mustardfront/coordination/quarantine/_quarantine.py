"""Crashes counted for each request fingerprint, with a time limit."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Final, TypeAlias

from mustardfront import events

# Crashes are forgotten, and a held request is let through again, after this time.
CRASH_MEMORY_S: Final = 600.0
CRASHES_TO_HOLD: Final = 2
# The oldest fingerprint is forgotten beyond this number, which bounds the memory.
FINGERPRINTS_MAX: Final = 4_096

Crash: TypeAlias = tuple[str, str]


@dataclass(slots=True)
class _Record:
    """Crashes of one fingerprint, and those that a completed run disproved."""

    crashes: set[Crash] = field(default_factory=set)
    disproved: set[Crash] = field(default_factory=set)
    last_s: float = 0.0


class Quarantine:
    """Crash counts by fingerprint; ``clock`` returns the time in seconds.

    A crash is the end of one instance of one upstream. Reports of the same crash that
    arrive over several connections, or in several parts, count once.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._records: dict[bytes, _Record] = {}

    def crashed(
        self, upstream: str, instance: str, fingerprints: Iterable[bytes]
    ) -> bool:
        """Count a crash against ``fingerprints``; say whether any of it was new."""
        crash = (upstream, instance)
        news = [self._count(crash, one) for one in fingerprints]
        return any(news)

    def _count(self, crash: Crash, fingerprint: bytes) -> bool:
        record = self._live(fingerprint)
        if record is None:
            record = _Record()
        elif crash in record.crashes or crash in record.disproved:
            return False
        # Putting the record last keeps the table in the order of age.
        self._records.pop(fingerprint, None)
        self._records[fingerprint] = record
        record.crashes.add(crash)
        record.last_s = self._clock()
        while len(self._records) > FINGERPRINTS_MAX:
            del self._records[next(iter(self._records))]
        held = len(record.crashes) >= CRASHES_TO_HOLD
        events.log(
            events.Event.REQUEST_HELD if held else events.Event.CRASH_SUSPECTED,
            fingerprint=fingerprint.hex(),
            upstream=crash[0],
            instance=crash[1],
            crashes=len(record.crashes),
        )
        return True

    def crashes_of(self, fingerprint: bytes) -> int:
        """Return how many crashes count against a fingerprint now."""
        record = self._live(fingerprint)
        return len(record.crashes) if record else 0

    def is_held(self, fingerprint: bytes) -> bool:
        """Say whether a request must be refused because of its crashes."""
        return self.crashes_of(fingerprint) >= CRASHES_TO_HOLD

    def cleared(self, fingerprint: bytes) -> None:
        """Forget the suspicion against a request that completed.

        A held one stays held: it crashed upstreams more than once, whatever one run
        of it did. Late reports of the crashes known now do not count again.
        """
        record = self._live(fingerprint)
        if record is None or len(record.crashes) >= CRASHES_TO_HOLD:
            return
        record.disproved |= record.crashes
        record.crashes.clear()

    def known(self) -> dict[Crash, tuple[bytes, ...]]:
        """Return the fingerprints of each crash that counts, for a new peer."""
        crashes: dict[Crash, list[bytes]] = {}
        for fingerprint in tuple(self._records):
            record = self._live(fingerprint)
            for crash in record.crashes if record else ():
                crashes.setdefault(crash, []).append(fingerprint)
        return {crash: tuple(ran) for crash, ran in crashes.items()}

    def _live(self, fingerprint: bytes) -> _Record | None:
        record = self._records.get(fingerprint)
        if record is None:
            return None
        if self._clock() - record.last_s >= CRASH_MEMORY_S:
            del self._records[fingerprint]
            return None
        return record
