"""The key-value client against the stand-in: calls, watches and faults."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import httpcore
import msgspec
import pytest
import trio

from fault_proxy import SilencingProxy
from mustardfront.codes import Code
from mustardfront.coordination.kv import KvClient, KvEvent, KvValue, TxnResult
from mustardfront.coordination.kv import _client as kv_client
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
        response = await pool.request("POST", url + "/control/faults", content=body)
        assert response.status == 200, response.content


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
        remaining = await kv.get_prefix("/a/")
        assert isinstance(remaining, Ok) and list(remaining.value) == ["/a/1", "/a/3"]
        assert await kv.lease_revoke(lease.value) == Ok(None)
        assert await kv.get("/a/3") == Ok(None)
        for result in (
            await kv.lease_keepalive(lease.value),
            await kv.txn({}, {"/a/4": b""}, lease=lease.value),
        ):
            assert isinstance(result, Err) and result.code is Code.LEASE_LOST
        assert kv.calls["txn"] == 4


async def test_watch_yields_every_change_from_its_revision_on():
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
async def test_write_with_a_lost_response_is_reported_as_unknown(outage):
    # Guards against reporting a write as failed although it took effect.
    async with running_kv() as (kv, url):
        await set_faults(url, lose_answers=1)
        lost_response = await kv.txn({"/k": 0}, {"/k": b"1"})
        assert (
            isinstance(lost_response, Err) and lost_response.code is Code.WRITE_UNKNOWN
        )
        assert await kv.get("/k") == Ok(KvValue(b"1", 2, 0))
        await set_faults(url, outage=outage)
        failed_read = await kv.get("/k")
        assert (
            isinstance(failed_read, Err) and failed_read.code is Code.STORE_UNAVAILABLE
        )
        failed_write = await kv.txn({}, {"/k": b"2"})
        assert isinstance(failed_write, Err) and failed_write.code is Code.WRITE_UNKNOWN


async def test_rejected_writes_have_no_effect():
    async with running_kv() as (kv, url):
        too_large = await kv.txn({}, {"/k": bytes(1_000_001)})
        assert isinstance(too_large, Err) and too_large.code is Code.STORE_UNAVAILABLE
        await set_faults(url, writes_per_s=0.5)
        over_rate = await kv.txn({}, {"/k": b""})
        assert isinstance(over_rate, Err) and over_rate.code is Code.STORE_UNAVAILABLE
        assert await kv.get("/k") == Ok(None)
    async with KvClient("http://127.0.0.1:9") as unreachable:
        refused = await unreachable.txn({}, {"/k": b""})
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
async def test_stand_in_rejects_malformed_bodies_and_keeps_running(path, body):
    async with running_kv() as (kv, url), httpcore.AsyncConnectionPool() as pool:
        response = await pool.request("POST", url + path, content=body)
        assert response.status == 400
        assert await kv.get("/k") == Ok(None)


async def test_client_notices_that_the_service_went_back():
    """Guards against records and fences of a history that the service has lost."""
    async with running_kv() as (kv, url):
        await kv.txn({}, {"/a": b"1"})
        # The stand-in copies its data four times a second.
        await trio.sleep(0.6)
        await kv.txn({}, {"/a": b"2"})
        assert kv.restores == 0
        async with httpcore.AsyncConnectionPool() as pool:
            body = b'{"age_s": 0.2}'
            await pool.request("POST", url + "/control/restore", content=body)
        assert await kv.get("/a") == Ok(KvValue(b"1", 2, 0))
        assert kv.restores == 1
        await kv.txn({}, {"/a": b"3"})
        await kv.get("/a")
        assert kv.restores == 1


async def test_call_after_a_silent_one_opens_its_own_connection(monkeypatch):
    """Guards against one timeout for each connection of the pool."""
    limits = kv_client.CallLimits(0.3, 0.3, 1.0, kv_client.RESPONSE_MAX_BYTES)
    monkeypatch.setattr(kv_client, "_CALL_LIMITS", limits)
    async with running_kv() as (_, url), trio.open_nursery() as nursery:
        proxy = SilencingProxy(url.removeprefix("http://"))
        await nursery.start(proxy.run)
        async with KvClient(f"http://{proxy.address}") as client:
            async with trio.open_nursery() as calls:
                for _ in range(4):
                    calls.start_soon(client.get, "/k")
            proxy.silence()
            assert isinstance(await client.get("/k"), Err)
            assert await client.get("/k") == Ok(None)
        nursery.cancel_scope.cancel()
