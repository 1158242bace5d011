"""Stand-in for the platform's metadata store (``PROTOCOL.md``, HTTP/1.1 and JSON).

Usage: ``python3 store.py IP PORT``. Callers that send ``X-Standin-Platform`` act for
the operator and the workers and may write keys under ``op/`` and ``servers/``.
"""

from __future__ import annotations

import asyncio
import json
import sys
import time
from urllib.parse import parse_qs, urlsplit

PAGE_ITEMS = 500


class Store:
    """Items with one revision counter, leases and the history of all changes."""

    def __init__(self) -> None:
        self.revision = 1
        self.items: dict[str, dict] = {}
        self.history: list[dict] = []
        self.leases: dict[int, tuple[float, float]] = {}
        self.next_lease = 1000
        self.changed = asyncio.Event()

    def write(self, key: str, value: str, lease: int) -> None:
        old = self.items.get(key)
        self.revision += 1
        item = {
            "key": key,
            "value": value,
            "revision": self.revision,
            "created": old["created"] if old else self.revision,
            "lease": lease,
        }
        self.items[key] = item
        self._note(item)

    def remove(self, key: str) -> None:
        if self.items.pop(key, None) is None:
            return
        self.revision += 1
        self._note({"key": key, "revision": self.revision, "tombstone": True})

    def _note(self, event: dict) -> None:
        self.history.append(event)
        self.changed.set()
        self.changed = asyncio.Event()

    def end_lease(self, lease: int) -> bool:
        if self.leases.pop(lease, None) is None:
            return False
        for key in [k for k, item in self.items.items() if item["lease"] == lease]:
            self.remove(key)
        return True

    async def expire_leases(self) -> None:
        while True:
            await asyncio.sleep(0.05)
            now = time.monotonic()
            for lease in [n for n, (ends, _) in self.leases.items() if ends <= now]:
                self.end_lease(lease)

    async def call(self, method: str, target: str, body: bytes, own: bool):
        url = urlsplit(target)
        query = {k: v[0] for k, v in parse_qs(url.query, True).items()}
        if url.path == "/-/kv-key":
            item = self.items.get(query["key"])
            as_of = {"asOf": self.revision}
            return (200, item | as_of) if item else (404, as_of)
        if url.path == "/-/kv-range":
            keys = sorted(
                key
                for key in self.items
                if key.startswith(query.get("prefix", ""))
                and key > query.get("after", "")
            )
            page = [self.items[key] for key in keys[:PAGE_ITEMS]]
            more = len(keys) > PAGE_ITEMS
            return 200, {"items": page, "hasMore": more, "asOf": self.revision}
        if url.path == "/-/kv-watch":
            return await self.watch(query)
        data = json.loads(body) if body else {}
        if url.path == "/-/kv-txn":
            return self.transact(data, own)
        if url.path == "/-/kv-lease":
            ttl_s = min(600.0, max(1.0, data["ttlMs"] / 1000))
            self.next_lease += 1
            self.leases[self.next_lease] = (time.monotonic() + ttl_s, ttl_s)
            return 200, {"lease": self.next_lease, "ttlMs": round(ttl_s * 1000)}
        name, _, number = url.path.rpartition("/")
        if name == "/-/kv-keep" and int(number) in self.leases:
            ttl_s = self.leases[int(number)][1]
            self.leases[int(number)] = (time.monotonic() + ttl_s, ttl_s)
            return 200, {"ttlMs": round(ttl_s * 1000)}
        if name == "/-/kv-lease-end" and method == "DELETE":
            return (200, {}) if self.end_lease(int(number)) else (404, {})
        return 404, {}

    async def watch(self, query: dict[str, str]):
        after, prefix = int(query["after"]), query.get("prefix", "")
        ends_at = time.monotonic() + int(query["waitMs"]) / 1000
        while True:
            changed = self.changed
            events = [
                one
                for one in self.history
                if one["revision"] > after and one["key"].startswith(prefix)
            ]
            left_s = ends_at - time.monotonic()
            if events or left_s <= 0:
                return 200, {"events": events, "asOf": self.revision}
            try:
                await asyncio.wait_for(changed.wait(), left_s)
            except asyncio.TimeoutError:
                pass

    def transact(self, data: dict, own: bool):
        writes, removes = data.get("writes", []), data.get("remove", [])
        keys = [one["key"] for one in writes] + removes
        if not own and any(key.startswith(("op/", "servers/")) for key in keys):
            return 403, {}
        expected = data.get("expected", [])
        for row in expected:
            item = self.items.get(row["key"])
            if row["revision"] != (item["revision"] if item else 0):
                found = [self.items.get(one["key"]) for one in expected]
                return 412, {"items": [one for one in found if one]}
        if any(one.get("lease", 0) not in {0, *self.leases} for one in writes):
            return 404, {}
        for one in writes:
            self.write(one["key"], one["value"], one.get("lease", 0))
        for key in removes:
            self.remove(key)
        return 200, {"revision": self.revision}


async def serve(store: Store, reader, writer) -> None:
    try:
        while True:
            head = await reader.readuntil(b"\r\n\r\n")
            first, *lines = head.decode("latin-1").split("\r\n")
            method, target, _ = first.split(" ", 2)
            headers = {}
            for line in lines:
                name, _, value = line.partition(":")
                headers[name.strip().lower()] = value.strip()
            body = await reader.readexactly(int(headers.get("content-length", 0)))
            own = "x-standin-platform" in headers
            status, reply = await store.call(method, target, body, own)
            raw = json.dumps(reply).encode()
            writer.write(
                b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\n"
                b"Content-Length: %d\r\n\r\n" % (status, len(raw)) + raw
            )
            await writer.drain()
    except (asyncio.IncompleteReadError, ConnectionError):
        pass
    finally:
        writer.close()


async def main() -> None:
    store = Store()
    await asyncio.start_server(
        lambda reader, writer: serve(store, reader, writer),
        sys.argv[1],
        int(sys.argv[2]),
        limit=4 * 1024 * 1024,
    )
    print("ready", flush=True)
    await store.expire_leases()


if __name__ == "__main__":
    asyncio.run(main())
