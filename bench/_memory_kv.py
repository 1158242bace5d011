"""An in-memory key-value service with outages, delays and lost answers."""

from __future__ import annotations

from collections import Counter
from collections.abc import AsyncIterator, Callable, Iterable, Mapping
from contextlib import asynccontextmanager

import trio

from mustardfront.codes import Code
from mustardfront.coordination.kv import KvEvent, KvValue, TxnResult
from mustardfront.results import Err, Ok, Result

DOWN = Err(Code.STORE_UNAVAILABLE, "down")
LOST = Err(Code.WRITE_UNKNOWN, "answer lost")


class MemoryKv:
    """One service; each client calls its methods directly.

    ``fault`` names what happens to the next call of a kind: ``""``, ``"down"``,
    ``"lost"`` (a write takes effect, its answer is lost) or ``"dropped"`` (it is lost
    before it takes effect, which the caller cannot tell). ``calls`` counts calls by
    kind and ``bytes_out`` the bytes of the values that clients got.
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

    def set_down(self, down: bool) -> None:
        """Begin or end an outage; it ends the pending watches."""
        self.is_down = down
        self._notify()

    def _notify(self) -> None:
        if self.is_watch_silent:
            return
        changed, self._changed = self._changed, trio.Event()
        changed.set()

    async def _begin(self, kind: str) -> str:
        self.calls[kind] += 1
        await trio.sleep(self.delay_s)
        return "down" if self.is_down else self.fault(kind)

    async def get(self, key: str) -> Result[KvValue | None]:
        """Return the value of a key."""
        if await self._begin("get"):
            return DOWN
        found = self.data.get(key)
        self.bytes_out += len(found.value) if found else 0
        return Ok(found)

    async def get_prefix(self, prefix: str) -> Result[dict[str, KvValue]]:
        """Return all keys under a prefix."""
        if await self._begin("get_prefix"):
            return DOWN
        found = {k: v for k, v in self.data.items() if k.startswith(prefix)}
        self.bytes_out += sum(len(value.value) for value in found.values())
        return Ok(found)

    async def txn(
        self,
        compare: Mapping[str, int],
        puts: Mapping[str, bytes],
        deletes: Iterable[str] = (),
    ) -> Result[TxnResult]:
        """Write all or nothing, if each key has the given revision."""
        fault = await self._begin("txn")
        if fault == "down":
            return DOWN
        if fault == "dropped":
            return LOST
        held = all(
            (self.data[key].mod_revision if key in self.data else 0) == revision
            for key, revision in compare.items()
        )
        if held:
            self.revision += 1
            for key, value in puts.items():
                self.data[key] = KvValue(value, self.revision, 0)
                self._events.append(KvEvent(key, value, self.revision))
            for key in deletes:
                self.data.pop(key, None)
            self._notify()
        return LOST if fault == "lost" else Ok(TxnResult(held, self.revision))

    @asynccontextmanager
    async def watch(
        self, key: str, from_revision: int
    ) -> AsyncIterator[AsyncIterator[KvEvent]]:
        """Yield the changes of a key from a revision on."""
        await self._begin("watch")
        self.watching += 1
        try:
            yield self._follow(key, from_revision)
        finally:
            self.watching -= 1

    async def _follow(self, key: str, revision: int) -> AsyncIterator[KvEvent]:
        seen = 0
        while not self.is_down:
            changed = self._changed
            while seen < len(self._events):
                event = self._events[seen]
                seen += 1
                if event.key == key and event.mod_revision >= revision:
                    self.bytes_out += len(event.value or b"")
                    yield event
            await changed.wait()
