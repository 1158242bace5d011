"""Crashes of upstreams as an entry sees them, and reports to the other entries."""

from __future__ import annotations

import errno
import random
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any, Final

import trio

from mustardfront import events
from mustardfront.coordination.quarantine import (
    CRASH_TTL_S,
    SUSPECTS_PER_CRASH_MAX,
    CrashEvidence,
    CrashReport,
    RequestContent,
    bounded,
)
from mustardfront.coordination.traffic import Upstream
from mustardfront.programs.gateway._outbox import Outbox
from mustardfront.results import Err, Ok, Result
from mustardfront.state import LeasedKey

LISTEN_CHECK_TIMEOUT_S: Final = 0.2
# The requests that a crash cut off end within this time and are reported together.
REPORT_DELAY_S: Final = 0.1
# All entries see output of a common prompt part within moments of a crash. At different
# delays all but the first find that the others know of it.
CLEARANCE_DELAY_S: Final = (0.1, 2.0)
# Reports that an entry keeps, so that it can write them again.
REPORTS_MAX: Final = 128

WriteReport = Callable[[CrashReport, float], Awaitable[Result[LeasedKey]]]


async def is_listening(address: tuple[str, int]) -> bool | None:
    """Return whether a process listens at (IP, port); None if that stays unknown.

    A host refuses the connection at once if no process listens there, so this
    distinguishes a crashed upstream from a connection that broke.
    """
    with trio.move_on_after(LISTEN_CHECK_TIMEOUT_S), trio.socket.socket() as sock:
        try:
            await sock.connect(address)
        except OSError as exc:
            return False if exc.errno == errno.ECONNREFUSED else None
        return True
    return None


@dataclass(slots=True)
class _OwnReport:
    """What this entry knows of a crash since ``at_s``, in trio's time.

    ``noticed_s`` is when it noticed the crash itself, in Unix seconds. ``suspects`` are
    its requests there, each with when it was last sent. ``sound`` names had output
    before the crash, ``cleared`` ones after it.
    """

    at_s: float
    noticed_s: float | None = None
    suspects: dict[str, tuple[RequestContent, float]] = field(default_factory=dict)
    sound: set[str] = field(default_factory=set)
    cleared: set[str] = field(default_factory=set)


class CrashReporter:
    """Records crashes at this entry and writes them to the store for the others.

    Output of what was suspected is written too: an entry that refuses a request cannot
    find out by itself that it is sound, nor can one that starts later.
    """

    def __init__(self, entry: str, evidence: CrashEvidence) -> None:
        self._entry = entry
        self._evidence = evidence
        # The crashes to report, and those whose content was cleared.
        self._outbox = Outbox[str](lambda: REPORT_DELAY_S)
        self._clearances = Outbox[str](lambda: random.uniform(*CLEARANCE_DELAY_S))
        # Unexpired crashes that this entry saw, oldest first.
        self._own: dict[str, _OwnReport] = {}

    def record(
        self, upstream: Upstream, content: RequestContent, sent_s: float | None = None
    ) -> None:
        """Record that a request waited for its first output at a crash.

        ``sent_s`` is when it was sent, in Unix seconds; by default now.
        """
        crash, now_s = upstream.incarnation, time.time()
        own = self._own_report(crash)
        noticed_s = own.noticed_s = own.noticed_s or now_s
        sent_s = now_s if sent_s is None else sent_s
        sound = self._evidence.sound_parts(crash, [content])
        self._evidence.record_crash(
            CrashReport(
                crash,
                self._entry,
                (content,),
                tuple(sound),
                noticed_s=noticed_s,
                sent_s=(sent_s,),
            )
        )
        known = own.suspects.get(content.fingerprint)
        if known is None and len(own.suspects) >= SUSPECTS_PER_CRASH_MAX:
            return
        last_sent_s = max(sent_s, known[1] if known else sent_s)
        own.suspects[content.fingerprint] = (content, last_sent_s)
        own.sound.update(sound)
        self._outbox.put(crash, crash)

    def record_output(self, content: RequestContent) -> None:
        """Record that a request produced output, which clears its content."""
        for crash, names in self._evidence.record_success(content).items():
            self._own_report(crash).cleared.update(names)
            self._clearances.put(crash, crash)

    def reports(self) -> list[CrashReport]:
        """Return this entry's reports of unexpired crashes."""
        self._drop_expired()
        return [self._report(crash, own) for crash, own in self._own.items()]

    def repeat(self) -> None:
        """Write all reports again, for a store that lost its last writes."""
        self._drop_expired()
        for crash in self._own:
            self._outbox.put(crash, crash)

    def _own_report(self, crash: str) -> _OwnReport:
        self._drop_expired()
        return self._own.setdefault(crash, _OwnReport(trio.current_time()))

    def _report(self, crash: str, own: _OwnReport) -> CrashReport:
        report = CrashReport(
            crash,
            self._entry,
            tuple(content for content, _ in own.suspects.values()),
            tuple(sorted(own.sound)),
            tuple(sorted(own.cleared)),
            own.noticed_s,
            tuple(sent_s for _, sent_s in own.suspects.values()),
        )
        return bounded(report)

    def _drop_expired(self) -> None:
        oldest_s = trio.current_time() - CRASH_TTL_S
        while self._own:
            crash, own = next(iter(self._own.items()))
            if own.at_s > oldest_s and len(self._own) <= REPORTS_MAX:
                return
            del self._own[crash]

    async def run(self, write: WriteReport) -> None:
        """Write the reports until cancelled."""

        async def write_report(crash: str) -> Result[Any]:
            own = self._own.get(crash)
            if own is None:
                return Ok(None)
            report = self._report(crash, own)
            written = await write(report, CRASH_TTL_S)
            if not isinstance(written, Err):
                events.log(
                    events.Event.CRASH_REPORTED,
                    crash=crash,
                    requests=len(report.suspects),
                    cleared=len(report.cleared),
                )
            return written

        async def write_clearance(crash: str) -> Result[Any]:
            own = self._own.get(crash)
            if own is None:
                return Ok(None)
            if not self._evidence.lacks_clearance(self._report(crash, own)):
                return Ok(None)
            return await write_report(crash)

        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._clearances.run, write_clearance)
            await self._outbox.run(write_report)
