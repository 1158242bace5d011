"""Copies of the stand-in's data, to which it can go back."""

from __future__ import annotations

from collections import deque
from typing import Final

import trio

from mustardfront_standins.kv._store import Store

COPY_INTERVAL_S: Final = 0.25
# The store can go back this far.
COPIES_MAX: Final = 60


class StoreCopies:
    """Copies a store regularly and restores it from an older copy."""

    def __init__(self, store: Store) -> None:
        self._store = store
        # Times in trio seconds and copies, oldest first.
        self._copies: deque[tuple[float, Store]] = deque(maxlen=COPIES_MAX)

    async def run(self) -> None:
        """Copy the store until cancelled."""
        while True:
            self._copies.append((trio.current_time(), self._store.copy()))
            await trio.sleep(COPY_INTERVAL_S)

    def restore(self, age_s: float) -> float:
        """Go back to the copy of about ``age_s`` ago and return its age.

        The copies after it are dropped, since they belong to another history.
        """
        now = trio.current_time()
        while len(self._copies) > 1 and now - self._copies[-1][0] < age_s:
            self._copies.pop()
        copied_at, copy = self._copies[-1]
        self._store.restore(copy)
        return now - copied_at
