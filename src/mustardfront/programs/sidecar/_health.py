"""Health checks of the upstream and detection of its crashes."""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import Final

import msgspec
import trio

from mustardfront import events
from mustardfront.codes import Code
from mustardfront.coordination.quarantine import CrashSuspect, blamed_fingerprints
from mustardfront.decoding import decode_json
from mustardfront.programs._crash_reports import make_crash_report, record_suspects
from mustardfront.programs.sidecar._attempt import Attempt
from mustardfront.programs.sidecar._state import Sidecar
from mustardfront.programs.sidecar._upstream import UpstreamCall, UpstreamClient
from mustardfront.results import Err

CHECK_INTERVAL_S: Final = 1.0
CHECK_TIMEOUT_S: Final = 1.0
# One slow answer is usual under load; three failed checks in a row mean a frozen
# process.
FAILURES_TO_DOWN: Final = 3
# Tasks notice within this time that the connections of a dead process are closed.
CLOSE_DETECTION_S: Final = 0.05
# An exiting process closes its connections one by one and its listener at any point
# between them, so a check meanwhile may be cut, which neither proves nor excludes a
# crash. Such a check is repeated, up to this number of checks.
CUT_CHECKS_MAX: Final = 20
# A health check's answer names an instance and little else.
BODY_MAX_BYTES: Final = 64 * 1024
_HEALTH_CALL: Final = UpstreamCall("GET", "/healthz")


class _HealthBody(msgspec.Struct):
    instance: str = ""


@dataclass(frozen=True, slots=True)
class CheckResult:
    """Result of one health check.

    ``refused`` means that nothing accepts connections, ``cut`` that the connection was
    closed without a complete answer.
    """

    alive: bool
    instance: str = ""
    refused: bool = False
    cut: bool = False
    text: str = ""


async def check_upstream(client: UpstreamClient) -> CheckResult:
    """Request the health and the instance of the upstream once."""
    with trio.move_on_after(CHECK_TIMEOUT_S):
        async with client.exchange(_HEALTH_CALL) as result:
            if isinstance(result, Err):
                refused = result.code is Code.UPSTREAM_DOWN
                return CheckResult(
                    False, refused=refused, cut=not refused, text=result.text
                )
            body = b""
            while True:
                part = await result.value.receive()
                if isinstance(part, Err):
                    return CheckResult(False, cut=True, text=part.text)
                if not part.value:
                    break
                body += part.value
                if len(body) > BODY_MAX_BYTES:
                    text = f"the health check's answer exceeds {BODY_MAX_BYTES} bytes"
                    return CheckResult(False, text=text)
            if result.value.status >= 500:
                return CheckResult(
                    False,
                    text=f"the health check returned status {result.value.status}",
                )
            return CheckResult(True, instance=_decode_instance(body))
    return CheckResult(
        False, text=f"the health check got no answer within {CHECK_TIMEOUT_S} s"
    )


def _decode_instance(body: bytes) -> str:
    """Return the instance, or ``""`` for a plain service that reports none."""
    try:
        return decode_json(body, _HealthBody).instance
    except msgspec.DecodeError:
        return ""


class HealthChecker:
    """Checks one upstream regularly and reports the requests that ran at a crash."""

    def __init__(self, sidecar: Sidecar, client: UpstreamClient) -> None:
        self._sidecar = sidecar
        self._client = client
        self._failures = 0
        self._crashed_instance = ""
        self._check_lock = trio.Lock()

    async def run(self) -> None:
        """Check the upstream regularly, until cancelled."""
        while True:
            async with self._check_lock:
                await self._check(periodic=True)
            await trio.sleep(CHECK_INTERVAL_S)

    async def confirm_crash(self, attempt: Attempt) -> bool:
        """Return whether the process that ran ``attempt`` crashed; report the crash.

        The connection of ``attempt`` was lost, which alone is no proof of a crash.
        """
        async with self._check_lock:
            await self._check_until_known(attempt)
            return self._is_crashed(attempt)

    async def confirm_running(self, attempt: Attempt) -> bool:
        """Return whether the process that ran ``attempt`` runs; False if unknown."""
        async with self._check_lock:
            result = await self._check_until_known(attempt)
            is_same = attempt.instance == self._sidecar.instance
            return result.alive and is_same and not self._is_crashed(attempt)

    async def _check_until_known(self, attempt: Attempt) -> CheckResult:
        result = CheckResult(False)
        for _ in range(CUT_CHECKS_MAX):
            if self._is_crashed(attempt):
                break
            result = await self._check()
            if not result.cut:
                break
            await trio.sleep(CLOSE_DETECTION_S)
        return result

    def _is_crashed(self, attempt: Attempt) -> bool:
        """Return whether the instance that ran ``attempt`` is known to have crashed."""
        return bool(attempt.instance) and attempt.instance == self._crashed_instance

    async def _check(self, *, periodic: bool = False) -> CheckResult:
        """Check the upstream and handle a restart, a crash or a frozen process.

        A cut check counts as a failure only if it is ``periodic``.
        """
        sidecar = self._sidecar
        result = await check_upstream(self._client)
        if result.alive:
            self._failures = 0
            if sidecar.instance and result.instance != sidecar.instance:
                await self._handle_restart(result.instance)
            sidecar.set_instance(result.instance)
            sidecar.set_healthy(True, "")
            return result
        if result.cut and not periodic:
            return result
        self._failures += 1
        if result.refused:
            sidecar.handle_refused_connection()
            await self._handle_refused_connection()
            sidecar.set_healthy(False, result.text)
        elif self._failures >= FAILURES_TO_DOWN:
            sidecar.set_healthy(False, result.text)
            self._abort_retryable(result.text)
        return result

    async def _handle_restart(self, instance: str) -> None:
        """Report a restart as a crash of the requests that lost their connection.

        A request whose connection still works was forwarded to the new process.
        """
        await trio.sleep(CLOSE_DETECTION_S)
        sidecar = self._sidecar
        running = [attempt for attempt in sidecar.attempts if attempt.running]
        self._report_crash(
            sidecar.instance,
            [attempt for attempt in running if attempt.connection_lost],
        )
        for attempt in running:
            if not attempt.connection_lost:
                attempt.instance = instance

    async def _handle_refused_connection(self) -> None:
        """Report a crash after a refused connection, if a request lost its connection.

        All running requests then ended with the upstream process. If none lost its
        connection, the sidecar itself may only be out of sockets.
        """
        sidecar = self._sidecar
        if not any(attempt.running for attempt in sidecar.attempts):
            return
        await trio.sleep(CLOSE_DETECTION_S)
        running = [attempt for attempt in sidecar.attempts if attempt.running]
        if not any(attempt.connection_lost for attempt in running):
            return
        self._report_crash(sidecar.instance, running)
        err = Err(Code.UPSTREAM_CRASHED, "the upstream process crashed")
        for attempt in running:
            if not attempt.connection_lost:
                attempt.abort(err)

    def _report_crash(self, instance: str, affected: list[Attempt]) -> None:
        """Log a crash once and report its suspects to the quarantine and the peers."""
        sidecar = self._sidecar
        affected = [attempt for attempt in affected if attempt.instance == instance]
        if not instance or instance == self._crashed_instance or not affected:
            return
        self._crashed_instance = instance
        events.log(
            events.Event.UPSTREAM_STATE,
            upstream=sidecar.upstream,
            state="crashed",
            instance=instance,
            requests=len(affected),
        )
        suspects = blamed_fingerprints(
            [
                CrashSuspect(attempt.req.fingerprint, attempt.isolated)
                for attempt in affected
            ],
            sidecar.quarantine.crashes_of,
        )
        # A request that had produced output did not crash the upstream.
        waiting = [
            attempt.req
            for attempt in affected
            if attempt.next_index == attempt.req.resume_from
        ]
        report = make_crash_report(
            sidecar.crash_evidence, sidecar.upstream, instance, suspects, waiting
        )
        record_suspects(sidecar.crash_evidence, report)
        ran_as_suspect = {
            attempt.req.fingerprint for attempt in affected if attempt.req.suspect
        }
        unsuspected = tuple(
            fingerprint
            for fingerprint in suspects
            if fingerprint not in ran_as_suspect
            and not sidecar.quarantine.crashes_of(fingerprint)
        )
        sidecar.quarantine.record_crash(
            sidecar.upstream, instance, suspects, unsuspected
        )
        if suspects or report.suspects:
            sidecar.hub.broadcast(replace(report, unsuspected=unsuspected))

    def _abort_retryable(self, text: str) -> None:
        """Abort idempotent requests, which can be retried at another upstream.

        A request that must not be repeated waits for its answer until its deadline.
        """
        for attempt in self._sidecar.attempts:
            if (
                attempt.running
                and attempt.req.idempotent
                and not attempt.connection_lost
            ):
                attempt.abort(
                    Err(Code.STREAM_CUT, f"the upstream does not respond: {text}")
                )
