"""Executes orders for the rank beside this process, and locks it for one coordinator.

A coordinator changes the map only while it holds the lock of every rank of the group,
so two coordinators never change maps at the same time. The lock is a lease kept in
memory. A restarted process has lost its lease, but that does not admit a second
coordinator, because the locks of the other ranks are still held.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import Any, Final

import msgspec

from mustardfront.codes import Code
from mustardfront.coordination.rankmaps._loads import CountDeltas
from mustardfront.coordination.rankmaps._revocations import (
    REVOKE_UPTIME_MIN_S,
    Revocation,
    RevocationReply,
    RevokedSteps,
)
from mustardfront.coordination.rankmaps._types import (
    Counts,
    MapChanges,
    OrderKind,
    OrderOutcome,
    RankClient,
    RankExperts,
    RankMaps,
    RankOrder,
    RankReport,
    apply_changes,
)
from mustardfront.decoding import decode_json
from mustardfront.protocol import Order, OrderReply
from mustardfront.results import Err, Ok, Result
from mustardfront.state import LayerMap

LOCK_LEASE_S: Final = 1.5
# Attempts at an order that gets no answer; together they must take less time than a
# coordinator waits for the reply.
ORDER_TRIES: Final = 5
# Maps of this many orders are kept, as orders name the rows that differ from a map.
KEPT_MAPS: Final = 3
# Kinds of the peer message ``Order``.
STATE_QUERY: Final = "state"
ORDER_REQUEST: Final = "order"
GUARD_REQUEST: Final = "guard"
REVOCATION: Final = "revoke"


@dataclass(frozen=True, slots=True)
class StateQuery:
    """A query for a rank's state; ``lock`` also acquires its lock for ``holder``.

    ``unlock`` releases the holder's lock. A rank of another group than ``group`` does
    not answer; ``""``, which coordinators of earlier versions send, is any group.
    """

    holder: str
    lock: bool = True
    unlock: bool = False
    with_counts: bool = False
    with_maps: bool = False
    group: str = ""


@dataclass(frozen=True, slots=True)
class MemberState:
    """A rank's state and whether the querying coordinator holds its lock.

    ``checked`` is the prepared version whose rows were found equal to the ordered ones.
    ``counts`` are those since the previous query of a lock holder that asked for them.
    """

    report: RankReport
    locked: bool
    checked: int | None = None
    counts: Counts | None = None
    maps: RankMaps | None = None


@dataclass(frozen=True, slots=True)
class GroupMember:
    """A rank with the addresses (``"IP:PORT"``) of its agent and of its upstream."""

    rank: int
    agent: str
    upstream: str


@dataclass(frozen=True, slots=True)
class HoldGuard:
    """What the agent of a held rank needs to release its group by itself.

    The ranks are armed for ``version`` at the held step. The rank ``coordinator`` is
    armed after all others.
    """

    group: str
    version: int
    coordinator: int
    members: tuple[GroupMember, ...]


@dataclass(frozen=True, slots=True)
class GuardedHold:
    """A hold of this agent's rank, by the lock of ``holder``."""

    holder: str
    epoch: int
    step: int
    guard: HoldGuard


@dataclass(frozen=True, slots=True)
class OrderRequest:
    """An order to a rank; it is refused unless ``holder`` holds the rank's lock.

    With ``changes`` the order has no layers: its map is the one that they result in.
    """

    holder: str
    order: RankOrder
    changes: MapChanges | None = None


@dataclass(frozen=True, slots=True)
class OrderResult:
    """Outcome of an order, and the rank's state after it (None: unknown).

    ``is_revoked``: the agent has promised to give no such order, and gave none.
    """

    outcome: OrderOutcome
    state: MemberState | None
    is_revoked: bool = False


class RankOrderHandler:
    """Executes the orders for one rank; ``clock`` must count time in suspend too.

    ``last_report`` is the rank's report at the last query of a coordinator.
    """

    def __init__(self, client: RankClient, clock: Callable[[], float]) -> None:
        self._client = client
        self._clock = clock
        self._holder = ""
        self._locked_until = 0.0
        self._ordered_rows: tuple[int, RankExperts] | None = None
        self._checked_version: int | None = None
        self._count_deltas = CountDeltas()
        self.last_report: RankReport | None = None
        self._started_s = clock()
        # The epoch and step up to which the rank was ordered to arm.
        self._armed = (0, 0)
        self._revoked = RevokedSteps()
        # Called when a coordinator is about to hold the rank.
        self.on_hold: Callable[[GuardedHold], None] = lambda hold: None
        # Maps of recent orders by epoch and version, oldest first.
        self._maps: dict[tuple[int, int], tuple[LayerMap, ...]] = {}

    @property
    def holder(self) -> str:
        """Return the name of the lock holder, or ``""`` if the lock is free."""
        return self._holder if self._clock() < self._locked_until else ""

    async def execute_local(self, order: Order) -> OrderReply:
        """Execute an order and return the reply to it."""
        result = await self._dispatch(order)
        if isinstance(result, Err):
            text = msgspec.json.encode({"text": result.text})
            return OrderReply(order.id, int(result.code), text)
        return OrderReply(
            order.id, int(Code.ANSWERED), msgspec.json.encode(result.value)
        )

    async def _dispatch(self, order: Order) -> Result[Any]:
        try:
            if order.kind == STATE_QUERY:
                query = decode_json(order.data, StateQuery)
                return await self._query_state(query)
            if order.kind == ORDER_REQUEST:
                req = decode_json(order.data, OrderRequest)
                return await self._execute_order(req)
            if order.kind == GUARD_REQUEST:
                self.on_hold(decode_json(order.data, GuardedHold))
                return Ok({})
            if order.kind == REVOCATION:
                return await self._revoke(decode_json(order.data, Revocation))
        except msgspec.MsgspecError as exc:
            return Err(Code.BAD_MESSAGE, f"{order.kind}: {exc}")
        return Err(Code.BAD_MESSAGE, f"unknown order kind {order.kind!r}")

    def _acquire_lock(self, holder: str) -> bool:
        if self.holder not in ("", holder):
            return False
        self._holder, self._locked_until = holder, self._clock() + LOCK_LEASE_S
        return True

    async def _query_state(self, query: StateQuery) -> Result[MemberState]:
        if query.unlock and self._holder == query.holder:
            self._locked_until = self._clock()
        locked = self._acquire_lock(query.holder) if query.lock else False
        with_counts = query.with_counts and locked
        state = await self._read_state(locked, with_counts, query.with_maps)
        if isinstance(state, Ok) and query.group:
            group = state.value.report.seat.group
            if group != query.group:
                if locked:
                    self._locked_until = self._clock()
                return Err(Code.RANK_UNREACHABLE, f"this rank is in group {group}")
        return state

    async def _read_state(
        self, locked: bool, with_counts: bool, with_maps: bool
    ) -> Result[MemberState]:
        report = await self._client.report()
        if isinstance(report, Err):
            return report
        self.last_report = report.value
        await self._compare_prepared_rows(report.value)
        counts: Counts | None = None
        maps: RankMaps | None = None
        if with_counts:
            read_counts = await self._client.counts()
            if isinstance(read_counts, Err):
                return read_counts
            counts = self._count_deltas.update(report.value.born_ms, read_counts.value)
        if with_maps:
            held_maps = await self._client.maps()
            if isinstance(held_maps, Err):
                return held_maps
            maps = held_maps.value
        return Ok(
            MemberState(report.value, locked, self._checked_version, counts, maps)
        )

    async def _compare_prepared_rows(self, report: RankReport) -> None:
        """Compare the rows of a newly prepared map with the ordered rows."""
        if report.prepared is None or report.prepared == self._checked_version:
            return
        if self._ordered_rows is None or self._ordered_rows[0] != report.prepared:
            return
        held_maps = await self._client.maps()
        if isinstance(held_maps, Err) or held_maps.value.prepared != report.prepared:
            return
        if held_maps.value.prepared_rows == self._ordered_rows[1]:
            self._checked_version = report.prepared

    async def _execute_order(self, req: OrderRequest) -> Result[OrderResult]:
        if not self._is_locked_for(req.holder):
            return self._fenced()
        self._acquire_lock(req.holder)
        order = self._with_layers(req)
        if order is None:
            return Ok(OrderResult(OrderOutcome.MAP_UNKNOWN, None))
        if order.kind is OrderKind.PREPARE:
            await self._store_ordered_rows(order)
        if order.kind is OrderKind.ARM:
            if self._revoked.covers(order.epoch, order.step):
                return await self._result(OrderOutcome.REFUSED, is_revoked=True)
            # Before the order, which may be executed without an answer.
            self._armed = max(self._armed, (order.epoch, order.step))
        outcome = OrderOutcome.UNKNOWN
        for _ in range(ORDER_TRIES):
            # The process may have been paused since the lock was checked.
            if not self._is_locked_for(req.holder):
                return self._fenced()
            # Orders are idempotent, so one that may have been executed is sent again.
            outcome = await self._client.send_order(order)
            if outcome is not OrderOutcome.UNKNOWN:
                break
        return await self._result(outcome)

    async def _result(
        self, outcome: OrderOutcome, *, is_revoked: bool = False
    ) -> Result[OrderResult]:
        read = await self._read_state(locked=True, with_counts=False, with_maps=False)
        state = read.value if isinstance(read, Ok) else None
        return Ok(OrderResult(outcome, state, is_revoked))

    async def _revoke(self, req: Revocation) -> Result[RevocationReply]:
        """Tell about orders to arm up to a step, and give none any more if asked."""
        was_revoked = self._revoked.covers(req.epoch, req.step)
        # Before the rank is read, so that no order of this agent arms it afterwards.
        self._revoked.apply(req)
        read = await self._client.report()
        has_forgotten = self._clock() - self._started_s < REVOKE_UPTIME_MIN_S
        is_armed = isinstance(read, Ok) and _is_armed(read.value, req)
        return Ok(
            RevocationReply(
                has_ordered=is_armed or self._armed >= (req.epoch, req.step),
                is_certain=isinstance(read, Ok) and not has_forgotten,
                was_revoked=was_revoked,
            )
        )

    def _is_locked_for(self, holder: str) -> bool:
        return bool(holder) and self.holder == holder

    def _fenced(self) -> Err:
        return Err(
            Code.FENCED,
            f"order refused: the lock is held by {self.holder or 'nobody'}",
        )

    def _with_layers(self, req: OrderRequest) -> RankOrder | None:
        """Return the order with its whole map; None if the base map is not known."""
        order = req.order
        if req.changes is not None:
            base = self._maps.get((order.epoch, req.changes.base))
            if base is None:
                return None
            order = replace(order, layers=apply_changes(base, req.changes))
        if order.kind is OrderKind.PREPARE:
            self._maps[order.epoch, order.version] = order.layers
            while len(self._maps) > KEPT_MAPS:
                del self._maps[next(iter(self._maps))]
        return order

    async def _store_ordered_rows(self, order: RankOrder) -> None:
        report = await self._client.report()
        if isinstance(report, Ok):
            rank = report.value.seat.rank
            rows = tuple(tuple(sorted(layer[rank])) for layer in order.layers)
            self._ordered_rows = (order.version, rows)


def _is_armed(report: RankReport, req: Revocation) -> bool:
    """Return whether a rank is armed for the step of a revocation or a later one.

    Its agent may have forgotten the order, or another process gave it.
    """
    armed = report.armed
    return armed is not None and (report.seat.epoch, armed.step) >= (
        req.epoch,
        req.step,
    )
