"""A queueing model of an engine with batch and prefix cache, behind a fair queue."""

from __future__ import annotations

from collections import OrderedDict, deque
from collections.abc import Callable
from dataclasses import dataclass

import trio

from mustardfront.codes import Code
from mustardfront.coordination.limits import AdaptiveLimit, FairQueue
from mustardfront.protocol import LoadReport
from mustardfront.results import Err, Ok, Result

REPORT_MIN_S = 0.05
REPORT_MAX_S = 2.0
FAIL_AFTER_S = 0.05


@dataclass(frozen=True, slots=True)
class Work:
    """One request of the trace; ``prefix`` 0 has nothing to find in a cache."""

    number: int
    at_s: float
    entry: int
    team: str
    prefix: int
    tokens: int
    deadline_s: float


@dataclass(frozen=True, slots=True)
class EngineModel:
    """Times of an engine: a serial prefill, and steps that grow with the batch."""

    slots: int = 16
    prefill_s: float = 0.12
    prefill_hit_s: float = 0.03
    step_s: float = 0.020
    step_each_s: float = 0.00025
    cache_prefixes: int = 60
    queue: int = 256
    reserve_ratio: float = 0.125

    def capacity(self, mean_tokens: float) -> float:
        """Return the requests a second that one group of full batch can serve."""
        step_s = self.step_s + self.step_each_s * self.slots
        return self.slots / (self.prefill_hit_s + step_s * mean_tokens)


class Engine:
    """One group with its sidecar: queue, prefill, decode, cache and load reports."""

    def __init__(self, name: str, model: EngineModel, slow: float) -> None:
        self.name = name
        self.model = model
        self.slow = slow
        self.failing = False
        self.lost = False
        self.slot_limit: Callable[[], int] = lambda: model.slots
        self.queue = FairQueue(
            lambda: self.slot_limit(),
            model.queue,
            model.reserve_ratio,
        )
        self.adaptive: AdaptiveLimit | None = None
        self.on_cached: Callable[[int, bool], None] = lambda _prefix, _added: None
        self._cache: OrderedDict[int, None] = OrderedDict()
        self._prefill = trio.Lock()
        self._latency_s = 0.0
        self._scopes: set[trio.CancelScope] = set()

    @property
    def load(self) -> int:
        """Return the requests here, running and waiting."""
        return self.queue.in_flight + self.queue.queued

    async def serve(
        self, work: Work, weight: float, on_first: Callable[[bool], None]
    ) -> Result[None]:
        """Run one request; Err when it was refused, failed or was cut off."""
        if self.lost:
            return Err(Code.CONNECT_FAILED, "place lost")
        if self.failing:
            await trio.sleep(FAIL_AFTER_S)
            return Err(Code.UPSTREAM_DOWN, "failing")
        outcome: Result[None] = Err(Code.PEER_LOST, "cut off")
        with trio.CancelScope() as scope:
            self._scopes.add(scope)
            try:
                outcome = await self._run(work, weight, on_first)
            finally:
                self._scopes.discard(scope)
        return outcome

    async def _run(
        self, work: Work, weight: float, on_first: Callable[[bool], None]
    ) -> Result[None]:
        slot = await self.queue.acquire(work.team, weight, 1, work.deadline_s)
        if isinstance(slot, Err):
            return slot
        with slot.value:
            begun = trio.current_time()
            async with self._prefill:
                hit = self._look_up(work.prefix)
                seconds = self.model.prefill_hit_s if hit else self.model.prefill_s
                await trio.sleep(seconds * self.slow)
            on_first(hit)
            batch = self.queue.in_flight
            step_s = self.model.step_s + self.model.step_each_s * batch
            await trio.sleep(step_s * self.slow * work.tokens)
            taken = trio.current_time() - begun
            self._latency_s += (taken - self._latency_s) * 0.1
            if self.adaptive is not None:
                self.adaptive.observe(step_s * self.slow, batch, True)
        return Ok(None)

    def _look_up(self, prefix: int) -> bool:
        if not prefix:
            return False
        hit = prefix in self._cache
        self._cache[prefix] = None
        self._cache.move_to_end(prefix)
        if not hit:
            self.on_cached(prefix, True)
        if len(self._cache) > self.model.cache_prefixes:
            evicted, _ = self._cache.popitem(last=False)
            self.on_cached(evicted, False)
        return hit

    def lose(self) -> None:
        """Cut off everything that runs, and refuse connections."""
        self.lost = True
        for scope in self._scopes:
            scope.cancel()

    async def report(
        self, deliver: Callable[[LoadReport], None], delay_s: Callable[[], float]
    ) -> None:
        """Report on change and every 2 s, each report late by ``delay_s()``."""
        waiting: deque[tuple[float, LoadReport]] = deque()
        last_load, last_at = -1, float("-inf")
        while True:
            now = trio.current_time()
            while waiting and waiting[0][0] <= now + 1e-9:
                deliver(waiting.popleft()[1])
            changed = self.load != last_load or now - last_at >= REPORT_MAX_S
            if changed and not self.lost:
                last_load, last_at = self.load, now
                waiting.append((now + delay_s(), self._load_report()))
            await trio.sleep(REPORT_MIN_S)

    def _load_report(self) -> LoadReport:
        return LoadReport(
            self.name,
            self.queue.in_flight,
            self.queue.queued,
            self.slot_limit(),
            "ready",
            self._latency_s * 1_000,
        )
