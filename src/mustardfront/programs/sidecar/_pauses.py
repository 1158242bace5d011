"""Detection of pauses of this process, in which received messages wait unread."""

from __future__ import annotations

from typing import Final

import trio

TICK_S: Final = 0.25
# Shorter delays are usual under load and do not justify refusing requests.
PAUSE_MIN_S: Final = 0.5
# Messages that arrived during a pause are read within this time after its end.
BACKLOG_READ_S: Final = 1.0


class PauseDetector:
    """Detects when this process did not run, such as between SIGSTOP and SIGCONT.

    Requests carry the time that remains until their deadline, so a request that
    arrived during a pause has less time than it states, by up to the pause's length.
    """

    def __init__(self) -> None:
        self._tick_start_s = trio.current_time()
        self._pause_s = 0.0
        self._pause_end_s = -BACKLOG_READ_S

    async def run(self) -> None:
        """Detect pauses until cancelled."""
        while True:
            self._tick_start_s = trio.current_time()
            await trio.sleep(TICK_S)
            pause_s = trio.current_time() - self._tick_start_s - TICK_S
            if pause_s >= PAUSE_MIN_S:
                self._pause_s = pause_s
                self._pause_end_s = trio.current_time()

    def possible_wait_s(self) -> float:
        """Return the longest time in s that a message read now may have waited."""
        now = trio.current_time()
        pause_s = now - self._tick_start_s - TICK_S
        if pause_s >= PAUSE_MIN_S:
            return pause_s
        return self._pause_s if now - self._pause_end_s < BACKLOG_READ_S else 0.0
