"""A group of model ranks that run their passes together, and take orders."""

from __future__ import annotations

import asyncio
import json
import time
from collections.abc import Callable
from typing import Any

from case_config import ENGINE
from case_record import Record
from case_store import Store
from case_wire import GONE, message, read_body, read_head

PASS_S = 0.02
HEARTBEAT_S = 1.2
SETS, EXPERTS = int(ENGINE["sets"]), int(ENGINE["experts"])
LOAD_S = float(ENGINE["expertMb"]) * 8 / float(ENGINE["linkMbps"])
EPOCH = 1
# How often a rank chooses each expert in a pass, and those in demand.
USUAL_COUNT, DEMANDED_COUNT = 2, 60
DEMANDED_EXPERTS = (0, 8, 16)

Rows = list[list[int]]
OrderListener = Callable[["Rank", str, int], None]


class Rank:
    """One rank; a rank whose machine is ``away`` answers nobody."""

    def __init__(self, group: Group, number: int, ip: str) -> None:
        self.number = number
        self.ip = ip
        self.address = ""
        self.is_away = False
        self.version = 0
        self.rows: Rows = [
            [expert for expert in range(EXPERTS) if expert % group.size == number]
            for _ in range(SETS)
        ]
        self.prepared: tuple[int, Rows] | None = None
        self.armed: tuple[int, int] | None = None
        self.held: int | None = None
        self.counts = [0] * (SETS * EXPERTS)
        self._group = group
        self._born_ms = round(time.time() * 1000)
        self._newest_version = 0
        self._loading: tuple[float, int, Rows] | None = None
        self._begun_orders = 0
        self._heartbeats = 0

    async def start(self) -> None:
        """Listen on a free port."""
        server = await asyncio.start_server(self._serve, self.ip, 0, limit=1 << 22)
        port = server.sockets[0].getsockname()[1]
        self.address = f"{self.ip}:{port}"

    async def announce(self, store: Store) -> None:
        """Write the rank's entry of the service discovery."""
        self._heartbeats += 1
        entry = {
            "service": "net-writer",
            "address": self.address,
            "zone": "bayern-a",
            "version": "1",
            "slots": ENGINE["slots"],
            "state": "ready",
            "warmupLeftMs": 0,
            "sequence": self._heartbeats,
            "born": self._born_ms,
            "group": self._membership(),
            "size": self._group.size,
        }
        await store.put(f"servers/i-rank-{self.number}", entry)

    def _membership(self) -> dict[str, Any]:
        return {"name": "g0", "epoch": EPOCH, "rank": self.number, "state": "open"}

    def begin_pass(self, step: int, demanded: bool) -> None:
        """Switch to the armed map if it is for this pass, and count the experts."""
        self._end_loading()
        if self.armed is not None and self.armed[1] <= step and self.prepared:
            self.version, self.rows = self.prepared
            self.prepared = self.armed = None
            self._group.record.write(
                f"pass {step}: rank {self.number} switches to map {self.version}"
            )
        for row in range(SETS):
            for expert in range(EXPERTS):
                is_demanded = demanded and expert in DEMANDED_EXPERTS
                count = DEMANDED_COUNT if is_demanded else USUAL_COUNT
                self.counts[row * EXPERTS + expert] += count

    def _end_loading(self) -> None:
        if self._loading is not None and time.monotonic() >= self._loading[0]:
            _, version, rows = self._loading
            self.prepared, self._loading = (version, rows), None

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while True:
                (_, target, _), headers = await read_head(reader)
                body = await read_body(reader, headers)
                if self.is_away:
                    return
                status, reply = self._answer(target, body)
                while self.is_away:
                    await asyncio.sleep(0.01)
                head = {"Content-Type": "application/json"}
                data = json.dumps(reply).encode()
                writer.write(message(f"HTTP/1.1 {status} X", head, data))
                await writer.drain()
        except GONE:
            pass
        finally:
            while self.is_away:
                await asyncio.sleep(0.01)
            writer.close()

    def _answer(self, target: str, body: bytes) -> tuple[int, dict[str, Any]]:
        self._end_loading()
        if target.startswith("/-/report"):
            return 200, self._report()
        if target.startswith("/-/picked"):
            return 200, self._picked(with_lists="lists" in target)
        if target == "/-/order":
            order = json.loads(body)
            status = self._take(order)
            self._group.note_order(self, order, status)
            return status, {}
        return 404, {}

    def _report(self) -> dict[str, Any]:
        report = {
            "stage": "prefill_decode",
            "models": [{"name": "m", "version": 1, "adapters": []}],
            "busy": False,
            "sequence": self._begun_orders,
            "queued": 2,
            "active": 4,
            "kvUsed": 41000,
            "kvTotal": ENGINE["kvCapacity"],
            "kvHandles": 0,
            "pace": 1.0,
            "born": self._born_ms,
            "group": self._membership(),
            "size": self._group.size,
            "step": self._group.step,
            "map": self.version,
        }
        if self.prepared is not None:
            report["prepared"] = self.prepared[0]
        if self.armed is not None:
            report["armed"] = {"version": self.armed[0], "step": self.armed[1]}
        if self.held is not None:
            report["held"] = self.held
        return report

    def _picked(self, *, with_lists: bool) -> dict[str, Any]:
        if not with_lists:
            counts = {"counts": self.counts, "born": self._born_ms}
            return {"step": self._group.step, "epoch": EPOCH, **counts}
        lists: dict[str, Any] = {"map": {"version": self.version, "experts": self.rows}}
        if self.prepared is not None:
            version, rows = self.prepared
            lists["prepared"] = {"version": version, "experts": rows}
        return lists

    def _take(self, order: dict[str, Any]) -> int:
        if order.get("epoch", EPOCH) != EPOCH:
            return 409
        operations: dict[str, Callable[[dict[str, Any]], int]] = {
            "prepare": self._prepare,
            "arm": self._arm,
            "disarm": self._disarm,
            "hold": self._hold,
            "go": self._go,
        }
        operation = operations.get(order["operation"])
        status = operation(order) if operation is not None else 400
        self._begun_orders += status == 202
        return status

    def _prepare(self, order: dict[str, Any]) -> int:
        version = order["version"]
        if self.prepared is not None and self.prepared[0] == version:
            return 200
        if self._loading is not None and self._loading[1] == version:
            return 202
        rows = [sorted(layer[self.number]) for layer in order["map"]]
        new = [len({*row} - {*old}) for row, old in zip(rows, self.rows, strict=True)]
        if version <= self._newest_version or self.armed or max(new) > ENGINE["spare"]:
            return 409
        self._newest_version = version
        self.prepared = None
        self._loading = (time.monotonic() + LOAD_S * sum(new), version, rows)
        return 202

    def _arm(self, order: dict[str, Any]) -> int:
        target = (order["version"], order["step"])
        if self.armed == target:
            return 200
        is_prepared = self.prepared is not None and self.prepared[0] == target[0]
        if not is_prepared or target[1] <= self._group.step:
            return 409
        self.armed = target
        return 202

    def _disarm(self, order: dict[str, Any]) -> int:
        if self.version == order["version"]:
            return 409
        if self.armed is None or self.armed[0] != order["version"]:
            return 200
        self.armed = None
        return 202

    def _hold(self, order: dict[str, Any]) -> int:
        if self.held == order["step"]:
            return 200
        if self.held is not None or order["step"] <= self._group.step:
            return 409
        self.held = order["step"]
        return 202

    def _go(self, order: dict[str, Any]) -> int:
        if self.held != order["step"]:
            return 200
        self.held = None
        return 202


class Group:
    """Runs the passes of all ranks, and checks that they begin with one map.

    ``on_order`` is called after each order, with its operation and its status.
    """

    def __init__(self, size: int, store: Store, record: Record) -> None:
        self.size = size
        self.step = 0
        self.has_shifted = False
        self.switches = 0
        self.longest_stop_s = 0.0
        # The first pass that began with different maps.
        self.broken = ""
        self.on_order: OrderListener = lambda rank, operation, status: None
        self.record = record
        self.ranks = [
            Rank(self, number, f"127.0.7.{number + 1}") for number in range(size)
        ]
        self._store = store
        self._tasks: list[asyncio.Task[None]] = []

    async def start(self) -> None:
        """Start all ranks, their passes and their heartbeats."""
        for rank in self.ranks:
            await rank.start()
            await rank.announce(self._store)
        self._tasks.append(asyncio.create_task(self._run_passes()))
        self._tasks.append(asyncio.create_task(self._send_heartbeats()))

    async def _send_heartbeats(self) -> None:
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            for rank in self.ranks:
                if not rank.is_away:
                    await rank.announce(self._store)

    async def _run_passes(self) -> None:
        began_s = time.monotonic()
        while True:
            await asyncio.sleep(PASS_S)
            step = self.step + 1
            held = [rank.held for rank in self.ranks if rank.held is not None]
            if any(one <= step for one in held):
                continue
            self.longest_stop_s = max(self.longest_stop_s, time.monotonic() - began_s)
            began_s = time.monotonic()
            self._begin_pass(step)

    def _begin_pass(self, step: int) -> None:
        self.step = step
        before = self.ranks[0].version
        for rank in self.ranks:
            rank.begin_pass(step, self.has_shifted)
        self.switches += self.ranks[0].version != before
        versions = [rank.version for rank in self.ranks]
        if len({*versions}) > 1 and not self.broken:
            self.broken = f"pass {step} begins with maps {versions}"
            self.record.write(self.broken)

    def note_order(self, rank: Rank, order: dict[str, Any], status: int) -> None:
        """Record an order and tell the listener."""
        fields = {name: order[name] for name in ("version", "step") if name in order}
        self.record.write(
            f"rank {rank.number}: {order['operation']} {fields} -> {status}"
        )
        self.on_order(rank, order["operation"], status)
