"""Connections from entries and other peers."""

from __future__ import annotations

import traceback
from typing import Final

import trio

from mustardfront import events
from mustardfront.codes import Code
from mustardfront.constants import DEADLINE_MAX_MS
from mustardfront.coordination.peers import ControlHandler
from mustardfront.programs.sidecar._attempt import Attempt
from mustardfront.programs.sidecar._pauses import PauseMeter
from mustardfront.programs.sidecar._relay import run_attempt
from mustardfront.programs.sidecar._side import Sidecar
from mustardfront.protocol import (
    Cancel,
    CrashReport,
    Credit,
    Fault,
    Leaving,
    Message,
    PeerConnection,
    Request,
)
from mustardfront.results import Err

REPORT_INTERVAL_S: Final = 2.0
REPORT_SPACING_S: Final = 0.05
# An encoded load report with its frame's length is about this long.
REPORT_BYTES: Final = 100
# A third of the control traffic that a node may cause.
REPORT_BYTES_PER_S: Final = 2_000


async def serve_connection(
    side: Sidecar, pauses: PauseMeter, conn: PeerConnection
) -> None:
    """Take requests from one peer until it goes, is silent or this process ends.

    Calls that must not be repeated run to their end even when the caller is gone.
    """
    attempts: dict[int, Attempt] = {}
    async with trio.open_nursery() as nursery:
        with side.hub.attached(conn):
            await side.hub.greet(conn)
            await _receive(side, pauses, conn, attempts, nursery)
        for attempt in tuple(attempts.values()):
            attempt.cancel()


async def _receive(
    side: Sidecar,
    pauses: PauseMeter,
    conn: PeerConnection,
    attempts: dict[int, Attempt],
    nursery: trio.Nursery,
) -> None:
    while True:
        message = await conn.receive()
        if isinstance(message, Err):
            return
        match message.value:
            case Request() as req if req.stream in attempts:
                text = f"stream {req.stream} is in use"
                await conn.send(Fault(int(Code.BAD_MESSAGE), text))
                return
            case Request() as req:
                attempt = Attempt(req, conn, _deadline_s(req, pauses))
                attempts[req.stream] = attempt
                nursery.start_soon(_run_guarded, side, attempt, attempts)
            case Credit(stream, chunks) if stream in attempts:
                attempts[stream].add_credit(chunks)
            case Cancel(stream) if stream in attempts:
                attempts[stream].cancel()
            case Credit() | Cancel():
                # The attempt ended while the message was on its way.
                pass
            case other:
                await side.hub.handle(conn, other)


def _deadline_s(req: Request, pauses: PauseMeter) -> float:
    allowed_s = min(req.deadline_ms, DEADLINE_MAX_MS) / 1e3
    return trio.current_time() + allowed_s - pauses.lost_s()


async def _run_guarded(
    side: Sidecar, attempt: Attempt, attempts: dict[int, Attempt]
) -> None:
    """Keep a fault in one attempt from ending the others."""
    try:
        await run_attempt(side, attempt)
    except Exception as exc:
        events.log(
            events.Event.TASK_FAILED,
            request_id=attempt.req.request_id,
            text="".join(traceback.format_exception(exc))[-2_000:],
        )
        err = Err(Code.INTERNAL_ERROR, "internal error in the sidecar")
        handed_over = attempt.handed_over
        last = attempt.ended(err) if handed_over else attempt.refused(err)
        await attempt.send(last)
    finally:
        del attempts[attempt.req.stream]


def crash_handler(side: Sidecar) -> ControlHandler:
    """Return the handler of crash reports from peers."""

    async def handle(conn: PeerConnection, message: Message) -> bool:
        if not isinstance(message, CrashReport):
            return False
        # Only news are passed on, so a report does not circle for ever.
        if side.quarantine.crashed(
            message.upstream, message.instance, message.fingerprints
        ):
            side.hub.broadcast(message)
        return True

    return handle


async def greet(side: Sidecar, conn: PeerConnection) -> None:
    """Tell a new peer the load, whether this upstream leaves, and known crashes."""
    await conn.send(side.load_report())
    if side.draining:
        await conn.send(Leaving(side.upstream))
    for (upstream, instance), fingerprints in side.quarantine.known().items():
        await conn.send(CrashReport(upstream, instance, fingerprints))


async def report_loads(side: Sidecar) -> None:
    """Send a load report after changes of the load, at once when the state changes.

    The more connections there are, the rarer the reports, so all of them together
    stay within ``REPORT_BYTES_PER_S``. Each ``End`` carries the load as well.
    """
    while True:
        # Taken before the report is made, so that no later change is missed.
        changed = side.load_changed
        report = side.load_report()
        side.hub.broadcast(report, role="entry")
        spacing_s = _report_spacing_s(len(side.hub.connections))
        with trio.move_on_after(spacing_s):
            while side.state == report.state:
                await side.load_changed.wait()
        with trio.move_on_after(REPORT_INTERVAL_S):
            await changed.wait()


def _report_spacing_s(connections: int) -> float:
    spacing_s = connections * REPORT_BYTES / REPORT_BYTES_PER_S
    return max(REPORT_SPACING_S, spacing_s)
