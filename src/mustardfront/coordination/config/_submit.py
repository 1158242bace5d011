"""Submit a ticket in a single compare-and-swap transaction."""

from __future__ import annotations

import random
from dataclasses import dataclass
from typing import Final

import trio

from mustardfront import events
from mustardfront.codes import Code
from mustardfront.coordination.config import _records as records
from mustardfront.coordination.config._kv import Kv
from mustardfront.results import Err, Ok, Result
from mustardfront.state import Config, Ticket, apply_ticket

# Each attempt repeats the same transaction. It compares the head's revision, so it can
# take effect only once.
_ATTEMPTS_MAX: Final = 5
_RETRY_FIRST_S: Final = 0.1
_READ_ATTEMPTS_MAX: Final = 5


@dataclass(frozen=True, slots=True)
class Accepted:
    """A ticket known to be accepted; ``repeated`` if it was so before this call."""

    number: int
    digest: str
    repeated: bool = False


@dataclass(frozen=True, slots=True)
class _Transaction:
    """The transaction that accepts a ticket, and the head revision it depends on."""

    ticket: Ticket
    data: bytes
    head_revision: int
    puts: dict[str, bytes]
    deletes: tuple[str, ...]


async def check_ticket(kv: Kv, ticket: Ticket) -> Result[Config]:
    """Return the configuration that the ticket would produce, without writing."""
    prepared = await _prepare(kv, ticket)
    if isinstance(prepared, Err):
        return prepared
    return Ok(prepared.value[1])


async def submit_ticket(
    kv: Kv, ticket: Ticket, rng: random.Random | None = None, *, in_force: int = 0
) -> Result[Accepted]:
    """Submit ``ticket`` and return whether it was accepted.

    ``in_force`` is the version that this process has in force. A service with an older
    one has lost tickets, and gets no new ones before these are written again.

    Ok: the service confirmed that it is accepted. Err(TICKET_*) and
    Err(STORE_UNAVAILABLE): it is not accepted. Err(WRITE_UNKNOWN): it may be accepted;
    submitting the same ticket again resolves this.
    """
    result = await _submit(kv, ticket, rng or random.Random(), in_force)
    if isinstance(result, Ok):
        accepted = result.value
        events.log(
            events.Event.TICKET_ACCEPTED,
            ticket=accepted.number,
            author=ticket.author,
            digest=accepted.digest,
            repeated=accepted.repeated,
        )
    else:
        unknown = result.code is Code.WRITE_UNKNOWN
        events.log(
            events.Event.TICKET_UNKNOWN if unknown else events.Event.TICKET_REFUSED,
            ticket=ticket.number,
            author=ticket.author,
            code=int(result.code),
            text=result.text,
        )
    return result


async def _submit(
    kv: Kv, ticket: Ticket, rng: random.Random, in_force: int
) -> Result[Accepted]:
    prepared = await _prepare(kv, ticket, in_force)
    if isinstance(prepared, Err):
        if prepared.code is Code.TICKET_OUT_OF_ORDER:
            return await _recognise_resubmission(kv, ticket, prepared)
        return prepared
    transaction = prepared.value[0]
    write_unknown = False
    last_error = Err(Code.STORE_UNAVAILABLE, "the key-value service cannot be reached")
    for attempt in range(_ATTEMPTS_MAX):
        if attempt:
            await trio.sleep(_RETRY_FIRST_S * 2**attempt * rng.uniform(0.5, 1.5))
        response = await kv.txn(
            {records.HEAD_KEY: transaction.head_revision},
            transaction.puts,
            transaction.deletes,
        )
        if isinstance(response, Ok):
            if response.value.succeeded:
                return Ok(
                    Accepted(ticket.number, records.ticket_digest(transaction.data))
                )
            # Another ticket changed the head, or an earlier attempt of this one did.
            outcome = await _resolve_conflict(kv, transaction, write_unknown)
        elif response.code is Code.WRITE_UNKNOWN:
            write_unknown = True
            outcome = await _read_back_ticket(kv, transaction)
        else:
            last_error = response
            continue
        if outcome is not None:
            return outcome
    if write_unknown:
        text = f"ticket {ticket.number} may have been accepted: the response was lost"
        return Err(
            Code.WRITE_UNKNOWN,
            f"{text} and the key-value service cannot be read; submit it again",
        )
    return last_error


async def _read_back_ticket(
    kv: Kv, transaction: _Transaction
) -> Result[Accepted] | None:
    """Read the stored ticket of this number; None if there is none or the read fails.

    After a lost response, None does not prove that the write has no effect: it may
    still take effect later.
    """
    stored = await kv.get(records.ticket_key(transaction.ticket.number))
    if isinstance(stored, Err) or stored.value is None:
        return None
    return _compare_with_stored(
        transaction.ticket, transaction.data, stored.value.value
    )


async def _resolve_conflict(
    kv: Kv, transaction: _Transaction, write_unknown: bool
) -> Result[Accepted] | None:
    """Return which ticket changed the head: Ok for this one, Err(TICKET_RACED) if not.

    None means unknown. Without a lost response it was another ticket, even if the read
    fails.
    """
    outcome = await _read_back_ticket(kv, transaction)
    if outcome is None and not write_unknown:
        text = f"another ticket was accepted before ticket {transaction.ticket.number}"
        return Err(Code.TICKET_RACED, text)
    return outcome


def _compare_with_stored(
    ticket: Ticket, data: bytes, stored: bytes
) -> Result[Accepted]:
    if stored == data:
        return Ok(Accepted(ticket.number, records.ticket_digest(data)))
    other = records.decode_ticket(stored)
    by = f" by {other.value.author}" if isinstance(other, Ok) else ""
    text = f"another ticket {ticket.number}{by} was accepted first; take a new number"
    return Err(Code.TICKET_RACED, text)


async def _recognise_resubmission(
    kv: Kv, ticket: Ticket, out_of_order: Err
) -> Result[Accepted]:
    """Return Ok if this same ticket was accepted before, and else ``out_of_order``.

    This makes it safe to submit a ticket again.
    """
    stored = await kv.get(records.ticket_key(ticket.number))
    if isinstance(stored, Err):
        return stored
    data = records.encode_ticket(ticket)
    if stored.value is None or stored.value.value != data:
        return out_of_order
    return Ok(Accepted(ticket.number, records.ticket_digest(data), repeated=True))


async def _prepare(
    kv: Kv, ticket: Ticket, in_force: int = 0
) -> Result[tuple[_Transaction, Config]]:
    data = records.encode_ticket(ticket)
    if len(data) > records.TICKET_MAX_BYTES:
        text = f"the ticket has {len(data)} bytes; {records.TICKET_MAX_BYTES}"
        return Err(Code.TICKET_TOO_LARGE, f"{text} are allowed")
    for _ in range(_READ_ATTEMPTS_MAX):
        head = await records.read_head(kv)
        if isinstance(head, Err):
            return head
        (last, revision) = head.value
        if last.version < in_force:
            text = f"the key-value service lost tickets after {last.version};"
            return Err(
                Code.STORE_UNAVAILABLE,
                f"{text} version {in_force} is in force and is written again",
            )
        if ticket.number != last.version + 1:
            text = f"ticket {ticket.number} does not follow version {last.version};"
            return Err(
                Code.TICKET_OUT_OF_ORDER,
                f"{text} the next number is {last.version + 1}",
            )
        snapshot = await records.read_snapshot(kv)
        if isinstance(snapshot, Err):
            return snapshot
        # The two reads are consistent only if no ticket was accepted between them.
        if snapshot.value.version == last.version:
            break
    else:
        return Err(
            Code.TICKET_RACED,
            "other tickets were accepted during each read; submit again",
        )
    merged = apply_ticket(snapshot.value, ticket)
    if isinstance(merged, Err):
        return merged
    chunks = records.snapshot_chunks(merged.value)
    if isinstance(chunks, Err):
        return chunks
    count = len(chunks.value)
    new_head = records.Head(ticket.number, records.ticket_digest(data), count)
    puts = chunks.value | {
        records.HEAD_KEY: records.encode_head(new_head),
        records.ticket_key(ticket.number): data,
    }
    deletes = tuple(records.chunk_key(index) for index in range(count, last.chunks))
    return Ok((_Transaction(ticket, data, revision, puts, deletes), merged.value))
