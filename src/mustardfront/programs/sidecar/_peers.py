"""Connections from entries and other peers, and the messages sent to them."""

from __future__ import annotations

import traceback
from typing import Final

import trio

from mustardfront import events
from mustardfront.codes import Code
from mustardfront.constants import DEADLINE_MAX_MS
from mustardfront.coordination.peers import ControlHandler
from mustardfront.programs._crash_reports import record_suspects, suspect_reports
from mustardfront.programs.sidecar._attempt import Attempt
from mustardfront.programs.sidecar._pauses import PauseDetector
from mustardfront.programs.sidecar._relay import run_attempt
from mustardfront.programs.sidecar._state import Sidecar
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
# Approximate size of an encoded load report with the length prefix of its frame.
REPORT_BYTES: Final = 100
# A third of the control traffic that a node is allowed.
REPORT_BYTES_PER_S: Final = 2_000


async def serve_connection(
    sidecar: Sidecar, pauses: PauseDetector, conn: PeerConnection
) -> None:
    """Serve the requests of one peer until its connection ends.

    It ends when the peer closes it or is silent, or when this process stops. Forwarded
    requests that must not be repeated run on after that.
    """
    attempts: dict[int, Attempt] = {}
    async with trio.open_nursery() as nursery:
        with sidecar.hub.attached(conn):
            await sidecar.hub.run_connect_handlers(conn)
            await _receive_messages(sidecar, pauses, conn, attempts, nursery)
        for attempt in tuple(attempts.values()):
            attempt.cancel()


async def _receive_messages(
    sidecar: Sidecar,
    pauses: PauseDetector,
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
                text = f"request uses stream {req.stream}, which is already in use"
                await conn.send(Fault(int(Code.BAD_MESSAGE), text))
                return
            case Request() as req:
                attempt = Attempt(req, conn, _deadline_s(req, pauses))
                attempts[req.stream] = attempt
                nursery.start_soon(_run_and_report_errors, sidecar, attempt, attempts)
            case Credit(stream, chunks) if stream in attempts:
                attempts[stream].add_credit(chunks)
            case Cancel(stream) if stream in attempts:
                attempts[stream].cancel()
            case Credit() | Cancel():
                # The attempt ended before the message arrived.
                pass
            case other:
                await sidecar.hub.handle(conn, other)


def _deadline_s(req: Request, pauses: PauseDetector) -> float:
    allowed_s = min(req.deadline_ms, DEADLINE_MAX_MS) / 1e3
    return trio.current_time() + allowed_s - pauses.possible_wait_s()


async def _run_and_report_errors(
    sidecar: Sidecar, attempt: Attempt, attempts: dict[int, Attempt]
) -> None:
    """Run an attempt; log an exception so that it does not end other attempts."""
    try:
        await run_attempt(sidecar, attempt)
    except Exception as exc:
        events.log(
            events.Event.TASK_FAILED,
            request_id=attempt.req.request_id,
            text="".join(traceback.format_exception(exc))[-2_000:],
        )
        err = Err(
            Code.INTERNAL_ERROR,
            "the sidecar failed with an internal error; see its log",
        )
        forwarded = attempt.forwarded
        final_reply = (
            attempt.unknown_reply(err) if forwarded else attempt.refused_reply(err)
        )
        await attempt.send(final_reply)
    finally:
        del attempts[attempt.req.stream]


def crash_handler(sidecar: Sidecar) -> ControlHandler:
    """Return the handler of crash reports from peers."""

    async def handle(conn: PeerConnection, message: Message) -> bool:
        if not isinstance(message, CrashReport):
            return False
        # Only new reports are forwarded, so that none circulates for ever.
        is_new = sidecar.quarantine.record_crash(
            message.upstream,
            message.instance,
            message.fingerprints,
            message.unsuspected,
        )
        if record_suspects(sidecar.crash_evidence, message) or is_new:
            sidecar.hub.broadcast(message)
        return True

    return handle


async def send_initial_state(sidecar: Sidecar, conn: PeerConnection) -> None:
    """Send the load, a drain in progress and the known crashes to a new peer."""
    await conn.send(sidecar.load_report())
    if sidecar.draining:
        await conn.send(Leaving(sidecar.upstream))
    for crash, fingerprints in sidecar.quarantine.unexpired_crashes().items():
        unsuspected = sidecar.quarantine.unsuspected_at(crash, fingerprints)
        report = CrashReport(*crash, fingerprints, unsuspected=unsuspected)
        await conn.send(report)
    for report in suspect_reports(sidecar.crash_evidence):
        await conn.send(report)


async def report_loads(sidecar: Sidecar) -> None:
    """Broadcast load reports to entries, at once when the upstream's state changes.

    The interval between reports grows with the number of connections, so that all of
    them together stay within ``REPORT_BYTES_PER_S``. Each ``End`` carries the load too.
    """
    while True:
        # Read before the report is built, so that no later change is missed.
        changed = sidecar.load_changed
        report = sidecar.load_report()
        sidecar.hub.broadcast(report, role="entry")
        spacing_s = _report_spacing_s(len(sidecar.hub.connections))
        with trio.move_on_after(spacing_s):
            while sidecar.state == report.state:
                await sidecar.load_changed.wait()
        with trio.move_on_after(REPORT_INTERVAL_S):
            await changed.wait()


def _report_spacing_s(connections: int) -> float:
    spacing_s = connections * REPORT_BYTES / REPORT_BYTES_PER_S
    return max(REPORT_SPACING_S, spacing_s)
