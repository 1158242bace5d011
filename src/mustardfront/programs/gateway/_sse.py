"""Splitting of a response body into server-sent events."""

from __future__ import annotations

import re
from dataclasses import dataclass
from typing import Final

_EVENT_END: Final = re.compile(rb"\r?\n\r?\n")
_EVENT_END_MAX_BYTES: Final = 4
_ID_FIELD: Final = re.compile(rb"^id:[ ]?([^\r\n]*)", re.MULTILINE)
_DATA_FIELD: Final = re.compile(rb"^data(:|\r?$)", re.MULTILINE)


@dataclass(frozen=True, slots=True)
class ServerEvent:
    """The raw bytes of one complete event, and its ID (empty if it has none).

    Only an event with data means anything to the caller; others are comments or change
    the ID or the retry time.
    """

    data: bytes
    event_id: bytes
    has_data: bool


class EventSplitter:
    """Splits a byte stream into complete events and buffers an incomplete one."""

    def __init__(self) -> None:
        self._buffer = bytearray()

    @property
    def incomplete(self) -> bytes:
        """Return the bytes after the last complete event."""
        return bytes(self._buffer)

    @property
    def incomplete_bytes(self) -> int:
        """Return the number of bytes after the last complete event."""
        return len(self._buffer)

    def feed(self, data: bytes) -> list[ServerEvent]:
        """Add ``data`` to the stream and return the events that are now complete."""
        # What was buffered before holds no boundary, but may end inside one.
        search_from = max(0, len(self._buffer) - _EVENT_END_MAX_BYTES + 1)
        self._buffer += data
        completed: list[ServerEvent] = []
        start = 0
        for boundary in _EVENT_END.finditer(self._buffer, search_from):
            completed.append(_parse_event(bytes(self._buffer[start : boundary.end()])))
            start = boundary.end()
        del self._buffer[:start]
        return completed


def _parse_event(raw: bytes) -> ServerEvent:
    match = _ID_FIELD.search(raw)
    event_id = match.group(1).strip() if match else b""
    return ServerEvent(raw, event_id, _DATA_FIELD.search(raw) is not None)
