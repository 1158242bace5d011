"""Non-blocking log destination with limits on rate and memory."""

from __future__ import annotations

import json
import os
from collections import deque
from collections.abc import Mapping
from typing import Any, Final

import trio

# Lines queued for a slow reader; further lines are dropped and counted.
QUEUE_MAX_BYTES: Final = 256 * 1024
# Lines logged per second; limits the processor time spent on a burst of events.
LINES_PER_S_MAX: Final = 600
_WRITE_MAX_BYTES: Final = 64 * 1024
_FLUSH_INTERVAL_S: Final = 0.1


class LogSink:
    """Eliot destination that writes to a file descriptor from its own task."""

    def __init__(self, fd: int = 1) -> None:
        self.dropped = 0
        self._fd = fd
        self._queue: deque[bytes] = deque()
        self._queued_bytes = 0
        self._current_second = 0
        self._lines_this_second = 0
        self._has_lines = trio.Event()

    def __call__(self, message: Mapping[str, Any]) -> None:
        """Queue one message, or count it as dropped."""
        second = int(message.get("timestamp", 0.0))
        if second != self._current_second:
            self._current_second, self._lines_this_second = second, 0
        if (
            self._lines_this_second >= LINES_PER_S_MAX
            or self._queued_bytes >= QUEUE_MAX_BYTES
        ):
            self.dropped += 1
            return
        self._lines_this_second += 1
        self._enqueue(json.dumps(message, default=str, separators=(",", ":")))

    def _enqueue(self, line: str) -> None:
        data = line.encode() + b"\n"
        self._queue.append(data)
        self._queued_bytes += len(data)
        self._has_lines.set()

    async def run(self) -> None:
        """Write queued lines until cancelled."""
        os.set_blocking(self._fd, False)
        while True:
            await self._has_lines.wait()
            # Batches lines logged at about the same time into one write.
            await trio.sleep(_FLUSH_INTERVAL_S)
            self._has_lines = trio.Event()
            self.flush()
            if self._queue:
                self._has_lines.set()

    def flush(self) -> None:
        """Write as much as the file descriptor accepts without blocking."""
        if self.dropped and self._queued_bytes < QUEUE_MAX_BYTES:
            self._enqueue(
                json.dumps({"message_type": "log-lines-dropped", "count": self.dropped})
            )
            self.dropped = 0
        while self._queue:
            batch = self._pop_batch()
            try:
                written = os.write(self._fd, batch)
            except BlockingIOError:
                written = 0
            if written < len(batch):
                self._queue.appendleft(batch[written:])
                self._queued_bytes += len(batch) - written
                return

    def _pop_batch(self) -> bytes:
        parts: list[bytes] = []
        size = 0
        while self._queue and size < _WRITE_MAX_BYTES:
            part = self._queue.popleft()
            parts.append(part)
            size += len(part)
        self._queued_bytes -= size
        return b"".join(parts)
