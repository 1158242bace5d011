"""Crashes of upstreams as an entry sees them, and reports to the other entries."""

from __future__ import annotations

import errno
from collections.abc import Awaitable, Callable
from typing import Final

import trio

from mustardfront import events
from mustardfront.coordination.quarantine import (
    CRASH_TTL_S,
    CrashEvidence,
    CrashReport,
    RequestContent,
)
from mustardfront.coordination.traffic import Upstream
from mustardfront.programs.gateway._outbox import Outbox
from mustardfront.results import Err, Result
from mustardfront.state import LeasedKey

LISTEN_CHECK_TIMEOUT_S: Final = 0.2
# The requests that a crash cut off end within this time and are reported together.
REPORT_DELAY_S: Final = 0.1
# Bounds a report; readers count no more suspects of a crash either.
REPORT_SUSPECTS_MAX: Final = 32

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


class CrashReporter:
    """Records crashes at this entry and writes them to the store for the others."""

    def __init__(self, entry: str, evidence: CrashEvidence) -> None:
        self._entry = entry
        self._evidence = evidence
        self._outbox = Outbox[CrashReport](lambda: REPORT_DELAY_S)
        # This entry's reports of unexpired crashes.
        self._reports: dict[str, CrashReport] = {}

    def record(self, upstream: Upstream, content: RequestContent) -> None:
        """Record that a request waited for its first output at a crash."""
        crash = upstream.incarnation
        before = self._reports.get(crash)
        suspects = (*before.suspects, content) if before else (content,)
        sound = self._evidence.sound_parts(crash, suspects)
        suspects = suspects[:REPORT_SUSPECTS_MAX]
        report = CrashReport(crash, self._entry, suspects, tuple(sound))
        self._evidence.record_crash(report)
        self._reports[crash] = report
        self._drop_expired()
        self._outbox.put(crash, report)

    def repeat(self) -> None:
        """Write all reports again, for a store that lost its last writes."""
        self._drop_expired()
        for crash, report in self._reports.items():
            self._outbox.put(crash, report)

    def _drop_expired(self) -> None:
        unexpired = self._evidence.suspects_by_crash()
        for crash in self._reports.keys() - unexpired.keys():
            del self._reports[crash]

    async def run(self, write: WriteReport) -> None:
        """Write the reports until cancelled."""

        async def write_report(report: CrashReport) -> Result[LeasedKey]:
            written = await write(report, CRASH_TTL_S)
            if not isinstance(written, Err):
                events.log(
                    events.Event.CRASH_REPORTED,
                    crash=report.crash,
                    requests=len(report.suspects),
                )
            return written

        await self._outbox.run(write_report)
