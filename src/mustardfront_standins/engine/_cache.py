"""LRU prefix cache whose events are delayed and can have gaps."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field

import trio
import xxhash

MAX_EVENTS = 1_000


@dataclass
class PrefixCache:
    """Cache of the ``capacity`` most recently used prefixes of ``prefix_chars``.

    Events become visible after ``lag_s``. If ``gap_every`` is n, each n-th event is
    dropped, which leaves a gap in the sequence numbers.
    """

    capacity: int
    prefix_chars: int
    lag_s: float
    gap_every: int
    hits: int = 0
    misses: int = 0
    _entries: OrderedDict[str, None] = field(default_factory=OrderedDict)
    _events: list[tuple[float, dict[str, object]]] = field(default_factory=list)
    _next_seq: int = 1

    def access(self, prompt: str) -> bool:
        """Mark the prefix of a prompt as used and return whether it was cached."""
        key = xxhash.xxh64_hexdigest(prompt[: self.prefix_chars].encode())
        if key in self._entries:
            self._entries.move_to_end(key)
            self.hits += 1
            return True
        self.misses += 1
        self._entries[key] = None
        self._record_event("stored", key)
        if len(self._entries) > self.capacity:
            evicted, _ = self._entries.popitem(last=False)
            self._record_event("removed", evicted)
        return False

    def _record_event(self, kind: str, key: str) -> None:
        number, self._next_seq = self._next_seq, self._next_seq + 1
        if self.gap_every and number % self.gap_every == 0:
            return
        entry: dict[str, object] = {"seq": number, "type": kind, "prefix": key}
        self._events.append((trio.current_time(), entry))
        del self._events[:-MAX_EVENTS]

    def events_since(self, seq: int) -> list[dict[str, object]]:
        """Return the visible events with sequence numbers above ``seq``."""
        visible_until = trio.current_time() - self.lag_s
        return [
            entry
            for time_s, entry in self._events
            if time_s <= visible_until and int(str(entry["seq"])) > seq
        ]
