"""The decisions behind recent requests, kept in memory for ``explain``."""

from __future__ import annotations

from collections import OrderedDict
from typing import Any

from mustardfront.constants import EXPLAIN_EVENTS_PER_REQUEST, EXPLAIN_REQUESTS
from mustardfront.events import Event


class Decisions:
    """Events of the latest requests by request ID; an event listener."""

    def __init__(self) -> None:
        self._events: OrderedDict[str, list[dict[str, Any]]] = OrderedDict()

    def record(self, event: Event, fields: dict[str, Any]) -> None:
        """Store an event that has a request ID; ignore other events."""
        request_id = fields.get("request_id")
        if not isinstance(request_id, str):
            return
        kept = self._events.setdefault(request_id, [])
        self._events.move_to_end(request_id)
        if len(kept) < EXPLAIN_EVENTS_PER_REQUEST:
            kept.append({"event": int(event), "name": event.name, **fields})
        while len(self._events) > EXPLAIN_REQUESTS:
            self._events.popitem(last=False)

    def events_for(self, request_id: str) -> list[dict[str, Any]]:
        """Return the events of a request, oldest first; empty if the ID is unknown."""
        return self._events.get(request_id, [])
