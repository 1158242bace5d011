"""A queueing model of an engine with batching and a prefix cache."""

from __future__ import annotations

from collections import OrderedDict, deque
from collections.abc import Callable
from dataclasses import dataclass

import trio

from mustardfront.codes import Code
from mustardfront.coordination.limits import AdaptiveLimit, FairQueue
from mustardfront.protocol import LoadReport
from mustardfront.results import Err, Ok, Result

REPORT_INTERVAL_MIN_S = 0.05
REPORT_INTERVAL_MAX_S = 2.0
FAILURE_DELAY_S = 0.05


@dataclass(frozen=True, slots=True)
class TracedRequest:
    """One request of the trace; a ``prefix`` of 0 is never cached."""

    number: int
    at_s: float
    entry: int
    team: str
    prefix: int
    tokens: int
    deadline_s: float


@dataclass(frozen=True, slots=True)
class EngineModel:
    """Times of an engine: serial prefill, and steps that grow with the batch.

    ``reserve_ratio`` is the fair queue's: the share of slots that it reserves.
    """

    slots: int = 16
    prefill_s: float = 0.12
    prefill_hit_s: float = 0.03
    step_s: float = 0.020
    step_s_per_sequence: float = 0.00025
    cache_prefixes: int = 60
    queue: int = 256
    reserve_ratio: float = 0.125

    def capacity(self, mean_tokens: float) -> float:
        """Return the requests a second of a full batch when all prefixes hit."""
        step_s = self.step_s + self.step_s_per_sequence * self.slots
        return self.slots / (self.prefill_hit_s + step_s * mean_tokens)


class Engine:
    """One group with its sidecar: fair queue, prefill, decode, cache, load reports."""

    def __init__(self, name: str, model: EngineModel, slowdown: float) -> None:
        self.name = name
        self.model = model
        self.slowdown = slowdown
        self.failing = False
        self.disconnected = False
        self.slot_limit: Callable[[], int] = lambda: model.slots
        self.queue = FairQueue(
            lambda: self.slot_limit(),
            model.queue,
            model.reserve_ratio,
        )
        self.adaptive: AdaptiveLimit | None = None
        self.on_cache_change: Callable[[int, bool], None] = lambda _prefix, _added: None
        self._cache: OrderedDict[int, None] = OrderedDict()
        self._prefill = trio.Lock()
        self._latency_s = 0.0
        self._running: set[trio.CancelScope] = set()

    @property
    def load(self) -> int:
        """Return the number of requests that run or wait here."""
        return self.queue.in_flight + self.queue.queued

    async def serve(
        self,
        request: TracedRequest,
        weight: float,
        on_first_token: Callable[[bool], None],
    ) -> Result[None]:
        """Run one request; return Err if it is refused, fails or is cut off."""
        if self.disconnected:
            return Err(Code.CONNECT_FAILED, "place is unreachable")
        if self.failing:
            await trio.sleep(FAILURE_DELAY_S)
            return Err(Code.UPSTREAM_DOWN, "engine is failing")
        outcome: Result[None] = Err(
            Code.PEER_LOST, "connection lost while the request ran"
        )
        with trio.CancelScope() as scope:
            self._running.add(scope)
            try:
                outcome = await self._run(request, weight, on_first_token)
            finally:
                self._running.discard(scope)
        return outcome

    async def _run(
        self,
        request: TracedRequest,
        weight: float,
        on_first_token: Callable[[bool], None],
    ) -> Result[None]:
        slot = await self.queue.acquire(request.team, weight, 1, request.deadline_s)
        if isinstance(slot, Err):
            return slot
        with slot.value:
            started_s = trio.current_time()
            async with self._prefill:
                hit = self._use_prefix(request.prefix)
                prefill_s = self.model.prefill_hit_s if hit else self.model.prefill_s
                await trio.sleep(prefill_s * self.slowdown)
            on_first_token(hit)
            batch = self.queue.in_flight
            step_s = self.model.step_s + self.model.step_s_per_sequence * batch
            await trio.sleep(step_s * self.slowdown * request.tokens)
            elapsed_s = trio.current_time() - started_s
            self._latency_s += (elapsed_s - self._latency_s) * 0.1
            if self.adaptive is not None:
                self.adaptive.observe(step_s * self.slowdown, batch, True)
        return Ok(None)

    def _use_prefix(self, prefix: int) -> bool:
        """Return whether the prefix was cached, and make it the newest entry."""
        if not prefix:
            return False
        hit = prefix in self._cache
        self._cache[prefix] = None
        self._cache.move_to_end(prefix)
        if not hit:
            self.on_cache_change(prefix, True)
        if len(self._cache) > self.model.cache_prefixes:
            evicted, _ = self._cache.popitem(last=False)
            self.on_cache_change(evicted, False)
        return hit

    def disconnect(self) -> None:
        """Cut off all running requests, and refuse connections from now on."""
        self.disconnected = True
        for scope in self._running:
            scope.cancel()

    async def send_reports(
        self, deliver: Callable[[LoadReport], None], delay_s: Callable[[], float]
    ) -> None:
        """Send load reports on change and at least every 2 s, late by ``delay_s()``."""
        delayed: deque[tuple[float, LoadReport]] = deque()
        last_load, last_sent_s = -1, float("-inf")
        while True:
            now = trio.current_time()
            while delayed and delayed[0][0] <= now + 1e-9:
                deliver(delayed.popleft()[1])
            changed = (
                self.load != last_load or now - last_sent_s >= REPORT_INTERVAL_MAX_S
            )
            if changed and not self.disconnected:
                last_load, last_sent_s = self.load, now
                delayed.append((now + delay_s(), self._load_report()))
            await trio.sleep(REPORT_INTERVAL_MIN_S)

    def _load_report(self) -> LoadReport:
        return LoadReport(
            self.name,
            self.queue.in_flight,
            self.queue.queued,
            self.slot_limit(),
            "ready",
            self._latency_s * 1_000,
        )
