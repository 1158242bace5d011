"""A request between its claim and its end, and what later attempts are told."""

from __future__ import annotations

from dataclasses import dataclass, field

import trio

from mustardfront import events
from mustardfront.codes import Code, Outcome
from mustardfront.constants import RECORDED_BODY_MAX_BYTES
from mustardfront.coordination.idempotency._execution import (
    Execute,
    Execution,
    not_run,
    unknown,
)
from mustardfront.coordination.idempotency._key import RequestKey
from mustardfront.coordination.idempotency._record import (
    Done,
    Known,
    Partition,
    Void,
)
from mustardfront.results import Err


@dataclass(slots=True, eq=False)
class Running:
    """A request from its claim to its end; resends wait for the same end.

    ``settled`` is set when the outcome of the claim's write is known; the claim is
    durable if there is no ``claim_error`` then.
    """

    key: RequestKey
    digest: bytes
    partition: Partition
    deadline: float
    settled: trio.Event = field(default_factory=trio.Event)
    claim_error: Err | None = None
    withdrawn: Err | None = None
    started: bool = False
    done: trio.Event = field(default_factory=trio.Event)
    result: Execution | None = None

    def settle(self, err: Err | None) -> None:
        """Take the outcome of the claim's write."""
        self.claim_error = err
        self.settled.set()

    def withdraw(self, err: Err) -> Execution:
        """Keep the request from running, although its claim may be written."""
        self.withdrawn = err
        return not_run(err)

    def abandon(self) -> None:
        """End the wait of all callers, when the owner stops before the request."""
        if self.started:
            text = "the owner stopped while the request ran"
            self.result = unknown(Code.CLAIM_UNRESOLVED, text)
        else:
            text = "the owner stopped before the request started"
            self.result = self.withdraw(Err(Code.NOT_READY, text))
        self.settled.set()
        self.done.set()


async def join(running: Running, digest: bytes, deadline: float) -> Execution:
    """Wait for the first attempt with the same key."""
    if running.digest != digest:
        return _conflict()
    with trio.move_on_at(deadline):
        await running.done.wait()
    if running.result is None:
        return unknown(Code.CLAIM_UNRESOLVED, "the first attempt is still running")
    return running.result


def recorded(known: Known, digest: bytes) -> Execution:
    """Return what the record says of a key."""
    if known.claim.request != digest:
        return _conflict()
    if known.done is None:
        text = "an earlier attempt was claimed and its result was never recorded"
        return unknown(Code.CLAIM_UNRESOLVED, text)
    if known.done.body is None:
        text = "the call ran, but its answer was too large to be recorded"
        return unknown(Code.CLAIM_UNRESOLVED, text)
    return Execution(
        Outcome.ANSWERED,
        Code.ANSWERED_FROM_RECORD,
        status=known.done.status,
        headers=known.done.headers,
        body=known.done.body,
    )


def result_entry(digest: bytes, result: Execution) -> Done | Void | None:
    """Return what to record of a claimed request; nothing when its end is unknown."""
    if result.outcome is Outcome.NOT_RUN:
        return Void(digest)
    if result.outcome is Outcome.UNKNOWN:
        return None
    if len(result.body) > RECORDED_BODY_MAX_BYTES:
        return Done(digest, result.status, (), None)
    return Done(digest, result.status, result.headers, result.body)


async def run_guarded(execute: Execute) -> Execution:
    """Run the request; an exception leaves it unknown whether it ran."""
    try:
        return await execute()
    except Exception as exc:
        events.log(events.Event.TASK_FAILED, task="execute", text=repr(exc))
        return unknown(Code.INTERNAL_ERROR, "the attempt failed")


def _conflict() -> Execution:
    text = "the Idempotency-Key was used for another request"
    return not_run(Err(Code.KEY_CONFLICT, text))
