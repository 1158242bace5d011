"""Entries before lock-step groups of engines, played in virtual time.

Each entry knows its own requests in flight, and under some decisions what the others
reported. The choices and the order of waiting requests are the product's own functions.
"""

from __future__ import annotations

import heapq
import random
from collections import deque
from dataclasses import dataclass, field, replace
from typing import Final

from bench._shared_load import (
    Decision,
    FleetLoad,
    FleetResult,
    KindLoad,
    KindResult,
)
from mustardfront.coordination.traffic import (
    REPORT_INTERVAL_S,
    AdmissionQueue,
    Demand,
    LoadReport,
    PeerLoads,
    PlaceTurns,
    Upstream,
    Waiter,
    assign_upstreams,
    choose_upstream,
    expected_foreign_load,
    known_loads,
    reported_loads,
    with_room,
)
from mustardfront.state import RankPosition, UpstreamInstance, UpstreamState

TICK_S: Final = 0.005
# One way between an entry and an upstream, and between entries.
NETWORK_S: Final = 0.001
# Output tokens of the first event of a stream.
EVENT_TOKENS: Final = 6
# Requests that wait in an upstream's own queue beyond its slots.
UPSTREAM_QUEUE: Final = 10


@dataclass(slots=True)
class _Request:
    kind: KindLoad
    entry: int
    arrived_at: float
    read_left: float
    tokens_left: float
    tokens_to_first: float = EVENT_TOKENS
    first_at: float | None = None
    is_ended: bool = False
    upstream: int | None = None


@dataclass(slots=True)
class _Engine:
    group: int
    active: list[_Request] = field(default_factory=list)
    queue: list[tuple[int, int, _Request]] = field(default_factory=list)


class _Entry:
    def __init__(self, fleet: FleetRun, index: int) -> None:
        self.index = index
        self.name = f"e{index:03}"
        self.view = fleet.make_view()
        self.peers = PeerLoads(lambda: fleet.now_s)
        self.queue: AdmissionQueue[_Request] = AdmissionQueue(lambda: fleet.now_s)
        self.own = assign_upstreams(self.view, fleet.names, self.name)
        self.turns = PlaceTurns(fleet.rng.random)
        # The upstream that a request has just left.
        self.released: int | None = None


class FleetRun:
    """One run of a fleet under a decision."""

    def __init__(self, load: FleetLoad, decision: Decision, seed: int) -> None:
        self.load = load
        self.decision = decision
        self.now_s = 0.0
        self.rng = random.Random(seed)
        self.names = [f"e{index:03}" for index in range(load.entries)]
        self.entries = [_Entry(self, index) for index in range(load.entries)]
        self.engines = [
            _Engine(index // load.group_size) for index in range(load.upstreams)
        ]
        self.shares = [self.rng.uniform(0.5, 1.5) for _ in self.entries]
        self.shares[0] *= load.busy_entry_ratio
        self.in_transit: list[tuple[float, int, _Request]] = []
        self.count = 0
        self.result = FleetResult(
            {kind.name: KindResult() for kind in load.kinds},
            dict.fromkeys((one.instance for one in self.entries[0].view), 0),
        )
        self.sent: deque[tuple[float, LoadReport, _Entry]] = deque()

    def make_view(self) -> list[Upstream]:
        """Return an entry's own view of all upstreams."""
        load = self.load
        return [
            Upstream(
                UpstreamInstance(
                    f"u{index:04}",
                    "svc",
                    ("10.0.0.1", 80),
                    f"p{index * 3 // load.upstreams}",
                    UpstreamState.READY,
                    load.slots,
                    seat=RankPosition(
                        f"g{index // load.group_size}", 1, 0, load.group_size, True
                    ),
                )
            )
            for index in range(load.upstreams)
        ]

    def play(self) -> FleetResult:
        """Play the run and return its outcome."""
        next_report_s = 0.0
        samples: list[float] = []
        idle: list[float] = []
        arrivals = self._draw_arrivals()
        while self.now_s < self.load.duration_s:
            self.now_s += TICK_S
            while arrivals and arrivals[-1].arrived_at <= self.now_s:
                self._ask(arrivals.pop())
            self._deliver()
            self._run_engines()
            self._give_up()
            if self.now_s >= next_report_s:
                next_report_s += REPORT_INTERVAL_S
                self._report()
                samples.append(self._unevenness())
                idle.append(self._idle_beside_overrun())
            self._receive_reports()
        self.result.uneven_ratio = sum(samples) / len(samples)
        self.result.idle_beside_overrun = sum(idle) / len(idle)
        return self.result

    def _draw_arrivals(self) -> list[_Request]:
        rng, found = self.rng, []
        for kind in self.load.kinds:
            now = 0.0
            while now < self.load.duration_s - kind.objective_s:
                factor = 1.0
                for start, end, times in kind.bursts:
                    factor = times if start <= now < end else factor
                now += rng.expovariate(kind.per_s * factor)
                joins_at = self.load.joins_at_s
                is_before = joins_at is not None and now < joins_at
                shares = self.shares[:-1] if is_before else self.shares
                entry = rng.choices(range(len(shares)), shares)[0]
                prompt = rng.lognormvariate(-0.3, 0.77) * kind.prompt_tokens
                output = rng.lognormvariate(-0.25, 0.7) * kind.output_tokens
                read_s = prompt / self.load.read_tokens_per_s
                tokens = max(EVENT_TOKENS, output)
                found.append(_Request(kind, entry, now, read_s, tokens))
        return sorted(found, key=lambda one: -one.arrived_at)

    def _ask(self, req: _Request) -> None:
        self.result.kinds[req.kind.name].asked += 1
        entry = self.entries[req.entry]
        if not self.decision.has_admission:
            self._send(entry, req, self._choose(entry, entry.view))
            return
        waiter = Waiter(self._demand(req), req)
        if self._is_frozen(entry):
            entry.queue.add(waiter)
            return
        if entry.queue.goes_first(waiter.demand) and self._place(entry, waiter):
            return
        entry.queue.add(waiter)

    def _demand(self, req: _Request) -> Demand:
        lead_s = 0.25 * req.kind.objective_s
        objective_at = req.arrived_at + req.kind.objective_s - lead_s
        return Demand(req.kind.priority, objective_at, req.arrived_at)

    def _place(self, entry: _Entry, waiter: Waiter[_Request]) -> bool:
        priorities = {kind.priority for kind in self.load.kinds}
        is_least = len(priorities) > 1 and waiter.demand.priority == max(priorities)
        candidates = with_room(
            entry.view,
            entry.peers,
            entry.own,
            entry.turns,
            entry.released,
            is_least_urgent=is_least,
        )
        chosen = self._choose(entry, candidates)
        if chosen is None:
            return False
        self._send(entry, waiter.handle, chosen)
        return True

    def _choose(self, entry: _Entry, candidates: list[Upstream]) -> Upstream | None:
        name = self.decision.name
        if name == "two-choices" and candidates:
            candidates = self.rng.sample(candidates, min(2, len(candidates)))
        if name == "spare-shares" and candidates:
            mean = expected_foreign_load(entry.view, len(self.entries))
            slots = self.load.slots
            spare = [max(0.05, slots - one.in_flight - mean) for one in candidates]
            return self.rng.choices(candidates, spare)[0]
        load = None
        if name == "reports":
            load = known_loads(entry.peers, len(self.entries), entry.own)
        own = entry.own if name in ("assigned", "reports") else frozenset()
        foreign = 0.0
        if name == "assigned" or (name == "reports" and load is None):
            foreign = expected_foreign_load(entry.view, len(self.entries))
        tie = self.rng.random
        return choose_upstream(candidates, own, foreign, "", tie, known_load=load)

    def _send(self, entry: _Entry, req: _Request, upstream: Upstream | None) -> None:
        if upstream is None:
            return
        upstream.in_flight += 1
        req.upstream = int(upstream.instance[1:])
        self.count += 1
        heapq.heappush(self.in_transit, (self.now_s + NETWORK_S, self.count, req))

    def _deliver(self) -> None:
        while self.in_transit and self.in_transit[0][0] <= self.now_s:
            _, number, req = heapq.heappop(self.in_transit)
            if req.is_ended or req.upstream is None:
                continue
            engine = self.engines[req.upstream]
            instance = f"u{req.upstream:04}"
            self.result.arrivals[instance] += 1
            if len(engine.queue) >= UPSTREAM_QUEUE:
                self._reject(req)
                continue
            urgency = req.kind.priority if self.decision.has_urgency else 0
            heapq.heappush(engine.queue, (urgency, number, req))

    def _reject(self, req: _Request) -> None:
        self.result.rejected += 1
        room = sum(self.load.slots - len(one.active) for one in self.engines)
        waiting = sum(len(one.queue) for one in self.engines)
        self.result.rejected_beside_room += room > waiting
        self._release(req)
        if self.now_s - req.arrived_at < req.kind.abandon_s / 2:
            # The entry tries another upstream.
            self._ask_again(req)
        else:
            self._end(req)

    def _ask_again(self, req: _Request) -> None:
        entry = self.entries[req.entry]
        others = [one for one in entry.view if int(one.instance[1:]) != req.upstream]
        self._send(entry, req, self._choose(entry, others))

    def _run_engines(self) -> None:
        writing: dict[int, int] = {}
        for engine in self.engines:
            while engine.queue and len(engine.active) < self.load.slots:
                req = heapq.heappop(engine.queue)[2]
                if not req.is_ended:
                    engine.active.append(req)
            busiest = writing.get(engine.group, 0)
            writing[engine.group] = max(busiest, len(engine.active))
        tokens = {group: self._tokens(group, most) for group, most in writing.items()}
        for engine in self.engines:
            if tokens[engine.group]:
                for req in tuple(engine.active):
                    self._advance(engine, req, tokens[engine.group])

    def _tokens(self, group: int, writing: int) -> float:
        """Return the tokens that each stream of a group gets in a tick."""
        if any(s <= self.now_s < e and g == group for s, e, g in self.load.stalls):
            return 0.0
        step_s = self.load.step_s + writing * self.load.per_request_s
        return TICK_S / (step_s * self.load.slow.get(group, 1.0))

    def _advance(self, engine: _Engine, req: _Request, tokens: float) -> None:
        if req.read_left > 0:
            req.read_left -= TICK_S
            return
        req.tokens_left -= tokens
        req.tokens_to_first -= tokens
        if req.first_at is None and req.tokens_to_first <= 0:
            self._record_first(req)
        if req.tokens_left <= 0:
            engine.active.remove(req)
            self._release(req)
            self._end(req)

    def _record_first(self, req: _Request) -> None:
        req.first_at = self.now_s + NETWORK_S
        elapsed_s = req.first_at - req.arrived_at
        found = self.result.kinds[req.kind.name]
        found.first_event_s.append(elapsed_s)
        if elapsed_s <= req.kind.objective_s:
            found.in_objective += 1
        else:
            found.late += 1

    def _release(self, req: _Request) -> None:
        entry = self.entries[req.entry]
        if req.upstream is None:
            return
        entry.view[req.upstream].in_flight -= 1
        entry.released = entry.view[req.upstream].key
        self._grant(entry)
        entry.released = None

    def _grant(self, entry: _Entry) -> None:
        if self.decision.has_admission and not self._is_frozen(entry):
            entry.queue.grant(lambda waiter: self._place(entry, waiter))

    def _end(self, req: _Request) -> None:
        if not req.is_ended and req.first_at is None:
            self.result.kinds[req.kind.name].unserved += 1
        req.is_ended = True

    def _give_up(self) -> None:
        """Let callers that wait for too long leave."""
        for engine in self.engines:
            for _, _, req in engine.queue:
                if not req.is_ended and self._is_given_up(req):
                    self._release(req)
                    self._end(req)
            kept = [item for item in engine.queue if not item[2].is_ended]
            if len(kept) < len(engine.queue):
                heapq.heapify(kept)
                engine.queue = kept
            for req in tuple(engine.active):
                if req.first_at is None and self._is_given_up(req):
                    engine.active.remove(req)
                    self._release(req)
                    self._end(req)
        for entry in self.entries:
            for waiter in tuple(entry.queue.waiters):
                if self._is_given_up(waiter.handle):
                    entry.queue.discard(waiter)
                    self._end(waiter.handle)

    def _is_given_up(self, req: _Request) -> bool:
        return self.now_s - req.arrived_at > req.kind.abandon_s

    def _is_frozen(self, entry: _Entry) -> bool:
        return any(
            start <= self.now_s < end and index == entry.index
            for start, end, index in self.load.frozen
        )

    def _report(self) -> None:
        if self.decision.name != "reports":
            return
        number = round(self.now_s / TICK_S)
        for entry in self.entries:
            if self._is_frozen(entry):
                continue
            loads = reported_loads((one.key, one.in_flight) for one in entry.view)
            entry.peers.drop_old()
            entry.turns.draw(
                (one.key for one in entry.view),
                len(entry.queue),
                entry.peers.waiting_count(),
            )
            report = LoadReport(entry.name, number, loads, len(entry.queue))
            at_s = self.now_s + 2 * NETWORK_S + self.rng.uniform(0, REPORT_INTERVAL_S)
            for peer in self.entries:
                if peer is not entry:
                    self.sent.append((at_s, report, peer))
                    self.result.reports += 1

    def _receive_reports(self) -> None:
        due = [item for item in self.sent if item[0] <= self.now_s]
        if not due:
            return
        self.sent = deque(item for item in self.sent if item[0] > self.now_s)
        for _, report, peer in due:
            if not self._is_frozen(peer):
                peer.peers.record(replace(report))
        for entry in {item[2].index: item[2] for item in due}.values():
            self._grant(entry)

    def _loads(self) -> list[int]:
        return [len(one.active) + len(one.queue) for one in self.engines]

    def _unevenness(self) -> float:
        loads = self._loads()
        return max(loads) * len(loads) / max(1, sum(loads))

    def _idle_beside_overrun(self) -> float:
        """Return the share of slots that idle while others' requests wait for one."""
        idle = sum(self.load.slots - len(one.active) for one in self.engines)
        waiting = sum(len(one.queue) for one in self.engines)
        return min(idle, waiting) / (self.load.slots * len(self.engines))
