"""Tests of the adapters to the platform: records, store, settings and processes."""

from __future__ import annotations

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
from mustardfront.coordination.quarantine import CrashReport, RequestContent
from mustardfront.coordination.traffic import (
    EntryChange,
    RateLimitNotice,
    TrafficState,
    UpstreamGone,
    follow,
    keep_announced,
)
from mustardfront.metrics import Metrics
from mustardfront.results import Err, Ok
from mustardfront.state import TrafficConfig, UpstreamInstance
from mustardfront_platform._store import open_store
from platform_fakes import FakeStore, operator_config, running_store, worker_record

ROOT = Path(__file__).parent.parent
TIMEOUT_S = 20


async def wait_until(condition: Callable[[], bool]) -> None:
    with trio.fail_after(TIMEOUT_S):
        while not condition():  # noqa: ASYNC110
            await trio.sleep(0.01)


async def test_store_snapshot_reads_all_pages_and_watch_returns_changes():
    store = FakeStore(page_size=2)
    store.put("op/config", operator_config())
    for number in range(5):
        store.put(f"servers/i-{number}", worker_record(f"10.0.0.{number}:80"))
    async with running_store(store), open_store(store.address, Metrics()) as client:
        snapshot = await client.snapshot()
        assert isinstance(snapshot, Ok)
        assert len(snapshot.value.upstreams) == 5
        assert snapshot.value.config is not None
        store.put("servers/i-1", worker_record("10.0.0.1:80", state="draining"))
        store.remove("servers/i-2")
        store.put("servers/i-3", b"\xff")
        store.put("op/config", operator_config(4))
        changes = await client.wait_for_changes(snapshot.value.revision, 1.0)
        assert isinstance(changes, Ok)
        kinds = [type(change) for change in changes.value.changes]
        assert kinds == [UpstreamInstance, UpstreamGone, UpstreamGone, TrafficConfig]
        assert changes.value.revision == store.revision


async def test_watch_returns_without_changes_and_reports_compacted_history():
    async with running_store() as store, open_store(store.address, Metrics()) as client:
        no_changes = await client.wait_for_changes(store.revision, 0.05)
        assert isinstance(no_changes, Ok)
        assert no_changes.value.changes == ()
        store.put("op/config", operator_config())
        store.compact()
        compacted = await client.wait_for_changes(1, 0.05)
        assert isinstance(compacted, Err)
        assert compacted.code is Code.STORE_HISTORY_GONE


def nested(depth: int) -> bytes:
    return b'{"service": "svc", "extra": ' + b"[" * depth + b"]" * depth + b"}"


@pytest.mark.parametrize("key", ["op/config", "servers/i-1", "mustardfront/limits/i-1"])
async def test_deeply_nested_record_does_not_end_the_process(key):
    """Guards against one odd record that ends each process that reads the store."""
    store = FakeStore()
    store.put("op/config", operator_config())
    store.put("servers/i-2", worker_record("10.0.0.2:80"))
    async with running_store(store), open_store(store.address, Metrics()) as client:
        before = store.revision
        store.put(key, nested(100_000))
        store.put("servers/i-3", worker_record("10.0.0.3:80"))
        changes = await client.wait_for_changes(before, 1.0)
        assert isinstance(changes, Ok)
        assert changes.value.changes[-1].instance == "i-3"
        snapshot = await client.snapshot()
        assert isinstance(snapshot, Ok)
        assert snapshot.value.upstreams.keys() == {"i-2", "i-3"}


@pytest.mark.parametrize("status", [429, 500, 503])
async def test_error_status_of_the_store_means_unavailable(status):
    async with running_store() as store, open_store(store.address, Metrics()) as client:
        store.status = status
        snapshot = await client.snapshot()
        assert isinstance(snapshot, Err)
        assert snapshot.code is Code.STORE_UNAVAILABLE


async def test_call_to_a_silent_store_times_out(monkeypatch):
    monkeypatch.setattr("mustardfront_platform._store.CALL_TIMEOUT_S", 0.1)
    monkeypatch.setattr("mustardfront_platform._store.WATCH_SLACK_S", 0.1)
    async with running_store() as store, open_store(store.address, Metrics()) as client:
        store.is_silent = True
        with trio.fail_after(TIMEOUT_S):
            assert isinstance(await client.wait_for_changes(1, 0.05), Err)


async def test_crash_reports_reach_other_entries_by_watch_and_snapshot():
    """Guards against crashes that stay known to one entry, or to one process."""
    report = CrashReport("i-1.5", "e1", (RequestContent("f1", ("p", "q")),), ("p",))
    async with (
        running_store() as store,
        open_store(store.address, Metrics()) as client,
    ):
        before = store.revision
        assert isinstance(await client.report_crash(report, 60.0), Ok)
        changes = await client.wait_for_changes(before, 1.0)
        assert isinstance(changes, Ok) and changes.value.changes == (report,)
        store.put("mustardfront/crashes/i-2.5/e2", b"{")
        snapshot = await client.snapshot()
        assert isinstance(snapshot, Ok) and snapshot.value.crashes == (report,)


@pytest.mark.parametrize("per_s", [1.5, None])
async def test_rate_limits_reach_other_entries_by_watch_and_snapshot(per_s):
    """Guards against a limit that stays known to one entry."""
    notice = RateLimitNotice("i-1.5", per_s)
    async with (
        running_store() as store,
        open_store(store.address, Metrics()) as client,
    ):
        before = store.revision
        assert isinstance(await client.announce_rate_limit(notice, 60.0), Ok)
        changes = await client.wait_for_changes(before, 1.0)
        assert isinstance(changes, Ok) and changes.value.changes == (notice,)
        snapshot = await client.snapshot()
        assert isinstance(snapshot, Ok) and snapshot.value.rate_limits == (notice,)


async def test_entry_is_announced_again_after_its_lease_expired():
    """Guards against budgets that are divided by too few entries.

    An entry whose lease expired is not counted until it is announced again, although it
    still uses its share.
    """
    sleeps = 0

    async def short_sleep(delay_s: float) -> None:
        nonlocal sleeps
        sleeps += 1
        await trio.sleep(0.01)

    async with running_store() as store, open_store(store.address, Metrics()) as client:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(
                partial(keep_announced, client, "edge-1", lambda: 1, short_sleep)
            )
            await wait_until(lambda: "mustardfront/entries/edge-1" in store.items)
            store.remove("mustardfront/entries/edge-1")
            store.leases.clear()
            await wait_until(lambda: "mustardfront/entries/edge-1" in store.items)
            nursery.cancel_scope.cancel()
        changes = await client.wait_for_changes(1, 0.05)
        assert isinstance(changes, Ok)
        assert EntryChange("edge-1", config_version=1) in changes.value.changes


async def test_view_keeps_lapsed_upstreams_for_a_time_after_an_outage(monkeypatch):
    """Guards against dropping upstreams whose announcements lapsed in an outage.

    Workers cannot renew announcements while the store is unavailable. After its return
    an upstream is removed only if it is still missing when the grace time ends.
    """
    monkeypatch.setattr("mustardfront.coordination.traffic._feed.WATCH_WAIT_S", 0.05)
    monkeypatch.setattr("mustardfront.coordination.traffic._feed.LAPSED_GRACE_S", 0.6)
    store = FakeStore()
    store.put("op/config", operator_config())
    store.put("servers/i-1", worker_record("10.0.0.1:80"))
    store.put("servers/i-2", worker_record("10.0.0.2:80"))
    state = TrafficState(trio.current_time)

    async with (
        running_store(store),
        open_store(store.address, Metrics()) as client,
        trio.open_nursery() as nursery,
    ):
        nursery.start_soon(follow, client, state, trio.current_time)
        await wait_until(lambda: len(state.upstreams_of("svc")) == 2)
        store.status = 503
        # Longer than the time between two watches, so that one has failed.
        await wait_until(lambda: state.age_s() > 0.8)
        assert len(state.upstreams_of("svc")) == 2
        store.remove("servers/i-1")
        store.remove("servers/i-2")
        store.compact()
        store.status = 0
        await wait_until(lambda: state.age_s() < 0.2)
        assert len(state.upstreams_of("svc")) == 2
        store.put("servers/i-1", worker_record("10.0.0.1:80"))
        await wait_until(lambda: len(state.upstreams_of("svc")) == 1)
        assert state.upstreams_of("svc")[0].instance == "i-1"
        nursery.cancel_scope.cancel()


def free_port() -> int:
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return int(sock.getsockname()[1])


SETTINGS_TOML = """
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


async def http_get(
    port: int, path: str, key: str = "k1", wait_ms: int = 1500
) -> tuple[int, bytes]:
    stream = await trio.open_tcp_stream("127.0.0.1", port)
    async with stream:
        await stream.send_all(
            f"GET {path} HTTP/1.1\r\nhost: shop.example\r\nconnection: close\r\n"
            f"x-mustardfront-attempt-id: a1\r\n"
            f"x-mustardfront-deadline-ms: {wait_ms}\r\n"
            f"authorization: Bearer {key}\r\n\r\n".encode()
        )
        data = b""
        while part := await stream.receive_some():
            data += part
    head, _, body = data.partition(b"\r\n\r\n")
    return int(head.split()[1]), body


async def start_entry(
    nursery: trio.Nursery, folder: Path, store: FakeStore, ports: dict[str, int]
) -> trio.Process:
    """Start an entry process with these ports; its settings go to ``folder``."""
    settings_file = folder / "local.toml"
    settings_file.write_text(SETTINGS_TOML.format(store=store.address, **ports))
    return await nursery.start(
        partial(
            trio.run_process,
            [sys.executable, "platform/main.py", "entry"],
            cwd=ROOT,
            env=os.environ | {"MUSTARDFRONT_BOOT": str(settings_file)},
            capture_stdout=True,
            check=False,
        )
    )


async def wait_ready(port: int) -> None:
    """Wait until an entry's readiness check succeeds."""
    while True:
        try:
            if (await http_get(port, "/-/readiness"))[0] == 200:
                return
        except OSError:
            await trio.sleep(0.05)


async def test_entry_process_serves_and_drains(tmp_path):
    """Guards the entry process as the platform runs it.

    It reads the settings file, serves once it is ready, survives SIGHUP, and after
    SIGTERM reports not ready, still serves, and exits with 0.
    """
    seal = b"x-mustardfront-response-seal: s\r\n"
    upstream = FakeUpstream([respond(200, b"quote", seal + b"x-request-id: a1\r\n")])
    store = FakeStore()
    store.put("op/config", operator_config())
    ports = {"front": free_port(), "ready": free_port()}
    async with running_store(store), trio.open_nursery() as nursery:
        await nursery.start(upstream.run)
        store.put("servers/i-1", worker_record(f"127.0.0.1:{upstream.address[1]}"))
        process = await start_entry(nursery, tmp_path, store, ports)
        with trio.fail_after(TIMEOUT_S):
            await wait_ready(ports["ready"])
            assert await http_get(ports["front"], "/get/x") == (200, b"quote")
            assert (await http_get(ports["front"], "/get/x", "other"))[0] == 401
            headers = upstream.requests[0].headers
            assert headers["x-mustardfront-tenant"] == "lofts"
            assert headers["x-mustardfront-expect-instance"] == "i-1"
            process.send_signal(signal.SIGHUP)
            process.send_signal(signal.SIGTERM)
            for _ in range(100):
                if (await http_get(ports["ready"], "/-/readiness"))[0] == 503:
                    break
                await trio.sleep(0.02)
            assert await http_get(ports["front"], "/get/x") == (200, b"quote")
            await process.wait()
        assert process.returncode == 0
        nursery.cancel_scope.cancel()


def test_missing_settings_file_is_named_in_the_error():
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


def test_platform_names_are_used_only_in_the_platform_folder():
    """Guards against the platform's names in the product, the benches and the specs."""
    platform_names = re.compile(
        r"x-mustardfront-|/-/(kv|report|picked|order|readiness)|kvUsed|configApplyMs"
        r"|MUSTARDFRONT_BOOT|trafficSplit",
        re.IGNORECASE,
    )
    matching_files = [
        str(path.relative_to(ROOT))
        for folder in ("src", "bench", "specs")
        for path in (ROOT / folder).rglob("*.py")
        if platform_names.search(path.read_text())
    ]
    assert matching_files == []
