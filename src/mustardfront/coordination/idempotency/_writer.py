"""Group commit of the owned partitions' records by compare-and-swap.

All dirty partitions go into one transaction, so a sidecar's writes do not grow with the
partitions that it owns. At most one write is under way. Its nonce is in each head that
it puts, so a write with a lost answer is found again by reading one head. If the heads
are unchanged, the same transaction may be repeated, since it still compares the same
revisions and can take effect only once.
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
    Hold,
    Item,
    Partition,
    Void,
    apply_entry,
    head_key,
    plan_change,
    read_head,
)
from mustardfront.coordination.kv import KvClient, TxnResult
from mustardfront.results import Err, Ok, Result

_NONCE_BYTES: Final = 8
_WRITE_ATTEMPTS: Final = 3
_CHANGE_BYTES: Final = RECORD_WRITE_BYTES // 4
# With a head and a new segment for each of 16 partitions, a transaction stays within
# the service's 128 operations.
_DELETES_MAX: Final = 64


@dataclass(frozen=True, slots=True)
class _Write:
    """One transaction: it is sent unchanged until its outcome is known."""

    nonce: bytes
    changes: tuple[Change, ...]


class _Found(Enum):
    """What reading the heads back says of a write."""

    APPLIED = auto()
    UNCHANGED = auto()
    IMPOSSIBLE = auto()


class RecordWriter:
    """The partitions that one owner instance holds, and the writes on their records."""

    def __init__(
        self,
        kv: KvClient,
        service: str,
        owner: str,
        expire_ms: Callable[[], int],
        lost: Callable[[Partition, str], None],
    ) -> None:
        """Take the time before which keys expire, and a call for lost partitions."""
        self.owned: dict[int, Partition] = {}
        self._kv = kv
        self._service = service
        self._owner = owner
        self._expire_ms = expire_ms
        self._lost = lost
        self._unresolved: _Write | None = None

    @property
    def has_unresolved(self) -> bool:
        """Say whether the outcome of the last write is unknown."""
        return self._unresolved is not None

    async def commit(self) -> Result[None]:
        """Write what is pending; Err when the service could not be reached.

        All claims are refused then: those that may be durable are voided later.
        """
        write = self._unresolved or self._plan()
        if write is None:
            return Ok(None)
        result = await self._settle(write)
        if isinstance(result, Err):
            self._refuse_claims(write, result)
        return result

    def _plan(self) -> _Write | None:
        nonce, changes = secrets.token_bytes(_NONCE_BYTES), []
        size, deletes = 0, _DELETES_MAX
        dirty = [entry for entry in self.owned.values() if entry.is_dirty]
        for partition in sorted(dirty, key=lambda entry: entry.revision):
            if size > RECORD_WRITE_BYTES - 2 * _CHANGE_BYTES:
                break
            limits = (_CHANGE_BYTES, deletes)
            change = plan_change(
                partition, self._owner, nonce, self._expire_ms(), limits
            )
            changes.append(change)
            size += change.size
            deletes -= len(change.deletes)
        return _Write(nonce, tuple(changes)) if changes else None

    async def _settle(self, write: _Write) -> Result[None]:
        """Send or look for a write until its outcome is known."""
        failure = Err(Code.STORE_UNAVAILABLE, "the write found no stable state")
        for _ in range(_WRITE_ATTEMPTS):
            if self._unresolved is not None:
                found = await self._read_back(write)
                if isinstance(found, Err):
                    return found
                if found.value is not _Found.UNCHANGED:
                    return Ok(None)
            sent = await self._send(write)
            if isinstance(sent, Ok):
                if sent.value.succeeded:
                    self._apply(write, sent.value.revision)
                    return Ok(None)
                # Either another owner has a head, or an earlier copy of this write came
                # first; the heads tell which.
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

    async def _read_back(self, write: _Write) -> Result[_Found]:
        """Look at the heads, and settle the write when they tell its outcome."""
        moved: list[tuple[Partition, str]] = []
        applied = 0
        for change in write.changes:
            partition = change.partition
            key = head_key(partition.service, partition.number)
            value = await self._kv.get(key)
            if isinstance(value, Err):
                return value
            head = read_head(value.value)
            if isinstance(head, Err):
                return head
            revision = value.value.mod_revision if value.value else 0
            if head.value.nonce == write.nonce:
                applied = revision
            elif revision != partition.revision:
                moved.append((partition, head.value.owner))
        if applied:
            self._apply(write, applied)
        elif not moved:
            return Ok(_Found.UNCHANGED)
        else:
            # One comparison of the transaction can never hold again.
            self._discard(write)
        for partition, owner in moved:
            self._lose(partition, owner)
        return Ok(_Found.APPLIED if applied else _Found.IMPOSSIBLE)

    def _apply(self, write: _Write, revision: int) -> None:
        self._unresolved = None
        items = [item for change in write.changes for item in change.items]
        claims = sum(isinstance(item.entry, Claim) for item in items)
        if claims:
            event = events.Event.CLAIM_WRITTEN
            events.log(event, service=self._service, claims=claims, revision=revision)
        for change in write.changes:
            partition = change.partition
            partition.revision = revision
            partition.head = change.head
            partition.stale = False
            for _ in change.deletes:
                partition.drop_segment()
            if change.sealed is not None:
                partition.add_segment(change.sealed)
            del partition.pending[: len(change.items)]
            voided = [item for item in change.items if _apply_item(partition, item)]
            # Before any new claim of the same key that waits already.
            partition.pending[:0] = [Item(Void(item.entry.key)) for item in voided]
            if partition.hold is Hold.TAKING:
                partition.hold = Hold.OWNED
                self._log(events.Event.PARTITION_OWNED, partition)
            if not partition.head.owner:
                del self.owned[partition.number]
                self._log(events.Event.PARTITION_RELEASED, partition)

    def _discard(self, write: _Write) -> None:
        """Forget a write that has not taken effect and never will."""
        self._unresolved = None
        for change in write.changes:
            partition = change.partition
            partition.pending = [
                item for item in partition.pending if not item.abandoned
            ]

    def _lose(self, partition: Partition, owner: str) -> None:
        if self.owned.get(partition.number) is partition:
            del self.owned[partition.number]
        self._log(events.Event.PARTITION_RELEASED, partition, fenced_by=owner)
        self._lost(partition, owner)

    def _log(self, event: events.Event, partition: Partition, **fields: str) -> None:
        number = partition.number
        events.log(event, service=self._service, partition=number, **fields)

    def _refuse_claims(self, write: _Write, err: Err) -> None:
        unresolved = self._unresolved is write
        refused = 0
        for partition in self.owned.values():
            sent = next(
                (
                    change.items
                    for change in write.changes
                    if unresolved and change.partition is partition
                ),
                (),
            )
            kept = []
            for number, item in enumerate(partition.pending):
                if isinstance(item.entry, Claim) and not item.abandoned:
                    _tell(item, err)
                    refused += 1
                    if number >= len(sent):
                        continue
                    item.abandoned = True
                kept.append(item)
            partition.pending = kept
        if refused:
            event = events.Event.CLAIM_REFUSED
            events.log(event, service=self._service, claims=refused, text=err.text)


def refuse_pending(partition: Partition, err: Err) -> None:
    """Refuse all claims that wait in a partition that is lost."""
    for item in partition.pending:
        if not item.abandoned:
            _tell(item, err)
    partition.pending.clear()


def _apply_item(partition: Partition, item: Item) -> bool:
    """Count a durable item; say whether it is a claim that has to be voided."""
    # Other entries counted when they were queued.
    if not isinstance(item.entry, Claim):
        return False
    if item.abandoned:
        return True
    apply_entry(partition.index, item.entry)
    _tell(item, None)
    return False


def _tell(item: Item, err: Err | None) -> None:
    if item.settled is not None:
        item.settled(err)
