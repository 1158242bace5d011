"""What a peer that is behind gets: the missing tickets, or the whole snapshot."""

from __future__ import annotations

import zlib
from collections import OrderedDict
from typing import Final

import msgspec

from mustardfront.codes import Code
from mustardfront.coordination.config._records import decode_ticket, encode_ticket
from mustardfront.results import Err, Ok, Result
from mustardfront.state import (
    Config,
    Ticket,
    apply_ticket,
    config_from_bytes,
    config_to_bytes,
)

# A whole snapshot for each change would take more than a node's 6 KB/s at the target,
# so recent tickets are kept to be passed on.
LOG_TICKETS: Final = 64
LOG_BYTES: Final = 256 * 1024


class _Tickets(msgspec.Struct):
    tickets: list[msgspec.Raw]


class TicketLog:
    """The newest tickets that this process has applied, without gaps."""

    def __init__(self) -> None:
        self._tickets: OrderedDict[int, bytes] = OrderedDict()
        self._size = 0
        self._whole: tuple[int, bytes] = (0, b"")

    def add(self, ticket: Ticket) -> None:
        """Keep a ticket that was just applied."""
        if self._tickets and next(reversed(self._tickets)) != ticket.number - 1:
            self._tickets.clear()
            self._size = 0
        data = encode_ticket(ticket)
        self._tickets[ticket.number] = data
        self._size += len(data)
        while len(self._tickets) > LOG_TICKETS or self._size > LOG_BYTES:
            self._size -= len(self._tickets.popitem(last=False)[1])

    def push_data(self, cfg: Config, version: int) -> bytes:
        """Return what takes a peer from ``version`` to ``cfg``."""
        missing = range(version + 1, cfg.version + 1)
        if version > 0 and all(number in self._tickets for number in missing):
            tickets = [msgspec.Raw(self._tickets[number]) for number in missing]
            return zlib.compress(msgspec.json.encode(_Tickets(tickets)))
        if self._whole[0] != cfg.version:
            self._whole = (cfg.version, config_to_bytes(cfg))
        return self._whole[1]


def apply_push(cfg: Config, data: bytes) -> Result[tuple[Config, list[Ticket]]]:
    """Return the configuration after a push, and the tickets that were applied.

    Err(BAD_MESSAGE) when the data is neither tickets nor a configuration.
    """
    try:
        raw = zlib.decompress(data)
        pushed = msgspec.json.decode(raw, type=_Tickets)
    except msgspec.MsgspecError:
        whole = config_from_bytes(data)
        return whole if isinstance(whole, Err) else Ok((whole.value, []))
    except zlib.error as exc:
        return Err(Code.BAD_MESSAGE, f"not a configuration: {exc}")
    applied: list[Ticket] = []
    for item in pushed.tickets:
        ticket = decode_ticket(bytes(item))
        if isinstance(ticket, Err):
            return Err(Code.BAD_MESSAGE, ticket.text)
        if ticket.value.number <= cfg.version:
            continue
        merged = apply_ticket(cfg, ticket.value)
        if isinstance(merged, Err):
            return merged
        cfg = merged.value
        applied.append(ticket.value)
    return Ok((cfg, applied))
