"""Watches the holds of an agent's own rank, so that no group stays held."""

from __future__ import annotations

from mustardfront import events
from mustardfront.coordination.rankmaps import (
    GuardedHold,
    Members,
    RankClient,
    RankOrderHandler,
    RelayTree,
    guard_hold,
)
from mustardfront.programs.agent._peers import AgentPeers
from mustardfront.programs.agent._services import AgentServices
from mustardfront.results import Err
from mustardfront.settings import parse_address


class HoldWatch:
    """Finishes the switches of coordinators that stop while they hold a group."""

    def __init__(
        self,
        services: AgentServices,
        order_handler: RankOrderHandler,
        peers: AgentPeers,
    ) -> None:
        self._services = services
        self._order_handler = order_handler
        self._peers = peers

    async def run(self, hold: GuardedHold) -> None:
        """Watch one hold until it ends."""
        with events.log_exceptions("hold of the own rank"):
            report = await self._services.own_client.report()
            if isinstance(report, Err):
                return
            members = self._members(hold, report.value.seat.rank)

            def is_contested() -> bool:
                return self._order_handler.holder not in ("", hold.holder)

            await guard_hold(
                hold,
                members,
                self._services.own_client,
                is_contested=is_contested,
            )

    def _members(self, hold: GuardedHold, own_rank: int) -> Members:
        known = {one.rank: one for one in hold.guard.members}
        addresses = {rank: one.agent for rank, one in known.items()}
        tree = RelayTree(list(addresses.values()), self._peers.send_directly)

        def client_of(rank: int) -> RankClient:
            return self._services.client_of(parse_address(known[rank].upstream))

        return Members(
            hold.guard.group,
            addresses,
            own_rank,
            hold.holder,
            tree.send_requests,
            is_locked=lambda: self._order_handler.holder == hold.holder,
            upstreams={rank: one.upstream for rank, one in known.items()},
            client_of=client_of,
        )
