"""Crashes of upstreams as an entry sees them, and reports to the other entries."""

from __future__ import annotations

import errno
import random
import time
from collections.abc import Awaitable, Callable
from dataclasses import replace
from typing import Any, Final

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
from mustardfront.results import Err, Ok, Result
from mustardfront.state import LeasedKey

LISTEN_CHECK_TIMEOUT_S: Final = 0.2
# The requests that a crash cut off end within this time and are reported together.
REPORT_DELAY_S: Final = 0.1
# All entries see output of a common prompt part within moments of a crash. At different
# delays all but the first find that the others know of it.
CLEARANCE_DELAY_S: Final = (0.1, 2.0)
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
    """Records crashes at this entry and writes them to the store for the others.

    Output of what was suspected is written too: an entry that refuses a request cannot
    find out by itself that it is sound, nor can one that starts later.
    """

    def __init__(self, entry: str, evidence: CrashEvidence) -> None:
        self._entry = entry
        self._evidence = evidence
        self._outbox = Outbox[CrashReport](lambda: REPORT_DELAY_S)
        self._clearances = Outbox[CrashReport](
            lambda: random.uniform(*CLEARANCE_DELAY_S)
        )
        # This entry's reports of unexpired crashes.
        self._reports: dict[str, CrashReport] = {}

    def record(
        self, upstream: Upstream, content: RequestContent, sent_s: float | None = None
    ) -> None:
        """Record that a request waited for its first output at a crash.

        ``sent_s`` is when it was sent, in Unix seconds; by default now.
        """
        crash, now_s = upstream.incarnation, time.time()
        before = self._reports.get(crash)
        if before is None:
            before = CrashReport(crash, self._entry, (), noticed_s=now_s)
        suspects = (*before.suspects, content)
        sound = self._evidence.sound_parts(crash, suspects)
        report = replace(
            before,
            suspects=suspects[:REPORT_SUSPECTS_MAX],
            sound_parts=tuple(sound),
            sent_s=(*before.sent_s, now_s if sent_s is None else sent_s),
        )
        self._evidence.record_crash(report)
        self._reports[crash] = report
        self._drop_expired()
        self._outbox.put(crash, report)

    def record_output(self, content: RequestContent) -> None:
        """Record that a request produced output, which clears its content."""
        for crash, names in self._evidence.record_success(content).items():
            before = self._reports.get(crash, CrashReport(crash, self._entry, ()))
            cleared = dict.fromkeys((*before.cleared, *names))
            self._reports[crash] = replace(before, cleared=tuple(cleared))
            self._clearances.put(crash, self._reports[crash])

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
            # The one in the outbox may be older: a report is written as a whole.
            newest = self._reports.get(report.crash, report)
            written = await write(newest, CRASH_TTL_S)
            if not isinstance(written, Err):
                events.log(
                    events.Event.CRASH_REPORTED,
                    crash=newest.crash,
                    requests=len(newest.suspects),
                    cleared=len(newest.cleared),
                )
            return written

        async def write_clearance(report: CrashReport) -> Result[Any]:
            if not self._evidence.lacks_clearance(report):
                return Ok(None)
            return await write_report(report)

        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._clearances.run, write_clearance)
            await self._outbox.run(write_report)
