"""The key-value client against the stand-in: calls, watches, faults."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import httpcore
import msgspec
import pytest
import trio

from mustardfront.codes import Code
from mustardfront.coordination.kv import KvClient, KvEvent, KvValue, TxnResult
from mustardfront.results import Err, Ok
from mustardfront_standins.kv import serve_kv


@asynccontextmanager
async def running_kv() -> AsyncIterator[tuple[KvClient, str]]:
    async with trio.open_nursery() as nursery:
        host, port = await nursery.start(serve_kv, ("127.0.0.1", 0))
        url = f"http://{host}:{port}"
        async with KvClient(url) as kv:
            yield kv, url
        nursery.cancel_scope.cancel()


async def set_faults(url: str, **faults: object) -> None:
    async with httpcore.AsyncConnectionPool() as pool:
        body = msgspec.json.encode(faults)
        answer = await pool.request("POST", url + "/control/faults", content=body)
        assert answer.status == 200, answer.content


async def test_compare_and_swap_and_leases():
    async with running_kv() as (kv, _url):
        first = await kv.txn({"/a/1": 0}, {"/a/1": b"one", "/a/2": b""})
        assert first == Ok(TxnResult(True, 2))
        assert await kv.txn({"/a/1": 0}, {"/a/1": b"no"}) == Ok(TxnResult(False, 2))
        assert await kv.get("/a/1") == Ok(KvValue(b"one", 2, 0))
        lease = await kv.lease_grant(5)
        assert isinstance(lease, Ok)
        assert await kv.lease_keepalive(lease.value) == Ok(5)
        await kv.txn({"/a/2": 2}, {"/a/3": b"x"}, deletes=["/a/2"], lease=lease.value)
        both = await kv.get_prefix("/a/")
        assert isinstance(both, Ok) and list(both.value) == ["/a/1", "/a/3"]
        assert await kv.lease_revoke(lease.value) == Ok(None)
        assert await kv.get("/a/3") == Ok(None)
        for gone in (
            await kv.lease_keepalive(lease.value),
            await kv.txn({}, {"/a/4": b""}, lease=lease.value),
        ):
            assert isinstance(gone, Err) and gone.code is Code.LEASE_LOST
        assert kv.calls["txn"] == 4


async def test_watch_sees_every_change_from_its_revision_on():
    async with running_kv() as (kv, url):
        await kv.txn({}, {"/k": b"1"})
        await kv.txn({}, {"/k": b"2", "/other": b""})
        async with kv.watch("/k", 2) as changes:
            assert await anext(changes) == KvEvent("/k", b"1", 2)
            assert await anext(changes) == KvEvent("/k", b"2", 3)
            await kv.txn({}, {}, deletes=["/k"])
            assert await anext(changes) == KvEvent("/k", None, 4)
            await set_faults(url, outage="cut")
            with trio.fail_after(5), pytest.raises(StopAsyncIteration):
                await anext(changes)
        async with kv.watch("/k", 2) as changes:
            with pytest.raises(StopAsyncIteration):
                await anext(changes)


@pytest.mark.parametrize("outage", ["cut", "unavailable"])
async def test_lost_answer_is_unknown_and_took_effect(outage):
    # Guards against reporting a write as failed that the service had made.
    async with running_kv() as (kv, url):
        await set_faults(url, lose_answers=1)
        lost = await kv.txn({"/k": 0}, {"/k": b"1"})
        assert isinstance(lost, Err) and lost.code is Code.WRITE_UNKNOWN
        assert await kv.get("/k") == Ok(KvValue(b"1", 2, 0))
        await set_faults(url, outage=outage)
        down = await kv.get("/k")
        assert isinstance(down, Err) and down.code is Code.STORE_UNAVAILABLE
        unknown = await kv.txn({}, {"/k": b"2"})
        assert isinstance(unknown, Err) and unknown.code is Code.WRITE_UNKNOWN


async def test_refusals_surely_had_no_effect():
    async with running_kv() as (kv, url):
        large = await kv.txn({}, {"/k": bytes(1_000_001)})
        assert isinstance(large, Err) and large.code is Code.STORE_UNAVAILABLE
        await set_faults(url, writes_per_s=0.5)
        limited = await kv.txn({}, {"/k": b""})
        assert isinstance(limited, Err) and limited.code is Code.STORE_UNAVAILABLE
        assert await kv.get("/k") == Ok(None)
    async with KvClient("http://127.0.0.1:9") as nobody:
        refused = await nobody.txn({}, {"/k": b""})
        assert isinstance(refused, Err) and refused.code is Code.STORE_UNAVAILABLE


@pytest.mark.parametrize(
    ("path", "body"),
    [
        ("/v3/kv/txn", b"{"),
        ("/v3/kv/txn", b"[]"),
        ("/v3/kv/txn", b'{"compare": 3}'),
        ("/v3/kv/txn", b'{"success": [3]}'),
        ("/v3/kv/range", b'{"key": 1}'),
        ("/v3/lease/grant", b'{"TTL": "x"}'),
        ("/v3/watch", b'{"create_request": {"key": "%"}}'),
        ("/v3/watch", b'{"create_request": {"start_revision": "x"}}'),
    ],
)
async def test_bad_bodies_are_refused_and_the_service_goes_on(path, body):
    async with running_kv() as (kv, url), httpcore.AsyncConnectionPool() as pool:
        answer = await pool.request("POST", url + path, content=body)
        assert answer.status == 400
        assert await kv.get("/k") == Ok(None)
