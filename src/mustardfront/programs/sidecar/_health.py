"""Health checks of the upstream, and what a changed instance means."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

import msgspec
import trio

from mustardfront import events
from mustardfront.codes import Code
from mustardfront.coordination.quarantine import Suspicion, blamed
from mustardfront.programs.sidecar._attempt import Attempt
from mustardfront.programs.sidecar._side import Sidecar
from mustardfront.programs.sidecar._upstream import UpstreamCall, UpstreamClient
from mustardfront.protocol import CrashReport
from mustardfront.results import Err

CHECK_INTERVAL_S: Final = 1.0
CHECK_TIMEOUT_S: Final = 1.0
# A single slow answer is usual under load; three in a row are a frozen process.
FAILURES_TO_DOWN: Final = 3
# Tasks learn within this time that a dead process's connections are closed.
LOSS_SETTLE_S: Final = 0.05
# A process that ends closes its connections one by one and its listener at any point
# between them, so a check in that time is cut and says nothing yet.
CUT_RETRIES: Final = 20
_CALL: Final = UpstreamCall("GET", "/healthz")


class _Body(msgspec.Struct):
    instance: str = ""


@dataclass(frozen=True, slots=True)
class Check:
    """What one health check found.

    ``refused`` when nothing accepts connections, ``cut`` when the connection closed
    without an answer.
    """

    alive: bool
    instance: str = ""
    refused: bool = False
    cut: bool = False
    text: str = ""


async def check_upstream(client: UpstreamClient) -> Check:
    """Ask the upstream once for its health and its instance."""
    with trio.move_on_after(CHECK_TIMEOUT_S):
        async with client.exchange(_CALL) as answer:
            if isinstance(answer, Err):
                refused = answer.code is Code.UPSTREAM_DOWN
                return Check(False, refused=refused, cut=not refused, text=answer.text)
            body = b""
            while True:
                part = await answer.value.receive()
                if isinstance(part, Err):
                    return Check(False, cut=True, text=part.text)
                if not part.value:
                    break
                body += part.value
            if answer.value.status >= 500:
                return Check(False, text=f"status {answer.value.status}")
            return Check(True, instance=_instance(body))
    return Check(False, text=f"no answer in {CHECK_TIMEOUT_S} s")


def _instance(body: bytes) -> str:
    """Return the instance; plain services that name none have ``""``."""
    try:
        return msgspec.json.decode(body, type=_Body).instance
    except msgspec.DecodeError:
        return ""


class Health:
    """Watches one upstream and reports the requests that a crash ended."""

    def __init__(self, side: Sidecar, client: UpstreamClient) -> None:
        self._side = side
        self._client = client
        self._failures = 0
        self._crashed = ""
        self._checking = trio.Lock()

    async def run(self) -> None:
        """Check the upstream regularly, until cancelled."""
        while True:
            async with self._checking:
                await self._check(periodic=True)
            await trio.sleep(CHECK_INTERVAL_S)

    async def confirm_loss(self, attempt: Attempt) -> bool:
        """Say whether the process that ran a lost attempt is gone; report it then."""
        async with self._checking:
            for _ in range(CUT_RETRIES):
                if self._is_over(attempt):
                    return True
                found = await self._check()
                if not found.cut:
                    break
                await trio.sleep(LOSS_SETTLE_S)
            return self._is_over(attempt)

    def _is_over(self, attempt: Attempt) -> bool:
        return bool(attempt.instance) and attempt.instance == self._crashed

    async def _check(self, *, periodic: bool = False) -> Check:
        side = self._side
        found = await check_upstream(self._client)
        if found.alive:
            self._failures = 0
            if side.instance and found.instance != side.instance:
                await self._changed(found.instance)
            side.instance = found.instance
            side.set_healthy(True, "")
            return found
        if found.cut and not periodic:
            return found
        self._failures += 1
        if found.refused:
            await self._gone()
            side.set_healthy(False, found.text)
        elif self._failures >= FAILURES_TO_DOWN:
            side.set_healthy(False, found.text)
            self._release_callers(found.text)
        return found

    async def _changed(self, instance: str) -> None:
        """Handle a restart: only requests that lost their connection ran before it.

        A request whose connection still works was handed to the new process.
        """
        await trio.sleep(LOSS_SETTLE_S)
        side = self._side
        running = [one for one in side.attempts if one.running]
        self._report(side.instance, [one for one in running if one.lost])
        for one in running:
            if not one.lost:
                one.instance = instance

    async def _gone(self) -> None:
        """Handle a process that accepts no connection: if it is gone, all were lost.

        Without a lost request this process may only lack sockets to connect with.
        """
        side = self._side
        if not any(one.running for one in side.attempts):
            return
        await trio.sleep(LOSS_SETTLE_S)
        running = [one for one in side.attempts if one.running]
        if not any(one.lost for one in running):
            return
        self._report(side.instance, running)
        err = Err(Code.UPSTREAM_CRASHED, "the upstream crashed")
        for one in running:
            if not one.lost:
                one.abort(err)

    def _report(self, instance: str, ran: list[Attempt]) -> None:
        side = self._side
        ran = [one for one in ran if one.instance == instance]
        if not instance or instance == self._crashed or not ran:
            return
        self._crashed = instance
        events.log(
            events.Event.UPSTREAM_STATE,
            upstream=side.upstream,
            state="crashed",
            instance=instance,
            requests=len(ran),
        )
        suspects = blamed(
            [Suspicion(one.req.fingerprint, one.isolated) for one in ran],
            side.quarantine.crashes_of,
        )
        if suspects:
            side.quarantine.crashed(side.upstream, instance, suspects)
            side.hub.broadcast(CrashReport(side.upstream, instance, suspects))

    def _release_callers(self, text: str) -> None:
        """End requests that can be tried elsewhere, so they need not wait longer.

        A call that must not be repeated waits for its answer until its deadline.
        """
        for one in self._side.attempts:
            if one.running and one.req.idempotent and not one.lost:
                one.abort(Err(Code.STREAM_CUT, f"the upstream is silent: {text}"))
