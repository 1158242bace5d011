"""An in-memory key-value service with outages, delays and lost answers."""

from __future__ import annotations

from collections import Counter
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager

import trio

from mustardfront.codes import Code
from mustardfront.coordination.kv import KvEvent, KvValue, TxnResult
from mustardfront.results import Err, Ok, Result

DOWN = Err(Code.STORE_UNAVAILABLE, "down")
LOST = Err(Code.WRITE_UNKNOWN, "answer lost")


class FakeKv:
    """One service; each client calls its methods directly.

    ``fault`` names what happens to the next call of a kind: ``""``, ``"down"``,
    ``"lost"`` (a write takes effect, its answer is lost) or ``"dropped"`` (it is lost
    before it takes effect, which the caller cannot tell).
    """

    def __init__(self) -> None:
        self.data: dict[str, KvValue] = {}
        self.revision = 0
        self.is_down = False
        self.delay_s = 0.0
        self.fault: Callable[[str], str] = lambda _kind: ""
        self.calls: Counter[str] = Counter()
        self.before_txn: Callable[[], None] = lambda: None
        self._events: list[KvEvent] = []
        self._changed = trio.Event()

    def set_down(self, down: bool) -> None:
        self.is_down = down
        self._notify()

    def _notify(self) -> None:
        changed, self._changed = self._changed, trio.Event()
        changed.set()

    async def _begin(self, kind: str) -> str:
        self.calls[kind] += 1
        await trio.sleep(self.delay_s)
        return "down" if self.is_down else self.fault(kind)

    async def get(self, key: str) -> Result[KvValue | None]:
        if await self._begin("get"):
            return DOWN
        return Ok(self.data.get(key))

    async def get_prefix(self, prefix: str) -> Result[dict[str, KvValue]]:
        if await self._begin("get_prefix"):
            return DOWN
        return Ok({k: v for k, v in self.data.items() if k.startswith(prefix)})

    async def txn(self, compare, puts, deletes=(), lease=0) -> Result[TxnResult]:
        fault = await self._begin("txn")
        if fault == "down":
            return DOWN
        if fault == "dropped":
            return LOST
        self.before_txn()
        held = all(
            (self.data[key].mod_revision if key in self.data else 0) == revision
            for key, revision in compare.items()
        )
        if held:
            self.revision += 1
            for key, value in puts.items():
                self.data[key] = KvValue(value, self.revision, lease)
                self._events.append(KvEvent(key, value, self.revision))
            for key in deletes:
                self.data.pop(key, None)
            self._notify()
        return LOST if fault == "lost" else Ok(TxnResult(held, self.revision))

    @asynccontextmanager
    async def watch(self, key: str, from_revision: int):
        await self._begin("watch")
        yield self._follow(key, from_revision)

    async def _follow(self, key: str, revision: int) -> AsyncIterator[KvEvent]:
        seen = 0
        while not self.is_down:
            changed = self._changed
            while seen < len(self._events):
                event = self._events[seen]
                seen += 1
                if event.key == key and event.mod_revision >= revision:
                    yield event
            await changed.wait()
