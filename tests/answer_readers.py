"""Everything of this project that reads answers over HTTP but for the gateway.

Each reader calls a server at an address and returns whether it took no answer for one.
"""

from __future__ import annotations

import socket
import struct
from contextlib import asynccontextmanager

import trio

from mustardfront.coordination.hosts import _list as hosts
from mustardfront.coordination.kv import KvClient
from mustardfront.http_streams import open_pool
from mustardfront.metrics import Metrics
from mustardfront.programs.cli._client import ApiClient
from mustardfront.programs.sidecar._health import check_upstream
from mustardfront.programs.sidecar._upstream import UpstreamCall, UpstreamClient
from mustardfront.results import Err
from mustardfront_platform._rank import WorkerRank
from mustardfront_platform._store import open_store

RESET = struct.pack("ii", 1, 0)


@asynccontextmanager
async def cutting_server(head: bytes, by_reset: bool):
    """Serve requests with ``head`` and end the connection; yield the address."""

    async def serve(conn: trio.SocketStream) -> None:
        async with conn:
            received = b""
            while b"\r\n\r\n" not in received:
                received += await conn.receive_some()
            await conn.send_all(head)
            if by_reset:
                await trio.sleep(0.01)
                conn.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)

    listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
    async with trio.open_nursery() as nursery:
        nursery.start_soon(trio.serve_listeners, serve, listeners)
        yield listeners[0].socket.getsockname()
        nursery.cancel_scope.cancel()


async def call_sidecar_upstream(address) -> bool:
    client = UpstreamClient(f"http://{address[0]}:{address[1]}")
    async with client.exchange(UpstreamCall("GET", "/")) as result:
        return isinstance(result, Err)


async def check_health(address) -> bool:
    client = UpstreamClient(f"http://{address[0]}:{address[1]}")
    return not (await check_upstream(client)).alive


async def call_rank(address) -> bool:
    async with open_pool() as pool:
        return isinstance(await WorkerRank(address, pool, Metrics()).report(), Err)


async def call_store(address) -> bool:
    async with open_store(f"{address[0]}:{address[1]}", Metrics()) as store:
        results = [await store.snapshot(), await store.announce("e1", 1, 5.0)]
        return all(isinstance(one, Err) for one in results)


async def call_key_value_service(address) -> bool:
    async with KvClient(f"http://{address[0]}:{address[1]}") as client:
        results = [await client.get("k"), await client.txn({}, {"k": b"v"})]
        return all(isinstance(one, Err) for one in results)


async def read_hosts(address) -> bool:
    async with open_pool() as pool:
        fetch = hosts._http_fetch(pool, f"http://{address[0]}:{address[1]}")
        return isinstance(await fetch(b""), Err)


async def call_api(address) -> bool:
    client = ApiClient((f"http://{address[0]}:{address[1]}",))
    return isinstance(await trio.to_thread.run_sync(client.get, "/x"), Err)


READERS = (
    call_sidecar_upstream,
    check_health,
    call_rank,
    call_store,
    call_key_value_service,
    read_hosts,
    call_api,
)
