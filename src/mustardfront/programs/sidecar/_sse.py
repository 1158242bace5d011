"""Parser of the server-sent events of a completion stream."""

from __future__ import annotations

from typing import Any, Final

import msgspec

from mustardfront.codes import Code
from mustardfront.results import Err, Ok, Result

END_MARKER: Final = b"[DONE]"
# No token's event is longer; the limit bounds the memory that a faulty upstream uses.
EVENT_MAX_BYTES: Final = 1024 * 1024


class TokenEvent(msgspec.Struct):
    """The fields of a token's event that the sidecar reads."""

    index: int = -1
    error: Any = None


_decoder = msgspec.json.Decoder(TokenEvent)


def parse_token_index(data: bytes) -> Result[int]:
    """Return the index of the event's token, or Err(UPSTREAM_BAD_ANSWER)."""
    try:
        event = _decoder.decode(data)
    except msgspec.DecodeError as exc:
        return Err(
            Code.UPSTREAM_BAD_ANSWER,
            f"the upstream sent an event that cannot be decoded: {exc}",
        )
    if event.error is not None:
        return Err(
            Code.UPSTREAM_BAD_ANSWER,
            f"the upstream reported an error: {event.error}"[:200],
        )
    if event.index < 0:
        return Err(
            Code.UPSTREAM_BAD_ANSWER, "the upstream sent an event without a token index"
        )
    return Ok(event.index)


class EventParser:
    """Incremental parser that yields the data of each event in a byte stream."""

    def __init__(self) -> None:
        self._buffer = b""

    def feed(self, data: bytes) -> Result[list[bytes]]:
        """Return the data of each event that ``data`` completes."""
        buffer = self._buffer + data
        if b"\r" in buffer:
            # A trailing carriage return may be the first half of a CRLF.
            tail = b"\r" if buffer.endswith(b"\r") else b""
            buffer = buffer.removesuffix(b"\r").replace(b"\r\n", b"\n") + tail
        *complete, self._buffer = buffer.split(b"\n\n")
        if len(self._buffer) > EVENT_MAX_BYTES:
            return Err(
                Code.UPSTREAM_BAD_ANSWER,
                "the upstream sent an event of more than 1 MiB",
            )
        return Ok([payload for event in complete if (payload := _event_data(event))])


def _event_data(event: bytes) -> bytes:
    """Return the ``data`` lines of an event, joined."""
    lines = [
        line[5:].removeprefix(b" ")
        for line in event.split(b"\n")
        if line.startswith(b"data:")
    ]
    return b"\n".join(lines)
