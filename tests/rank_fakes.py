"""A simulated lock-step group whose orders are late or lost and whose agents fail."""

from __future__ import annotations

import math
import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial

import trio

from mustardfront.codes import Code
from mustardfront.coordination.rankmaps import (
    ORDER_REQUEST,
    ORDER_TIMEOUT_S,
    RELAY_REQUEST,
    STATE_QUERY,
    ArmedSwitch,
    DecayedLoads,
    GroupCoordinator,
    GuardedHold,
    Members,
    OrderKind,
    OrderOutcome,
    RankMaps,
    RankOrder,
    RankOrderHandler,
    RankReport,
    Relay,
    RelayTree,
    guard_hold,
)
from mustardfront.protocol import Order
from mustardfront.results import Err, Ok
from mustardfront.state import EngineModel, RankPosition

LAYERS, EXPERTS, RANKS, SLOTS = 2, 8, 4, 4
STEP_S = 0.05
LOAD_S = 0.2
CALL_TIMEOUT_S = 0.1
MODEL = EngineModel(
    layers=LAYERS,
    experts=EXPERTS,
    slots_per_rank=SLOTS,
    loads_max=4,
    expert_load_s=0.05,
    expert_share=0.85,
)
REPLICATED_LAYERS = tuple(
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
    """The state of one rank that orders change."""

    rank: int
    version: int = 0
    rows: tuple = ()
    newest_version: int = 0
    loading: tuple | None = None
    prepared: tuple | None = None
    armed: ArmedSwitch | None = None
    held: int | None = None
    counts: list[int] = field(default_factory=lambda: [0] * (LAYERS * EXPERTS))


def initial_rows(rank: int) -> tuple:
    row = tuple(expert for expert in range(EXPERTS) if expert % RANKS == rank)
    return (row,) * LAYERS


class FakeGroup:
    """Runs steps and records each one that begins with different maps on the ranks."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.epoch = 1
        self.step = 0
        self.ranks = [FakeRank(rank, rows=initial_rows(rank)) for rank in range(RANKS)]
        self.layers_by_version: dict[int, tuple] = {}
        self.violations: list[str] = []
        self.hot_expert = 0
        self.late_ratio = 0.0
        self.lost_ratio = 0.0
        self.switches_by_version = Counter()
        self.applied_orders: list[RankOrder] = []

    async def run(self) -> None:
        async with trio.open_nursery() as nursery:
            self.nursery = nursery
            while True:
                await trio.sleep(STEP_S)
                self.begin_step()

    def begin_step(self) -> None:
        next_step = self.step + 1
        if any(
            rank_state.held is not None and rank_state.held <= next_step
            for rank_state in self.ranks
        ):
            return
        self.step = next_step
        for rank_state in self.ranks:
            if rank_state.armed is not None and rank_state.armed.step <= next_step:
                rank_state.version, rank_state.rows = rank_state.prepared
                rank_state.armed = rank_state.prepared = None
                self.switches_by_version[rank_state.version] += 1
            for layer in range(LAYERS):
                rank_state.counts[layer * EXPERTS + self.hot_expert] += 50
                rank_state.counts[layer * EXPERTS + self.rng.randrange(EXPERTS)] += 10
        versions = {rank_state.version for rank_state in self.ranks}
        maps_in_force = {
            str(self.layers_by_version[rank_state.version])
            for rank_state in self.ranks
            if rank_state.version
        }
        if len(versions) > 1 or len(maps_in_force) > 1:
            self.violations.append(f"step {next_step}: maps {sorted(versions)}")

    def start_new_epoch(self) -> None:
        """Start a new epoch, as after the restart of a rank."""
        self.epoch += 1
        for rank_state in self.ranks:
            rank_state.version, rank_state.rows, rank_state.newest_version = (
                0,
                initial_rows(rank_state.rank),
                0,
            )
            rank_state.loading = rank_state.prepared = rank_state.armed = (
                rank_state.held
            ) = None
        self.layers_by_version = {}

    def apply_order(self, rank: int, order: RankOrder) -> bool:
        """Apply an order as the platform specifies; return False for a 409 response."""
        rank_state = self.ranks[rank]
        if order.epoch != self.epoch:
            return False
        self.applied_orders.append(order)
        if order.kind is OrderKind.PREPARE:
            if (
                rank_state.prepared is not None
                and rank_state.prepared[0] == order.version
            ):
                return True
            if (
                rank_state.loading is not None
                and rank_state.loading[0] == order.version
            ):
                return True
            if (
                rank_state.armed is not None
                or order.version <= rank_state.newest_version
            ):
                return False
            known = self.layers_by_version.setdefault(order.version, order.layers)
            if known != order.layers:
                self.violations.append(f"version {order.version} stands for two maps")
            rank_state.newest_version = order.version
            rows = tuple(tuple(layer[rank]) for layer in order.layers)
            rank_state.loading, rank_state.prepared = (order.version, rows), None
            self.nursery.start_soon(self._load, rank_state, order.version)
        elif order.kind is OrderKind.ARM:
            if rank_state.armed == ArmedSwitch(order.version, order.step):
                return True
            ready = (
                rank_state.prepared is not None
                and rank_state.prepared[0] == order.version
            )
            if not ready or order.step <= self.step:
                return False
            rank_state.armed = ArmedSwitch(order.version, order.step)
        elif order.kind is OrderKind.DISARM:
            if rank_state.version == order.version:
                return False
            if (
                rank_state.armed is not None
                and rank_state.armed.version == order.version
            ):
                rank_state.armed = None
        elif order.kind is OrderKind.HOLD:
            if rank_state.held == order.step:
                return True
            if rank_state.held is not None or order.step <= self.step:
                return False
            rank_state.held = order.step
        elif rank_state.held == order.step:
            rank_state.held = None
        return True

    async def _load(self, rank_state: FakeRank, version: int) -> None:
        await trio.sleep(LOAD_S)
        if rank_state.loading is not None and rank_state.loading[0] == version:
            rank_state.prepared, rank_state.loading = rank_state.loading, None


class FakeRankClient:
    """Client of one rank whose orders are lost or executed late at random."""

    def __init__(self, group: FakeGroup, rank: int) -> None:
        self._group = group
        self._rank = rank

    async def report(self):
        await trio.sleep(0.001)
        group, rank_state = self._group, self._group.ranks[self._rank]
        return Ok(
            RankReport(
                seat=RankPosition("g", group.epoch, self._rank, RANKS, True),
                born_ms=1,
                step=group.step,
                version=rank_state.version,
                prepared=rank_state.prepared[0] if rank_state.prepared else None,
                armed=rank_state.armed,
                held=rank_state.held,
                queued=0,
                active=6,
            )
        )

    async def counts(self):
        await trio.sleep(0.001)
        return Ok(tuple(self._group.ranks[self._rank].counts))

    async def maps(self):
        await trio.sleep(0.001)
        rank_state = self._group.ranks[self._rank]
        version, rows = rank_state.prepared or (None, ())
        return Ok(
            RankMaps(
                rank_state.version,
                tuple(tuple(sorted(row)) for row in rank_state.rows),
                version,
                tuple(tuple(sorted(row)) for row in rows),
            )
        )

    async def send_order(self, order: RankOrder) -> OrderOutcome:
        group = self._group
        await trio.sleep(0.002)
        draw = group.rng.random()
        if draw < group.lost_ratio:
            await trio.sleep(0.1)
            return OrderOutcome.UNKNOWN
        if draw < group.lost_ratio + group.late_ratio:
            delay_s = group.rng.uniform(2, 12)
            group.nursery.start_soon(self._apply_late, order, delay_s)
            await trio.sleep(0.1)
            return OrderOutcome.UNKNOWN
        done = group.apply_order(self._rank, order)
        return OrderOutcome.DONE if done else OrderOutcome.REFUSED

    async def _apply_late(self, order: RankOrder, delay_s: float) -> None:
        await trio.sleep(delay_s)
        self._group.apply_order(self._rank, order)


class UnreachableRank:
    """Client of a rank that answers nothing."""

    async def report(self):
        await trio.sleep(CALL_TIMEOUT_S)
        return Err(Code.RANK_UNREACHABLE, "no answer")

    async def maps(self):
        return await self.report()

    async def send_order(self, order: RankOrder) -> OrderOutcome:
        await trio.sleep(CALL_TIMEOUT_S)
        return OrderOutcome.UNKNOWN


class FakeAgents:
    """The agents of a group, some of which may be unreachable.

    With ``relayed``, coordinators send requests to two or more agents through one.
    """

    def __init__(self, group: FakeGroup, *, relayed: bool = False) -> None:
        self.relayed = relayed
        self.group = group
        self.clients = [FakeRankClient(group, rank) for rank in range(RANKS)]
        self.handlers = [self.new_handler(rank) for rank in range(RANKS)]
        self.unreachable: set[int] = set()
        # Agents that are frozen; their ranks go on.
        self.silent: set[int] = set()
        # Ranks whose hosts are frozen, so that nobody reaches them.
        self.cut_off: set[int] = set()

    def new_handler(self, rank: int) -> RankOrderHandler:
        return RankOrderHandler(self.clients[rank], trio.current_time)

    def restart(self, rank: int) -> None:
        self.handlers[rank] = self.new_handler(rank)

    def members(self, own_rank: int, holder: str) -> Members:
        return Members(
            "g",
            {rank: f"r{rank}" for rank in range(RANKS)},
            own_rank,
            holder,
            self._tree().send_requests if self.relayed else self.send_requests,
            upstreams={rank: f"u{rank}" for rank in range(RANKS)},
            client_of=self.client_of,
        )

    def guard_holds(self, nursery: trio.Nursery) -> None:
        """Let each agent that is reachable watch the holds of its rank."""
        for rank, handler in enumerate(self.handlers):
            handler.on_hold = partial(self._start_guard, nursery, rank)

    def _start_guard(self, nursery: trio.Nursery, rank: int, hold: GuardedHold) -> None:
        async def guard() -> None:
            members = self.members(rank, hold.holder)
            sleep = partial(self._sleep_unless_frozen, rank)
            await guard_hold(hold, members, self.clients[rank], sleep)

        nursery.start_soon(guard)

    async def _sleep_unless_frozen(self, rank: int, delay_s: float) -> None:
        await trio.sleep(delay_s)
        while rank in self.silent:  # noqa: ASYNC110
            await trio.sleep(0.01)

    def _tree(self) -> RelayTree:
        return RelayTree(
            [f"r{rank}" for rank in range(RANKS)], self.send_directly, direct_max=1
        )

    async def send_directly(self, requests, timeout_s):
        return await self.send_requests(requests)

    def client_of(self, rank: int) -> FakeRankClient | UnreachableRank:
        return UnreachableRank() if rank in self.cut_off else self.clients[rank]

    async def send_requests(self, requests, patience_s=math.inf):
        import msgspec

        answers = {}

        async def send_request(address, kind, data):
            rank = int(address[1:])
            await trio.sleep(0.002)
            if rank in self.silent:
                await trio.sleep(ORDER_TIMEOUT_S)
                answers[address] = Err(Code.RANK_UNREACHABLE, "the agent is silent")
                return
            if rank in self.unreachable:
                answers[address] = Err(
                    Code.RANK_UNREACHABLE, "the agent is unreachable"
                )
                return
            order = Order(1, "g", kind, 0, msgspec.json.encode(data))
            execute = (
                Relay(self.send_directly).execute
                if kind == RELAY_REQUEST
                else self.handlers[rank].execute_local
            )
            reply = await execute(order)
            body = msgspec.json.decode(reply.data)
            if reply.code == Code.ANSWERED:
                answers[address] = Ok(body)
            else:
                answers[address] = Err(Code(reply.code), body["text"])

        with trio.move_on_after(patience_s):
            async with trio.open_nursery() as nursery:
                for address, (kind, data) in requests.items():
                    nursery.start_soon(send_request, address, kind, data)
        return answers


def make_coordinator(
    agents: FakeAgents, own_rank: int, holder: str
) -> GroupCoordinator:
    return GroupCoordinator(
        agents.members(own_rank, holder), MODEL, agents.client_of, DecayedLoads(EXPERTS)
    )


__all__ = [
    "ORDER_REQUEST",
    "STATE_QUERY",
    "Callable",
    "FakeAgents",
    "FakeGroup",
    "make_coordinator",
]
