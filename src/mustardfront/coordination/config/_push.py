"""Encode and apply pushes to outdated peers: missing tickets or the full snapshot."""

from __future__ import annotations

import zlib
from collections import OrderedDict
from typing import Final

import msgspec

from mustardfront.codes import Code
from mustardfront.coordination.config._records import decode_ticket, encode_ticket
from mustardfront.decoding import decode_json
from mustardfront.results import Err, Ok, Result
from mustardfront.state import (
    Config,
    Ticket,
    apply_ticket,
    config_from_bytes,
    config_to_bytes,
)

# A full snapshot for each change would exceed the 6 KB/s of control traffic that a
# process has at the target size, so recent tickets are kept and sent instead.
LOG_TICKETS_MAX: Final = 64
LOG_BYTES_MAX: Final = 256 * 1024


class _TicketBatch(msgspec.Struct):
    tickets: list[msgspec.Raw]


class TicketLog:
    """The newest consecutive tickets that this process has applied."""

    def __init__(self) -> None:
        self._tickets: OrderedDict[int, bytes] = OrderedDict()
        self._size_bytes = 0
        self._snapshot: tuple[int, bytes] = (0, b"")

    def add(self, ticket: Ticket) -> None:
        """Add a ticket that was just applied; drop all others if it leaves a gap."""
        if self._tickets and next(reversed(self._tickets)) != ticket.number - 1:
            self._tickets.clear()
            self._size_bytes = 0
        data = encode_ticket(ticket)
        self._tickets[ticket.number] = data
        self._size_bytes += len(data)
        while len(self._tickets) > LOG_TICKETS_MAX or self._size_bytes > LOG_BYTES_MAX:
            self._size_bytes -= len(self._tickets.popitem(last=False)[1])

    def tickets_after(self, version: int) -> dict[int, bytes]:
        """Return the encoded tickets with higher numbers, as far as they are kept."""
        return {
            number: data for number, data in self._tickets.items() if number > version
        }

    def encode_push(self, cfg: Config, version: int) -> bytes:
        """Return the data of a push that updates a peer from ``version`` to ``cfg``.

        These are the missing tickets if all are kept, and else the full snapshot.
        """
        missing = range(version + 1, cfg.version + 1)
        if version > 0 and all(number in self._tickets for number in missing):
            tickets = [msgspec.Raw(self._tickets[number]) for number in missing]
            return zlib.compress(msgspec.json.encode(_TicketBatch(tickets)))
        if self._snapshot[0] != cfg.version:
            self._snapshot = (cfg.version, config_to_bytes(cfg))
        return self._snapshot[1]


def apply_push(cfg: Config, data: bytes) -> Result[tuple[Config, list[Ticket]]]:
    """Return the configuration after a push, and the applied tickets.

    Err(BAD_MESSAGE) if the data is neither tickets nor a configuration.
    """
    try:
        raw = zlib.decompress(data)
        pushed = decode_json(raw, _TicketBatch)
    except msgspec.MsgspecError:
        snapshot = config_from_bytes(data)
        return snapshot if isinstance(snapshot, Err) else Ok((snapshot.value, []))
    except zlib.error as exc:
        return Err(Code.BAD_MESSAGE, f"invalid configuration push: {exc}")
    applied: list[Ticket] = []
    for item in pushed.tickets:
        ticket = decode_ticket(bytes(item))
        if isinstance(ticket, Err):
            return Err(Code.BAD_MESSAGE, ticket.text)
        if ticket.value.number <= cfg.version:
            continue
        result = apply_ticket(cfg, ticket.value)
        if isinstance(result, Err):
            return result
        cfg = result.value
        applied.append(ticket.value)
    return Ok((cfg, applied))
