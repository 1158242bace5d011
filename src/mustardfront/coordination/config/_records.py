"""Key-value records of the tickets, the head and the configuration snapshot."""

from __future__ import annotations

import hashlib
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Final

import msgspec

from mustardfront.codes import Code
from mustardfront.coordination.config._kv import Kv
from mustardfront.coordination.kv import KvValue
from mustardfront.decoding import decode_json
from mustardfront.results import Err, Ok, Result
from mustardfront.state import (
    Config,
    Ticket,
    config_from_bytes,
    config_to_bytes,
    ticket_from_data,
    ticket_to_data,
)

HEAD_KEY: Final = "/mustardfront/head"
TICKET_PREFIX: Final = "/mustardfront/tickets/"
SNAPSHOT_PREFIX: Final = "/mustardfront/snapshot/"
# Ticket numbers in keys have ten digits, so ten tickets share the first nine and are
# read by one prefix read.
_TICKETS_PER_READ: Final = 10
# The service accepts values up to 1 MB; the rest is left for the request's encoding.
CHUNK_BYTES: Final = 900_000
# The full snapshot must fit in one frame between peers.
CHUNKS_MAX: Final = 4
TICKET_MAX_BYTES: Final = 900_000


@dataclass(frozen=True, slots=True)
class Head:
    """The last accepted ticket's number and digest, and the snapshot's chunk count."""

    version: int = 0
    digest: str = ""
    chunks: int = 0


def ticket_key(number: int) -> str:
    """Return the key of the ticket with this number."""
    return f"{TICKET_PREFIX}{number:010d}"


def chunk_key(index: int) -> str:
    """Return the key of a snapshot chunk."""
    return f"{SNAPSHOT_PREFIX}{index:03d}"


def encode_ticket(ticket: Ticket) -> bytes:
    """Return a ticket as JSON in a fixed order, so equal tickets have equal bytes."""
    return msgspec.json.encode(ticket_to_data(ticket), order="deterministic")


def decode_ticket(data: bytes) -> Result[Ticket]:
    """Return the ticket in JSON, or Err(TICKET_MALFORMED)."""
    try:
        return ticket_from_data(decode_json(data, dict))
    except msgspec.MsgspecError as exc:
        return Err(Code.TICKET_MALFORMED, f"malformed ticket: {exc}")


def ticket_digest(data: bytes) -> str:
    """Return the SHA-256 digest of an encoded ticket, in hexadecimal."""
    return hashlib.sha256(data).hexdigest()


def encode_head(head: Head) -> bytes:
    """Return a head as the bytes of its record."""
    return msgspec.json.encode(head)


def decode_head(value: KvValue | None) -> Result[Head]:
    """Return the head in a record; version 0 if the record does not exist yet."""
    if value is None:
        return Ok(Head())
    return decode_head_bytes(value.value)


def decode_head_bytes(data: bytes) -> Result[Head]:
    """Return the head in the bytes of a record, or Err(BAD_MESSAGE)."""
    try:
        return Ok(decode_json(data, Head))
    except msgspec.MsgspecError as exc:
        return Err(Code.BAD_MESSAGE, f"malformed record {HEAD_KEY}: {exc}")


def snapshot_chunks(cfg: Config) -> Result[dict[str, bytes]]:
    """Return the snapshot's chunks by key, or Err(TICKET_TOO_LARGE)."""
    data = config_to_bytes(cfg)
    count = -(-len(data) // CHUNK_BYTES)
    if count > CHUNKS_MAX:
        text = f"the configuration has {len(data)} bytes; {CHUNKS_MAX * CHUNK_BYTES}"
        return Err(Code.TICKET_TOO_LARGE, f"{text} are allowed")
    return Ok(
        {
            chunk_key(index): data[index * CHUNK_BYTES : (index + 1) * CHUNK_BYTES]
            for index in range(count)
        }
    )


def join_snapshot(chunks: Mapping[str, KvValue]) -> Result[Config]:
    """Return the configuration in a snapshot's chunks; version 0 if there are none.

    All chunks must come from a single read, so that they belong to one version.
    """
    if not chunks:
        return Ok(Config())
    return config_from_bytes(b"".join(chunks[key].value for key in sorted(chunks)))


async def read_snapshot(kv: Kv) -> Result[Config]:
    """Return the newest accepted configuration, using a single read."""
    chunks = await kv.get_prefix(SNAPSHOT_PREFIX)
    return chunks if isinstance(chunks, Err) else join_snapshot(chunks.value)


async def read_head(kv: Kv) -> Result[tuple[Head, int]]:
    """Return the head and its revision, 0 if there is none."""
    value = await kv.get(HEAD_KEY)
    if isinstance(value, Err):
        return value
    head = decode_head(value.value)
    if isinstance(head, Err):
        return head
    return Ok((head.value, value.value.mod_revision if value.value else 0))


async def read_ticket(kv: Kv, number: int) -> Result[Ticket]:
    """Return an accepted ticket, or Err(TICKET_NOT_FOUND)."""
    value = await kv.get(ticket_key(number))
    if isinstance(value, Err):
        return value
    if value.value is None:
        return Err(Code.TICKET_NOT_FOUND, f"no accepted ticket has number {number}")
    return decode_ticket(value.value.value)


async def list_tickets(kv: Kv, last: int) -> Result[tuple[Ticket, ...]]:
    """Return the ``last`` newest tickets, newest first; one read returns up to ten."""
    head = await read_head(kv)
    if isinstance(head, Err):
        return head
    tickets: list[Ticket] = []
    block = head.value[0].version // _TICKETS_PER_READ
    while block >= 0 and len(tickets) < last:
        values = await kv.get_prefix(f"{TICKET_PREFIX}{block:09d}")
        if isinstance(values, Err):
            return values
        for key in sorted(values.value, reverse=True):
            ticket = decode_ticket(values.value[key].value)
            if isinstance(ticket, Err):
                return ticket
            tickets.append(ticket.value)
        block -= 1
    return Ok(tuple(tickets[:last]))
