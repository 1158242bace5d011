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
from mustardfront.results import Err, Result

LISTEN_CHECK_TIMEOUT_S: Final = 0.2
# The requests that a crash cut off end within this time and are reported together.
REPORT_DELAY_S: Final = 0.1
REPORT_RETRY_S: Final = 0.5
# Bounds the reports that wait while the store is unavailable.
PENDING_MAX: Final = 64

WriteReport = Callable[[CrashReport, float], Awaitable[Result[int]]]


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
        self._pending: dict[str, CrashReport] = {}
        self._wakeup = trio.Event()

    def record(self, upstream: Upstream, content: RequestContent) -> None:
        """Record that a request waited for its first output at a crash."""
        crash = upstream.incarnation
        before = self._pending.get(crash)
        suspects = (*before.suspects, content) if before else (content,)
        sound = self._evidence.sound_parts(crash, suspects)
        report = CrashReport(crash, self._entry, suspects, tuple(sound))
        self._evidence.record_crash(report)
        self._pending[crash] = report
        while len(self._pending) > PENDING_MAX:
            del self._pending[next(iter(self._pending))]
        self._wakeup.set()

    async def run(self, write: WriteReport) -> None:
        """Write the reports until cancelled; repeat what the store does not take."""
        while True:
            await self._wakeup.wait()
            await trio.sleep(REPORT_DELAY_S)
            self._wakeup = trio.Event()
            for crash, report in tuple(self._pending.items()):
                written = await write(report, CRASH_TTL_S)
                if isinstance(written, Err):
                    self._wakeup.set()
                    await trio.sleep(REPORT_RETRY_S)
                    break
                if self._pending.get(crash) is report:
                    del self._pending[crash]
                events.log(
                    events.Event.CRASH_REPORTED,
                    crash=crash,
                    requests=len(report.suspects),
                )
