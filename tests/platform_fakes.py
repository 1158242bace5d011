"""Fake of the platform's store, with its published protocol and sample records."""

from __future__ import annotations

import copy
import json
from base64 import b64decode, b64encode
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from typing import Any
from urllib.parse import parse_qs

import trio

from mustardfront.programs._http import bind_socket, serve_asgi, server_config
from mustardfront.results import Ok

WAIT_MAX_S = 10


@dataclass
class FakeStore:
    """Items by key with one revision for all, watches, leases and injected faults.

    An item is its data, its revision and its lease. ``status``, unless 0, answers every
    call; ``is_silent`` leaves calls without a response. Watches from a revision before
    ``compacted_revision`` or from one that does not exist yet fail.
    """

    revision: int = 1
    items: dict[str, tuple[bytes, int, int]] = field(default_factory=dict)
    change_log: list[tuple[int, str]] = field(default_factory=list)
    compacted_revision: int = 0
    era: int = 1
    page_size: int = 500
    status: int = 0
    is_silent: bool = False
    leases: set[int] = field(default_factory=set)
    calls: list[str] = field(default_factory=list)
    changed: trio.Event = field(default_factory=trio.Event)
    address: str = ""

    def put(self, key: str, value: Any, lease: int = 0) -> None:
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        self.revision += 1
        self.items[key] = (data, self.revision, lease)
        self._record_change(key)

    def remove(self, key: str) -> None:
        self.revision += 1
        self.items.pop(key, None)
        self._record_change(key)

    def _record_change(self, key: str) -> None:
        self.change_log.append((self.revision, key))
        self.changed.set()
        self.changed = trio.Event()

    def compact(self) -> None:
        self.compacted_revision = self.revision

    def copy(self) -> FakeStore:
        """Return a copy of the data for ``restore``."""
        data = copy.copy(self)
        data.items, data.leases = dict(self.items), set(self.leases)
        data.change_log = list(self.change_log)
        return data

    def restore(self, data: FakeStore) -> None:
        """Go back to a copy in a new era; revisions and leases are given out again."""
        self.revision, self.items = data.revision, dict(data.items)
        self.leases, self.change_log = set(data.leases), list(data.change_log)
        self.era += 1

    def item_json(self, key: str) -> dict[str, Any]:
        if key not in self.items:
            return {"key": key, "revision": self.revision, "tombstone": True}
        data, revision, lease = self.items[key]
        return {
            "key": key,
            "value": b64encode(data).decode(),
            "revision": revision,
            "created": revision,
            "lease": lease,
        }

    async def app(self, scope, receive, send) -> None:
        body = b""
        while True:
            message = await receive()
            body += message.get("body", b"")
            if not message.get("more_body"):
                break
        self.calls.append(f"{scope['method']} {scope['path']}")
        if self.is_silent:
            await trio.sleep_forever()
        query = parse_qs(scope["query_string"].decode(), keep_blank_values=True)
        args = {name: values[0] for name, values in query.items()}
        status, reply = self.status, {}
        if not status:
            data = json.loads(body) if body else {}
            status, reply = await self.handle_call(scope["path"], args, data)
        raw = json.dumps(reply).encode()
        headers = [
            (b"content-length", str(len(raw)).encode()),
            (b"store-era", str(self.era).encode()),
        ]
        await send(
            {"type": "http.response.start", "status": status, "headers": headers}
        )
        await send({"type": "http.response.body", "body": raw})

    async def handle_call(self, path, args, data) -> tuple[int, dict[str, Any]]:
        as_of = {"asOf": self.revision}
        if path == "/-/kv-key":
            exists = args["key"] in self.items
            return (
                (200, self.item_json(args["key"]) | as_of) if exists else (404, as_of)
            )
        if path == "/-/kv-range":
            keys = sorted(
                key
                for key in self.items
                if key.startswith(args["prefix"]) and key > args.get("after", "")
            )
            page = [self.item_json(key) for key in keys[: self.page_size]]
            return 200, {"items": page, "hasMore": len(keys) > self.page_size} | as_of
        if path == "/-/kv-watch":
            return await self.watch(args)
        if path == "/-/kv-lease":
            self.leases.add(len(self.leases) + 7)
            return 200, {"lease": max(self.leases), "ttlMs": data["ttlMs"]}
        if path.startswith("/-/kv-keep/"):
            alive = int(path.rpartition("/")[2]) in self.leases
            return (200, {"ttlMs": 1}) if alive else (404, {})
        if path == "/-/kv-txn":
            if any(
                row["revision"] != self.items.get(row["key"], (b"", 0, 0))[1]
                for row in data["expected"]
            ):
                rows = (row["key"] for row in data["expected"])
                found = [self.item_json(key) for key in rows if key in self.items]
                return 412, {"items": found}
            if any(write["lease"] not in self.leases for write in data["writes"]):
                return 404, {}
            for write in data["writes"]:
                self.put(write["key"], b64decode(write["value"]), write["lease"])
            for key in data["remove"]:
                self.remove(key)
            return 200, {"revision": self.revision}
        return 404, {}

    async def watch(self, args) -> tuple[int, dict[str, Any]]:
        after = int(args["after"])
        if after < self.compacted_revision or after > self.revision:
            return 410, {}
        with trio.move_on_after(int(args["waitMs"]) / 1000):
            while self.revision <= after:
                await self.changed.wait()
        keys = dict.fromkeys(
            key
            for revision, key in self.change_log
            if revision > after and key.startswith(args["prefix"])
        )
        items = [self.item_json(key) for key in keys]
        return 200, {"events": items, "asOf": self.revision}


@asynccontextmanager
async def running_store(store: FakeStore | None = None) -> AsyncIterator[FakeStore]:
    """Serve a fake store over HTTP on a free port of the loopback address."""
    store = store or FakeStore()
    bind_result = bind_socket(("127.0.0.1", 0))
    assert isinstance(bind_result, Ok)
    async with trio.open_nursery() as nursery:
        store.address = await nursery.start(
            serve_asgi,
            store.app,
            server_config(bind_result.value, 1),
            trio.sleep_forever,
        )
        yield store
        nursery.cancel_scope.cancel()


async def wait_until(condition: Callable[[], bool]) -> None:
    """Wait for a condition; fail after a time that no busy machine needs."""
    with trio.fail_after(WAIT_MAX_S):
        while not condition():  # noqa: ASYNC110
            await trio.sleep(0.01)


def worker_record(address: str, **fields: Any) -> dict[str, Any]:
    """Return a worker's announcement as the store holds it."""
    return {
        "service": "svc",
        "address": address,
        "zone": "zone-a",
        "version": "v1",
        "slots": 6,
        "state": "ready",
        "warmupLeftMs": 0,
        "sequence": 3,
        "born": 1,
    } | fields


def operator_config(version: int = 3, **fields: Any) -> dict[str, Any]:
    """Return the operator's configuration: two routes, two services and a team."""
    route = {
        "name": "r1",
        "host": "shop.example",
        "prefix": "/get/",
        "kind": "idempotent",
        "timeoutMs": 2000,
        "targetLatencyMs": 200,
        "priority": 1,
        "service": "svc",
        "maxAttempts": 2,
        "anonymous": False,
    }
    split = route | {
        "name": "r2",
        "prefix": "/draft/",
        "kind": "streaming",
        "resumable": True,
        "trafficSplit": [
            {"service": "svc", "weight": 90},
            {"service": "new", "weight": 10},
        ],
    }
    del split["service"]
    engine = {
        "slots": 6,
        "step_ms": 4.84,
        "per_seq_ms": 0.7,
        "read_per_s": 74800.0,
        "stride": 6,
        "sets": 6,
        "experts": 64,
        "placements": 11,
        "spare": 4,
        "expertMb": 1700.0,
        "linkMbps": 92000.0,
        "expertShare": 0.85,
    }
    return {
        "version": version,
        "routes": [route, split],
        "services": [
            {"name": "svc", "maxConnections": 348, "engine": engine},
            {"name": "new", "maxConnections": 10},
        ],
        "limits": {"maxBodyBytes": 1000, "idleTimeoutMs": 15000},
        "tenants": [{"name": "lofts", "apiKeys": ["k1"], "priority": 0}],
    } | fields
