"""Answers that break off inside their head, at every reader of this project."""

from __future__ import annotations

import socket
import struct
from contextlib import asynccontextmanager

import httpcore
import pytest
import trio

from gateway_fakes import FakeUpstream, gateway, send_request
from mustardfront.coordination.hosts import _list as hosts
from mustardfront.coordination.kv import KvClient
from mustardfront.metrics import Metrics
from mustardfront.programs.cli._client import ApiClient
from mustardfront.programs.sidecar._health import check_upstream
from mustardfront.programs.sidecar._upstream import UpstreamCall, UpstreamClient
from mustardfront.results import Err
from mustardfront_platform._rank import WorkerRank
from mustardfront_platform._store import open_store

RESET = struct.pack("ii", 1, 0)
HEAD = (
    b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\nx-answer-seal: s1\r\n"
    b"x-request-id: r1\r\ncontent-length: 40\r\n\r\n"
)
INTERIM = b"HTTP/1.1 103 Early Hints\r\nlink: x\r\n\r\n"
# Each byte around the end of a line, and some in the middle of one.
ENDS = [at for at in range(len(HEAD)) if HEAD[at : at + 1] in b"\r\n"]
CUTS = sorted({cut for at in ENDS for cut in (at, at + 1)} | {0, 5, 70})
CUT_HEADS = [HEAD[:cut] for cut in CUTS if cut < len(HEAD)]
CUT_HEADS += [INTERIM, INTERIM + HEAD[:30], INTERIM + HEAD[:-2]]
BY_RESET = (False, True)


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
    async with httpcore.AsyncConnectionPool() as pool:
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
    async with httpcore.AsyncConnectionPool() as pool:
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


@pytest.mark.parametrize("by_reset", BY_RESET)
@pytest.mark.parametrize("call", READERS)
async def test_answer_cut_inside_its_head_is_an_error(call, by_reset):
    """Guards against a cut answer that counts as a success with an empty body."""
    for head in CUT_HEADS:
        async with cutting_server(head, by_reset) as address:
            with trio.fail_after(5):
                assert await call(address[:2]), head


@pytest.mark.parametrize("by_reset", BY_RESET)
@pytest.mark.parametrize("target", ["/get/x", "/book/x", "/draft/x", "/once/x"])
async def test_caller_gets_no_success_for_an_answer_cut_inside_its_head(
    target, by_reset
):
    """Guards against a 200 with an empty or short body that is framed as whole."""
    cut_heads = list(CUT_HEADS)

    async def cut(request, conn):
        await conn.send_all(cut_heads[0])
        if by_reset:
            await trio.sleep(0.01)
            conn.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)

    async with gateway({"u1": FakeUpstream([cut])}, retry_minimum=10_000) as gw:
        while cut_heads:
            with trio.fail_after(5):
                # A retry finds no other upstream, and waits a part of this time.
                headers = {"x-deadline-ms": "300"}
                response = await send_request(gw, target, headers=headers)
            assert response.status in (0, 502, 503, 504), cut_heads[0]
            cut_heads.pop(0)
