"""Exchange of the ranks: a step completes when every rank has joined it."""

from __future__ import annotations

import json
from collections import deque
from typing import Any

import trio

from mustardfront_standins._serving import Receive, Scope, Send, read_body, send_json

# Steps whose maps are kept for the check; recorded faults are never dropped.
_MAX_STEPS = 100_000


class Exchange:
    """Barrier for each (formation, step) that records the map of each rank."""

    def __init__(self, ranks: int) -> None:
        self._ranks = ranks
        self._versions_by_step: dict[tuple[int, int], dict[int, int]] = {}
        self._completed: dict[tuple[int, int], trio.Event] = {}
        self._recorded_steps: deque[tuple[int, int]] = deque()
        self.steps = 0
        self.faults: list[dict[str, Any]] = []
        # First completed step of each (formation epoch, map version).
        self.maps: dict[tuple[int, int], int] = {}

    async def join_step(self, epoch: int, step: int, rank: int, version: int) -> None:
        """Record the map of a rank for a step and wait until all ranks have joined."""
        key = (epoch, step)
        if key not in self._versions_by_step:
            self._versions_by_step[key], self._completed[key] = {}, trio.Event()
            self._recorded_steps.append(key)
            if len(self._recorded_steps) > _MAX_STEPS:
                del self._versions_by_step[self._recorded_steps.popleft()]
        versions, completed = self._versions_by_step[key], self._completed.get(key)
        if (
            versions.setdefault(rank, version) != version
            or len(set(versions.values())) > 1
        ):
            self.faults.append({"epoch": epoch, "step": step, "maps": dict(versions)})
        if completed is None:
            return
        if len(versions) == self._ranks:
            self.steps += 1
            self.maps.setdefault((epoch, version), step)
            self._completed.pop(key)
            completed.set()
        await completed.wait()

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Handle one request."""
        if scope["path"] == "/steps":
            maps = [[*key, step] for key, step in self.maps.items()]
            answer = {"steps": self.steps, "faults": self.faults, "maps": maps}
            await send_json(send, 200, answer)
            return
        part = json.loads(await read_body(receive))
        await self.join_step(
            part["epoch"], part["step"], part["rank"], part["map_version"]
        )
        await send_json(send, 200, {})
