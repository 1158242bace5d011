"""A partition's record in the key-value service, and its state in the owner.

The record is a log of entries. Its newest part is in the head, which every write
replaces by compare-and-swap. When the head exceeds ``RECORD_HEAD_BYTES``, the same
transaction moves its entries into a new segment. A segment is deleted when all its
keys are past the retention period, and ``Head.floor_ms`` is raised to the time of its
newest key. Keys up to the floor are refused, so an owner never treats a key whose
record was deleted as new, whatever its clock and its retention setting are.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field
from enum import Enum, auto
from itertools import islice, takewhile
from typing import Final, TypeAlias

import msgspec

from mustardfront.codes import Code
from mustardfront.constants import RECORD_HEAD_BYTES
from mustardfront.coordination.kv import KvValue
from mustardfront.results import Err, Ok, Result

Headers: TypeAlias = tuple[tuple[str, str], ...]
RECORD_PREFIX: Final = "/mustardfront/idem"


class Claim(msgspec.Struct, frozen=True, array_like=True, tag="c"):
    """Permission for one owner instance to run the request with this key once."""

    key: bytes
    time_ms: int
    team: str
    request: bytes
    owner: str


class Done(msgspec.Struct, frozen=True, array_like=True, tag="d"):
    """The answer to a claimed request; ``body`` is None if it was too large."""

    key: bytes
    status: int
    headers: Headers
    body: bytes | None


class Void(msgspec.Struct, frozen=True, array_like=True, tag="v"):
    """Cancellation of a claim: the request did not and will not run under it."""

    key: bytes


Entry: TypeAlias = Claim | Done | Void


@dataclass(frozen=True, slots=True)
class Segment:
    """An older part of the log; ``newest_ms`` is the time of its newest key."""

    number: int
    newest_ms: int
    size: int


class Head(msgspec.Struct, frozen=True, array_like=True):
    """The newest part of the log, which each write replaces.

    ``owner`` is empty after a release.
    """

    owner: str = ""
    nonce: bytes = b""
    floor_ms: int = 0
    # Segments have the numbers in range(first_segment, next_segment).
    first_segment: int = 0
    next_segment: int = 0
    entries: tuple[Entry, ...] = ()


@dataclass(frozen=True, slots=True)
class RecordedKey:
    """A key's recorded claim, and the answer if there is one."""

    claim: Claim
    done: Done | None = None


@dataclass(slots=True, eq=False)
class QueuedEntry:
    """An entry that waits to be written.

    ``on_resolved`` is called once: with None when the entry is durable, or with the
    error for which it was refused. ``claim_refused`` marks a claim that was refused
    while the outcome of its write was unknown; it is voided if the write took effect.
    """

    entry: Entry
    on_resolved: Callable[[Err | None], None] | None = None
    claim_refused: bool = False


class Ownership(Enum):
    """The state of a partition in this process."""

    ACQUIRING = auto()
    OWNED = auto()
    RELEASING = auto()


@dataclass(slots=True, eq=False)
class Partition:
    """A partition that this process owns, acquires or releases."""

    service: str
    number: int
    revision: int
    head: Head
    index: dict[bytes, RecordedKey]
    # Oldest first. ``size`` is the sum of their sizes in bytes.
    segments: deque[Segment] = field(default_factory=deque)
    size: int = 0
    state: Ownership = Ownership.ACQUIRING
    pending: list[QueuedEntry] = field(default_factory=list)
    # The number of requests between claim and completion.
    active_requests: int = 0
    # Makes the partition dirty, so that the segment is deleted even without entries.
    has_expired_segment: bool = False
    # The value of ``Head.floor_ms`` up to which keys were removed from the index.
    _index_floor_ms: int = 0

    @property
    def is_dirty(self) -> bool:
        """Return whether the partition has something to write."""
        releasable = self.state is Ownership.RELEASING and self.active_requests == 0
        acquiring = self.state is Ownership.ACQUIRING
        return bool(self.pending) or acquiring or releasable or self.has_expired_segment

    def update_expiry(self, expiry_cutoff_ms: int) -> None:
        """Remove keys up to the floor from the index; check for an expired segment."""
        floor_ms = self.head.floor_ms
        if floor_ms > self._index_floor_ms:
            self._index_floor_ms = floor_ms
            self.index = {
                key: recorded
                for key, recorded in self.index.items()
                if recorded.claim.time_ms > floor_ms
            }
        self.has_expired_segment = (
            bool(self.segments) and self.segments[0].newest_ms < expiry_cutoff_ms
        )

    def add_segment(self, segment: Segment) -> None:
        """Add a segment that is durable."""
        self.segments.append(segment)
        self.size += segment.size

    def drop_segment(self) -> None:
        """Remove the oldest segment, which was deleted."""
        self.size -= self.segments.popleft().size

    def add_known(self, known: Mapping[bytes, RecordedKey]) -> None:
        """Queue what an earlier owner in this process knew and the record lacks.

        A record loses entries when the key-value service goes back to an older copy of
        its data. Keys that have expired meanwhile are left out.
        """
        for key, recorded in known.items():
            if recorded.claim.time_ms <= self.head.floor_ms:
                continue
            stored = self.index.get(key)
            if stored is None:
                self.pending.append(QueuedEntry(recorded.claim))
                apply_entry(self.index, recorded.claim)
            if recorded.done is not None and (stored is None or stored.done is None):
                self.append(recorded.done)

    def append(self, entry: Done | Void) -> None:
        """Queue an entry for the next write, and apply it to the index at once."""
        self.pending.append(QueuedEntry(entry))
        apply_entry(self.index, entry)


@dataclass(frozen=True, slots=True)
class Change:
    """A partition's part of one transaction; ``queued`` are the entries it writes."""

    partition: Partition
    head: Head
    queued: tuple[QueuedEntry, ...]
    new_segment: Segment | None
    puts: Mapping[str, bytes]
    deletes: tuple[str, ...]

    @property
    def size(self) -> int:
        """Return the number of bytes written, without the keys."""
        return sum(len(value) for value in self.puts.values())


def head_key(service: str, number: int) -> str:
    """Return the key of a partition's head, which is a prefix of its segments' keys."""
    return f"{RECORD_PREFIX}/{service}/{number:02d}"


def segment_key(service: str, number: int, segment: int) -> str:
    """Return the key of a partition's segment."""
    return f"{head_key(service, number)}/{segment:08d}"


def decode_head(value: KvValue | None) -> Result[Head]:
    """Decode the head from a key's value; an absent key is an empty head."""
    if value is None:
        return Ok(Head())
    try:
        return Ok(msgspec.msgpack.decode(value.value, type=Head))
    except msgspec.DecodeError as exc:
        return Err(
            Code.INTERNAL_ERROR,
            f"cannot decode the head of an idempotency record: {exc}",
        )


def load_partition(
    service: str, number: int, values: Mapping[str, KvValue]
) -> Result[Partition]:
    """Decode a partition from its head and segments, all returned by one read."""
    value = values.get(head_key(service, number))
    head = decode_head(value)
    if isinstance(head, Err):
        return head
    revision = value.mod_revision if value else 0
    partition = Partition(service, number, revision, head.value, {})
    for segment in range(head.value.first_segment, head.value.next_segment):
        key = segment_key(service, number, segment)
        try:
            data = values[key].value
            entries = msgspec.msgpack.decode(data, type=tuple[Entry, ...])
        except (KeyError, msgspec.DecodeError) as exc:
            return Err(
                Code.INTERNAL_ERROR,
                f"idempotency record segment {key} is missing or damaged: {exc!r}",
            )
        apply_entries(partition.index, entries)
        newest_ms = max(_key_times(partition, entries))
        partition.add_segment(Segment(segment, newest_ms, len(data)))
    apply_entries(partition.index, head.value.entries)
    return Ok(partition)


def apply_entries(index: dict[bytes, RecordedKey], entries: Iterable[Entry]) -> None:
    """Apply log entries to an index in their order."""
    for entry in entries:
        apply_entry(index, entry)


def apply_entry(index: dict[bytes, RecordedKey], entry: Entry) -> None:
    """Apply one log entry to an index.

    An answer without a claim is skipped: the claim was in a segment that has expired.
    """
    if isinstance(entry, Claim):
        index[entry.key] = RecordedKey(entry)
    elif isinstance(entry, Void):
        index.pop(entry.key, None)
    elif (recorded := index.get(entry.key)) is not None:
        index[entry.key] = RecordedKey(recorded.claim, entry)


def plan_change(
    partition: Partition,
    owner: str,
    nonce: bytes,
    expiry_cutoff_ms: int,
    limits: tuple[int, int],
) -> Change:
    """Return the change that writes pending entries and deletes expired segments.

    A segment is expired when all its keys are older than ``expiry_cutoff_ms``.
    ``limits`` are the approximate number of bytes to write and the maximum number of
    segments to delete.
    """
    limit_bytes, limit_deletes = limits
    items: list[QueuedEntry] = []
    size = 0
    for item in partition.pending:
        size += len(msgspec.msgpack.encode(item.entry))
        if items and size > limit_bytes:
            break
        items.append(item)
    is_drained = len(items) == len(partition.pending) and partition.active_requests == 0
    if partition.state is Ownership.RELEASING and is_drained:
        owner = ""
    old_head = partition.head
    # Delete the oldest segments first, so that an answer never outlives its claim.
    expired = list(
        takewhile(
            lambda segment: segment.newest_ms < expiry_cutoff_ms,
            islice(partition.segments, limit_deletes),
        )
    )
    entries = (*old_head.entries, *(item.entry for item in items))
    head = Head(
        owner,
        nonce,
        max([old_head.floor_ms, *(segment.newest_ms for segment in expired)]),
        old_head.first_segment + len(expired),
        old_head.next_segment,
        entries,
    )
    service, number = partition.service, partition.number
    puts, new_segment = {}, None
    data = msgspec.msgpack.encode(head)
    if len(data) > RECORD_HEAD_BYTES and entries:
        packed = msgspec.msgpack.encode(entries)
        newest_ms = max(_key_times(partition, entries))
        new_segment = Segment(head.next_segment, newest_ms, len(packed))
        puts[segment_key(service, number, new_segment.number)] = packed
        next_segment = head.next_segment + 1
        head = msgspec.structs.replace(head, next_segment=next_segment, entries=())
        data = msgspec.msgpack.encode(head)
    puts[head_key(service, number)] = data
    deletes = tuple(segment_key(service, number, segment.number) for segment in expired)
    return Change(partition, head, tuple(items), new_segment, puts, deletes)


def _key_times(partition: Partition, entries: Iterable[Entry]) -> Iterable[int]:
    """Yield the times in ms of the keys in a segment's entries, after a 0."""
    yield 0
    for entry in entries:
        if isinstance(entry, Claim):
            yield entry.time_ms
        elif (recorded := partition.index.get(entry.key)) is not None:
            yield recorded.claim.time_ms
