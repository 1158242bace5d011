"""A partition's record in the key-value service, and its state in the owner.

The record is a log of entries. Its newest part is in the head, which every write
replaces by compare-and-swap; when that grows over ``RECORD_HEAD_BYTES``, its entries
move into a segment of their own in the same transaction. A segment is deleted when all
its keys are past the retention, and ``Head.floor_ms`` then rises to its newest key.
Keys up to the floor are refused, so an owner never takes a key with a deleted record
for a new one, whatever its clock and its retention are.
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
PREFIX: Final = "/mustardfront/idem"


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


@dataclass(frozen=True, slots=True)
class Segment:
    """An older part of the log: its number, its newest key's time, its bytes."""

    number: int
    newest_ms: int
    size: int


class Head(msgspec.Struct, frozen=True, array_like=True):
    """The part that each write replaces; ``owner`` is empty after a release."""

    owner: str = ""
    nonce: bytes = b""
    floor_ms: int = 0
    # The segments are numbered from the first to before the next.
    first_segment: int = 0
    next_segment: int = 0
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
    # Oldest first; their sizes together are ``size``.
    segments: deque[Segment] = field(default_factory=deque)
    size: int = 0
    hold: Hold = Hold.TAKING
    pending: list[Item] = field(default_factory=list)
    # Requests between their claim and their end.
    active: int = 0
    # Old segments wait for deletion although there is nothing to write.
    stale: bool = False
    # The floor up to which the index was cleared.
    _forgotten_ms: int = 0

    @property
    def is_dirty(self) -> bool:
        """Say whether a write is wanted."""
        releasable = self.hold is Hold.RELEASING and self.active == 0
        taking = self.hold is Hold.TAKING
        return bool(self.pending) or taking or releasable or self.stale

    def look_for_expired(self, expire_ms: int) -> None:
        """Forget keys up to the floor, and see whether a segment has expired."""
        floor_ms = self.head.floor_ms
        if floor_ms > self._forgotten_ms:
            self._forgotten_ms = floor_ms
            self.index = {
                key: known
                for key, known in self.index.items()
                if known.claim.time_ms > floor_ms
            }
        self.stale = bool(self.segments) and self.segments[0].newest_ms < expire_ms

    def add_segment(self, segment: Segment) -> None:
        """Count a segment that is durable."""
        self.segments.append(segment)
        self.size += segment.size

    def drop_segment(self) -> None:
        """Forget the oldest segment, which was deleted."""
        self.size -= self.segments.popleft().size

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
    sealed: Segment | None
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
    revision = value.mod_revision if value else 0
    partition = Partition(service, number, revision, head.value, {})
    for segment in range(head.value.first_segment, head.value.next_segment):
        key = segment_key(service, number, segment)
        try:
            data = values[key].value
            entries = msgspec.msgpack.decode(data, type=tuple[Entry, ...])
        except (KeyError, msgspec.DecodeError) as exc:
            return Err(Code.INTERNAL_ERROR, f"segment {key} is damaged: {exc!r}")
        apply_entries(partition.index, entries)
        newest_ms = max(_times(partition, entries))
        partition.add_segment(Segment(segment, newest_ms, len(data)))
    apply_entries(partition.index, head.value.entries)
    return Ok(partition)


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
    partition: Partition,
    owner: str,
    nonce: bytes,
    expire_ms: int,
    limits: tuple[int, int],
) -> Change:
    """Return the change that writes pending items.

    ``limits`` are about how many bytes it may write, and how many segments it may
    delete; those whose keys are all older than ``expire_ms`` are.
    """
    limit_bytes, limit_deletes = limits
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
    # Segments go in their order, so an answer never outlives its claim's segment.
    dead = list(
        takewhile(
            lambda segment: segment.newest_ms < expire_ms,
            islice(partition.segments, limit_deletes),
        )
    )
    entries = (*old.entries, *(item.entry for item in items))
    head = Head(
        owner,
        nonce,
        max([old.floor_ms, *(segment.newest_ms for segment in dead)]),
        old.first_segment + len(dead),
        old.next_segment,
        entries,
    )
    service, number = partition.service, partition.number
    puts, sealed = {}, None
    data = msgspec.msgpack.encode(head)
    if len(data) > RECORD_HEAD_BYTES and entries:
        packed = msgspec.msgpack.encode(entries)
        newest_ms = max(_times(partition, entries))
        sealed = Segment(head.next_segment, newest_ms, len(packed))
        puts[segment_key(service, number, sealed.number)] = packed
        next_segment = head.next_segment + 1
        head = msgspec.structs.replace(head, next_segment=next_segment, entries=())
        data = msgspec.msgpack.encode(head)
    puts[head_key(service, number)] = data
    deletes = tuple(segment_key(service, number, segment.number) for segment in dead)
    return Change(partition, head, tuple(items), sealed, puts, deletes)


def _times(partition: Partition, entries: Iterable[Entry]) -> Iterable[int]:
    """Yield the times of the keys that a segment's entries speak of."""
    yield 0
    for entry in entries:
        if isinstance(entry, Claim):
            yield entry.time_ms
        elif (known := partition.index.get(entry.key)) is not None:
            yield known.claim.time_ms
