"""The ranks of a group as its coordinator reaches them."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass, field, replace
from types import MappingProxyType
from typing import Any, TypeAlias

import msgspec

from mustardfront.coordination.rankmaps._desk import (
    ASK_ORDER,
    ASK_STATE,
    MemberState,
    OrderRequest,
    OrderResult,
    StateQuery,
)
from mustardfront.coordination.rankmaps._types import (
    OrderOutcome,
    RankOrder,
    RankPort,
)
from mustardfront.results import Err, Ok, Result

# Sends (kind, data) to the desk of each named rank and returns all answers.
AskRanks: TypeAlias = Callable[
    [Mapping[str, tuple[str, dict[str, Any]]]],
    Awaitable[dict[str, Result[dict[str, Any]]]],
]
States: TypeAlias = dict[int, MemberState]


@dataclass(frozen=True, slots=True)
class Members:
    """The desks of a group by rank number; ``names`` are their peer addresses.

    ``own`` is the rank beside the coordinator, ``holder`` the coordinator's name.
    ``direct`` are ranks whose desk is gone; only a held group is settled with them.
    """

    group: str
    names: Mapping[int, str]
    own: int
    holder: str
    ask: AskRanks
    direct: Mapping[int, RankPort] = field(default_factory=lambda: MappingProxyType({}))

    async def with_direct(
        self, states: States, port_of: Callable[[int], RankPort]
    ) -> tuple[Members, States]:
        """Reach the ranks without a state past their desks, as far as they answer."""
        ports = {rank: port_of(rank) for rank in self.names if rank not in states}
        found = dict(states)
        for rank, port in ports.items():
            state = await _read_directly(port)
            if state is not None:
                found[rank] = state
        return replace(self, direct=ports), found

    async def states(
        self, *, with_counts: bool = False, with_maps: bool = False
    ) -> States:
        """Read and lock all ranks; those without an answer are missing."""
        query = StateQuery(
            self.holder, lock=True, with_counts=with_counts, with_maps=with_maps
        )
        data = msgspec.to_builtins(query)
        by_desk = {
            rank: one for rank, one in self.names.items() if rank not in self.direct
        }
        answers = await self.ask(dict.fromkeys(by_desk.values(), (ASK_STATE, data)))
        found: States = {}
        for rank, name in by_desk.items():
            state = _parse(answers[name], MemberState)
            if isinstance(state, Ok):
                found[rank] = state.value
        for rank, port in self.direct.items():
            direct = await _read_directly(port, with_maps=with_maps)
            if direct is not None:
                found[rank] = direct
        return found

    async def unlock(self) -> None:
        """Give the locks back, so that another coordinator need not wait."""
        query = StateQuery(self.holder, lock=False, unlock=True)
        data = msgspec.to_builtins(query)
        await self.ask(dict.fromkeys(self.names.values(), (ASK_STATE, data)))

    async def order(self, orders: Mapping[int, RankOrder]) -> dict[int, OrderResult]:
        """Give each named rank its order at once; return what is known of each."""
        by_desk = {rank: one for rank, one in orders.items() if rank not in self.direct}
        answers = await self.ask(
            {
                self.names[rank]: (
                    ASK_ORDER,
                    msgspec.to_builtins(OrderRequest(self.holder, order)),
                )
                for rank, order in by_desk.items()
            }
        )
        results: dict[int, OrderResult] = {}
        for rank in orders.keys() - by_desk.keys():
            results[rank] = await _order_directly(self.direct[rank], orders[rank])
        for rank in by_desk:
            answer = _parse(answers[self.names[rank]], OrderResult)
            if isinstance(answer, Ok):
                results[rank] = answer.value
            else:
                results[rank] = OrderResult(OrderOutcome.UNKNOWN, None)
        return results

    def is_whole(self, states: States) -> bool:
        """Say whether all ranks answered, are locked, and run in one open epoch."""
        if len(states) != len(self.names):
            return False
        seats = {(state.report.seat.epoch) for state in states.values()}
        return len(seats) == 1 and all(
            state.locked and state.report.seat.is_open for state in states.values()
        )


async def _order_directly(port: RankPort, order: RankOrder) -> OrderResult:
    outcome = await port.order(order)
    return OrderResult(outcome, await _read_directly(port))


async def _read_directly(
    port: RankPort, *, with_maps: bool = False
) -> MemberState | None:
    report = await port.report()
    if isinstance(report, Err):
        return None
    if not with_maps:
        return MemberState(report.value, locked=True)
    maps = await port.maps()
    if isinstance(maps, Err):
        return None
    return MemberState(report.value, locked=True, maps=maps.value)


def _parse(answer: Result[dict[str, Any]], kind: type[Any]) -> Result[Any]:
    if isinstance(answer, Err):
        return answer
    return Ok(msgspec.convert(answer.value, kind))
