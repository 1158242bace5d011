"""Prefix cache of limited size whose events come late and with gaps."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field

import trio
import xxhash

EVENTS_KEPT = 1_000


@dataclass
class PrefixCache:
    """The ``capacity`` least recently used out prefixes of ``prefix_chars``.

    Events appear ``lag_s`` after they happened; with ``gap_every`` n, each n-th is
    lost, though its number is used up.
    """

    capacity: int
    prefix_chars: int
    lag_s: float
    gap_every: int
    hits: int = 0
    misses: int = 0
    _entries: OrderedDict[str, None] = field(default_factory=OrderedDict)
    _events: list[tuple[float, dict[str, object]]] = field(default_factory=list)
    _next: int = 1

    def touch(self, prompt: str) -> bool:
        """Use the prompt's prefix; say whether it was cached."""
        key = xxhash.xxh64_hexdigest(prompt[: self.prefix_chars].encode())
        if key in self._entries:
            self._entries.move_to_end(key)
            self.hits += 1
            return True
        self.misses += 1
        self._entries[key] = None
        self._note("stored", key)
        if len(self._entries) > self.capacity:
            evicted, _ = self._entries.popitem(last=False)
            self._note("removed", evicted)
        return False

    def _note(self, kind: str, key: str) -> None:
        number, self._next = self._next, self._next + 1
        if self.gap_every and number % self.gap_every == 0:
            return
        entry: dict[str, object] = {"seq": number, "type": kind, "prefix": key}
        self._events.append((trio.current_time(), entry))
        del self._events[:-EVENTS_KEPT]

    def events_since(self, seq: int) -> list[dict[str, object]]:
        """Return the visible events numbered over ``seq``."""
        visible = trio.current_time() - self.lag_s
        return [
            entry
            for happened, entry in self._events
            if happened <= visible and int(str(entry["seq"])) > seq
        ]
