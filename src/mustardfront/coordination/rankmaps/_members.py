"""A coordinator's access to the ranks of its group."""

from __future__ import annotations

import math
from collections.abc import Awaitable, Callable, Iterable, Mapping
from dataclasses import dataclass, field, replace
from types import MappingProxyType
from typing import Any, TypeAlias

import msgspec
import trio

from mustardfront.codes import Code
from mustardfront.coordination.rankmaps._order_handler import (
    GUARD_REQUEST,
    ORDER_REQUEST,
    ORDER_TRIES,
    REVOCATION,
    STATE_QUERY,
    GroupMember,
    GuardedHold,
    HoldGuard,
    MemberState,
    OrderRequest,
    OrderResult,
    StateQuery,
)
from mustardfront.coordination.rankmaps._revocations import Revocation, RevocationReply
from mustardfront.coordination.rankmaps._types import (
    MapChanges,
    OrderOutcome,
    RankClient,
    RankOrder,
)
from mustardfront.results import Err, Ok, Result

# Sends (kind, data) to the agent at each address and returns the answers by address,
# all of them, or those that came within the seconds given as a second argument.
SendRequests: TypeAlias = Callable[..., Awaitable[dict[str, Result[dict[str, Any]]]]]
States: TypeAlias = dict[int, MemberState]


@dataclass(frozen=True, slots=True)
class Members:
    """The members of a group; ``addresses`` are their agents' addresses by rank.

    ``own_rank`` is the rank beside the coordinator, ``holder`` the name in which the
    coordinator locks ranks. ``direct_clients`` call ranks whose agent does not answer.
    No agent checks the lock for them, so they get no order unless ``is_locked`` says
    that the coordinator's own rank is still locked. ``upstreams`` are the addresses of
    the ranks themselves, ``client_of`` calls one of them.
    """

    group: str
    addresses: Mapping[int, str]
    own_rank: int
    holder: str
    send_requests: SendRequests
    direct_clients: Mapping[int, RankClient] = field(
        default_factory=lambda: MappingProxyType({})
    )
    is_locked: Callable[[], bool] = lambda: True
    upstreams: Mapping[int, str] = field(default_factory=lambda: MappingProxyType({}))
    client_of: Callable[[int], RankClient] | None = None

    def hold_rank(self) -> int:
        """Return the rank to hold, another than the own one if there is any.

        Its agent can then release the group when this coordinator stops, and this
        coordinator when that agent stops.
        """
        others = self.addresses.keys() - self.direct_clients.keys() - {self.own_rank}
        after = sorted(others, key=lambda rank: (rank < self.own_rank, rank))
        return after[0] if after else self.own_rank

    def guard(self, version: int | None) -> HoldGuard | None:
        """Return what the agent of a held rank needs; None if that is not known."""
        if version is None or self.addresses.keys() != self.upstreams.keys():
            return None
        members = tuple(
            GroupMember(rank, agent, self.upstreams[rank])
            for rank, agent in sorted(self.addresses.items())
        )
        return HoldGuard(self.group, version, self.own_rank, members)

    async def announce_hold(
        self, rank: int, hold: GuardedHold, patience_s: float
    ) -> bool:
        """Ask the agent of a rank to guard its hold; return whether it does."""
        address = self.addresses[rank]
        request = (GUARD_REQUEST, msgspec.to_builtins(hold))
        answers = await self._send({address: request}, patience_s)
        return isinstance(answers.get(address), Ok)

    async def revoke(
        self, req: Revocation, patience_s: float, *, without: int | None = None
    ) -> dict[int, RevocationReply]:
        """Send all agents, or all but one, a revocation; return those that answered."""
        asked = {rank: one for rank, one in self.addresses.items() if rank != without}
        request = (REVOCATION, msgspec.to_builtins(req))
        answers = await self._send(dict.fromkeys(asked.values(), request), patience_s)
        found: dict[int, RevocationReply] = {}
        for rank, address in asked.items():
            answer = answers.get(address)
            reply = _parse(answer, RevocationReply) if answer is not None else answer
            if isinstance(reply, Ok):
                found[rank] = reply.value
        return found

    def calling_directly(self, ranks: Iterable[int]) -> Members:
        """Return members that call ``ranks`` without their agents, if it can."""
        if self.client_of is None:
            return self
        clients = {rank: self.client_of(rank) for rank in ranks}
        return replace(self, direct_clients={**self.direct_clients, **clients})

    async def with_direct_clients(
        self,
        states: States,
        client_of: Callable[[int], RankClient],
        *,
        with_maps: bool = False,
    ) -> tuple[Members, States]:
        """Call the ranks without a state directly, bypassing their agents.

        Return members with these clients, and the states with those of the ranks that
        answered.
        """
        clients = {
            rank: client_of(rank) for rank in self.addresses if rank not in states
        }
        read = await _read_all_directly(clients, with_maps=with_maps)
        return replace(self, direct_clients=clients), states | self._own_states(read)

    async def lock_and_read(
        self, *, with_counts: bool = False, with_maps: bool = False
    ) -> States:
        """Lock all ranks and return the states of those that answer."""
        query = StateQuery(
            self.holder,
            lock=True,
            with_counts=with_counts,
            with_maps=with_maps,
            group=self.group,
        )
        data = msgspec.to_builtins(query)
        by_agent = {
            rank: address
            for rank, address in self.addresses.items()
            if rank not in self.direct_clients
        }
        answers = await self.send_requests(
            dict.fromkeys(by_agent.values(), (STATE_QUERY, data))
        )
        found: States = {}
        for rank, address in by_agent.items():
            state = _parse(answers[address], MemberState)
            if isinstance(state, Ok):
                found[rank] = state.value
        found |= await _read_all_directly(self.direct_clients, with_maps=with_maps)
        return self._own_states(found)

    def _own_states(self, states: States) -> States:
        """Return the states of those that still have the group and rank expected.

        The addresses come from a snapshot that may be old, and a rank of another group
        may have one of them now.
        """
        return {
            rank: state
            for rank, state in states.items()
            if (state.report.seat.group, state.report.seat.rank) == (self.group, rank)
        }

    async def read_own(self) -> MemberState | None:
        """Return the state of the rank beside the coordinator, which calls nobody."""
        address = self.addresses[self.own_rank]
        data = msgspec.to_builtins(StateQuery(self.holder))
        answers = await self.send_requests({address: (STATE_QUERY, data)})
        state = _parse(answers[address], MemberState)
        return state.value if isinstance(state, Ok) else None

    async def read_directly(self, rank: int) -> MemberState | None:
        """Return a rank's state without its agent; None if it cannot be read."""
        client = self.direct_clients.get(rank)
        return await _read_directly(client) if client is not None else None

    async def unlock(self) -> None:
        """Release the locks, so that another coordinator need not wait for them."""
        query = StateQuery(self.holder, lock=False, unlock=True)
        data = msgspec.to_builtins(query)
        await self.send_requests(
            dict.fromkeys(self.addresses.values(), (STATE_QUERY, data))
        )

    async def send_orders(
        self,
        orders: Mapping[int, RankOrder],
        changes: MapChanges | None = None,
        *,
        patience_s: float = math.inf,
    ) -> dict[int, OrderResult]:
        """Send the ranks their orders in one batch and return the results by rank.

        With ``changes``, agents get these in place of the orders' layers. Ranks with
        the same order object share one message. Agents that have not answered after
        ``patience_s`` count as silent.
        """
        by_agent = {
            rank: order
            for rank, order in orders.items()
            if rank not in self.direct_clients
        }
        messages = {
            id(order): (ORDER_REQUEST, self._order_data(order, changes))
            for order in by_agent.values()
        }
        requests = {
            self.addresses[rank]: messages[id(order)]
            for rank, order in by_agent.items()
        }
        answers = await self._send(requests, patience_s)
        silent: Err = Err(Code.RANK_UNREACHABLE, "the agent did not answer in time")
        results: dict[int, OrderResult] = {}

        async def order_directly(rank: int) -> None:
            client = self.direct_clients[rank]
            outcome = OrderOutcome.UNKNOWN
            for _ in range(ORDER_TRIES):
                # This process may have been paused since the lock was checked.
                if not self.is_locked():
                    results[rank] = OrderResult(OrderOutcome.UNKNOWN, None)
                    return
                outcome = await client.send_order(orders[rank])
                if outcome is not OrderOutcome.UNKNOWN:
                    break
            results[rank] = OrderResult(outcome, await _read_directly(client))

        async with trio.open_nursery() as nursery:
            for rank in orders.keys() - by_agent.keys():
                nursery.start_soon(order_directly, rank)
        for rank in by_agent:
            reply = answers.get(self.addresses[rank], silent)
            answer = _parse(reply, OrderResult)
            if isinstance(answer, Ok):
                results[rank] = answer.value
            else:
                results[rank] = OrderResult(OrderOutcome.UNKNOWN, None)
        return results

    async def _send(
        self, requests: Mapping[str, tuple[str, dict[str, Any]]], patience_s: float
    ) -> dict[str, Result[dict[str, Any]]]:
        if math.isinf(patience_s):
            return await self.send_requests(requests)
        return await self.send_requests(requests, patience_s)

    def _order_data(
        self, order: RankOrder, changes: MapChanges | None
    ) -> dict[str, Any]:
        if changes is not None:
            order = replace(order, layers=())
        data: dict[str, Any] = msgspec.to_builtins(
            OrderRequest(self.holder, order, changes)
        )
        return data

    def is_complete(self, states: States) -> bool:
        """Return whether all ranks answered, are locked, and run in one open epoch."""
        if len(states) != len(self.addresses):
            return False
        epochs = {(state.report.seat.epoch) for state in states.values()}
        return len(epochs) == 1 and all(
            state.locked and state.report.seat.is_open for state in states.values()
        )


async def _read_all_directly(
    clients: Mapping[int, RankClient], *, with_maps: bool
) -> States:
    found: States = {}

    async def read(rank: int, client: RankClient) -> None:
        state = await _read_directly(client, with_maps=with_maps)
        if state is not None:
            found[rank] = state

    async with trio.open_nursery() as nursery:
        for rank, client in clients.items():
            nursery.start_soon(read, rank, client)
    return found


async def _read_directly(
    client: RankClient, *, with_maps: bool = False
) -> MemberState | None:
    report = await client.report()
    if isinstance(report, Err):
        return None
    if not with_maps:
        return MemberState(report.value, locked=True)
    maps = await client.maps()
    if isinstance(maps, Err):
        return None
    return MemberState(report.value, locked=True, maps=maps.value)


def _parse(answer: Result[dict[str, Any]], answer_type: type[Any]) -> Result[Any]:
    if isinstance(answer, Err):
        return answer
    return Ok(msgspec.convert(answer.value, answer_type))
