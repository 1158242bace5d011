"""A partition's record in the key-value service, and its state in the owner.

The record is a log of entries. Its newest part is in the head, which every write
replaces by compare-and-swap; when that grows over ``RECORD_HEAD_BYTES``, its entries
move into a segment of their own in the same transaction. A segment is deleted when all
its keys are past the retention, and ``Head.floor_ms`` then rises to its newest key.
Keys up to the floor are refused, so an owner never takes a key with a deleted record
for a new one, whatever its clock and its retention are.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field
from enum import Enum, auto
from typing import Final, TypeAlias

import msgspec

from mustardfront.codes import Code
from mustardfront.constants import RECORD_HEAD_BYTES
from mustardfront.coordination.kv import KvValue
from mustardfront.results import Err, Ok, Result

Headers: TypeAlias = tuple[tuple[str, str], ...]
PREFIX: Final = "/mustardfront/idem"
# Keeps a transaction of 16 partitions within the service's 128 operations.
SEGMENTS_DELETED_MAX: Final = 4


class Claim(msgspec.Struct, frozen=True, array_like=True, tag="c"):
    """An owner instance may run the request with this key, once."""

    key: bytes
    time_ms: int
    team: str
    request: bytes
    owner: str


class Done(msgspec.Struct, frozen=True, array_like=True, tag="d"):
    """The answer to a claimed request; ``body`` is None when it was too large."""

    key: bytes
    status: int
    headers: Headers
    body: bytes | None


class Void(msgspec.Struct, frozen=True, array_like=True, tag="v"):
    """A claimed request did not run and will not run under that claim."""

    key: bytes


Entry: TypeAlias = Claim | Done | Void


class Segment(msgspec.Struct, frozen=True, array_like=True):
    """An older part of the log: its number, its newest key's time, its size."""

    number: int
    newest_ms: int
    size: int


class Head(msgspec.Struct, frozen=True, array_like=True):
    """The part that each write replaces; ``owner`` is empty after a release."""

    owner: str = ""
    nonce: bytes = b""
    floor_ms: int = 0
    next_segment: int = 0
    segments: tuple[Segment, ...] = ()
    entries: tuple[Entry, ...] = ()


@dataclass(frozen=True, slots=True)
class Known:
    """What the record says of a key: its claim, and its answer if there is one."""

    claim: Claim
    done: Done | None = None


@dataclass(slots=True, eq=False)
class Item:
    """An entry to be written; ``settled`` is told once whether it is durable.

    ``settled`` gets None when it is, or why it does not count. ``abandoned`` marks a
    claim that was refused while its write was unresolved.
    """

    entry: Entry
    settled: Callable[[Err | None], None] | None = None
    abandoned: bool = False


class Hold(Enum):
    """How far this process is in owning a partition."""

    TAKING = auto()
    OWNED = auto()
    RELEASING = auto()


@dataclass(slots=True, eq=False)
class Partition:
    """A partition that this process owns, takes or releases."""

    service: str
    number: int
    revision: int
    head: Head
    index: dict[bytes, Known]
    hold: Hold = Hold.TAKING
    pending: list[Item] = field(default_factory=list)
    # Requests between their claim and their end.
    active: int = 0
    # Old segments wait for deletion although there is nothing to write.
    stale: bool = False

    @property
    def size(self) -> int:
        """Return the bytes of the record, without the head."""
        return sum(segment.size for segment in self.head.segments)

    @property
    def is_dirty(self) -> bool:
        """Say whether a write is wanted."""
        releasable = self.hold is Hold.RELEASING and self.active == 0
        taking = self.hold is Hold.TAKING
        return bool(self.pending) or taking or releasable or self.stale

    def append(self, entry: Done | Void) -> None:
        """Queue an entry for the next write; it counts at once in this process."""
        self.pending.append(Item(entry))
        apply_entry(self.index, entry)


@dataclass(frozen=True, slots=True)
class Change:
    """A partition's part of one transaction."""

    partition: Partition
    head: Head
    items: tuple[Item, ...]
    puts: Mapping[str, bytes]
    deletes: tuple[str, ...]

    @property
    def size(self) -> int:
        """Return the bytes that it writes."""
        return sum(len(value) for value in self.puts.values())


def head_key(service: str, number: int) -> str:
    """Return the key of a partition's head; its segments' keys begin with it."""
    return f"{PREFIX}/{service}/{number:02d}"


def segment_key(service: str, number: int, segment: int) -> str:
    """Return the key of a segment."""
    return f"{head_key(service, number)}/{segment:08d}"


def read_head(value: KvValue | None) -> Result[Head]:
    """Return the head in a key's value; an absent key is an empty head."""
    if value is None:
        return Ok(Head())
    try:
        return Ok(msgspec.msgpack.decode(value.value, type=Head))
    except msgspec.DecodeError as exc:
        return Err(Code.INTERNAL_ERROR, f"an idempotency record is damaged: {exc}")


def load_partition(
    service: str, number: int, values: Mapping[str, KvValue]
) -> Result[Partition]:
    """Return a partition from its head and segments, as one read returned them."""
    value = values.get(head_key(service, number))
    head = read_head(value)
    if isinstance(head, Err):
        return head
    index: dict[bytes, Known] = {}
    for segment in head.value.segments:
        key = segment_key(service, number, segment.number)
        try:
            data = values[key].value
            apply_entries(index, msgspec.msgpack.decode(data, type=tuple[Entry, ...]))
        except (KeyError, msgspec.DecodeError) as exc:
            return Err(Code.INTERNAL_ERROR, f"segment {key} is damaged: {exc!r}")
    apply_entries(index, head.value.entries)
    revision = value.mod_revision if value else 0
    return Ok(Partition(service, number, revision, head.value, index))


def apply_entries(index: dict[bytes, Known], entries: Iterable[Entry]) -> None:
    """Apply log entries in their order."""
    for entry in entries:
        apply_entry(index, entry)


def apply_entry(index: dict[bytes, Known], entry: Entry) -> None:
    """Apply one log entry; an answer without its claim is past its retention."""
    if isinstance(entry, Claim):
        index[entry.key] = Known(entry)
    elif isinstance(entry, Void):
        index.pop(entry.key, None)
    elif (known := index.get(entry.key)) is not None:
        index[entry.key] = Known(known.claim, entry)


def plan_change(
    partition: Partition, owner: str, nonce: bytes, expire_ms: int, limit_bytes: int
) -> Change:
    """Return the change that writes pending items up to about ``limit_bytes``.

    Segments whose keys are all older than ``expire_ms`` are deleted.
    """
    items: list[Item] = []
    size = 0
    for item in partition.pending:
        size += len(msgspec.msgpack.encode(item.entry))
        if items and size > limit_bytes:
            break
        items.append(item)
    last = len(items) == len(partition.pending) and partition.active == 0
    if partition.hold is Hold.RELEASING and last:
        owner = ""
    old = partition.head
    entries = (*old.entries, *(item.entry for item in items))
    # Segments go in their order, so an answer never outlives its claim's segment.
    expired = 0
    while (
        expired < min(len(old.segments), SEGMENTS_DELETED_MAX)
        and old.segments[expired].newest_ms < expire_ms
    ):
        expired += 1
    dead, kept = old.segments[:expired], old.segments[expired:]
    head = Head(
        owner,
        nonce,
        max([old.floor_ms, *(segment.newest_ms for segment in dead)]),
        old.next_segment,
        kept,
        entries,
    )
    key = head_key(partition.service, partition.number)
    puts = {}
    data = msgspec.msgpack.encode(head)
    if len(data) > RECORD_HEAD_BYTES and entries:
        sealed = msgspec.msgpack.encode(entries)
        newest_ms = max(_times(partition, entries))
        segment = Segment(head.next_segment, newest_ms, len(sealed))
        puts[segment_key(partition.service, partition.number, segment.number)] = sealed
        head = msgspec.structs.replace(
            head,
            next_segment=head.next_segment + 1,
            segments=(*kept, segment),
            entries=(),
        )
        data = msgspec.msgpack.encode(head)
    puts[key] = data
    deletes = tuple(
        segment_key(partition.service, partition.number, segment.number)
        for segment in dead
    )
    return Change(partition, head, tuple(items), puts, deletes)


def forget_expired(partition: Partition) -> None:
    """Drop the keys up to the floor from the index."""
    floor_ms = partition.head.floor_ms
    expired = [
        key for key, known in partition.index.items() if known.claim.time_ms <= floor_ms
    ]
    for key in expired:
        del partition.index[key]


def _times(partition: Partition, entries: Iterable[Entry]) -> Iterable[int]:
    """Yield the times of the keys that a segment's entries speak of."""
    yield 0
    for entry in entries:
        if isinstance(entry, Claim):
            yield entry.time_ms
        elif (known := partition.index.get(entry.key)) is not None:
            yield known.claim.time_ms
