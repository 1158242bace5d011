"""Splitting of a response body into server-sent events."""

from __future__ import annotations

import re
from dataclasses import dataclass
from typing import Final

_EVENT_END: Final = re.compile(rb"\r?\n\r?\n")
_ID_FIELD: Final = re.compile(rb"^id:[ ]?([^\r\n]*)", re.MULTILINE)


@dataclass(frozen=True, slots=True)
class ServerEvent:
    """The raw bytes of one complete event, and its ID (empty if it has none)."""

    data: bytes
    event_id: bytes


class EventSplitter:
    """Splits a byte stream into complete events and buffers an incomplete one."""

    def __init__(self) -> None:
        self._incomplete = b""

    @property
    def incomplete(self) -> bytes:
        """Return the bytes after the last complete event."""
        return self._incomplete

    def feed(self, data: bytes) -> list[ServerEvent]:
        """Add ``data`` to the stream and return the events that are now complete."""
        buffer = self._incomplete + data
        completed: list[ServerEvent] = []
        start = 0
        for boundary in _EVENT_END.finditer(buffer):
            raw = buffer[start : boundary.end()]
            start = boundary.end()
            match = _ID_FIELD.search(raw)
            completed.append(ServerEvent(raw, match.group(1).strip() if match else b""))
        self._incomplete = buffer[start:]
        return completed
