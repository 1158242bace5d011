"""In-memory key-value clients over one store, with faults that a test chooses."""

from collections.abc import Callable
from typing import Any

import trio

from mustardfront.codes import Code
from mustardfront.coordination.kv import KvValue, TxnResult
from mustardfront.results import Err, Ok
from mustardfront_standins.kv import Store

LATENCY_S = 0.004


class FakeKv:
    """One process's client; the processes' clients share a store.

    ``down``: calls have no effect. ``lose``: this many writes take effect without an
    answer. ``late``: this many writes get no answer and take effect when ``deliver`` is
    called. ``hold``: as in a paused process, calls return only after ``resume``.
    """

    def __init__(self, store: Store) -> None:
        self.store = store
        self.down = False
        self.lose = 0
        self.late = 0
        self.down_after_late = False
        self.on_the_way: list[Callable[[], Any]] = []
        self.calls: dict[str, int] = {}
        self._resumed: trio.Event | None = None

    def hold(self) -> None:
        if self._resumed is None:
            self._resumed = trio.Event()

    def resume(self) -> None:
        if self._resumed is not None:
            self._resumed.set()
            self._resumed = None

    def deliver(self) -> None:
        while self.on_the_way:
            self.on_the_way.pop(0)()

    async def get(self, key: str) -> Any:
        return await self._call("range", lambda: self._get(key))

    async def get_prefix(self, prefix: str) -> Any:
        return await self._call("range", lambda: self._get_prefix(prefix))

    async def txn(self, compare, puts, deletes=(), lease=0) -> Any:
        def apply() -> Any:
            if lease and lease not in self.store.leases:
                return Err(Code.LEASE_LOST, "lease")
            held = all(self._revision(key) == rev for key, rev in compare.items())
            if held:
                self.store.apply(
                    [(key.encode(), value, lease) for key, value in puts.items()],
                    [(key.encode(), b"") for key in deletes],
                )
            return Ok(TxnResult(held, self.store.revision))

        return await self._call("txn", apply)

    async def lease_grant(self, ttl_s: int) -> Any:
        return await self._call("lease", lambda: Ok(self.store.grant(ttl_s)))

    async def lease_keepalive(self, lease: int) -> Any:
        def apply() -> Any:
            ttl_s = self.store.keep_alive(lease)
            return Ok(ttl_s) if ttl_s else Err(Code.LEASE_LOST, "lease")

        return await self._call("lease", apply)

    async def lease_revoke(self, lease: int) -> Any:
        self.store.revoke(lease)
        return await self._call("lease", lambda: Ok(None))

    async def _call(self, kind: str, apply: Callable[[], Any]) -> Any:
        self.calls[kind] = self.calls.get(kind, 0) + 1
        await self._paused()
        await trio.sleep(LATENCY_S)
        self.store.expire_leases()
        if self.down:
            return Err(Code.STORE_UNAVAILABLE, "down")
        if kind == "txn" and self.late:
            self.late -= 1
            self.on_the_way.append(apply)
            self.down = self.down or self.down_after_late
            return Err(Code.WRITE_UNKNOWN, "late")
        result = apply()
        await trio.sleep(LATENCY_S)
        await self._paused()
        if kind == "txn" and self.lose:
            self.lose -= 1
            return Err(Code.WRITE_UNKNOWN, "lost")
        return result

    async def _paused(self) -> None:
        while self._resumed is not None:
            await self._resumed.wait()

    def _revision(self, key: str) -> int:
        entry = self.store.get(key.encode())
        return entry.mod_revision if entry else 0

    def _get(self, key: str) -> Any:
        entry = self.store.get(key.encode())
        value = entry and KvValue(entry.value, entry.mod_revision, entry.lease)
        return Ok(value)

    def _get_prefix(self, prefix: str) -> Any:
        start = prefix.encode()
        end = start[:-1] + bytes([start[-1] + 1])
        return Ok(
            {
                key.decode(): KvValue(entry.value, entry.mod_revision, entry.lease)
                for key, entry in self.store.get_range(start, end)
            }
        )
