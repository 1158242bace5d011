"""A coordinator's connections to the sidecars of its group's ranks."""

from __future__ import annotations

import itertools
from collections.abc import AsyncIterator, Awaitable, Callable, Mapping
from contextlib import AbstractAsyncContextManager, asynccontextmanager
from typing import Any, Final, Protocol, TypeAlias

import msgspec
import trio

from mustardfront.codes import Code
from mustardfront.coordination.expertmap._rank import LocalRank, execute_order
from mustardfront.coordination.peers import ControlHandler
from mustardfront.decoding import decode_json
from mustardfront.protocol import (
    Identity,
    Message,
    Order,
    OrderReply,
    PeerConnection,
    Ping,
    Pong,
)
from mustardfront.results import Err, Ok, Result
from mustardfront.settings import check_address

# Opens a connection to an address, with this process's identity and the peer key.
Connect: TypeAlias = Callable[
    [tuple[str, int], Identity, bytes],
    AbstractAsyncContextManager[Result[PeerConnection]],
]

ORDER_TIMEOUT_S: Final = 5.0
RECONNECT_INTERVAL_S: Final = 0.5
QUEUED_ORDERS_MAX: Final = 64


class OrderExecutor:
    """Queues the orders that arrive at this sidecar and executes one at a time."""

    def __init__(self, rank: LocalRank) -> None:
        self.rank = rank
        self._send, self._receive = trio.open_memory_channel[
            tuple[Order, Callable[[OrderReply], Awaitable[None]]]
        ](QUEUED_ORDERS_MAX)

    async def run(self) -> None:
        """Execute the queued orders until cancelled."""
        async for order, send_reply in self._receive:
            reply = await execute_order(self.rank, order)
            await send_reply(reply)

    def make_handler(self) -> ControlHandler:
        """Return the peer hub's handler of orders, which never waits for the rank."""

        async def handle(conn: PeerConnection, message: Message) -> bool:
            if not isinstance(message, Order):
                return False

            async def send_reply(reply: OrderReply) -> None:
                conn.send_nowait(reply)

            try:
                self._send.send_nowait((message, send_reply))
            except trio.WouldBlock:
                text = msgspec.json.encode(
                    {"text": "the sidecar's order queue is full"}
                )
                conn.send_nowait(
                    OrderReply(message.id, int(Code.RANK_UNREACHABLE), text)
                )
            return True

        return handle

    async def execute_local(self, order: Order) -> OrderReply:
        """Execute an order of this process's own coordinator after the queued ones."""
        done = trio.Event()
        replies: list[OrderReply] = []

        async def send_reply(reply: OrderReply) -> None:
            replies.append(reply)
            done.set()

        await self._send.send((order, send_reply))
        await done.wait()
        return replies[0]


class LocalExecutor(Protocol):
    """Executes the orders for the local rank."""

    async def execute_local(self, order: Order) -> OrderReply:
        """Execute one order."""


class GroupConnections:
    """Connections to the processes beside other ranks, kept open while in ``open``.

    A connection on which an order gets no answer within ``timeout_s`` is replaced,
    because it may have failed without an error.
    """

    def __init__(
        self,
        group: str,
        local: str,
        executor: LocalExecutor,
        identity: Identity,
        key: bytes,
        timeout_s: float = ORDER_TIMEOUT_S,
    ) -> None:
        self._group = group
        self._timeout_s = timeout_s
        self._nursery: trio.Nursery | None = None
        self._connect: Connect | None = None
        # Cancelled when the connection to the rank is no longer wanted.
        self._rank_scopes: dict[str, trio.CancelScope] = {}
        # Cancelled when the rank's connection must be replaced.
        self._conn_scopes: dict[str, trio.CancelScope] = {}
        # Set once the first attempt to connect to the rank has ended.
        self._first_tries: dict[str, trio.Event] = {}
        self._used_at: dict[str, float] = {}
        self._local_rank = local
        self._executor = executor
        self._identity = identity
        self._key = key
        self._order_ids = itertools.count(1)
        self._conns: dict[str, PeerConnection] = {}
        self._pending_replies: dict[int, trio.MemorySendChannel[OrderReply]] = {}

    @asynccontextmanager
    async def open(
        self, addresses: Mapping[str, str], connect: Connect
    ) -> AsyncIterator[None]:
        """Keep connections to the ranks at their ``"IP:PORT"`` while in the context."""
        async with trio.open_nursery() as nursery:
            self._nursery, self._connect = nursery, connect
            self.add(addresses)
            yield
            nursery.cancel_scope.cancel()

    def add(self, addresses: Mapping[str, str]) -> None:
        """Keep connections to these ranks open too, and mark them as used now."""
        if self._nursery is None:
            raise RuntimeError("connections are added only in the context of open()")
        now = trio.current_time()
        for rank, address in addresses.items():
            if rank == self._local_rank:
                continue
            self._used_at[rank] = now
            if rank not in self._rank_scopes:
                scope = self._rank_scopes[rank] = trio.CancelScope()
                self._first_tries[rank] = trio.Event()
                self._nursery.start_soon(self._keep_connected, rank, address, scope)

    def close_unused(self, idle_s: float) -> None:
        """Close the connections to ranks that were not added again for ``idle_s``."""
        ends_at = trio.current_time() - idle_s
        for rank, used_at in tuple(self._used_at.items()):
            if used_at < ends_at:
                del self._used_at[rank], self._first_tries[rank]
                self._rank_scopes.pop(rank).cancel()

    async def _keep_connected(
        self, rank: str, address: str, scope: trio.CancelScope
    ) -> None:
        parsed = check_address(address)
        first_try = self._first_tries[rank]
        if isinstance(parsed, Err) or self._connect is None:
            first_try.set()
            return
        with scope:
            while True:
                async with self._connect(
                    parsed.value, self._identity, self._key
                ) as conn:
                    if isinstance(conn, Ok):
                        await self._use(rank, conn.value, first_try)
                first_try.set()
                await trio.sleep(RECONNECT_INTERVAL_S)

    async def _use(
        self, rank: str, conn: PeerConnection, first_try: trio.Event
    ) -> None:
        self._conns[rank] = conn
        first_try.set()
        conn_scope = self._conn_scopes[rank] = trio.CancelScope()
        try:
            with conn_scope:
                await self._receive_replies(conn)
        finally:
            if self._conns.get(rank) is conn:
                del self._conns[rank], self._conn_scopes[rank]

    async def _receive_replies(self, conn: PeerConnection) -> None:
        while True:
            message = await conn.receive()
            if isinstance(message, Err):
                return
            if isinstance(message.value, Ping):
                await conn.send(Pong(message.value.nonce, 0))
            if isinstance(message.value, OrderReply):
                pending = self._pending_replies.pop(message.value.id, None)
                if pending is not None:
                    pending.send_nowait(message.value)

    async def send_orders(
        self,
        fence: int,
        orders: Mapping[str, tuple[str, dict[str, Any]]],
        timeout_s: float | None = None,
    ) -> dict[str, Result[dict[str, Any]]]:
        """Send each named rank its order, all at once, and return all answers.

        ``timeout_s`` replaces the timeout of the connections.
        """
        answers: dict[str, Result[dict[str, Any]]] = {}
        limit_s = self._timeout_s if timeout_s is None else timeout_s

        async def send_one(rank: str, kind: str, data: dict[str, Any]) -> None:
            raw = msgspec.json.encode(data)
            order = Order(next(self._order_ids), self._group, kind, fence, raw)
            text = f"order {kind} was not answered within {limit_s} s"
            answers[rank] = Err(Code.RANK_UNREACHABLE, text)
            with trio.move_on_after(limit_s) as timeout_scope:
                answers[rank] = await self._send_order(rank, order)
            if timeout_scope.cancelled_caught and rank in self._conn_scopes:
                self._conn_scopes[rank].cancel()

        async with trio.open_nursery() as nursery:
            for rank, (kind, data) in orders.items():
                nursery.start_soon(send_one, rank, kind, data)
        return answers

    async def _send_order(self, rank: str, order: Order) -> Result[dict[str, Any]]:
        if rank == self._local_rank:
            return _parse_reply(await self._executor.execute_local(order))
        if rank in self._first_tries:
            await self._first_tries[rank].wait()
        conn = self._conns.get(rank)
        if conn is None:
            return Err(Code.RANK_UNREACHABLE, "no connection to the rank's sidecar")
        send, receive = trio.open_memory_channel[OrderReply](1)
        self._pending_replies[order.id] = send
        try:
            sent = await conn.send(order)
            if isinstance(sent, Err):
                return Err(Code.RANK_UNREACHABLE, sent.text)
            return _parse_reply(await receive.receive())
        finally:
            self._pending_replies.pop(order.id, None)


def _parse_reply(reply: OrderReply) -> Result[dict[str, Any]]:
    try:
        data = decode_json(reply.data, dict[str, Any])
        code = Code(reply.code)
    except (msgspec.MsgspecError, ValueError) as exc:
        return Err(Code.BAD_MESSAGE, f"invalid order reply: {exc}")
    if code is Code.ANSWERED:
        return Ok(data)
    return Err(code, str(data.get("text", "")))
