"""Responses without end that other processes send to the clients of this project."""

from __future__ import annotations

import httpcore
import pytest
import trio
import trio.testing

from endless import (
    ENDLESS_RESPONSES,
    PIECE,
    endless_body,
    endless_interim_heads,
    endless_server,
)
from entry_fakes import front_with
from mustardfront.codes import Code
from mustardfront.constants import HANDSHAKE_FRAME_MAX_BYTES
from mustardfront.coordination.expertmap._task import (
    RANK_REPLY_MAX_BYTES,
    open_rank_client,
)
from mustardfront.coordination.hosts import _list as hosts
from mustardfront.coordination.kv import KvClient
from mustardfront.coordination.kv import _client as kv
from mustardfront.coordination.rankmaps import OrderKind, OrderOutcome, RankOrder
from mustardfront.metrics import Metrics
from mustardfront.programs.cli import _client as cli
from mustardfront.programs.sidecar import _health as health
from mustardfront.programs.sidecar import _relay as relay
from mustardfront.programs.sidecar._upstream import UpstreamCall, UpstreamClient
from mustardfront.protocol import Chunk, End, Head, Identity, Started, open_peer
from mustardfront.results import Err
from mustardfront_platform import _store as store
from mustardfront_platform._rank import COUNTS_MAX_BYTES, WorkerRank
from running import make_request
from sidecar_fakes import FakeResponse, make_sidecar, run

# What a socket's buffers may take beyond what a client reads.
SOCKET_BUFFERS_MAX_BYTES = 8 * 1024 * 1024
# Longer than the longest time that a client gives a call.
CALL_MAX_S = 10

all_responses = pytest.mark.parametrize("respond", ENDLESS_RESPONSES)


def send_order(rank: WorkerRank):
    return rank.send_order(RankOrder(OrderKind.HOLD, 1, step=5))


RANK_CALLS = (WorkerRank.report, WorkerRank.counts, WorkerRank.maps, send_order)


@all_responses
@pytest.mark.parametrize("call", RANK_CALLS)
async def test_agent_gives_up_a_worker_that_answers_without_end(call, respond):
    """Guards against an agent that reads until its memory is full, or for ever."""
    async with (
        endless_server(respond) as server,
        httpcore.AsyncConnectionPool(max_connections=1) as pool,
    ):
        rank = WorkerRank(server.address, pool, Metrics())
        with trio.fail_after(5):
            result = await call(rank)
        assert isinstance(result, Err) or result is OrderOutcome.UNKNOWN
        assert server.sent_bytes < COUNTS_MAX_BYTES + SOCKET_BUFFERS_MAX_BYTES
        # The connection is not kept: the rest would be read as the next response.
        assert not [one for one in pool.connections if not one.is_closed()]


STORE_CALLS = (
    lambda client: client.snapshot(),
    lambda client: client.wait_for_changes(1, 0.05),
    lambda client: client.announce("edge-1", 1, 5.0),
)


@all_responses
@pytest.mark.parametrize("call", STORE_CALLS)
async def test_process_gives_up_a_store_that_answers_without_end(
    call, respond, monkeypatch
):
    """Guards against a store in trouble that fills or stops all processes."""
    for name in ("CALL_TIMEOUT_S", "WATCH_SLACK_S", "TRANSFER_MAX_S"):
        monkeypatch.setattr(store, name, 0.2)
    async with endless_server(respond) as server:
        address = f"{server.address[0]}:{server.address[1]}"
        async with store.open_store(address, Metrics()) as client:
            with trio.fail_after(CALL_MAX_S):
                assert isinstance(await call(client), Err)
        assert server.sent_bytes < store.REPLY_MAX_BYTES + SOCKET_BUFFERS_MAX_BYTES


async def test_pages_of_the_store_without_end_are_given_up(monkeypatch):
    """Guards against a range that goes on with items that were read before."""
    page = (
        b'{"items": [{"key": "servers/a", "revision": 1}], "hasMore": true, "asOf": 1}'
    )

    async def repeat_page(server, conn):
        head = b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\nconnection: close\r\n\r\n"
        await server.send(conn, head % len(page) + page)

    async with endless_server(repeat_page) as server:
        address = f"{server.address[0]}:{server.address[1]}"
        async with store.open_store(address, Metrics()) as client:
            with trio.fail_after(CALL_MAX_S):
                assert isinstance(await client.snapshot(), Err)


KV_CALLS = (
    lambda client: client.get("k"),
    lambda client: client.get_prefix("k"),
    lambda client: client.txn({}, {"k": b"v"}),
    lambda client: client.lease_grant(5),
)


@all_responses
@pytest.mark.parametrize("call", KV_CALLS)
async def test_process_gives_up_a_key_value_service_that_answers_without_end(
    call, respond, monkeypatch
):
    """Guards against a key-value service in trouble that fills or stops processes."""
    limits = kv.CallLimits(0.2, 0.2, 0.5, kv.RESPONSE_MAX_BYTES)
    monkeypatch.setattr(kv, "_CALL_LIMITS", limits)
    async with endless_server(respond) as server, KvClient(server.url) as client:
        with trio.fail_after(CALL_MAX_S):
            assert isinstance(await call(client), Err)
        assert server.sent_bytes < kv.RESPONSE_MAX_BYTES + SOCKET_BUFFERS_MAX_BYTES


async def test_endless_line_ends_a_watch(monkeypatch):
    """Guards against one event of the key-value service that fills the memory."""
    monkeypatch.setattr(kv, "WATCH_LINE_MAX_BYTES", 256 * 1024)
    async with endless_server(endless_body) as server, KvClient(server.url) as client:
        with trio.fail_after(CALL_MAX_S):
            async with client.watch("k", 1) as changes:
                assert [change async for change in changes] == []
        assert server.sent_bytes < SOCKET_BUFFERS_MAX_BYTES


@all_responses
async def test_endless_host_list_is_given_up(respond, monkeypatch):
    """Guards against a host list that fills the memory of each process."""
    monkeypatch.setattr(hosts, "REQUEST_TIMEOUT_S", 0.5)
    async with (
        endless_server(respond) as server,
        httpcore.AsyncConnectionPool(max_connections=1) as pool,
    ):
        with trio.fail_after(CALL_MAX_S):
            assert isinstance(await hosts._http_fetch(pool, server.url)(b""), Err)
        assert server.sent_bytes < hosts.RESPONSE_MAX_BYTES + SOCKET_BUFFERS_MAX_BYTES


@all_responses
async def test_sidecar_gives_up_a_rank_that_answers_without_end(respond, monkeypatch):
    """Guards against a sidecar whose memory a rank's answer fills."""
    task = "mustardfront.coordination.expertmap._task"
    monkeypatch.setattr(f"{task}.RANK_CALL_TIMEOUT_S", 0.2)
    monkeypatch.setattr(f"{task}.CONNECT_TIMEOUT_S", 0.2)
    async with endless_server(respond) as server:
        pool, call = open_rank_client(server.url)
        async with pool:
            with trio.fail_after(CALL_MAX_S):
                assert isinstance(await call("GET", "/rank/state", None), Err)
        assert server.sent_bytes < RANK_REPLY_MAX_BYTES + SOCKET_BUFFERS_MAX_BYTES


@all_responses
async def test_endless_answer_fails_a_health_check(respond):
    """Guards against a health check that fills the memory of a sidecar."""
    async with endless_server(respond) as server:
        with trio.fail_after(CALL_MAX_S):
            result = await health.check_upstream(UpstreamClient(server.url))
        assert not result.alive
        assert server.sent_bytes < SOCKET_BUFFERS_MAX_BYTES


async def test_sidecar_leaves_an_upstream_whose_head_does_not_end():
    """Guards against an attempt that reads interim heads until its deadline."""
    async with endless_server(endless_interim_heads) as server:
        client = UpstreamClient(server.url)
        with trio.fail_after(CALL_MAX_S):
            async with client.exchange(UpstreamCall("GET", "/")) as result:
                assert isinstance(result, Err)


def test_command_line_gives_up_an_endless_response(monkeypatch):
    """Guards against a command that fills the memory of the operator's machine."""
    monkeypatch.setattr(cli, "RESPONSE_MAX_BYTES", 100_000)

    async def run() -> Err:
        async with endless_server(endless_body) as server:
            client = cli.ApiClient((server.url,))
            with trio.fail_after(CALL_MAX_S):
                return await trio.to_thread.run_sync(client.get, "/status")

    assert isinstance(trio.run(run), Err)


async def test_sidecar_ends_an_answer_that_would_fill_its_entry(monkeypatch):
    """Guards against an answer without end that an entry collects for its caller."""
    monkeypatch.setattr(relay, "RESPONSE_BODY_MAX_BYTES", 100_000)
    parts = [PIECE] * 100
    sidecar = await make_sidecar(
        lambda call: FakeResponse(parts, is_event_stream=False)
    )
    conn = await run(sidecar, make_request(credit=1_000))
    (end,) = conn.sent_of_type(End)
    assert end.code == Code.UPSTREAM_BAD_ANSWER
    assert sum(len(one.data) for one in conn.sent_of_type(Chunk)) <= 100_000


async def test_entry_holds_a_bounded_number_of_bytes_for_its_callers():
    """Guards against answers that together fill the memory of an entry."""

    async def send_parts(conn, req):
        await conn.send(Started(req.stream))
        await conn.send(Head(req.stream, 200))
        for index in range(20):
            await conn.send(Chunk(req.stream, index, PIECE))
        await conn.send(End(req.stream, 1000, "answered", 20))

    async with front_with({"l1": send_parts}, {"l1": "ledger"}) as client:
        held = client.front.forwarder.held
        held.limit_bytes = 10 * len(PIECE)
        status, _, _ = await client.call("GET", "/s/ledger/x")
        assert status == 502
        status, _, _ = await client.call(
            "GET", "/s/ledger/x", body=b"x" * (held.limit_bytes + 1)
        )
        assert status == 503
        assert held.bytes == 0


async def test_peer_gets_little_memory_before_it_has_proved_its_key():
    """Guards against strangers that fill the memory with frames of 4 MiB each."""
    near, far = trio.testing.memory_stream_pair()
    identity = Identity("agent", "h", "a", "i1")
    async with trio.open_nursery() as nursery:

        async def accept() -> None:
            async with open_peer(far, identity, b"key", dialled=False) as conn:
                assert isinstance(conn, Err)
                assert conn.code is Code.FRAME_TOO_LARGE
            nursery.cancel_scope.cancel()

        nursery.start_soon(accept)
        await near.send_all((HANDSHAKE_FRAME_MAX_BYTES + 1).to_bytes(4, "big"))
        with trio.fail_after(CALL_MAX_S):
            await trio.sleep_forever()
