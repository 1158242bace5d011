"""Calls to the store that get no answer, and what they must not delay or undo."""

from __future__ import annotations

import os
import signal
import subprocess
import sys

import pytest
import trio

from fault_proxy import SilencingProxy
from mustardfront.coordination.traffic import TrafficState, follow
from mustardfront.metrics import Metrics
from mustardfront.results import Err, Ok
from mustardfront_platform import _store as store_client
from mustardfront_platform._store import open_store
from platform_fakes import FakeStore, operator_config, running_store, worker_record
from test_platform import ROOT, wait_until

# After a reset of its connections an entry is bound again by the time in which a change
# must be in force, on the smallest deployments.
CONTACT_S = 3.0


def take_key_away(store: FakeStore) -> None:
    store.put("op/config", operator_config(4, tenants=[]))


def has_no_key(state: TrafficState) -> bool:
    return state.version == 4


def drain_worker(store: FakeStore) -> None:
    record = worker_record("10.0.0.1:80", state="draining", sequence=4)
    store.put("servers/i-1", record)


def sends_nothing(state: TrafficState) -> bool:
    return not state.upstreams_of("svc")


@pytest.mark.parametrize(
    ("change", "is_seen"), [(take_key_away, has_no_key), (drain_worker, sends_nothing)]
)
async def test_change_is_seen_soon_after_all_connections_went_silent(change, is_seen):
    """Guards against a key, or a worker that leaves, that is served for too long.

    The watch waits on one silent connection. What is called after it must not wait on
    another one.
    """
    store = FakeStore()
    store.put("op/config", operator_config())
    store.put("servers/i-1", worker_record("10.0.0.1:80"))
    async with running_store(store), trio.open_nursery() as nursery:
        proxy = SilencingProxy(store.address)
        await nursery.start(proxy.run)
        async with open_store(proxy.address, Metrics()) as client:
            state = TrafficState(trio.current_time)
            # Leaves several connections in the pool, as an entry's start does.
            async with trio.open_nursery() as calls:
                for _ in range(3):
                    calls.start_soon(client.snapshot)
            nursery.start_soon(follow, client, state, trio.current_time)
            await wait_until(lambda: state.version == 3)
            watches = store.calls.count("GET /-/kv-watch")
            await wait_until(lambda: store.calls.count("GET /-/kv-watch") > watches)
            proxy.silence()
            silent_at = trio.current_time()
            await trio.sleep(0.2)
            change(store)
            await wait_until(lambda: is_seen(state))
            assert trio.current_time() - silent_at < CONTACT_S
            nursery.cancel_scope.cancel()


class LateStore(FakeStore):
    """Leaves the first write without an answer, and tries it again at ``execute``."""

    late: dict | None = None

    async def handle_call(self, path, args, data):
        if path == "/-/kv-txn" and self.late is None:
            self.late = data
            await trio.sleep_forever()
        return await super().handle_call(path, args, data)

    async def execute(self) -> int:
        status, _ = await super().handle_call("/-/kv-txn", {}, self.late)
        return status


async def test_announcement_that_is_executed_late_does_not_replace_a_later_one(
    monkeypatch,
):
    """Guards against a key under a lease that nobody renews.

    It ends after some seconds, although its entry renews the lease that it knows; the
    others then divide the retry budget among too few.
    """
    monkeypatch.setattr(store_client, "CALL_TIMEOUT_S", 0.2)
    store = LateStore()
    async with running_store(store), open_store(store.address, Metrics()) as client:
        assert isinstance(await client.announce("e1", 1, 5.0), Err)
        announced = await client.announce("e1", 1, 5.0)
        assert isinstance(announced, Ok)
        assert await store.execute() == 412
        _, revision, lease = store.items["mustardfront/entries/e1"]
        assert (revision, lease) == (announced.value.revision, announced.value.lease)


async def test_entry_that_starts_again_takes_over_its_announcement():
    """Guards against an entry that is not announced until its old lease ends."""
    store = FakeStore()
    store.put("mustardfront/entries/e1", 3, lease=99)
    async with running_store(store), open_store(store.address, Metrics()) as client:
        announced = await client.announce("e1", 4, 5.0)
        assert isinstance(announced, Ok)
        data, _, lease = store.items["mustardfront/entries/e1"]
        assert (data, lease) == (b"4", announced.value.lease)
        again = await client.announce("e1", 5, 5.0)
        assert isinstance(again, Ok)


# Sends the signal when the program's package is imported, long before its handler.
SIGHUP_AT_IMPORT = """
import builtins, os, runpy, signal, sys
real_import = builtins.__import__
def hook(name, *args, **kwargs):
    if name == "mustardfront_platform":
        os.kill(os.getpid(), signal.SIGHUP)
    return real_import(name, *args, **kwargs)
builtins.__import__ = hook
sys.argv = ["main.py", "entry"]
runpy.run_path("platform/main.py", run_name="__main__")
"""


def test_sighup_before_its_handler_does_not_end_the_process():
    """Guards against a change of the settings that ends a process as it starts."""
    env = {name: value for name, value in os.environ.items() if "BOOT" not in name}
    path = f"{ROOT / 'src'}:{ROOT / 'platform'}"
    run = subprocess.run(
        [sys.executable, "-c", SIGHUP_AT_IMPORT],
        cwd=ROOT,
        env=env | {"PYTHONPATH": path},
        capture_output=True,
        check=False,
    )
    assert run.returncode != -signal.SIGHUP
    # Without a settings file it ends with its own error.
    assert run.returncode == 2
