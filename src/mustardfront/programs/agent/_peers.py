"""Requests between the agents of a group."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import Any

import trio

from mustardfront import events
from mustardfront.coordination.expertmap import GroupConnections
from mustardfront.coordination.rankmaps import (
    ORDER_TIMEOUT_S,
    RELAY_REQUEST,
    RankOrderHandler,
    Relay,
)
from mustardfront.protocol import (
    Identity,
    Order,
    OrderReply,
    PeerConnection,
    Ping,
    Pong,
)
from mustardfront.results import Err, Result


class AgentPeers:
    """Requests to the agents of a group, this one included.

    Connections to other agents are opened when they are first used.
    """

    def __init__(
        self,
        service: str,
        address: tuple[str, int],
        identity: Identity,
        key: bytes,
        order_handler: RankOrderHandler,
    ) -> None:
        own_address = f"{address[0]}:{address[1]}"
        self.connections = GroupConnections(
            service, own_address, self, identity, key, ORDER_TIMEOUT_S
        )
        self._order_handler = order_handler
        self._relay = Relay(self.send_directly)

    async def execute_local(self, order: Order) -> OrderReply:
        """Execute an order for this agent's rank, or relay it to other agents."""
        if order.kind == RELAY_REQUEST:
            return await self._relay.execute(order)
        return await self._order_handler.execute_local(order)

    async def send_directly(
        self, requests: Mapping[str, tuple[str, dict[str, Any]]], timeout_s: float
    ) -> dict[str, Result[dict[str, Any]]]:
        """Send each agent its request; ``requests`` has their addresses as keys."""
        self.connections.add({address: address for address in requests})
        return await self.connections.send_orders(0, requests, timeout_s)


def peer_handler(peers: AgentPeers) -> Callable[[PeerConnection], Any]:
    """Return the handler of peer connections; each order runs in its own task."""

    async def handle(conn: PeerConnection) -> None:
        async def answer(order: Order) -> None:
            with events.log_exceptions(f"order {order.kind}"):
                conn.send_nowait(await peers.execute_local(order))

        async with trio.open_nursery() as nursery:
            while True:
                message = await conn.receive()
                if isinstance(message, Err):
                    break
                if isinstance(message.value, Ping):
                    conn.send_nowait(Pong(message.value.nonce, 0))
                if isinstance(message.value, Order):
                    nursery.start_soon(answer, message.value)
            nursery.cancel_scope.cancel()

    return handle
