"""An in-memory key-value service that simulates outages, delays and lost answers."""

from __future__ import annotations

from collections import Counter
from collections.abc import AsyncIterator, Callable, Iterable, Mapping
from contextlib import asynccontextmanager

import trio

from mustardfront.codes import Code
from mustardfront.coordination.kv import KvEvent, KvValue, TxnResult
from mustardfront.results import Err, Ok, Result

SERVICE_DOWN = Err(Code.STORE_UNAVAILABLE, "key-value service is down")
ANSWER_LOST = Err(Code.WRITE_UNKNOWN, "answer to the write was lost")


class MemoryKv:
    """A key-value service whose clients call its methods directly.

    ``fault`` maps the kind of a call to its fault: ``""`` for none, ``"down"`` (the
    call fails), ``"lost"`` (a write takes effect, but its answer is lost) or
    ``"dropped"`` (a write is lost before it takes effect; the caller gets the same
    error). ``calls`` counts calls by kind, and ``bytes_out`` the bytes of the values
    that were returned to clients. Any fault makes a read fail. While
    ``is_watch_silent`` is set, neither writes nor outages wake the watches.
    """

    def __init__(self) -> None:
        self.data: dict[str, KvValue] = {}
        self.revision = 0
        self.is_down = False
        self.is_watch_silent = False
        self.delay_s = 0.0
        self.fault: Callable[[str], str] = lambda _kind: ""
        self.calls: Counter[str] = Counter()
        self.bytes_out = 0
        self.watching = 0
        self._events: list[KvEvent] = []
        self._changed = trio.Event()

    def copy(self) -> tuple[dict[str, KvValue], int, list[KvEvent]]:
        """Return the data, the revision and the history for ``restore``."""
        return dict(self.data), self.revision, list(self._events)

    def restore(self, copy: tuple[dict[str, KvValue], int, list[KvEvent]]) -> None:
        """Lose what was written since a copy; its revisions are given out again."""
        self.data, self.revision, self._events = dict(copy[0]), copy[1], list(copy[2])

    def set_down(self, down: bool) -> None:
        """Begin or end an outage; its beginning ends all watches."""
        self.is_down = down
        self._wake_watchers()

    def _wake_watchers(self) -> None:
        if self.is_watch_silent:
            return
        changed, self._changed = self._changed, trio.Event()
        changed.set()

    async def _begin_call(self, kind: str) -> str:
        """Count and delay a call, and return its fault."""
        self.calls[kind] += 1
        await trio.sleep(self.delay_s)
        return "down" if self.is_down else self.fault(kind)

    async def get(self, key: str) -> Result[KvValue | None]:
        """Return the value of a key."""
        if await self._begin_call("get"):
            return SERVICE_DOWN
        found = self.data.get(key)
        self.bytes_out += len(found.value) if found else 0
        return Ok(found)

    async def get_prefix(self, prefix: str) -> Result[dict[str, KvValue]]:
        """Return all keys under a prefix."""
        if await self._begin_call("get_prefix"):
            return SERVICE_DOWN
        found = {k: v for k, v in self.data.items() if k.startswith(prefix)}
        self.bytes_out += sum(len(value.value) for value in found.values())
        return Ok(found)

    async def txn(
        self,
        compare: Mapping[str, int],
        puts: Mapping[str, bytes],
        deletes: Iterable[str] = (),
    ) -> Result[TxnResult]:
        """Apply all writes if each compared key has the given revision, else none."""
        fault = await self._begin_call("txn")
        if fault == "down":
            return SERVICE_DOWN
        if fault == "dropped":
            return ANSWER_LOST
        succeeded = all(
            (self.data[key].mod_revision if key in self.data else 0) == revision
            for key, revision in compare.items()
        )
        if succeeded:
            self.revision += 1
            for key, value in puts.items():
                self.data[key] = KvValue(value, self.revision, 0)
                self._events.append(KvEvent(key, value, self.revision))
            for key in deletes:
                self.data.pop(key, None)
            self._wake_watchers()
        return (
            ANSWER_LOST if fault == "lost" else Ok(TxnResult(succeeded, self.revision))
        )

    @asynccontextmanager
    async def watch(
        self, key: str, from_revision: int
    ) -> AsyncIterator[AsyncIterator[KvEvent]]:
        """Watch a key: yield its events from a revision on."""
        await self._begin_call("watch")
        self.watching += 1
        try:
            yield self._iter_events(key, from_revision)
        finally:
            self.watching -= 1

    async def _iter_events(self, key: str, revision: int) -> AsyncIterator[KvEvent]:
        next_index = 0
        while not self.is_down:
            changed = self._changed
            while next_index < len(self._events):
                event = self._events[next_index]
                next_index += 1
                if event.key == key and event.mod_revision >= revision:
                    self.bytes_out += len(event.value or b"")
                    yield event
            await changed.wait()
