"""Execution of requests with idempotency keys through the owner of the partition.

The partition owner claims the key before a run and records the result after it, so
that a request that must not be repeated runs at most once.
"""

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
from mustardfront.programs.sidecar._state import Sidecar
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

# Releasing partitions takes a few writes. While the key-value service is down they
# cannot be made, and the partitions are released when the lease expires instead.
OWNER_DRAIN_S: Final = 10.0
_UNLIMITED_CREDIT: Final = 2**31


async def run_partition_owner(sidecar: Sidecar, kv: KvClient, instance: str) -> None:
    """Own partitions while this upstream serves a plain service and does not drain."""
    while True:
        service = _service_to_own(sidecar)
        if not service:
            await sidecar.load_changed.wait()
            continue
        owner = PartitionOwner(
            service,
            sidecar.upstream,
            instance,
            kv,
            retention_s=lambda: sidecar.limits.idempotency_retention_s,
        )
        async with trio.open_nursery() as nursery:
            await nursery.start(owner.serve)
            sidecar.owner = owner
            while _service_to_own(sidecar) == service:
                await sidecar.load_changed.wait()
            await owner.drain(OWNER_DRAIN_S)
            nursery.cancel_scope.cancel()
        sidecar.owner = None
        sidecar.notify_load_changed()


def _service_to_own(sidecar: Sidecar) -> str:
    """Return the plain service whose requests this sidecar records, or ``""``."""
    cfg = sidecar.store.current
    upstream = cfg.upstreams.get(sidecar.upstream)
    service = cfg.services.get(upstream.service) if upstream else None
    if (
        upstream is None
        or service is None
        or service.kind != "plain"
        or sidecar.draining
    ):
        return ""
    return upstream.service


def must_be_claimed(req: Request) -> bool:
    """Return whether a request may run only after its idempotency key is claimed."""
    return bool(req.idempotency_key) and not req.idempotent


class ReplyCollector:
    """Reply sink that collects the replies to a claimed request for its record."""

    def __init__(self) -> None:
        self._status = 0
        self._headers: Headers = ()
        self._chunks: list[bytes] = []
        self._final_reply: Message | None = None

    def send_nowait(self, message: Message) -> bool:
        """Collect a reply; there is always room."""
        match message:
            case Head(_, status, headers):
                self._status, self._headers = status, headers
            case Chunk(_, _, data):
                self._chunks.append(data)
            case Refused() | End() | Cancelled():
                self._final_reply = message
        return True

    async def send(self, message: Message) -> Result[None]:
        """Collect a reply."""
        self.send_nowait(message)
        return Ok(None)

    def execution(self) -> Execution:
        """Return the result of the request from the collected replies."""
        match self._final_reply:
            case Refused(_, code, _, _, text):
                return not_run(Err(Code(code), text))
            case End(_, Code.ANSWERED):
                body = b"".join(self._chunks)
                return Execution(
                    Outcome.ANSWERED,
                    Code.ANSWERED,
                    status=self._status,
                    headers=self._headers,
                    body=body,
                )
            case End(_, code, _, _, text):
                return unknown(Code(code), text)
        return unknown(Code.INTERNAL_ERROR, "the request ended without a final reply")


async def run_with_claim(
    sidecar: Sidecar,
    attempt: Attempt,
    run_attempt: Callable[[Sidecar, Attempt], Awaitable[None]],
) -> Refused | End:
    """Run a request at most once for its idempotency key; return its final reply.

    The partition owner enforces the deadline. Only the owner knows whether another
    attempt with the key ran, so the scope of this attempt must not end the wait first.
    """
    owner = sidecar.owner
    if owner is None:
        return attempt.refused_reply(
            Err(
                Code.NOT_READY, "the owner of idempotency partitions is not running yet"
            )
        )
    attempt.delegated = True
    attempt.scope.deadline = math.inf
    left_s = attempt.deadline_s - trio.current_time()
    req = replace(attempt.req, deadline_ms=max(1, round(left_s * 1e3)))

    executed = False

    async def execute() -> Execution:
        nonlocal executed
        executed = True
        collector = ReplyCollector()
        unlimited_req = replace(req, credit=_UNLIMITED_CREDIT)
        claimed_attempt = Attempt(unlimited_req, collector, attempt.deadline_s)
        claimed_attempt.claimed = True
        await attempt.send(Started(req.stream))
        await run_attempt(sidecar, claimed_attempt)
        return collector.execution()

    execution = await owner.run(req, execute)
    attempt.scope.deadline = attempt.deadline_s
    if execution.outcome is Outcome.UNKNOWN and not executed:
        # An earlier run has no known result, or the key is older than its retention.
        return replace(
            attempt.refused_reply(Err(execution.code, execution.text)), not_run=False
        )
    return await _send_result(attempt, execution)


async def _send_result(attempt: Attempt, execution: Execution) -> Refused | End:
    """Send the answer of an execution, if any; return the final reply."""
    err = Err(execution.code, execution.text)
    if execution.outcome is Outcome.NOT_RUN:
        return attempt.refused_reply(err)
    if execution.outcome is Outcome.UNKNOWN:
        return attempt.unknown_reply(err)
    await attempt.send(Head(attempt.req.stream, execution.status, execution.headers))
    await attempt.send_body(execution.body)
    return replace(attempt.answered_reply(), code=int(execution.code))
