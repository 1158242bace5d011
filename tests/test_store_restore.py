"""Entries and agents before a store that returns from an older copy of its data."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import replace

import pytest
import trio

from gateway_fakes import gateway, instance
from mustardfront.coordination.quarantine import CrashEvidence, RequestContent
from mustardfront.coordination.traffic import (
    EntryChange,
    RateLimitNotice,
    RateLimits,
    Snapshot,
    TrafficState,
    Upstream,
    UpstreamGone,
    follow,
    keep_announced,
)
from mustardfront.coordination.traffic._feed import LAPSED_GRACE_S
from mustardfront.metrics import Metrics
from mustardfront.programs.gateway._crash import CrashReporter
from mustardfront.programs.gateway._main import _announce_rate_limits
from mustardfront.programs.gateway._outbox import Outbox
from mustardfront.results import Err, Ok, Result
from mustardfront.state import UpstreamInstance, UpstreamState
from mustardfront_platform._store import open_store
from platform_fakes import FakeStore, operator_config, running_store, worker_record

TIMEOUT_S = 10


async def wait_until(condition: Callable[[], bool]) -> None:
    with trio.fail_after(TIMEOUT_S):
        while not condition():  # noqa: ASYNC110
            await trio.sleep(0.01)


def run_once_between_watches(change: Callable[[], None]) -> Callable[..., Awaitable]:
    """Return a sleep for ``follow`` that calls ``change`` in its first pause."""
    pending = [change]

    async def sleep(delay_s: float) -> None:
        if pending:
            pending.pop()()
        await trio.sleep(min(delay_s, 0.01))

    return sleep


async def test_configuration_at_a_reused_revision_comes_into_force():
    """Guards against a watch that skips changes when revisions are given out again."""
    store = FakeStore()
    store.put("op/config", operator_config(3))
    older = store.copy()
    for number in range(3):
        store.put(f"mustardfront/entries/e{number}", b"")

    def restore() -> None:
        store.restore(older)
        # This write takes a revision that the entry has already passed.
        store.put("op/config", operator_config(4))
        for number in range(8):
            store.put(f"servers/i-{number}", worker_record(f"10.0.0.{number}:80"))

    state = TrafficState(trio.current_time)
    async with (
        running_store(store),
        open_store(store.address, Metrics()) as client,
        trio.open_nursery() as nursery,
    ):
        sleep = run_once_between_watches(restore)
        nursery.start_soon(follow, client, state, trio.current_time, sleep)
        store.put("mustardfront/entries/e3", b"")
        await wait_until(lambda: state.get("i-7") is not None)
        assert state.version == 4
        nursery.cancel_scope.cancel()


async def test_entry_is_announced_again_when_its_lease_number_was_given_out_again():
    """Guards against an entry that renews another's lease and is not counted itself."""
    store = FakeStore()
    older = store.copy()
    key = "mustardfront/entries/edge-1"

    async def short_sleep(_: float) -> None:
        await trio.sleep(0.01)

    async with (
        running_store(store),
        open_store(store.address, Metrics()) as client,
        trio.open_nursery() as nursery,
    ):
        nursery.start_soon(keep_announced, client, "edge-1", lambda: 1, short_sleep)
        await wait_until(lambda: key in store.items)
        lease = store.items[key][2]
        store.restore(older)
        store.leases.add(lease)
        await wait_until(lambda: key in store.items)
        assert store.items[key][2] != lease
        nursery.cancel_scope.cancel()


async def test_notice_that_ends_leaves_the_leases_of_others_alone():
    """Guards against an agent that ends another process's lease after a restore."""
    store = FakeStore()
    older = store.copy()
    async with running_store(store), open_store(store.address, Metrics()) as client:
        notice = await client.announce_slow(("10.0.0.1", 80), 5.0, 6.0)
        assert isinstance(notice, Ok)
        store.restore(older)
        announced = await client.announce("edge-1", 1, 10.0)
        assert isinstance(announced, Ok)
        assert announced.value.lease == notice.value.lease
        assert isinstance(await client.remove(notice.value), Err)
        assert "mustardfront/entries/edge-1" in store.items
        assert isinstance(await client.renew_lease(announced.value), Ok)


def test_entries_that_a_restored_store_lacks_count_until_they_could_be_back():
    """Guards against budgets that are divided by too few entries after a restore."""
    state = TrafficState(lambda: 100.0, "e1")
    state.replace(Snapshot(9, None, {}, {"e1": 2, "e2": 2, "e3": 2}), False)
    state.replace(Snapshot(4, None, {}, {"e1": 2}, era=2), True)
    assert state.entries == {"e1", "e2", "e3"}
    state.apply(EntryChange("e2"), keep_missing=True)
    state.drop_lapsed()
    assert state.entries == {"e1", "e2"}


async def test_entry_is_announced_again_as_soon_as_the_store_is_back():
    """Guards against an entry that others drop before it renews its announcement."""
    store = FakeStore()
    older = store.copy()
    state = TrafficState(trio.current_time)
    key = "mustardfront/entries/edge-1"
    async with (
        running_store(store),
        open_store(store.address, Metrics()) as client,
        trio.open_nursery() as nursery,
    ):
        pause = state.sleep_until_store_returns
        nursery.start_soon(keep_announced, client, "edge-1", lambda: 1, pause)
        await wait_until(lambda: key in store.items)
        nursery.start_soon(follow, client, state, trio.current_time)
        await wait_until(lambda: "edge-1" in state.entries)
        store.restore(older)
        store.put("op/config", operator_config())
        with trio.fail_after(LAPSED_GRACE_S):
            await wait_until(lambda: key in store.items)
        nursery.cancel_scope.cancel()


@pytest.mark.parametrize("now_per_s", [4.0, None])
def test_rate_limit_that_a_restored_store_lost_is_announced_again(now_per_s):
    """Guards against an entry that starts later and exceeds a limit others know."""
    limits = RateLimits(lambda: 100.0, "e1")
    older, newer = RateLimitNotice("u1.5", 1.0), RateLimitNotice("u1.5", now_per_s)
    unknown = RateLimitNotice("u2.5", 2.0)
    limits.record_announced(older)
    limits.record(newer, source="response")
    limits.record_announced(newer)
    assert limits.missing_notices() == []
    limits.replace_announced([older, unknown])
    assert limits.named("u1.5") == newer
    assert limits.named("u2.5") == unknown
    assert limits.missing_notices() == [newer]


def restore(state: TrafficState, upstream: UpstreamInstance, era: int = 2) -> None:
    """Apply the first snapshot of an era, which lists one upstream."""
    snapshot = Snapshot(1, None, {upstream.instance: upstream}, era=era)
    state.replace(snapshot, keep_missing=True)


def test_draining_upstream_is_not_ready_again_after_a_restore():
    """Guards against requests at an upstream whose drain only the copy lacks."""
    state = TrafficState(lambda: 100.0)
    ready = replace(instance("u1", ("10.0.0.1", 80), "svc"), sequence=4)
    draining = replace(ready, state=UpstreamState.DRAINING, sequence=9)
    state.replace(Snapshot(5, None, {"u1": ready}, era=1), keep_missing=False)
    state.apply(draining, keep_missing=False)
    restore(state, ready)
    assert state.upstreams_of("svc") == ()


def test_upstream_that_left_is_not_back_after_a_restore():
    """Guards against requests at an upstream whose removal only the copy lacks."""
    state = TrafficState(lambda: 100.0)
    old = replace(instance("u1", ("10.0.0.1", 80), "svc"), born_ms=7, sequence=4)
    state.replace(Snapshot(5, None, {"u1": old}, era=1), keep_missing=False)
    state.apply(UpstreamGone("u1"), keep_missing=False)
    restore(state, old)
    assert state.upstreams_of("svc") == ()
    # It runs: it announces itself again, or another process has its name.
    state.apply(replace(old, sequence=5), keep_missing=False)
    assert len(state.upstreams_of("svc")) == 1
    state.apply(UpstreamGone("u1"), keep_missing=False)
    restore(state, replace(old, born_ms=8, sequence=1), era=3)
    assert len(state.upstreams_of("svc")) == 1


async def test_starting_entry_waits_for_a_configuration_that_a_restore_lost():
    """Guards against a key that was taken away and is valid again after a restart."""
    store = FakeStore()
    store.put("op/config", operator_config(3))
    older = store.copy()
    store.put("op/config", operator_config(4, tenants=[]))
    running, starting = (TrafficState(trio.current_time) for _ in range(2))
    async with (
        running_store(store),
        open_store(store.address, Metrics()) as client,
        trio.open_nursery() as nursery,
    ):
        nursery.start_soon(
            keep_announced,
            client,
            "edge-1",
            lambda: running.version,
            running.sleep_until_store_returns,
        )
        nursery.start_soon(follow, client, running, trio.current_time)
        await wait_until(lambda: running.version == 4)
        store.restore(older)
        store.put("servers/i-1", worker_record("10.0.0.1:80"))
        await wait_until(lambda: "mustardfront/entries/edge-1" in store.items)
        nursery.start_soon(follow, client, starting, trio.current_time)
        await wait_until(lambda: starting.routes is not None)
        assert starting.is_outdated
        assert not running.is_outdated
        store.put("op/config", operator_config(4, tenants=[]))
        await wait_until(lambda: not starting.is_outdated)
        assert starting.version == 4
        nursery.cancel_scope.cancel()


async def test_crash_report_that_a_restored_store_lost_is_written_again():
    """Guards against an entry that starts later and forwards what crashes upstreams."""
    store = FakeStore()
    older = store.copy()
    evidence = CrashEvidence(trio.current_time)
    reporter = CrashReporter("e1", evidence)
    crashed = Upstream(instance("u1", ("10.0.0.1", 80), "svc"))
    async with (
        running_store(store),
        open_store(store.address, Metrics()) as client,
        trio.open_nursery() as nursery,
    ):
        nursery.start_soon(reporter.run, client.report_crash)
        reporter.record(crashed, RequestContent("f1", ("p",)))
        await wait_until(lambda: "mustardfront/crashes/u1.0/e1" in store.items)
        store.restore(older)
        reporter.repeat()
        await wait_until(lambda: "mustardfront/crashes/u1.0/e1" in store.items)
        nursery.cancel_scope.cancel()


async def test_message_put_again_while_it_is_written_is_written_again():
    """Guards against a report that is lost if the store is restored just then."""
    outbox = Outbox[str](lambda: 0.0)
    writes = 0

    async def write(message: str) -> Result[None]:
        nonlocal writes
        writes += 1
        if writes == 1:
            outbox.put("key", message)
        await trio.lowlevel.checkpoint()
        return Ok(None)

    async with trio.open_nursery() as nursery:
        nursery.start_soon(outbox.run, write)
        outbox.put("key", "report")
        await wait_until(lambda: writes == 2 and outbox.get("key") is None)
        nursery.cancel_scope.cancel()


async def test_entry_announces_lost_rate_limits_after_a_restore():
    """Guards against rate limits that are known but written by nobody again."""
    store = FakeStore()
    older = store.copy()
    async with gateway({}) as gw, running_store(store):
        fwd = gw.frontend.forwarder
        async with (
            open_store(store.address, Metrics()) as client,
            trio.open_nursery() as nursery,
        ):
            nursery.start_soon(_announce_rate_limits, client, fwd)
            nursery.start_soon(follow, client, gw.state, trio.current_time)
            notice = RateLimitNotice("u1.5", 2.0)
            gw.state.rate_limits.record(notice, source="response")
            fwd.rate_limit_notices.put("u1.5", notice)
            await wait_until(lambda: "mustardfront/limits/u1.5" in store.items)
            await wait_until(lambda: not gw.state.rate_limits.missing_notices())
            store.restore(older)
            store.put("op/config", operator_config())
            await wait_until(lambda: "mustardfront/limits/u1.5" in store.items)
            nursery.cancel_scope.cancel()
