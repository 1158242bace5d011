"""Write tickets again that the key-value service lost.

The service may come back from an older copy of its data. The processes still have the
configuration in force, and an accepted ticket must not be undone. Without its ticket,
the service would also accept another one with the same number, which the processes
would take for the one that they have.
"""

from __future__ import annotations

from mustardfront import events
from mustardfront.coordination.config import _records as records
from mustardfront.coordination.config._kv import Kv
from mustardfront.coordination.config._push import TicketLog
from mustardfront.results import Err, Ok, Result
from mustardfront.state import Config


async def write_lost_tickets(
    kv: Kv, cfg: Config, log: TicketLog, found: records.Head, revision: int
) -> Result[None]:
    """Write the configuration in force over an older head at ``revision``.

    Of its tickets, those are written that this process has kept. If another process
    changes the head first, nothing is written.
    """
    chunks = records.snapshot_chunks(cfg)
    if isinstance(chunks, Err):
        return chunks
    tickets = log.tickets_after(found.version)
    last = tickets.get(cfg.version)
    digest = records.ticket_digest(last) if last is not None else ""
    count = len(chunks.value)
    head = records.Head(cfg.version, digest, count)
    puts = chunks.value | {records.HEAD_KEY: records.encode_head(head)}
    puts |= {records.ticket_key(number): data for number, data in tickets.items()}
    deletes = tuple(records.chunk_key(index) for index in range(count, found.chunks))
    written = await kv.txn({records.HEAD_KEY: revision}, puts, deletes)
    if isinstance(written, Err):
        return written
    if written.value.succeeded:
        events.log(
            events.Event.TICKETS_WRITTEN_AGAIN,
            version=cfg.version,
            found=found.version,
            tickets=len(tickets),
        )
    return Ok(None)
