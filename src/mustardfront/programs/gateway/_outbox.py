"""Messages to the other entries that wait until the store has taken them."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any, Final, Generic, TypeVar

import trio

from mustardfront.results import Err, Result

RETRY_S: Final = 0.5
# Bounds the messages that wait while the store is unavailable.
PENDING_MAX: Final = 1_024

MessageT = TypeVar("MessageT")


@dataclass(eq=False, slots=True)
class _Pending(Generic[MessageT]):
    """A message as it was put; the same one may be put again while it is written."""

    message: MessageT


class Outbox(Generic[MessageT]):
    """Pending messages by key; a later message replaces one that still waits.

    ``delay_s()`` is how long a message waits for a later one before it is written.
    """

    def __init__(self, delay_s: Callable[[], float]) -> None:
        self._delay_s = delay_s
        self._pending: dict[str, _Pending[MessageT]] = {}
        self._wakeup = trio.Event()

    def get(self, key: str) -> MessageT | None:
        """Return the message that waits under a key."""
        pending = self._pending.get(key)
        return pending.message if pending else None

    def put(self, key: str, message: MessageT) -> None:
        """Add a message, or replace the one under its key."""
        self._pending[key] = _Pending(message)
        while len(self._pending) > PENDING_MAX:
            del self._pending[next(iter(self._pending))]
        self._wakeup.set()

    async def run(self, write: Callable[[MessageT], Awaitable[Result[Any]]]) -> None:
        """Write the messages until cancelled; repeat what the store does not take."""
        while True:
            await self._wakeup.wait()
            await trio.sleep(self._delay_s())
            self._wakeup = trio.Event()
            for key, pending in tuple(self._pending.items()):
                written = await write(pending.message)
                if isinstance(written, Err):
                    # The others get their turn first: the store may refuse this one.
                    self._move_to_end(key)
                    self._wakeup.set()
                    await trio.sleep(RETRY_S)
                    break
                if self._pending.get(key) is pending:
                    del self._pending[key]

    def _move_to_end(self, key: str) -> None:
        if key in self._pending:
            self._pending[key] = self._pending.pop(key)
