"""Orders to the rank beside this process, and who may give them.

A coordinator changes the map only while it holds the lock of every rank of the group,
so two coordinators never work on two maps at a time. The lock is a lease in memory: a
process that starts anew has forgotten it, which lets nobody in, as the other ranks'
locks are still held.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Final

import msgspec

from mustardfront.codes import Code
from mustardfront.coordination.rankmaps._loads import CountsSince
from mustardfront.coordination.rankmaps._types import (
    Counts,
    HeldMaps,
    OrderKind,
    OrderOutcome,
    RankOrder,
    RankPort,
    RankReport,
    RankRows,
)
from mustardfront.protocol import Order, OrderReply
from mustardfront.results import Err, Ok, Result

LOCK_S: Final = 1.5
# Tries of an order without an answer, within the time that a coordinator waits.
ORDER_TRIES: Final = 3
ASK_STATE: Final = "state"
ASK_ORDER: Final = "order"


@dataclass(frozen=True, slots=True)
class StateQuery:
    """Asks for a rank's state and, with ``lock``, for its lock in ``holder``'s name.

    ``unlock`` gives the holder's lock back.
    """

    holder: str
    lock: bool = True
    unlock: bool = False
    with_counts: bool = False
    with_maps: bool = False


@dataclass(frozen=True, slots=True)
class MemberState:
    """A rank's state; ``checked`` is the prepared version whose rows were compared.

    ``counts`` are those since the last lock holder's query that asked for them.
    """

    report: RankReport
    locked: bool
    checked: int | None = None
    counts: Counts | None = None
    maps: HeldMaps | None = None


@dataclass(frozen=True, slots=True)
class OrderRequest:
    """An order in a lock holder's name; ``release`` and repeats need no lock."""

    holder: str
    order: RankOrder


@dataclass(frozen=True, slots=True)
class OrderResult:
    """What came of an order, and the state after it (None: not known)."""

    outcome: OrderOutcome
    state: MemberState | None


class RankDesk:
    """Handles the orders for one rank; ``clock`` counts suspended time too."""

    def __init__(self, port: RankPort, clock: Callable[[], float]) -> None:
        self._port = port
        self._clock = clock
        self._holder = ""
        self._held_until = 0.0
        self._expected: tuple[int, RankRows] | None = None
        self._checked: int | None = None
        self._counted = CountsSince()

    @property
    def holder(self) -> str:
        """Return who holds the lock, or ``""``."""
        return self._holder if self._clock() < self._held_until else ""

    async def local(self, order: Order) -> OrderReply:
        """Carry out an order and return its reply."""
        result = await self._handle(order)
        if isinstance(result, Err):
            text = msgspec.json.encode({"text": result.text})
            return OrderReply(order.id, int(result.code), text)
        return OrderReply(
            order.id, int(Code.ANSWERED), msgspec.json.encode(result.value)
        )

    async def _handle(self, order: Order) -> Result[Any]:
        try:
            if order.kind == ASK_STATE:
                query = msgspec.json.decode(order.data, type=StateQuery)
                return await self._state(query)
            if order.kind == ASK_ORDER:
                req = msgspec.json.decode(order.data, type=OrderRequest)
                return await self._order(req)
        except msgspec.MsgspecError as exc:
            return Err(Code.BAD_MESSAGE, f"{order.kind}: {exc}")
        return Err(Code.BAD_MESSAGE, f"unknown order {order.kind!r}")

    def _lock(self, holder: str) -> bool:
        if self.holder not in ("", holder):
            return False
        self._holder, self._held_until = holder, self._clock() + LOCK_S
        return True

    async def _state(self, query: StateQuery) -> Result[MemberState]:
        if query.unlock and self._holder == query.holder:
            self._held_until = self._clock()
        locked = self._lock(query.holder) if query.lock else False
        with_counts = query.with_counts and locked
        return await self._read(locked, with_counts, query.with_maps)

    async def _read(
        self, locked: bool, with_counts: bool, with_maps: bool
    ) -> Result[MemberState]:
        report = await self._port.report()
        if isinstance(report, Err):
            return report
        await self._check_prepared(report.value)
        counts: Counts | None = None
        maps: HeldMaps | None = None
        if with_counts:
            read = await self._port.counts()
            if isinstance(read, Err):
                return read
            counts = self._counted.read(report.value.born_ms, read.value)
        if with_maps:
            held = await self._port.maps()
            if isinstance(held, Err):
                return held
            maps = held.value
        return Ok(MemberState(report.value, locked, self._checked, counts, maps))

    async def _check_prepared(self, report: RankReport) -> None:
        """Compare the rows of a prepared map with those that were ordered, once."""
        if report.prepared is None or report.prepared == self._checked:
            return
        if self._expected is None or self._expected[0] != report.prepared:
            return
        held = await self._port.maps()
        if isinstance(held, Err) or held.value.prepared != report.prepared:
            return
        if held.value.prepared_rows == self._expected[1]:
            self._checked = report.prepared

    async def _order(self, req: OrderRequest) -> Result[OrderResult]:
        if self.holder != req.holder or not req.holder:
            return Err(Code.FENCED, f"the lock is held by {self.holder or 'nobody'}")
        self._lock(req.holder)
        order = req.order
        if order.kind is OrderKind.PREPARE:
            await self._expect(order)
        outcome = OrderOutcome.UNKNOWN
        for _ in range(ORDER_TRIES):
            # A repeated order changes nothing once it is carried out.
            outcome = await self._port.order(order)
            if outcome is not OrderOutcome.UNKNOWN:
                break
        state = await self._read(locked=True, with_counts=False, with_maps=False)
        return Ok(OrderResult(outcome, state.value if isinstance(state, Ok) else None))

    async def _expect(self, order: RankOrder) -> None:
        report = await self._port.report()
        if isinstance(report, Ok):
            rank = report.value.seat.rank
            rows = tuple(tuple(sorted(layer[rank])) for layer in order.layers)
            self._expected = (order.version, rows)
