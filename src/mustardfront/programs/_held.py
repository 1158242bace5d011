"""Limits on the bytes of bodies and events that a process holds for all its callers.

Events have a limit of their own: upstreams in trouble that send them without end must
not use up what other requests need for their bodies.
"""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager
from typing import Final

from mustardfront.programs._connections import OWN_MEMORY_BYTES

HELD_MAX_BYTES: Final = 32 * 1024 * 1024
# A body that is sent is in memory up to three times, beside the program itself.
HELD_SHARE: Final = 1 / 4
# Part of this limit that there is besides for events that are not complete yet.
EVENT_SHARE: Final = 1 / 4
# An event of so many bytes is always held, so that ordinary streams go on.
EVENT_FREE_BYTES: Final = 16 * 1024


def held_limit(memory_bytes: int | None) -> int:
    """Return how many bytes of bodies a process may hold, by its memory if known."""
    if memory_bytes is None:
        return HELD_MAX_BYTES
    free = max(0, memory_bytes - OWN_MEMORY_BYTES)
    return min(HELD_MAX_BYTES, int(HELD_SHARE * free))


class HeldBytes:
    """Counts the bytes of request and response bodies in memory."""

    def __init__(self, limit_bytes: int = HELD_MAX_BYTES) -> None:
        self.limit_bytes = limit_bytes
        self.bytes = 0
        self.event_bytes = 0

    def try_hold(self, size: int) -> bool:
        """Count ``size`` more bytes; return False if they exceed the limit."""
        if self.bytes + size > self.limit_bytes:
            return False
        self.bytes += size
        return True

    def release(self, size: int) -> None:
        """Count ``size`` bytes less."""
        self.bytes -= size

    def try_hold_event(self, size: int) -> bool:
        """Count ``size`` more bytes of events, or fewer if it is negative."""
        if size > 0 and self.event_bytes + size > EVENT_SHARE * self.limit_bytes:
            return False
        self.event_bytes += size
        return True

    @contextmanager
    def hold_for(self) -> Iterator[Hold]:
        """Yield a hold whose bytes are released at the end of the context."""
        hold = Hold(self)
        try:
            yield hold
        finally:
            self.release(hold.bytes)
            hold.try_hold_event(0)


class Hold:
    """The bytes that are held for one request."""

    def __init__(self, held: HeldBytes) -> None:
        self.bytes = 0
        self._event_bytes = 0
        self._held = held

    def try_add(self, size: int) -> bool:
        """Hold ``size`` more bytes; return False if they exceed the limit."""
        if not self._held.try_hold(size):
            return False
        self.bytes += size
        return True

    def try_hold_event(self, size: int) -> bool:
        """Hold an incomplete event of ``size`` bytes in place of the one before.

        Return False if the events of all requests exceed their limit.
        """
        counted = max(0, size - EVENT_FREE_BYTES)
        if not self._held.try_hold_event(counted - self._event_bytes):
            return False
        self._event_bytes = counted
        return True
