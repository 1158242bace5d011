"""Translation of the platform's records, store and settings, without a bench."""

from __future__ import annotations

import json
import os
import re
import signal
import socket
import subprocess
import sys
from collections.abc import Callable
from functools import partial
from pathlib import Path

import pytest
import trio

from gateway_fakes import FakeUpstream, respond
from mustardfront.codes import Code
from mustardfront.coordination.traffic import (
    EntrySeen,
    TrafficState,
    UpstreamGone,
    follow,
    keep_announced,
)
from mustardfront.metrics import Metrics
from mustardfront.results import Err, Ok
from mustardfront.state import RequestKind, TrafficConfig, UpstreamInstance
from mustardfront_platform._records import decode_config, decode_worker
from mustardfront_platform._store import open_store
from platform_fakes import FakeStore, operator_config, running_store, worker

ROOT = Path(__file__).parent.parent
STEP_LIMIT_S = 20


async def until(holds: Callable[[], bool]) -> None:
    with trio.fail_after(STEP_LIMIT_S):
        while not holds():  # noqa: ASYNC110
            await trio.sleep(0.01)


def test_the_operators_configuration():
    decoded = decode_config(json.dumps(operator_config()).encode())
    assert isinstance(decoded, Ok)
    cfg = decoded.value
    assert cfg.version == 3
    get, draft = cfg.routes
    assert get.kind is RequestKind.IDEMPOTENT
    assert get.is_repeatable
    assert [(one.service, one.weight) for one in draft.shares] == [
        ("svc", 90),
        ("new", 10),
    ]
    assert cfg.access["k1"].team == "lofts"
    assert cfg.access["k1"].priority == 0
    engine = cfg.services["svc"].engine
    assert engine is not None
    assert (engine.layers, engine.experts, engine.slots_per_rank) == (6, 64, 11)
    assert engine.loads_max == 4
    assert round(engine.expert_load_s, 3) == 0.148


@pytest.mark.parametrize(
    "data",
    [
        b"",
        b"[]",
        b"\xff",
        json.dumps(operator_config(version="x")).encode(),
        json.dumps(operator_config(routes=[{"name": "r"}])).encode(),
        json.dumps(operator_config()).replace("idempotent", "maybe").encode(),
    ],
)
def test_a_configuration_with_a_fault_is_refused_whole(data):
    assert isinstance(decode_config(data), Err)


@pytest.mark.parametrize(
    "data",
    [
        b"",
        b"null",
        b"\xff\xfe",
        json.dumps(worker("10.0.0.1:80", state="resting")).encode(),
        json.dumps(worker("nowhere")).encode(),
        json.dumps(worker("10.0.0.1:80", slots="six")).encode(),
    ],
)
def test_an_announcement_with_a_fault_names_no_upstream(data):
    assert isinstance(decode_worker("i-1", data), Err)


async def test_the_store_is_read_in_pages_and_watched():
    store = FakeStore(page=2)
    store.put("op/config", operator_config())
    for number in range(5):
        store.put(f"servers/i-{number}", worker(f"10.0.0.{number}:80"))
    async with running_store(store), open_store(store.address, Metrics()) as client:
        snapshot = await client.snapshot()
        assert isinstance(snapshot, Ok)
        assert len(snapshot.value.upstreams) == 5
        assert snapshot.value.config is not None
        store.put("servers/i-1", worker("10.0.0.1:80", state="draining"))
        store.remove("servers/i-2")
        store.put("servers/i-3", b"\xff")
        store.put("op/config", operator_config(4))
        changes = await client.changes(snapshot.value.revision, 1.0)
        assert isinstance(changes, Ok)
        kinds = [type(change) for change in changes.value.changes]
        assert kinds == [UpstreamInstance, UpstreamGone, UpstreamGone, TrafficConfig]
        assert changes.value.revision == store.revision


async def test_a_quiet_watch_returns_and_lost_history_is_told():
    async with running_store() as store, open_store(store.address, Metrics()) as client:
        quiet = await client.changes(store.revision, 0.05)
        assert isinstance(quiet, Ok)
        assert quiet.value.changes == ()
        store.put("op/config", operator_config())
        store.compact()
        gone = await client.changes(1, 0.05)
        assert isinstance(gone, Err)
        assert gone.code is Code.STORE_HISTORY_GONE


@pytest.mark.parametrize("status", [429, 500, 503])
async def test_a_store_that_refuses_is_unavailable(status):
    async with running_store() as store, open_store(store.address, Metrics()) as client:
        store.status = status
        found = await client.snapshot()
        assert isinstance(found, Err)
        assert found.code is Code.STORE_UNAVAILABLE


async def test_a_silent_store_is_given_up(monkeypatch):
    monkeypatch.setattr("mustardfront_platform._store.CALL_TIMEOUT_S", 0.1)
    monkeypatch.setattr("mustardfront_platform._store.WATCH_SLACK_S", 0.1)
    async with running_store() as store, open_store(store.address, Metrics()) as client:
        store.is_silent = True
        with trio.fail_after(STEP_LIMIT_S):
            assert isinstance(await client.changes(1, 0.05), Err)


async def test_an_entry_is_announced_and_again_when_its_lease_ended():
    """Guards against a budget that is divided among entries that are not counted."""
    ticks = 0

    async def tick(delay_s: float) -> None:
        nonlocal ticks
        ticks += 1
        await trio.sleep(0.01)

    async with running_store() as store, open_store(store.address, Metrics()) as client:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(partial(keep_announced, client, "edge-1", tick))
            await until(lambda: "mustardfront/entries/edge-1" in store.items)
            store.remove("mustardfront/entries/edge-1")
            store.leases.clear()
            await until(lambda: "mustardfront/entries/edge-1" in store.items)
            nursery.cancel_scope.cancel()
        seen = await client.changes(1, 0.05)
        assert isinstance(seen, Ok)
        assert EntrySeen("edge-1") in seen.value.changes


async def test_a_view_outlives_an_outage_and_lapsed_upstreams_get_time(monkeypatch):
    """Guards against dropping upstreams whose announcements lapsed in an outage."""
    monkeypatch.setattr("mustardfront.coordination.traffic._feed.WATCH_WAIT_S", 0.05)
    monkeypatch.setattr("mustardfront.coordination.traffic._feed.LAPSED_GRACE_S", 0.6)
    store = FakeStore()
    store.put("op/config", operator_config())
    store.put("servers/i-1", worker("10.0.0.1:80"))
    store.put("servers/i-2", worker("10.0.0.2:80"))
    state = TrafficState(trio.current_time)

    async with (
        running_store(store),
        open_store(store.address, Metrics()) as client,
        trio.open_nursery() as nursery,
    ):
        nursery.start_soon(follow, client, state, trio.current_time)
        await until(lambda: len(state.upstreams_of("svc")) == 2)
        store.status = 503
        await until(lambda: state.age_s() > 0.3)
        assert len(state.upstreams_of("svc")) == 2
        store.remove("servers/i-1")
        store.remove("servers/i-2")
        store.compact()
        store.status = 0
        await until(lambda: state.age_s() < 0.2)
        assert len(state.upstreams_of("svc")) == 2
        store.put("servers/i-1", worker("10.0.0.1:80"))
        await until(lambda: len(state.upstreams_of("svc")) == 1)
        assert state.upstreams_of("svc")[0].instance == "i-1"
        nursery.cancel_scope.cancel()


def free_port() -> int:
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return int(sock.getsockname()[1])


SETTINGS = """
nodeName = "edge-1"
ip = "127.0.0.1"
zone = "zone-a"
internalPortRange = [7340, 7355]
unknown = "ignored"
[listen]
frontend = "127.0.0.1:{front}"
ready = "127.0.0.1:{ready}"
[bounds]
graceS = 5
failClosed = true
revokeMs = 5000
retryBudgetRatio = 0.2
retryBudgetExtra = 90
[platform]
address = "{store}"
"""


async def http(port: int, path: str, key: str = "k1") -> tuple[int, bytes]:
    stream = await trio.open_tcp_stream("127.0.0.1", port)
    async with stream:
        await stream.send_all(
            f"GET {path} HTTP/1.1\r\nhost: shop.example\r\nconnection: close\r\n"
            f"x-mustardfront-attempt-id: a1\r\nx-mustardfront-deadline-ms: 1500\r\n"
            f"authorization: Bearer {key}\r\n\r\n".encode()
        )
        data = b""
        while part := await stream.receive_some():
            data += part
    head, _, body = data.partition(b"\r\n\r\n")
    return int(head.split()[1]), body


async def test_the_entry_serves_and_drains_as_a_process(tmp_path):
    """Plays the program as the platform starts it: settings, readiness, SIGTERM."""
    seal = b"x-mustardfront-response-seal: s\r\n"
    upstream = FakeUpstream([respond(200, b"quote", seal + b"x-request-id: a1\r\n")])
    store = FakeStore()
    store.put("op/config", operator_config())
    ports = {"front": free_port(), "ready": free_port()}
    async with running_store(store), trio.open_nursery() as nursery:
        await nursery.start(upstream.run)
        store.put("servers/i-1", worker(f"127.0.0.1:{upstream.address[1]}"))
        boot = tmp_path / "local.toml"
        boot.write_text(SETTINGS.format(store=store.address, **ports))
        process = await nursery.start(
            partial(
                trio.run_process,
                [sys.executable, "platform/main.py", "entry"],
                cwd=ROOT,
                env=os.environ | {"MUSTARDFRONT_BOOT": str(boot)},
                capture_stdout=True,
                check=False,
            )
        )
        with trio.fail_after(STEP_LIMIT_S):
            while True:
                try:
                    if (await http(ports["ready"], "/-/readiness"))[0] == 200:
                        break
                except OSError:
                    await trio.sleep(0.05)
            assert await http(ports["front"], "/get/x") == (200, b"quote")
            assert (await http(ports["front"], "/get/x", "other"))[0] == 401
            seen = upstream.requests[0].headers
            assert seen["x-mustardfront-tenant"] == "lofts"
            assert seen["x-mustardfront-expect-instance"] == "i-1"
            process.send_signal(signal.SIGHUP)
            process.send_signal(signal.SIGTERM)
            for _ in range(100):
                if (await http(ports["ready"], "/-/readiness"))[0] == 503:
                    break
                await trio.sleep(0.02)
            assert await http(ports["front"], "/get/x") == (200, b"quote")
            await process.wait()
        assert process.returncode == 0
        nursery.cancel_scope.cancel()


def test_a_missing_settings_file_is_named():
    run = subprocess.run(
        [sys.executable, "platform/main.py", "entry"],
        cwd=ROOT,
        env=os.environ | {"MUSTARDFRONT_BOOT": "/nowhere/local.toml"},
        capture_output=True,
        text=True,
        check=False,
    )
    assert run.returncode == 2
    assert "/nowhere/local.toml" in run.stderr


def test_the_platforms_names_stay_in_their_folder():
    """Guards the product against the platform's names."""
    words = re.compile(
        r"x-mustardfront-|/-/(kv|report|picked|order|readiness)|kvUsed|configApplyMs"
        r"|MUSTARDFRONT_BOOT|trafficSplit",
        re.IGNORECASE,
    )
    found = [
        str(path.relative_to(ROOT))
        for folder in ("src", "bench", "specs")
        for path in (ROOT / folder).rglob("*.py")
        if words.search(path.read_text())
    ]
    assert found == []
