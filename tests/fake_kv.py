"""In-memory key-value clients that share a store, with faults set by tests."""

from collections.abc import Callable
from typing import Any

import trio

from mustardfront.codes import Code
from mustardfront.coordination.kv import KvValue, TxnResult
from mustardfront.results import Err, Ok
from mustardfront_standins.kv import Store

LATENCY_S = 0.004


class FakeKv:
    """The client of one process; clients of several processes share a store.

    ``down``: calls fail and have no effect. ``lose``: number of next writes that take
    effect but whose response is lost. ``late``: number of next writes whose response
    is lost and that take effect only when ``deliver`` is called; with
    ``down_after_late`` the client is down afterwards. ``hold`` simulates a paused
    process: calls return only after ``resume``.
    """

    def __init__(self, store: Store) -> None:
        self.store = store
        self.down = False
        self.lose = 0
        self.late = 0
        self.down_after_late = False
        self.delayed_writes: list[Callable[[], Any]] = []
        self.calls: dict[str, int] = {}
        self.restores = 0
        self._revision = 0
        self._resume_event: trio.Event | None = None

    def hold(self) -> None:
        if self._resume_event is None:
            self._resume_event = trio.Event()

    def resume(self) -> None:
        if self._resume_event is not None:
            self._resume_event.set()
            self._resume_event = None

    def deliver(self) -> None:
        while self.delayed_writes:
            self.delayed_writes.pop(0)()

    async def get(self, key: str) -> Any:
        return await self._call("range", lambda: self._get(key))

    async def get_prefix(self, prefix: str) -> Any:
        return await self._call("range", lambda: self._get_prefix(prefix))

    async def txn(self, compare, puts, deletes=(), lease=0) -> Any:
        def execute() -> Any:
            if lease and lease not in self.store.leases:
                return Err(Code.LEASE_LOST, "lease")
            succeeded = all(
                self._get_revision(key) == revision for key, revision in compare.items()
            )
            if succeeded:
                self.store.apply(
                    [(key.encode(), value, lease) for key, value in puts.items()],
                    [(key.encode(), b"") for key in deletes],
                )
            return Ok(TxnResult(succeeded, self.store.revision))

        return await self._call("txn", execute)

    async def lease_grant(self, ttl_s: int) -> Any:
        return await self._call("lease", lambda: Ok(self.store.grant(ttl_s)))

    async def lease_keepalive(self, lease: int) -> Any:
        def execute() -> Any:
            ttl_s = self.store.keep_alive(lease)
            return Ok(ttl_s) if ttl_s else Err(Code.LEASE_LOST, "lease")

        return await self._call("lease", execute)

    async def lease_revoke(self, lease: int) -> Any:
        self.store.revoke(lease)
        return await self._call("lease", lambda: Ok(None))

    async def _call(self, kind: str, execute: Callable[[], Any]) -> Any:
        self.calls[kind] = self.calls.get(kind, 0) + 1
        await self._wait_while_held()
        await trio.sleep(LATENCY_S)
        self.store.expire_leases()
        if self.down:
            return Err(Code.STORE_UNAVAILABLE, "down")
        if kind == "txn" and self.late:
            self.late -= 1
            self.delayed_writes.append(execute)
            self.down = self.down or self.down_after_late
            return Err(Code.WRITE_UNKNOWN, "late")
        result = execute()
        if self.store.revision < self._revision:
            self.restores += 1
        self._revision = self.store.revision
        await trio.sleep(LATENCY_S)
        await self._wait_while_held()
        if kind == "txn" and self.lose:
            self.lose -= 1
            return Err(Code.WRITE_UNKNOWN, "lost")
        return result

    async def _wait_while_held(self) -> None:
        while self._resume_event is not None:
            await self._resume_event.wait()

    def _get_revision(self, key: str) -> int:
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
