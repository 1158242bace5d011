"""Server-sent events of a completion stream."""

from __future__ import annotations

from typing import Any, Final

import msgspec

from mustardfront.codes import Code
from mustardfront.results import Err, Ok, Result

END_MARKER: Final = b"[DONE]"
# An event longer than this is not a token; it bounds what a bad upstream can use.
EVENT_MAX_BYTES: Final = 1024 * 1024


class TokenEvent(msgspec.Struct):
    """The part of a token's event that the sidecar reads."""

    index: int = -1
    error: Any = None


_decoder = msgspec.json.Decoder(TokenEvent)


def read_token(data: bytes) -> Result[int]:
    """Return the position of an event's token; Err(UPSTREAM_BAD_ANSWER) if none."""
    try:
        event = _decoder.decode(data)
    except msgspec.DecodeError as exc:
        return Err(Code.UPSTREAM_BAD_ANSWER, f"unreadable event: {exc}")
    if event.error is not None:
        return Err(Code.UPSTREAM_BAD_ANSWER, f"upstream error: {event.error}"[:200])
    if event.index < 0:
        return Err(Code.UPSTREAM_BAD_ANSWER, "an event without a token position")
    return Ok(event.index)


class EventParser:
    """Splits a byte stream into the data of its events."""

    def __init__(self) -> None:
        self._buffer = b""

    @property
    def partial(self) -> bool:
        """Say whether the stream stopped inside an event."""
        return bool(self._buffer.strip())

    def feed(self, data: bytes) -> Result[list[bytes]]:
        """Return the data of each event that ``data`` completes."""
        buffer = self._buffer + data
        if b"\r" in buffer:
            # A carriage return at the end may be half of a line end.
            tail = b"\r" if buffer.endswith(b"\r") else b""
            buffer = buffer.removesuffix(b"\r").replace(b"\r\n", b"\n") + tail
        *complete, self._buffer = buffer.split(b"\n\n")
        if len(self._buffer) > EVENT_MAX_BYTES:
            return Err(Code.UPSTREAM_BAD_ANSWER, "an event of over 1 MiB")
        return Ok([found for event in complete if (found := _data_of(event))])


def _data_of(event: bytes) -> bytes:
    lines = [
        line[5:].removeprefix(b" ")
        for line in event.split(b"\n")
        if line.startswith(b"data:")
    ]
    return b"\n".join(lines)
