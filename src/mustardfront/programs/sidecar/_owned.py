"""Calls that must not be repeated: their partition's owner claims and records them."""

from __future__ import annotations

import math
from collections.abc import Awaitable, Callable
from dataclasses import replace
from typing import Final

import trio

from mustardfront.codes import Code, Outcome
from mustardfront.coordination.idempotency import (
    Execution,
    PartitionOwner,
    not_run,
    unknown,
)
from mustardfront.coordination.kv import KvClient
from mustardfront.programs.sidecar._attempt import Attempt
from mustardfront.programs.sidecar._side import Sidecar
from mustardfront.protocol import (
    Cancelled,
    Chunk,
    End,
    Head,
    Headers,
    Message,
    Refused,
    Request,
    Started,
)
from mustardfront.results import Err, Ok, Result

# Giving partitions away takes a few writes; it lasts while the key-value service is
# down, and then the lease's end gives them away instead.
OWNER_DRAIN_S: Final = 10.0
_NO_LIMIT: Final = 2**31


async def keep_owner(side: Sidecar, kv: KvClient, instance: str) -> None:
    """Own partitions while this upstream serves a plain service and is not leaving."""
    while True:
        service = _owned_service(side)
        if not service:
            await side.load_changed.wait()
            continue
        owner = PartitionOwner(
            service,
            side.upstream,
            instance,
            kv,
            retention_s=lambda: side.limits.idempotency_retention_s,
        )
        async with trio.open_nursery() as nursery:
            await nursery.start(owner.serve)
            side.owner = owner
            while _owned_service(side) == service:
                await side.load_changed.wait()
            await owner.drain(OWNER_DRAIN_S)
            nursery.cancel_scope.cancel()
        side.owner = None
        side.changed()


def _owned_service(side: Sidecar) -> str:
    """Return the plain service whose calls this sidecar records now, or ``""``."""
    cfg = side.store.current
    entry = cfg.upstreams.get(side.upstream)
    service = cfg.services.get(entry.service) if entry else None
    if entry is None or service is None or service.kind != "plain" or side.draining:
        return ""
    return entry.service


def must_be_claimed(req: Request) -> bool:
    """Say whether a request runs only after its key was claimed."""
    return bool(req.idempotency_key) and not req.idempotent


class Collector:
    """Takes the replies to a claimed call in place of a connection."""

    def __init__(self) -> None:
        self._status = 0
        self._headers: Headers = ()
        self._parts: list[bytes] = []
        self._last: Message | None = None

    def send_nowait(self, message: Message) -> bool:
        """Take one reply; there is always room."""
        match message:
            case Head(_, status, headers):
                self._status, self._headers = status, headers
            case Chunk(_, _, data):
                self._parts.append(data)
            case Refused() | End() | Cancelled():
                self._last = message
        return True

    async def send(self, message: Message) -> Result[None]:
        """Take one reply."""
        self.send_nowait(message)
        return Ok(None)

    def execution(self) -> Execution:
        """Return what came of the call."""
        match self._last:
            case Refused(_, code, _, _, text):
                return not_run(Err(Code(code), text))
            case End(_, Code.ANSWERED):
                body = b"".join(self._parts)
                return Execution(
                    Outcome.ANSWERED,
                    Code.ANSWERED,
                    status=self._status,
                    headers=self._headers,
                    body=body,
                )
            case End(_, code, _, _, text):
                return unknown(Code(code), text)
        return unknown(Code.INTERNAL_ERROR, "the call ended without a reply")


async def run_claimed(
    side: Sidecar, attempt: Attempt, run: Callable[[Sidecar, Attempt], Awaitable[None]]
) -> Refused | End:
    """Run a call at most once over all attempts with its key; return its last reply.

    The owner bounds the wait by the deadline, and only it knows whether another
    attempt ran, so the attempt's own scope must not end it before.
    """
    owner = side.owner
    if owner is None:
        return attempt.refused(Err(Code.NOT_READY, "no owner of this key here yet"))
    attempt.delegated = True
    attempt.scope.deadline = math.inf
    left_s = attempt.deadline_s - trio.current_time()
    req = replace(attempt.req, deadline_ms=max(1, round(left_s * 1e3)))

    executed = False

    async def execute() -> Execution:
        nonlocal executed
        executed = True
        collector = Collector()
        unlimited = replace(req, credit=_NO_LIMIT)
        call = Attempt(unlimited, collector, attempt.deadline_s)
        call.claimed = True
        await attempt.send(Started(req.stream))
        await run(side, call)
        return collector.execution()

    done = await owner.run(req, execute)
    attempt.scope.deadline = attempt.deadline_s
    if done.outcome is Outcome.UNKNOWN and not executed:
        # An earlier run is unresolved, or the key is past its retention.
        return replace(attempt.refused(Err(done.code, done.text)), not_run=False)
    return await _reply(attempt, done)


async def _reply(attempt: Attempt, done: Execution) -> Refused | End:
    err = Err(done.code, done.text)
    if done.outcome is Outcome.NOT_RUN:
        return attempt.refused(err)
    if done.outcome is Outcome.UNKNOWN:
        return attempt.ended(err)
    await attempt.send(Head(attempt.req.stream, done.status, done.headers))
    await attempt.send_body(done.body)
    return replace(attempt.answered(), code=int(done.code))
