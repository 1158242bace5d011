"""The platform's metadata store, as its page describes it."""

from __future__ import annotations

import asyncio
import json
import time
from base64 import b64decode, b64encode
from dataclasses import dataclass, field
from typing import Any

from third_http1 import Message, encode_json, read_message

ANSWER_S = 0.004
LEASE_CHECK_S = 0.1


@dataclass
class _Item:
    value: bytes
    revision: int
    created: int
    lease: int


@dataclass(eq=False)
class _Connection:
    writer: asyncio.StreamWriter
    # Set once its answers are lost for good.
    is_silent: bool = False
    watch: asyncio.Task[None] | None = None


@dataclass
class Store:
    """Items with one revision counter, watches and leases.

    ``silence`` makes all connections that are open go silent for good, without a
    reset; new ones work. ``cut_watches`` closes the connections of waiting watches.
    """

    address: str = ""
    revision: int = 1
    items: dict[str, _Item] = field(default_factory=dict)
    changes: list[tuple[int, dict[str, Any]]] = field(default_factory=list)
    leases: dict[int, tuple[float, float]] = field(default_factory=dict)
    _changed: asyncio.Event = field(default_factory=asyncio.Event)
    _connections: set[_Connection] = field(default_factory=set)
    _server: asyncio.Server | None = None
    _tasks: list[asyncio.Task[None]] = field(default_factory=list)

    async def start(self, ip: str = "127.0.0.1") -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, ip, 0, limit=2**22)
        host, port = self._server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"
        self._tasks.append(asyncio.create_task(self._expire_leases()))

    async def stop(self) -> None:
        """Stop listening and close all connections."""
        for task in self._tasks:
            task.cancel()
        for conn in tuple(self._connections):
            conn.writer.close()
        if self._server is not None:
            self._server.close()

    def put(self, key: str, value: Any, lease: int = 0) -> int:
        """Write an item and return its revision; JSON if it is not bytes."""
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        self.revision += 1
        known = self.items.get(key)
        created = known.created if known else self.revision
        self.items[key] = _Item(data, self.revision, created, lease)
        self._note(self._to_json(key))
        return self.revision

    def remove(self, key: str) -> None:
        """Remove an item."""
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self._note({"key": key, "revision": self.revision, "tombstone": True})

    def silence(self) -> int:
        """Make the open connections go silent; return how many they are."""
        for conn in self._connections:
            conn.is_silent = True
        return len(self._connections)

    def cut_watches(self) -> int:
        """Reset the connections of the waiting watches; return how many they were."""
        waiting = [one for one in self._connections if one.watch is not None]
        for conn in waiting:
            conn.writer.transport.abort()
        return len(waiting)

    def _note(self, event: dict[str, Any]) -> None:
        self.changes.append((self.revision, event))
        self._changed.set()
        self._changed = asyncio.Event()

    def _to_json(self, key: str) -> dict[str, Any]:
        item = self.items[key]
        return {
            "key": key,
            "value": b64encode(item.value).decode(),
            "revision": item.revision,
            "created": item.created,
            "lease": item.lease,
        }

    async def _expire_leases(self) -> None:
        while True:
            await asyncio.sleep(LEASE_CHECK_S)
            now = time.monotonic()
            for lease, (ends_at, _) in tuple(self.leases.items()):
                if ends_at <= now:
                    self._end_lease(lease)

    def _end_lease(self, lease: int) -> None:
        del self.leases[lease]
        for key in [key for key, item in self.items.items() if item.lease == lease]:
            self.remove(key)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        conn = _Connection(writer)
        self._connections.add(conn)
        try:
            while (req := await read_message(reader)) is not None:
                if conn.is_silent:
                    continue
                raw = await self._answer(conn, req)
                if not conn.is_silent:
                    writer.write(raw)
                    await writer.drain()
        except ConnectionError:
            pass
        finally:
            self._connections.discard(conn)
            writer.close()

    async def _answer(self, conn: _Connection, req: Message) -> bytes:
        await asyncio.sleep(ANSWER_S)
        if req.path == "/-/kv-watch":
            conn.watch = asyncio.current_task()
            try:
                return await self._watch(req.query)
            finally:
                conn.watch = None
        data = json.loads(req.body) if req.body else {}
        status, reply = self._call(req.method, req.path, req.query, data)
        return encode_json(status, reply)

    async def _watch(self, args: dict[str, str]) -> bytes:
        after, prefix = int(args["after"]), args["prefix"]
        ends_at = time.monotonic() + int(args["waitMs"]) / 1000
        while True:
            events = [
                event
                for revision, event in self.changes
                if revision > after and event["key"].startswith(prefix)
            ]
            left_s = ends_at - time.monotonic()
            if events or left_s <= 0:
                return encode_json(200, {"events": events, "asOf": self.revision})
            try:
                await asyncio.wait_for(self._changed.wait(), left_s)
            except TimeoutError:
                continue

    def _call(
        self, method: str, path: str, args: dict[str, str], data: dict[str, Any]
    ) -> tuple[int, dict[str, Any]]:
        as_of = {"asOf": self.revision}
        if path == "/-/kv-key":
            key = args["key"]
            return (200, self._to_json(key) | as_of) if key in self.items else (404, {})
        if path == "/-/kv-range":
            after = args.get("after", "")
            keys = sorted(
                key
                for key in self.items
                if key.startswith(args["prefix"]) and key > after
            )
            items = [self._to_json(key) for key in keys]
            return 200, {"items": items, "hasMore": False} | as_of
        if path == "/-/kv-lease":
            lease = max(self.leases, default=100) + 1
            ttl_s = data["ttlMs"] / 1000
            self.leases[lease] = (time.monotonic() + ttl_s, ttl_s)
            return 200, {"lease": lease, "ttlMs": data["ttlMs"]} | as_of
        if path.startswith("/-/kv-keep/"):
            lease = int(path.rpartition("/")[2])
            if lease not in self.leases:
                return 404, {}
            ttl_s = self.leases[lease][1]
            self.leases[lease] = (time.monotonic() + ttl_s, ttl_s)
            return 200, {"ttlMs": round(ttl_s * 1000)}
        if method == "DELETE" and path.startswith("/-/kv-lease-end/"):
            lease = int(path.rpartition("/")[2])
            if lease not in self.leases:
                return 404, {}
            self._end_lease(lease)
            return 200, {}
        if path == "/-/kv-txn":
            return self._transact(data)
        return 404, {}

    def _transact(self, data: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        expected = data.get("expected", [])
        if any(
            row["revision"]
            != (self.items[row["key"]].revision if row["key"] in self.items else 0)
            for row in expected
        ):
            found = [
                self._to_json(r["key"]) for r in expected if r["key"] in self.items
            ]
            return 412, {"items": found}
        writes = data.get("writes", [])
        if any(one["lease"] and one["lease"] not in self.leases for one in writes):
            return 404, {}
        for one in writes:
            self.put(one["key"], b64decode(one["value"]), one["lease"])
        for key in data.get("remove", []):
            self.remove(key)
        return 200, {"revision": self.revision}
