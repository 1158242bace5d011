"""Submit a ticket by one compare-and-swap transaction."""

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

# Each attempt repeats the same transaction, which can take effect only once.
_ATTEMPTS: Final = 5
_RETRY_FIRST_S: Final = 0.1
_READS_RACED_MAX: Final = 5


@dataclass(frozen=True, slots=True)
class Accepted:
    """A ticket proved to be accepted; ``repeated`` when it already was before."""

    number: int
    digest: str
    repeated: bool = False


@dataclass(frozen=True, slots=True)
class _Plan:
    """The one transaction that accepts a ticket, and what it was checked against."""

    ticket: Ticket
    data: bytes
    head_revision: int
    puts: dict[str, bytes]
    deletes: tuple[str, ...]


async def check_ticket(kv: Kv, ticket: Ticket) -> Result[Config]:
    """Return the configuration that the ticket would make, without writing."""
    planned = await _plan(kv, ticket)
    if isinstance(planned, Err):
        return planned
    return Ok(planned.value[1])


async def submit_ticket(
    kv: Kv, ticket: Ticket, rng: random.Random | None = None
) -> Result[Accepted]:
    """Have ``ticket`` accepted, or return why it is not.

    Ok only with proof; Err(TICKET_*) and Err(STORE_UNAVAILABLE) mean that the ticket
    is not accepted; Err(WRITE_UNKNOWN) that it may be: submit the same file again.
    """
    result = await _submit(kv, ticket, rng or random.Random())
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


async def _submit(kv: Kv, ticket: Ticket, rng: random.Random) -> Result[Accepted]:
    planned = await _plan(kv, ticket)
    if isinstance(planned, Err):
        if planned.code is Code.TICKET_OUT_OF_ORDER:
            return await _already(kv, ticket, planned)
        return planned
    plan = planned.value[0]
    in_doubt = False
    last = Err(Code.STORE_UNAVAILABLE, "the key-value service was not reached")
    for attempt in range(_ATTEMPTS):
        if attempt:
            await trio.sleep(_RETRY_FIRST_S * 2**attempt * rng.uniform(0.5, 1.5))
        answer = await kv.txn(
            {records.HEAD_KEY: plan.head_revision}, plan.puts, plan.deletes
        )
        if isinstance(answer, Ok):
            if answer.value.succeeded:
                return Ok(Accepted(ticket.number, records.digest_of(plan.data)))
            # Another ticket moved the head, or an earlier attempt of this one did.
            settled = await _settle(kv, plan, in_doubt)
        elif answer.code is Code.WRITE_UNKNOWN:
            in_doubt = True
            settled = await _read_back(kv, plan)
        else:
            last = answer
            continue
        if settled is not None:
            return settled
    if in_doubt:
        text = f"ticket {ticket.number} may be accepted: the answer was lost and"
        return Err(Code.WRITE_UNKNOWN, f"{text} the service cannot be read")
    return last


async def _read_back(kv: Kv, plan: _Plan) -> Result[Accepted] | None:
    """Look for the ticket after a lost answer; None when it is not there (yet)."""
    stored = await kv.get(records.ticket_key(plan.ticket.number))
    if isinstance(stored, Err) or stored.value is None:
        return None
    return _compare(plan.ticket, plan.data, stored.value.value)


async def _settle(kv: Kv, plan: _Plan, in_doubt: bool) -> Result[Accepted] | None:
    """Say what moved the head; None when that cannot be read and matters."""
    settled = await _read_back(kv, plan)
    if settled is None and not in_doubt:
        text = f"another ticket was accepted before ticket {plan.ticket.number}"
        return Err(Code.TICKET_RACED, text)
    return settled


def _compare(ticket: Ticket, data: bytes, stored: bytes) -> Result[Accepted]:
    if stored == data:
        return Ok(Accepted(ticket.number, records.digest_of(data)))
    other = records.decode_ticket(stored)
    by = f" by {other.value.author}" if isinstance(other, Ok) else ""
    text = f"another ticket {ticket.number}{by} was accepted first; take a new number"
    return Err(Code.TICKET_RACED, text)


async def _already(kv: Kv, ticket: Ticket, order: Err) -> Result[Accepted]:
    """Recognise a ticket that was accepted before, so resubmission is harmless."""
    stored = await kv.get(records.ticket_key(ticket.number))
    if isinstance(stored, Err):
        return stored
    data = records.encode_ticket(ticket)
    if stored.value is None or stored.value.value != data:
        return order
    return Ok(Accepted(ticket.number, records.digest_of(data), repeated=True))


async def _plan(kv: Kv, ticket: Ticket) -> Result[tuple[_Plan, Config]]:
    data = records.encode_ticket(ticket)
    if len(data) > records.TICKET_MAX_BYTES:
        text = f"the ticket has {len(data)} bytes, {records.TICKET_MAX_BYTES}"
        return Err(Code.TICKET_TOO_LARGE, f"{text} are allowed")
    for _ in range(_READS_RACED_MAX):
        head = await records.read_head(kv)
        if isinstance(head, Err):
            return head
        (at, revision) = head.value
        if ticket.number != at.version + 1:
            text = f"ticket {ticket.number} does not follow version {at.version};"
            return Err(
                Code.TICKET_OUT_OF_ORDER, f"{text} the next number is {at.version + 1}"
            )
        current = await records.read_snapshot(kv)
        if isinstance(current, Err):
            return current
        # The two reads saw one state only if no ticket came between them.
        if current.value.version == at.version:
            break
    else:
        return Err(Code.TICKET_RACED, "other tickets keep being accepted; try again")
    merged = apply_ticket(current.value, ticket)
    if isinstance(merged, Err):
        return merged
    chunks = records.snapshot_chunks(merged.value)
    if isinstance(chunks, Err):
        return chunks
    count = len(chunks.value)
    new_head = records.Head(ticket.number, records.digest_of(data), count)
    puts = chunks.value | {
        records.HEAD_KEY: records.encode_head(new_head),
        records.ticket_key(ticket.number): data,
    }
    deletes = tuple(records.chunk_key(index) for index in range(count, at.chunks))
    return Ok((_Plan(ticket, data, revision, puts, deletes), merged.value))
