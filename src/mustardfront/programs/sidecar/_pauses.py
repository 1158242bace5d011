"""Pauses of this process, which hide how long a message waited to be read."""

from __future__ import annotations

from typing import Final

import trio

TICK_S: Final = 0.25
# Shorter delays are usual under load and are not worth a refusal.
PAUSE_MIN_S: Final = 0.5
# What was sent during a pause has been read by this time after its end.
READ_OUT_S: Final = 1.0


class PauseMeter:
    """Notices when this process did not run, such as between SIGSTOP and SIGCONT.

    Deadlines travel as remaining time, so a request that arrived during a pause has
    less time left than it says: at most the length of the pause less.
    """

    def __init__(self) -> None:
        self._tick_s = trio.current_time()
        self._pause_s = 0.0
        self._ended_s = -READ_OUT_S

    async def run(self) -> None:
        """Measure until cancelled."""
        while True:
            self._tick_s = trio.current_time()
            await trio.sleep(TICK_S)
            pause_s = trio.current_time() - self._tick_s - TICK_S
            if pause_s >= PAUSE_MIN_S:
                self._pause_s = pause_s
                self._ended_s = trio.current_time()

    def lost_s(self) -> float:
        """Return how long a message that is read now may have waited, in s."""
        now = trio.current_time()
        pause_s = now - self._tick_s - TICK_S
        if pause_s >= PAUSE_MIN_S:
            return pause_s
        return self._pause_s if now - self._ended_s < READ_OUT_S else 0.0
