"""The owner of partitions: claims, runs and records non-idempotent requests."""

from __future__ import annotations

import time
from collections.abc import Callable

import trio

from mustardfront import events
from mustardfront.codes import Code
from mustardfront.constants import (
    CLAIM_GROUP_S,
    CLAIM_WAIT_S,
    CLOCK_SKEW_MAX_S,
    HANDOVER_WAIT_S,
    IDEMPOTENCY_PARTITIONS,
    KV_RETRY_S,
    OWNER_CHECK_S,
    OWNER_RECHECK_S,
    RECORD_MAX_BYTES,
    RESULT_FLUSH_S,
)
from mustardfront.coordination.idempotency._execution import (
    Execute,
    Execution,
    not_run,
    unknown,
)
from mustardfront.coordination.idempotency._key import (
    RequestKey,
    parse_key,
    request_digest,
)
from mustardfront.coordination.idempotency._members import Members
from mustardfront.coordination.idempotency._record import (
    Claim,
    Hold,
    Item,
    Partition,
    head_key,
    load_partition,
    read_head,
)
from mustardfront.coordination.idempotency._running import (
    Running,
    join,
    recorded,
    result_entry,
    run_guarded,
)
from mustardfront.coordination.idempotency._writer import RecordWriter, refuse_pending
from mustardfront.coordination.kv import KvClient
from mustardfront.protocol import Request
from mustardfront.results import Err, Ok, Result


def wall_clock_ms() -> int:
    """Return the time since 1970, in ms, as UUIDv7 keys have it."""
    return time.time_ns() // 1_000_000


def _default_retention_s() -> int:
    return 3_600


class PartitionOwner:
    """Runs a service's non-idempotent requests at most once, on one sidecar.

    ``serve`` has to run beside it. ``instance`` has to differ at each start.
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
        self._writer = RecordWriter(kv, service, instance, self._expire_ms, self._lose)
        self._running: dict[bytes, Running] = {}
        self._nursery: trio.Nursery | None = None
        self._wake = trio.Event()
        self._changed = trio.Event()
        self._down: Err | None = None
        self._ready = False
        self._review_at = 0.0
        self._retry_at = 0.0
        self._reviewed = float("-inf")
        self._committed = float("-inf")
        self._results_since = float("inf")
        self._handover_since: dict[int, float] = {}

    @property
    def owned(self) -> frozenset[int]:
        """Return the partitions whose requests this sidecar runs now."""
        return frozenset(
            number
            for number, partition in self._writer.owned.items()
            if partition.hold is Hold.OWNED
        )

    async def serve(
        self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Keep the lease, the ownership and the records, until cancelled."""
        try:
            async with trio.open_nursery() as nursery:
                self._nursery = nursery
                nursery.start_soon(self._members.keep)
                task_status.started()
                while True:
                    await self._work()
                    await self._sleep()
        finally:
            self._nursery = None
            for running in self._running.values():
                running.abandon()
            self._running.clear()
            self._notify()

    async def drain(self, handover_s: float = float("inf")) -> None:
        """Refuse new requests, end those that run, and give all partitions away.

        Requests end without a limit but their own. Giving away lasts while the
        key-value service is down, so it ends after ``handover_s``; then the others
        take the partitions when the lease has ended.
        """
        self._members.set_leaving()
        while self._running:
            await self._changed.wait()
        with trio.move_on_after(handover_s):
            await self._members.register()
            self._ask_review(at_once=True)
            while self._writer.owned:
                await self._changed.wait()
            await self._members.resign()

    async def run(self, req: Request, execute: Execute) -> Execution:
        """Claim, run and record a request, or return what came of its first attempt.

        ``execute`` is called only after the claim is durable, and its outcome decides
        what is recorded. It runs on when the caller of ``run`` is cancelled.
        """
        key = parse_key(req.team, req.idempotency_key, self._now_ms())
        if isinstance(key, Err):
            return not_run(key)
        digest = request_digest(req)
        deadline = trio.current_time() + req.deadline_ms / 1_000
        if (running := self._running.get(key.value.digest)) is not None:
            return await join(running, digest, deadline)
        partition = await self._partition(key.value.partition, deadline)
        if isinstance(partition, Err):
            return not_run(partition)
        # Another attempt may have begun during the wait; from here to the claim there
        # is no checkpoint.
        if (running := self._running.get(key.value.digest)) is not None:
            return await join(running, digest, deadline)
        known = partition.value.index.get(key.value.digest)
        if known is not None:
            return recorded(known, digest)
        refusal = self._refusal(partition.value, key.value)
        if refusal is not None:
            return refusal
        return await self._claim(
            Running(key.value, digest, partition.value, deadline), req.team, execute
        )

    async def _partition(self, number: int, deadline: float) -> Result[Partition]:
        """Return an owned partition; wait for it while this sidecar is taking it."""
        give_up = min(deadline, trio.current_time() + CLAIM_WAIT_S)
        with trio.move_on_at(give_up):
            while self._nursery is not None:
                if self._members.leaving:
                    return Err(Code.NOT_OWNER, self._members.owner_of(number))
                partition = self._writer.owned.get(number)
                if partition is not None and partition.hold is Hold.OWNED:
                    return Ok(partition)
                if self._down is not None:
                    return self._down
                owner = self._members.owner_of(number)
                if self._ready and owner not in ("", self._upstream):
                    self._ask_review()
                    return Err(Code.NOT_OWNER, owner)
                await self._changed.wait()
        return Err(Code.NOT_READY, f"partition {number} is not taken over here")

    def _refusal(self, partition: Partition, key: RequestKey) -> Execution | None:
        oldest_ms = self._now_ms() - self._retention_s() * 1_000
        if key.time_ms < oldest_ms or key.time_ms <= partition.head.floor_ms:
            text = "the key is past its retention"
            return unknown(Code.KEY_EXPIRED, text)
        if self._down is not None:
            return not_run(self._down)
        if partition.size > RECORD_MAX_BYTES:
            text = "the record of recent keys is full"
            return not_run(Err(Code.SHED, text))
        return None

    async def _claim(self, running: Running, team: str, execute: Execute) -> Execution:
        key, partition = running.key, running.partition
        claim = Claim(key.digest, key.time_ms, team, running.digest, self._instance)
        self._running[key.digest] = running
        partition.active += 1
        partition.pending.append(Item(claim, running.settle))
        self._wake.set()
        # Without a checkpoint since the partition was found, serve() still runs.
        assert self._nursery is not None
        self._nursery.start_soon(self._attempt, running, execute)
        try:
            give_up = min(running.deadline, trio.current_time() + CLAIM_WAIT_S)
            with trio.move_on_at(give_up):
                await running.settled.wait()
            if not running.settled.is_set():
                text = "the claim was not durable in time"
                return running.withdraw(Err(Code.STORE_UNAVAILABLE, text))
            await running.done.wait()
        finally:
            if not running.started:
                text = "the caller left before the start"
                running.withdraw(Err(Code.CANCELLED, text))
        assert running.result is not None
        return running.result

    async def _attempt(self, running: Running, execute: Execute) -> None:
        await running.settled.wait()
        if running.claim_error is not None:
            result = not_run(running.claim_error)
        elif running.withdrawn is not None:
            result = not_run(running.withdrawn)
        elif trio.current_time() >= running.deadline:
            text = "the deadline passed while the request was claimed"
            result = not_run(Err(Code.DEADLINE_PASSED, text))
        else:
            running.started = True
            result = await run_guarded(execute)
        if running.claim_error is None:
            self._record(running, result)
        running.partition.active -= 1
        del self._running[running.key.digest]
        running.result = result
        running.done.set()
        self._notify()

    def _record(self, running: Running, result: Execution) -> None:
        """Queue the result, if the claim is still in a record of this process."""
        digest = running.key.digest
        partition = self._writer.owned.get(running.key.partition)
        known = partition.index.get(digest) if partition else None
        if partition is None or known is None:
            return
        if known.claim.owner != self._instance:
            return
        entry = result_entry(digest, result)
        if entry is not None:
            partition.append(entry)
        self._results_since = min(self._results_since, trio.current_time())

    def _lose(self, partition: Partition, instance: str) -> None:
        owner = self._members.upstream_of(instance)
        refuse_pending(partition, Err(Code.NOT_OWNER, owner))
        self._ask_review()
        self._notify()

    def _expire_ms(self) -> int:
        # Clocks that differ by the most that is allowed still agree that these expired.
        margin_s = self._retention_s() + 2 * CLOCK_SKEW_MAX_S
        return self._now_ms() - margin_s * 1_000

    async def _work(self) -> None:
        """Do what is due."""
        now = trio.current_time()
        result: Result[None] = Ok(None)
        if self._writer.has_unresolved or now >= self._commit_due():
            self._committed = now
            self._results_since = float("inf")
            result = await self._writer.commit()
        if isinstance(result, Ok) and now >= self._review_at:
            result = await self._review()
        self._set_down(result if isinstance(result, Err) else None)
        self._notify()

    async def _sleep(self) -> None:
        """Wait until something is due."""
        while trio.current_time() < (due := self._next_due()):
            with trio.move_on_at(due):
                await self._wake.wait()
                self._wake = trio.Event()

    def _next_due(self) -> float:
        if self._down is not None:
            return self._retry_at
        return min(self._review_at, self._commit_due())

    def _commit_due(self) -> float:
        dirty = [entry for entry in self._writer.owned.values() if entry.is_dirty]
        if not dirty:
            return float("inf")
        only_results = all(
            entry.hold is Hold.OWNED
            and not entry.stale
            and not any(isinstance(item.entry, Claim) for item in entry.pending)
            for entry in dirty
        )
        if only_results:
            return self._results_since + RESULT_FLUSH_S
        return self._committed + CLAIM_GROUP_S

    async def _review(self) -> Result[None]:
        """Look at the members; take and release partitions accordingly."""
        self._reviewed = trio.current_time()
        self._review_at = self._reviewed + OWNER_CHECK_S
        result = await self._members.refresh()
        if isinstance(result, Err):
            return result
        if self._upstream not in self._members.view:
            self._review_at = self._reviewed + OWNER_RECHECK_S
        self._ready = True
        for number in range(IDEMPOTENCY_PARTITIONS):
            mine = self._members.owner_of(number) == self._upstream
            partition = self._writer.owned.get(number)
            if partition is None:
                result = await self._take(number) if mine else result
                if isinstance(result, Err):
                    return result
            elif partition.hold is not Hold.TAKING:
                partition.hold = Hold.OWNED if mine else Hold.RELEASING
                partition.look_for_expired(self._expire_ms())
        return Ok(None)

    async def _take(self, number: int) -> Result[None]:
        """Read a partition's record, to take it over with the next write."""
        key = head_key(self._service, number)
        if number in self._handover_since:
            value = await self._kv.get(key)
            if isinstance(value, Err):
                return value
            head = read_head(value.value)
            if isinstance(head, Ok) and self._waits_for(number, head.value.owner):
                return Ok(None)
        values = await self._kv.get_prefix(key)
        if isinstance(values, Err):
            return values
        loaded = load_partition(self._service, number, values.value)
        if isinstance(loaded, Err):
            # The partition stays without an owner, and its calls are refused.
            events.log(events.Event.TASK_FAILED, task="take", text=loaded.text)
            return Ok(None)
        if not self._waits_for(number, loaded.value.head.owner):
            self._writer.owned[number] = loaded.value
        return Ok(None)

    def _waits_for(self, number: int, instance: str) -> bool:
        """Say whether a live owner gets more time to end its requests."""
        if instance == self._instance or not self._members.upstream_of(instance):
            self._handover_since.pop(number, None)
            return False
        since = self._handover_since.setdefault(number, self._reviewed)
        if self._reviewed >= since + HANDOVER_WAIT_S:
            return False
        self._review_at = self._reviewed + OWNER_RECHECK_S
        return True

    def _ask_review(self, *, at_once: bool = False) -> None:
        earliest = 0.0 if at_once else self._reviewed + OWNER_RECHECK_S
        self._review_at = min(self._review_at, earliest)
        self._wake.set()

    def _set_down(self, err: Err | None) -> None:
        if err is None and self._down is not None:
            events.log(events.Event.STORE_RETURNED, service=self._service)
        if err is not None and self._down is None:
            event = events.Event.STORE_UNAVAILABLE
            events.log(event, service=self._service, text=err.text)
        # The next request's claim was not part of the failed write, so its refusal is
        # sure, even if that write's outcome is unknown.
        self._down = err and Err(Code.STORE_UNAVAILABLE, err.text)
        if err is not None:
            self._retry_at = trio.current_time() + KV_RETRY_S
            self._review_at = 0.0

    def _notify(self) -> None:
        changed, self._changed = self._changed, trio.Event()
        changed.set()
        self._wake.set()
