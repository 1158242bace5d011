"""Partition owner, which claims, runs and records non-idempotent requests."""

from __future__ import annotations

from collections.abc import Callable

import trio

from mustardfront import events
from mustardfront.codes import Code
from mustardfront.constants import (
    CLAIM_BATCH_INTERVAL_S,
    CLAIM_WAIT_S,
    CLOCK_SKEW_MAX_S,
    HANDOVER_TIMEOUT_S,
    IDEMPOTENCY_PARTITIONS,
    KV_RETRY_DELAY_S,
    OWNER_CHECK_INTERVAL_S,
    OWNER_CHECK_MIN_INTERVAL_S,
    RESULT_FLUSH_S,
)
from mustardfront.coordination.idempotency._active import (
    ActiveRequest,
    check_new_key,
    execute_guarded,
    join_attempt,
    recorded_result,
    result_entry,
)
from mustardfront.coordination.idempotency._execution import (
    Execute,
    Execution,
    not_run,
)
from mustardfront.coordination.idempotency._key import (
    parse_key,
    request_digest,
    wall_clock_ms,
)
from mustardfront.coordination.idempotency._members import Members
from mustardfront.coordination.idempotency._record import (
    Claim,
    Ownership,
    Partition,
    QueuedEntry,
    decode_head,
    head_key,
    load_partition,
)
from mustardfront.coordination.idempotency._writer import RecordWriter, refuse_claims
from mustardfront.coordination.kv import KvClient
from mustardfront.protocol import Request
from mustardfront.results import Err, Ok, Result


def _default_retention_s() -> int:
    return 3_600


class PartitionOwner:
    """Runs a service's non-idempotent requests at most once, on one sidecar.

    ``serve`` must run at the same time. ``instance`` must be unique to each start.
    """

    def __init__(
        self,
        service: str,
        upstream: str,
        instance: str,
        kv: KvClient,
        *,
        retention_s: Callable[[], int] = _default_retention_s,
        now_ms: Callable[[], int] = wall_clock_ms,
    ) -> None:
        self._service = service
        self._upstream = upstream
        self._instance = instance
        self._kv = kv
        self._retention_s = retention_s
        self._now_ms = now_ms
        self._members = Members(kv, service, upstream, instance)
        self._writer = RecordWriter(
            kv, service, instance, self._expiry_cutoff_ms, self._handle_lost_partition
        )
        self._active: dict[bytes, ActiveRequest] = {}
        self._nursery: trio.Nursery | None = None
        self._wakeup = trio.Event()
        self._state_changed = trio.Event()
        self._kv_error: Err | None = None
        self._members_loaded = False
        self._next_reconcile_at = 0.0
        self._retry_at = 0.0
        self._last_reconcile_at = float("-inf")
        self._committed_at = float("-inf")
        self._oldest_result_at = float("inf")
        self._handover_since: dict[int, float] = {}
        self._restores = 0

    @property
    def owned(self) -> frozenset[int]:
        """Return the numbers of the partitions whose requests this sidecar runs now."""
        return frozenset(
            number
            for number, partition in self._writer.owned.items()
            if partition.state is Ownership.OWNED
        )

    async def serve(
        self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Renew the lease, reconcile ownership and write records until cancelled."""
        try:
            async with trio.open_nursery() as nursery:
                self._nursery = nursery
                nursery.start_soon(self._members.keep_registered)
                task_status.started()
                while True:
                    await self._run_due_work()
                    await self._sleep_until_due()
        finally:
            self._nursery = None
            for active in self._active.values():
                active.abort()
            self._active.clear()
            self._notify_waiters()

    async def drain(self, handover_s: float = float("inf")) -> None:
        """Refuse new requests, let active ones complete, and release all partitions.

        Active requests have no time limit but their own. The release needs the
        key-value service, so it is given up after ``handover_s`` seconds; other
        sidecars then acquire the partitions when this sidecar's lease has expired.
        """
        self._members.set_leaving()
        while self._active:
            await self._state_changed.wait()
        with trio.move_on_after(handover_s):
            await self._members.register()
            self._request_reconcile(at_once=True)
            while self._writer.owned:
                await self._state_changed.wait()
            await self._members.deregister()

    async def run(self, req: Request, execute: Execute) -> Execution:
        """Claim, run and record a request, or return the result of an earlier attempt.

        ``execute`` is called only after the claim is durable, and its outcome decides
        what is recorded. It continues when the caller of ``run`` is cancelled.
        """
        key = parse_key(req.team, req.idempotency_key, self._now_ms())
        if isinstance(key, Err):
            return not_run(key)
        digest = request_digest(req)
        deadline = trio.current_time() + req.deadline_ms / 1_000
        if (active := self._active.get(key.value.digest)) is not None:
            return await join_attempt(active, digest, deadline)
        partition = await self._await_partition(key.value.partition, deadline)
        if isinstance(partition, Err):
            return not_run(partition)
        # Another attempt may have started. No checkpoint follows until the claim.
        if (active := self._active.get(key.value.digest)) is not None:
            return await join_attempt(active, digest, deadline)
        recorded = partition.value.index.get(key.value.digest)
        if recorded is not None:
            return recorded_result(recorded, digest)
        oldest_ms = self._now_ms() - self._retention_s() * 1_000
        refusal = check_new_key(partition.value, key.value, oldest_ms, self._kv_error)
        if refusal is not None:
            return refusal
        return await self._claim_and_run(
            ActiveRequest(key.value, digest, partition.value, deadline),
            req.team,
            execute,
        )

    async def _await_partition(self, number: int, deadline: float) -> Result[Partition]:
        """Return an owned partition; wait while this sidecar may still acquire it."""
        give_up_at = min(deadline, trio.current_time() + CLAIM_WAIT_S)
        with trio.move_on_at(give_up_at):
            while self._nursery is not None:
                if self._members.leaving:
                    return Err(Code.NOT_OWNER, self._members.preferred_owner(number))
                partition = self._writer.owned.get(number)
                if partition is not None and partition.state is Ownership.OWNED:
                    return Ok(partition)
                if self._kv_error is not None:
                    return self._kv_error
                owner = self._members.preferred_owner(number)
                if self._members_loaded and owner not in ("", self._upstream):
                    self._request_reconcile()
                    return Err(Code.NOT_OWNER, owner)
                await self._state_changed.wait()
        return Err(Code.NOT_READY, f"partition {number} is not owned here yet")

    async def _claim_and_run(
        self, active: ActiveRequest, team: str, execute: Execute
    ) -> Execution:
        key, partition = active.key, active.partition
        claim = Claim(key.digest, key.time_ms, team, active.digest, self._instance)
        self._active[key.digest] = active
        partition.active_requests += 1
        partition.pending.append(QueuedEntry(claim, active.resolve_claim))
        self._wakeup.set()
        # There was no checkpoint since the partition was found, so serve() still runs.
        assert self._nursery is not None
        self._nursery.start_soon(self._execute_claimed, active, execute)
        try:
            give_up_at = min(active.deadline, trio.current_time() + CLAIM_WAIT_S)
            with trio.move_on_at(give_up_at):
                await active.claim_resolved.wait()
            if not active.claim_resolved.is_set():
                text = "the key-value service did not confirm the claim in time"
                return active.withdraw(Err(Code.STORE_UNAVAILABLE, text))
            await active.finished.wait()
        finally:
            if not active.started:
                text = "the caller cancelled before the request started"
                active.withdraw(Err(Code.CANCELLED, text))
        assert active.result is not None
        return active.result

    async def _execute_claimed(self, active: ActiveRequest, execute: Execute) -> None:
        await active.claim_resolved.wait()
        if active.claim_error is not None:
            result = not_run(active.claim_error)
        elif active.withdraw_error is not None:
            result = not_run(active.withdraw_error)
        elif trio.current_time() >= active.deadline:
            text = "the deadline passed while the claim was being written"
            result = not_run(Err(Code.DEADLINE_PASSED, text))
        else:
            active.started = True
            result = await execute_guarded(execute)
        if active.claim_error is None:
            self._queue_result(active, result)
        active.partition.active_requests -= 1
        del self._active[active.key.digest]
        active.result = result
        active.finished.set()
        self._notify_waiters()

    def _queue_result(self, active: ActiveRequest, result: Execution) -> None:
        """Queue the result if this instance still owns the partition and the claim."""
        digest = active.key.digest
        partition = self._writer.owned.get(active.key.partition)
        recorded = partition.index.get(digest) if partition else None
        if partition is None or recorded is None:
            return
        if recorded.claim.owner != self._instance:
            return
        entry = result_entry(digest, result)
        if entry is not None:
            partition.append(entry)
        self._oldest_result_at = min(self._oldest_result_at, trio.current_time())

    def _handle_lost_partition(self, partition: Partition, instance: str) -> None:
        owner = self._members.upstream_of(instance)
        refuse_claims(partition, Err(Code.NOT_OWNER, owner))
        self._request_reconcile()
        self._notify_waiters()

    def _expiry_cutoff_ms(self) -> int:
        # Clocks that differ by the allowed maximum agree that these keys are expired.
        margin_s = self._retention_s() + 2 * CLOCK_SKEW_MAX_S
        return self._now_ms() - margin_s * 1_000

    async def _run_due_work(self) -> None:
        """Commit and reconcile if they are due, and update the error state."""
        now = trio.current_time()
        result: Result[None] = Ok(None)
        if self._writer.has_unresolved_write or now >= self._commit_due_at():
            self._committed_at = now
            self._oldest_result_at = float("inf")
            result = await self._writer.commit()
        if isinstance(result, Ok) and now >= self._next_reconcile_at:
            result = await self._reconcile()
        self._set_kv_error(result if isinstance(result, Err) else None)
        self._notify_waiters()

    async def _sleep_until_due(self) -> None:
        while trio.current_time() < (due := self._next_due_at()):
            with trio.move_on_at(due):
                await self._wakeup.wait()
                self._wakeup = trio.Event()

    def _next_due_at(self) -> float:
        if self._kv_error is not None:
            return self._retry_at
        return min(self._next_reconcile_at, self._commit_due_at())

    def _commit_due_at(self) -> float:
        dirty = [owned for owned in self._writer.owned.values() if owned.is_dirty]
        if not dirty:
            return float("inf")
        only_results = all(
            owned.state is Ownership.OWNED
            and not owned.has_expired_segment
            and not any(isinstance(item.entry, Claim) for item in owned.pending)
            for owned in dirty
        )
        if only_results:
            return self._oldest_result_at + RESULT_FLUSH_S
        return self._committed_at + CLAIM_BATCH_INTERVAL_S

    async def _reconcile(self) -> Result[None]:
        """Read the members; acquire and release partitions accordingly."""
        self._last_reconcile_at = trio.current_time()
        self._next_reconcile_at = self._last_reconcile_at + OWNER_CHECK_INTERVAL_S
        result = await self._members.refresh()
        if isinstance(result, Err):
            return result
        if self._restores != self._kv.restores:
            self._restores = self._kv.restores
            self._writer.drop_all()
        if self._upstream not in self._members.view:
            self._next_reconcile_at = (
                self._last_reconcile_at + OWNER_CHECK_MIN_INTERVAL_S
            )
        self._members_loaded = True
        for number in range(IDEMPOTENCY_PARTITIONS):
            should_own = self._members.preferred_owner(number) == self._upstream
            partition = self._writer.owned.get(number)
            if partition is None:
                result = await self._acquire(number) if should_own else result
                if isinstance(result, Err):
                    return result
            elif partition.state is not Ownership.ACQUIRING:
                partition.state = Ownership.OWNED if should_own else Ownership.RELEASING
                partition.update_expiry(self._expiry_cutoff_ms())
        return Ok(None)

    async def _acquire(self, number: int) -> Result[None]:
        """Load a partition's record; the next write makes this process its owner."""
        key = head_key(self._service, number)
        if number in self._handover_since:
            value = await self._kv.get(key)
            if isinstance(value, Err):
                return value
            head = decode_head(value.value)
            if isinstance(head, Ok) and self._awaits_handover(number, head.value.owner):
                return Ok(None)
        values = await self._kv.get_prefix(key)
        if isinstance(values, Err):
            return values
        loaded = load_partition(self._service, number, values.value)
        if isinstance(loaded, Err):
            # The partition stays without an owner, and its requests are refused.
            events.log(events.Event.TASK_FAILED, task="take", text=loaded.text)
            return Ok(None)
        if not self._awaits_handover(number, loaded.value.head.owner):
            self._writer.add(loaded.value)
        return Ok(None)

    def _awaits_handover(self, number: int, instance: str) -> bool:
        """Return whether to wait for a live owner to complete its active requests."""
        if instance == self._instance or not self._members.upstream_of(instance):
            self._handover_since.pop(number, None)
            return False
        since = self._handover_since.setdefault(number, self._last_reconcile_at)
        if self._last_reconcile_at >= since + HANDOVER_TIMEOUT_S:
            return False
        self._next_reconcile_at = self._last_reconcile_at + OWNER_CHECK_MIN_INTERVAL_S
        return True

    def _request_reconcile(self, *, at_once: bool = False) -> None:
        earliest = (
            0.0 if at_once else self._last_reconcile_at + OWNER_CHECK_MIN_INTERVAL_S
        )
        self._next_reconcile_at = min(self._next_reconcile_at, earliest)
        self._wakeup.set()

    def _set_kv_error(self, err: Err | None) -> None:
        if err is None and self._kv_error is not None:
            events.log(events.Event.STORE_RETURNED, service=self._service)
        if err is not None and self._kv_error is None:
            event = events.Event.STORE_UNAVAILABLE
            events.log(event, service=self._service, text=err.text)
        # Requests refused with this error have no claim in the failed write. They are
        # known not to have run, even if that write's outcome is unknown.
        self._kv_error = err and Err(Code.STORE_UNAVAILABLE, err.text)
        if err is not None:
            self._retry_at = trio.current_time() + KV_RETRY_DELAY_S
            self._next_reconcile_at = 0.0

    def _notify_waiters(self) -> None:
        changed, self._state_changed = self._state_changed, trio.Event()
        changed.set()
        self._wakeup.set()
