"""Requests between claim and completion, and the results of repeated attempts."""

from __future__ import annotations

from dataclasses import dataclass, field

import trio

from mustardfront import events
from mustardfront.codes import Code, Outcome
from mustardfront.constants import RECORD_MAX_BYTES, RECORDED_BODY_MAX_BYTES
from mustardfront.coordination.idempotency._execution import (
    Execute,
    Execution,
    not_run,
    unknown,
)
from mustardfront.coordination.idempotency._key import RequestKey
from mustardfront.coordination.idempotency._record import (
    Done,
    Partition,
    RecordedKey,
    Void,
)
from mustardfront.results import Err


@dataclass(slots=True, eq=False)
class ActiveRequest:
    """A request from its claim to its completion; resends wait for its result.

    ``claim_resolved`` is set when the outcome of the claim's write is known. The claim
    is durable if ``claim_error`` is None by then.
    """

    key: RequestKey
    digest: bytes
    partition: Partition
    deadline: float
    claim_resolved: trio.Event = field(default_factory=trio.Event)
    claim_error: Err | None = None
    withdraw_error: Err | None = None
    started: bool = False
    finished: trio.Event = field(default_factory=trio.Event)
    result: Execution | None = None

    def resolve_claim(self, err: Err | None) -> None:
        """Set the outcome of the claim's write: None if the claim is durable."""
        self.claim_error = err
        self.claim_resolved.set()

    def withdraw(self, err: Err) -> Execution:
        """Prevent the request from running, although its claim may become durable."""
        self.withdraw_error = err
        return not_run(err)

    def abort(self) -> None:
        """Give all waiting callers a result when the owner stops before completion."""
        if self.started:
            text = "the owner stopped while the request was running"
            self.result = unknown(Code.CLAIM_UNRESOLVED, text)
        else:
            text = "the owner stopped before the request started"
            self.result = self.withdraw(Err(Code.NOT_READY, text))
        self.claim_resolved.set()
        self.finished.set()


async def join_attempt(
    active: ActiveRequest, digest: bytes, deadline: float
) -> Execution:
    """Wait until ``deadline`` for the result of an active attempt with the same key."""
    if active.digest != digest:
        return _key_conflict()
    with trio.move_on_at(deadline):
        await active.finished.wait()
    if active.result is None:
        return unknown(
            Code.CLAIM_UNRESOLVED,
            "an earlier attempt with this Idempotency-Key is still running",
        )
    return active.result


def recorded_result(recorded: RecordedKey, digest: bytes) -> Execution:
    """Return the result that the record has for a key."""
    if recorded.claim.request != digest:
        return _key_conflict()
    if recorded.done is None:
        text = "an earlier attempt was claimed, but its result was not recorded"
        return unknown(Code.CLAIM_UNRESOLVED, text)
    if recorded.done.body is None:
        text = "the request ran, but its answer was too large to be recorded"
        return unknown(Code.CLAIM_UNRESOLVED, text)
    return Execution(
        Outcome.ANSWERED,
        Code.ANSWERED_FROM_RECORD,
        status=recorded.done.status,
        headers=recorded.done.headers,
        body=recorded.done.body,
    )


def result_entry(digest: bytes, result: Execution) -> Done | Void | None:
    """Return the log entry for a result, or None if the outcome is unknown."""
    if result.outcome is Outcome.NOT_RUN:
        return Void(digest)
    if result.outcome is Outcome.UNKNOWN:
        return None
    if len(result.body) > RECORDED_BODY_MAX_BYTES:
        return Done(digest, result.status, (), None)
    return Done(digest, result.status, result.headers, result.body)


async def execute_guarded(execute: Execute) -> Execution:
    """Execute the request; return an unknown outcome if it raises an exception."""
    try:
        return await execute()
    except Exception as exc:
        events.log(events.Event.TASK_FAILED, task="execute", text=repr(exc))
        return unknown(
            Code.INTERNAL_ERROR, "the attempt ended with an unexpected exception"
        )


def _key_conflict() -> Execution:
    text = "the Idempotency-Key was already used for a different request"
    return not_run(Err(Code.KEY_CONFLICT, text))


def check_new_key(
    partition: Partition, key: RequestKey, oldest_ms: int, kv_error: Err | None
) -> Execution | None:
    """Return the refusal of a request whose key is not recorded, or None.

    Keys from before ``oldest_ms`` have expired; with ``kv_error`` no claim is durable.
    """
    if key.time_ms < oldest_ms or key.time_ms <= partition.head.floor_ms:
        text = "the Idempotency-Key is older than the retention period"
        return unknown(Code.KEY_EXPIRED, text)
    if kv_error is not None:
        return not_run(kv_error)
    if partition.size > RECORD_MAX_BYTES:
        text = "the partition's record of recent Idempotency-Keys is full"
        return not_run(Err(Code.SHED, text))
    return None
