"""The platform's metadata store, as far as entries and agents use it."""

from __future__ import annotations

import asyncio
import base64
import itertools
import json
import time
from typing import Any
from urllib.parse import parse_qs, urlsplit

from case_wire import GONE, message, read_body, read_head

Reply = tuple[int, dict[str, Any]]
PAGE_ITEMS = 500


class Store:
    """Items, leases and watches; it is sound all the time."""

    def __init__(self) -> None:
        self.address = ""
        self._revision = 10
        self._items: dict[str, dict[str, Any]] = {}
        self._log: list[dict[str, Any]] = []
        # The end of each lease and its time to live, in seconds.
        self._leases: dict[int, tuple[float, float]] = {}
        self._lease_ids = itertools.count(100)
        self._changed = asyncio.Condition()
        self._tasks: list[asyncio.Task[None]] = []

    async def start(self) -> None:
        """Listen on a free port."""
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0, limit=1 << 22)
        self.address = "{}:{}".format(*server.sockets[0].getsockname()[:2])
        self._tasks.append(asyncio.create_task(self._expire()))

    async def put(self, key: str, value: Any) -> None:
        """Write an item as the operator or a worker does."""
        async with self._changed:
            self._write(key, json.dumps(value).encode(), 0)
            self._changed.notify_all()

    def _write(self, key: str, value: bytes | None, lease: int) -> None:
        self._revision += 1
        if value is None:
            self._items.pop(key, None)
            event = {"key": key, "revision": self._revision, "tombstone": True}
            self._log.append(event)
            return
        created = self._items.get(key, {}).get("created", self._revision)
        item = {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "revision": self._revision,
            "created": created,
            "lease": lease,
        }
        self._items[key] = item
        self._log.append(item)

    async def _expire(self) -> None:
        while True:
            await asyncio.sleep(0.2)
            now = time.monotonic()
            ended = {lease for lease, (end, _) in self._leases.items() if end < now}
            if not ended:
                continue
            async with self._changed:
                for lease in ended:
                    del self._leases[lease]
                for key, item in tuple(self._items.items()):
                    if item["lease"] in ended:
                        self._write(key, None, 0)
                self._changed.notify_all()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while True:
                (_, target, _), headers = await read_head(reader)
                body = await read_body(reader, headers)
                status, reply = await self._answer(target, body)
                head = {"Content-Type": "application/json"}
                data = json.dumps(reply).encode()
                writer.write(message(f"HTTP/1.1 {status} X", head, data))
                await writer.drain()
        except GONE:
            pass
        finally:
            writer.close()

    async def _answer(self, target: str, body: bytes) -> Reply:
        url = urlsplit(target)
        query = {
            name: values[0]
            for name, values in parse_qs(url.query, keep_blank_values=True).items()
        }
        if url.path == "/-/kv-range":
            return self._range(query["prefix"], query.get("after", ""))
        if url.path == "/-/kv-watch":
            return await self._watch(query)
        if url.path == "/-/kv-txn":
            return await self._transaction(json.loads(body))
        if url.path == "/-/kv-lease":
            ttl_ms = json.loads(body)["ttlMs"]
            lease = next(self._lease_ids)
            self._leases[lease] = (time.monotonic() + ttl_ms / 1000, ttl_ms / 1000)
            return 200, {"lease": lease, "ttlMs": ttl_ms}
        if url.path.startswith("/-/kv-keep/"):
            return self._renew(int(url.path.rpartition("/")[2]))
        return 404, {}

    def _range(self, prefix: str, after: str) -> Reply:
        keys = sorted(
            key for key in self._items if key.startswith(prefix) and key > after
        )
        items = [self._items[key] for key in keys[:PAGE_ITEMS]]
        has_more = len(keys) > PAGE_ITEMS
        return 200, {"items": items, "hasMore": has_more, "asOf": self._revision}

    async def _watch(self, query: dict[str, str]) -> Reply:
        after, prefix = int(query["after"]), query["prefix"]
        ends_at = time.monotonic() + int(query["waitMs"]) / 1000
        async with self._changed:
            while True:
                events = [
                    event
                    for event in self._log
                    if event["revision"] > after and event["key"].startswith(prefix)
                ]
                left_s = ends_at - time.monotonic()
                if events or left_s <= 0:
                    return 200, {"events": events, "asOf": self._revision}
                try:
                    await asyncio.wait_for(self._changed.wait(), left_s)
                except TimeoutError:
                    continue

    async def _transaction(self, body: dict[str, Any]) -> Reply:
        expected = {row["key"]: row["revision"] for row in body["expected"]}
        found = {key: self._items.get(key) for key in expected}
        for key, revision in expected.items():
            item = found[key]
            if (item["revision"] if item else 0) != revision:
                return 412, {"items": [one for one in found.values() if one]}
        leases = {write.get("lease", 0) for write in body["writes"]} - {0}
        if leases - self._leases.keys():
            return 404, {}
        async with self._changed:
            for write in body["writes"]:
                value = base64.b64decode(write["value"])
                self._write(write["key"], value, write.get("lease", 0))
            for key in body["remove"]:
                self._write(key, None, 0)
            self._changed.notify_all()
        return 200, {"revision": self._revision}

    def _renew(self, lease: int) -> Reply:
        if lease not in self._leases:
            return 404, {}
        _, ttl_s = self._leases[lease]
        self._leases[lease] = (time.monotonic() + ttl_s, ttl_s)
        return 200, {"lease": lease, "ttlMs": round(ttl_s * 1000)}
