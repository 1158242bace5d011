"""Group commit of the owned partitions' records by compare-and-swap.

All dirty partitions are written in one transaction, so the number of a sidecar's writes
does not grow with the number of partitions it owns. At most one write is in flight. Its
nonce is in each head that it puts, so reading a head shows whether a write with a lost
answer took effect. If the heads are unchanged, the same transaction may be sent again:
it compares the same revisions, so it can take effect only once.
"""

from __future__ import annotations

import secrets
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum, auto
from typing import Final

from mustardfront import events
from mustardfront.codes import Code
from mustardfront.constants import RECORD_WRITE_BYTES
from mustardfront.coordination.idempotency._record import (
    Change,
    Claim,
    Ownership,
    Partition,
    QueuedEntry,
    RecordedKey,
    Void,
    apply_entry,
    decode_head,
    head_key,
    plan_change,
)
from mustardfront.coordination.kv import KvClient, TxnResult
from mustardfront.results import Err, Ok, Result

_NONCE_BYTES: Final = 8
_WRITE_ATTEMPTS: Final = 3
_CHANGE_MAX_BYTES: Final = RECORD_WRITE_BYTES // 4
# With a head and a new segment for each of 16 partitions, a transaction stays within
# the service's 128 operations.
_DELETES_MAX: Final = 64


@dataclass(frozen=True, slots=True)
class _Write:
    """One transaction, which is sent unchanged until its outcome is known."""

    nonce: bytes
    changes: tuple[Change, ...]


class _WriteState(Enum):
    """The state of a write, as the heads in the key-value service show it."""

    APPLIED = auto()
    # No head has changed: the write can still take effect.
    UNDECIDED = auto()
    # A head was changed by another owner: the write can never take effect.
    SUPERSEDED = auto()


class RecordWriter:
    """Writes the records of the partitions that one owner instance holds."""

    def __init__(
        self,
        kv: KvClient,
        service: str,
        owner: str,
        expiry_cutoff_ms: Callable[[], int],
        on_lost: Callable[[Partition, str], None],
    ) -> None:
        """Create a writer without partitions.

        ``expiry_cutoff_ms`` returns the time before which keys are expired. ``on_lost``
        is called with a lost partition and the instance of its new owner.
        """
        self.owned: dict[int, Partition] = {}
        # The keys of the partitions that were owned before.
        self._known: dict[int, dict[bytes, RecordedKey]] = {}
        self._kv = kv
        self._service = service
        self._owner = owner
        self._expiry_cutoff_ms = expiry_cutoff_ms
        self._on_lost = on_lost
        self._unresolved: _Write | None = None

    @property
    def has_unresolved_write(self) -> bool:
        """Return whether the outcome of the last write is unknown."""
        return self._unresolved is not None

    def add(self, partition: Partition) -> None:
        """Own a loaded partition, whose acquisition the next write records."""
        partition.add_known(self._known.pop(partition.number, {}))
        self.owned[partition.number] = partition

    def drop_all(self) -> None:
        """Give up all partitions; their records may not be those that were written."""
        for partition in tuple(self.owned.values()):
            self._drop_partition(partition, "")

    def _remove(self, partition: Partition) -> None:
        del self.owned[partition.number]
        self._known[partition.number] = partition.index

    async def commit(self) -> Result[None]:
        """Write the dirty partitions, or finish the write with an unknown outcome.

        Return an Err if the key-value service could not be reached. All pending claims
        are refused then, and those that may have become durable are voided later.
        """
        write = self._unresolved or self._plan_write()
        if write is None:
            return Ok(None)
        result = await self._resolve(write)
        if isinstance(result, Err):
            self._refuse_claims(write, result)
        return result

    def _plan_write(self) -> _Write | None:
        nonce, changes = secrets.token_bytes(_NONCE_BYTES), []
        size, deletes = 0, _DELETES_MAX
        dirty = [owned for owned in self.owned.values() if owned.is_dirty]
        for partition in sorted(dirty, key=lambda owned: owned.revision):
            if size > RECORD_WRITE_BYTES - 2 * _CHANGE_MAX_BYTES:
                break
            limits = (_CHANGE_MAX_BYTES, deletes)
            change = plan_change(
                partition, self._owner, nonce, self._expiry_cutoff_ms(), limits
            )
            changes.append(change)
            size += change.size
            deletes -= len(change.deletes)
        return _Write(nonce, tuple(changes)) if changes else None

    async def _resolve(self, write: _Write) -> Result[None]:
        """Send a write, or read its heads, until its outcome is known."""
        failure = Err(
            Code.STORE_UNAVAILABLE,
            "the write could not be confirmed in several attempts",
        )
        for _ in range(_WRITE_ATTEMPTS):
            if self._unresolved is not None:
                state = await self._read_back(write)
                if isinstance(state, Err):
                    return state
                if state.value is not _WriteState.UNDECIDED:
                    return Ok(None)
            sent = await self._send(write)
            if isinstance(sent, Ok):
                if sent.value.succeeded:
                    self._apply(write, sent.value.revision)
                    return Ok(None)
                # Either another owner changed a head, or an earlier copy of this write
                # took effect. The heads show which.
                self._unresolved = write
            elif sent.code is Code.WRITE_UNKNOWN:
                self._unresolved = write
            else:
                if self._unresolved is None:
                    self._discard(write)
                return sent
        return failure

    async def _send(self, write: _Write) -> Result[TxnResult]:
        compare: dict[str, int] = {}
        puts: dict[str, bytes] = {}
        deletes: list[str] = []
        for change in write.changes:
            partition = change.partition
            key = head_key(partition.service, partition.number)
            compare[key] = partition.revision
            puts.update(change.puts)
            deletes += change.deletes
        return await self._kv.txn(compare, puts, deletes)

    async def _read_back(self, write: _Write) -> Result[_WriteState]:
        """Read the heads; finish the write if they show that its outcome is final."""
        superseded: list[tuple[Partition, str]] = []
        applied = 0
        for change in write.changes:
            partition = change.partition
            key = head_key(partition.service, partition.number)
            value = await self._kv.get(key)
            if isinstance(value, Err):
                return value
            head = decode_head(value.value)
            if isinstance(head, Err):
                return head
            revision = value.value.mod_revision if value.value else 0
            if head.value.nonce == write.nonce:
                applied = revision
            elif revision != partition.revision:
                superseded.append((partition, head.value.owner))
        if applied:
            self._apply(write, applied)
        elif not superseded:
            return Ok(_WriteState.UNDECIDED)
        else:
            # The revision of a superseded head can never compare equal again.
            self._discard(write)
        for partition, owner in superseded:
            self._drop_partition(partition, owner)
        return Ok(_WriteState.APPLIED if applied else _WriteState.SUPERSEDED)

    def _apply(self, write: _Write, revision: int) -> None:
        self._unresolved = None
        items = [item for change in write.changes for item in change.queued]
        claims = sum(isinstance(item.entry, Claim) for item in items)
        if claims:
            event = events.Event.CLAIM_WRITTEN
            events.log(event, service=self._service, claims=claims, revision=revision)
        for change in write.changes:
            partition = change.partition
            partition.revision = revision
            partition.head = change.head
            partition.has_expired_segment = False
            for _ in change.deletes:
                partition.drop_segment()
            if change.new_segment is not None:
                partition.add_segment(change.new_segment)
            del partition.pending[: len(change.queued)]
            to_void = [item for item in change.queued if _apply_queued(partition, item)]
            # Voids go before any new claim of the same key that is already pending.
            partition.pending[:0] = [
                QueuedEntry(Void(item.entry.key)) for item in to_void
            ]
            if partition.state is Ownership.ACQUIRING:
                partition.state = Ownership.OWNED
                self._log_partition(events.Event.PARTITION_OWNED, partition)
            if not partition.head.owner:
                self._remove(partition)
                self._log_partition(events.Event.PARTITION_RELEASED, partition)

    def _discard(self, write: _Write) -> None:
        """Drop a write that has not taken effect and never will."""
        self._unresolved = None
        for change in write.changes:
            partition = change.partition
            partition.pending = [
                item for item in partition.pending if not item.claim_refused
            ]

    def _drop_partition(self, partition: Partition, owner: str) -> None:
        if self.owned.get(partition.number) is partition:
            self._remove(partition)
        self._log_partition(events.Event.PARTITION_RELEASED, partition, fenced_by=owner)
        self._on_lost(partition, owner)

    def _log_partition(
        self, event: events.Event, partition: Partition, **fields: str
    ) -> None:
        number = partition.number
        events.log(event, service=self._service, partition=number, **fields)

    def _refuse_claims(self, write: _Write, err: Err) -> None:
        unresolved = self._unresolved is write
        refused = 0
        for partition in self.owned.values():
            sent = next(
                (
                    change.queued
                    for change in write.changes
                    if unresolved and change.partition is partition
                ),
                (),
            )
            kept = []
            for number, item in enumerate(partition.pending):
                if isinstance(item.entry, Claim) and not item.claim_refused:
                    _report_outcome(item, err)
                    refused += 1
                    if number >= len(sent):
                        continue
                    item.claim_refused = True
                kept.append(item)
            partition.pending = kept
        if refused:
            event = events.Event.CLAIM_REFUSED
            events.log(event, service=self._service, claims=refused, text=err.text)


def refuse_claims(partition: Partition, err: Err) -> None:
    """Refuse all pending claims of a lost partition."""
    for item in partition.pending:
        if not item.claim_refused:
            _report_outcome(item, err)
    partition.pending.clear()


def _apply_queued(partition: Partition, item: QueuedEntry) -> bool:
    """Apply a durable entry; return whether it is a claim that must be voided."""
    # Other entries were applied when they were queued.
    if not isinstance(item.entry, Claim):
        return False
    if item.claim_refused:
        return True
    if item.entry.key not in partition.index:
        apply_entry(partition.index, item.entry)
    _report_outcome(item, None)
    return False


def _report_outcome(item: QueuedEntry, err: Err | None) -> None:
    if item.on_resolved is not None:
        item.on_resolved(err)
