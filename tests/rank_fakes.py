"""A lock-step group whose ranks take orders late, lose them, restart and re-form."""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

import trio

from mustardfront.codes import Code
from mustardfront.coordination.rankmaps import (
    ASK_ORDER,
    ASK_STATE,
    Armed,
    HeldMaps,
    Leader,
    LoadWindow,
    Members,
    OrderKind,
    OrderOutcome,
    RankDesk,
    RankOrder,
    RankReport,
)
from mustardfront.protocol import Order
from mustardfront.results import Err, Ok
from mustardfront.state import EngineModel, RankSeat

LAYERS, EXPERTS, RANKS, SLOTS = 2, 8, 4, 4
PASS_S = 0.05
LOAD_S = 0.2
MODEL = EngineModel(
    layers=LAYERS,
    experts=EXPERTS,
    slots_per_rank=SLOTS,
    loads_max=4,
    expert_load_s=0.05,
    expert_share=0.85,
)
SPREAD = tuple(
    tuple(
        tuple(
            sorted(
                {expert for expert in range(EXPERTS) if expert % RANKS == rank} | {0}
            )
        )
        for rank in range(RANKS)
    )
    for _ in range(LAYERS)
)


@dataclass
class FakeRank:
    """One rank's map state, as the orders change it."""

    rank: int
    version: int = 0
    rows: tuple = ()
    seen: int = 0
    loading: tuple | None = None
    prepared: tuple | None = None
    armed: Armed | None = None
    held: int | None = None
    counts: list[int] = field(default_factory=lambda: [0] * (LAYERS * EXPERTS))


def first_rows(rank: int) -> tuple:
    row = tuple(expert for expert in range(EXPERTS) if expert % RANKS == rank)
    return (row,) * LAYERS


class FakeGroup:
    """Runs passes and records each one that begins on unequal maps."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.epoch = 1
        self.step = 0
        self.ranks = [FakeRank(rank, rows=first_rows(rank)) for rank in range(RANKS)]
        self.full: dict[int, tuple] = {}
        self.violations: list[str] = []
        self.hot = 0
        self.late_share = 0.0
        self.lost_share = 0.0
        self.switched = Counter()
        self.carried_out: list[RankOrder] = []

    async def run(self) -> None:
        async with trio.open_nursery() as nursery:
            self.nursery = nursery
            while True:
                await trio.sleep(PASS_S)
                self.begin_pass()

    def begin_pass(self) -> None:
        following = self.step + 1
        if any(one.held is not None and one.held <= following for one in self.ranks):
            return
        self.step = following
        for one in self.ranks:
            if one.armed is not None and one.armed.step <= following:
                one.version, one.rows = one.prepared
                one.armed = one.prepared = None
                self.switched[one.version] += 1
            for layer in range(LAYERS):
                one.counts[layer * EXPERTS + self.hot] += 50
                one.counts[layer * EXPERTS + self.rng.randrange(EXPERTS)] += 10
        versions = {one.version for one in self.ranks}
        contents = {str(self.full[one.version]) for one in self.ranks if one.version}
        if len(versions) > 1 or len(contents) > 1:
            self.violations.append(f"step {following}: maps {sorted(versions)}")

    def reform(self) -> None:
        """End the epoch as a rank's restart does."""
        self.epoch += 1
        for one in self.ranks:
            one.version, one.rows, one.seen = 0, first_rows(one.rank), 0
            one.loading = one.prepared = one.armed = one.held = None
        self.full = {}

    def carry_out(self, rank: int, order: RankOrder) -> bool:
        """Apply an order as the platform's page says; False: 409."""
        one = self.ranks[rank]
        if order.epoch != self.epoch:
            return False
        self.carried_out.append(order)
        if order.kind is OrderKind.PREPARE:
            if one.prepared is not None and one.prepared[0] == order.version:
                return True
            if one.loading is not None and one.loading[0] == order.version:
                return True
            if one.armed is not None or order.version <= one.seen:
                return False
            known = self.full.setdefault(order.version, order.layers)
            if known != order.layers:
                self.violations.append(f"version {order.version} has two contents")
            one.seen = order.version
            rows = tuple(tuple(layer[rank]) for layer in order.layers)
            one.loading, one.prepared = (order.version, rows), None
            self.nursery.start_soon(self._load, one, order.version)
        elif order.kind is OrderKind.ARM:
            if one.armed == Armed(order.version, order.step):
                return True
            ready = one.prepared is not None and one.prepared[0] == order.version
            if not ready or order.step <= self.step:
                return False
            one.armed = Armed(order.version, order.step)
        elif order.kind is OrderKind.DISARM:
            if one.version == order.version:
                return False
            if one.armed is not None and one.armed.version == order.version:
                one.armed = None
        elif order.kind is OrderKind.HOLD:
            if one.held == order.step:
                return True
            if one.held is not None or order.step <= self.step:
                return False
            one.held = order.step
        elif one.held == order.step:
            one.held = None
        return True

    async def _load(self, one: FakeRank, version: int) -> None:
        await trio.sleep(LOAD_S)
        if one.loading is not None and one.loading[0] == version:
            one.prepared, one.loading = one.loading, None


class FakePort:
    """The calls to one rank; orders get lost or are carried out late."""

    def __init__(self, group: FakeGroup, rank: int) -> None:
        self._group = group
        self._rank = rank

    async def report(self):
        await trio.sleep(0.001)
        group, one = self._group, self._group.ranks[self._rank]
        return Ok(
            RankReport(
                seat=RankSeat("g", group.epoch, self._rank, RANKS, True),
                born_ms=1,
                step=group.step,
                version=one.version,
                prepared=one.prepared[0] if one.prepared else None,
                armed=one.armed,
                held=one.held,
                queued=0,
                active=6,
            )
        )

    async def counts(self):
        await trio.sleep(0.001)
        return Ok(tuple(self._group.ranks[self._rank].counts))

    async def maps(self):
        await trio.sleep(0.001)
        one = self._group.ranks[self._rank]
        version, rows = one.prepared or (None, ())
        return Ok(
            HeldMaps(
                one.version,
                tuple(tuple(sorted(row)) for row in one.rows),
                version,
                tuple(tuple(sorted(row)) for row in rows),
            )
        )

    async def order(self, order: RankOrder) -> OrderOutcome:
        group = self._group
        await trio.sleep(0.002)
        luck = group.rng.random()
        if luck < group.lost_share:
            await trio.sleep(0.1)
            return OrderOutcome.UNKNOWN
        if luck < group.lost_share + group.late_share:
            delay_s = group.rng.uniform(2, 12)
            group.nursery.start_soon(self._late, order, delay_s)
            await trio.sleep(0.1)
            return OrderOutcome.UNKNOWN
        done = group.carry_out(self._rank, order)
        return OrderOutcome.DONE if done else OrderOutcome.REFUSED

    async def _late(self, order: RankOrder, delay_s: float) -> None:
        await trio.sleep(delay_s)
        self._group.carry_out(self._rank, order)


class FakeDesks:
    """The desks of a group, some of which may be out of reach."""

    def __init__(self, group: FakeGroup) -> None:
        self.group = group
        self.ports = [FakePort(group, rank) for rank in range(RANKS)]
        self.desks = [self.new_desk(rank) for rank in range(RANKS)]
        self.gone: set[int] = set()

    def new_desk(self, rank: int) -> RankDesk:
        return RankDesk(self.ports[rank], trio.current_time)

    def restart(self, rank: int) -> None:
        self.desks[rank] = self.new_desk(rank)

    def members(self, own: int, holder: str) -> Members:
        return Members(
            "g", {rank: f"r{rank}" for rank in range(RANKS)}, own, holder, self.ask
        )

    def port_of(self, rank: int) -> FakePort:
        return self.ports[rank]

    async def ask(self, orders):
        import msgspec

        answers = {}

        async def one(name, kind, data):
            rank = int(name[1:])
            await trio.sleep(0.002)
            if rank in self.gone:
                answers[name] = Err(Code.RANK_UNREACHABLE, "gone")
                return
            order = Order(1, "g", kind, 0, msgspec.json.encode(data))
            reply = await self.desks[rank].local(order)
            body = msgspec.json.decode(reply.data)
            if reply.code == Code.ANSWERED:
                answers[name] = Ok(body)
            else:
                answers[name] = Err(Code(reply.code), body["text"])

        async with trio.open_nursery() as nursery:
            for name, (kind, data) in orders.items():
                nursery.start_soon(one, name, kind, data)
        return answers


def leader(desks: FakeDesks, own: int, holder: str) -> Leader:
    return Leader(desks.members(own, holder), MODEL, desks.port_of, LoadWindow(EXPERTS))


__all__ = ["ASK_ORDER", "ASK_STATE", "Callable", "FakeDesks", "FakeGroup", "leader"]
