"""The ranks' exchange: a step ends for all ranks when all have taken part in it."""

from __future__ import annotations

import json
from collections import deque
from typing import Any

import trio

from mustardfront_standins._serving import Receive, Scope, Send, read_body, send_json

# Steps kept for a check; a fault is kept for ever.
_STEPS_KEPT = 100_000


class Exchange:
    """Barrier for each (formation, step), with a record of the maps used in it."""

    def __init__(self, ranks: int) -> None:
        self._ranks = ranks
        self._parts: dict[tuple[int, int], dict[int, int]] = {}
        self._done: dict[tuple[int, int], trio.Event] = {}
        self._order: deque[tuple[int, int]] = deque()
        self.steps = 0
        self.faults: list[dict[str, Any]] = []
        # The first completed step of each (formation, map).
        self.maps: dict[tuple[int, int], int] = {}

    async def take_part(self, epoch: int, step: int, rank: int, version: int) -> None:
        """Note a rank's map for a step and return when all ranks have begun it."""
        key = (epoch, step)
        if key not in self._parts:
            self._parts[key], self._done[key] = {}, trio.Event()
            self._order.append(key)
            if len(self._order) > _STEPS_KEPT:
                del self._parts[self._order.popleft()]
        parts, done = self._parts[key], self._done.get(key)
        if parts.setdefault(rank, version) != version or len(set(parts.values())) > 1:
            self.faults.append({"epoch": epoch, "step": step, "maps": dict(parts)})
        if done is None:
            return
        if len(parts) == self._ranks:
            self.steps += 1
            self.maps.setdefault((epoch, version), step)
            self._done.pop(key)
            done.set()
        await done.wait()

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Answer one request."""
        if scope["path"] == "/steps":
            maps = [[*key, step] for key, step in self.maps.items()]
            answer = {"steps": self.steps, "faults": self.faults, "maps": maps}
            await send_json(send, 200, answer)
            return
        part = json.loads(await read_body(receive))
        await self.take_part(
            part["epoch"], part["step"], part["rank"], part["map_version"]
        )
        await send_json(send, 200, {})
