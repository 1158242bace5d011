"""Notices of slow ranks: from the agent over the store to the entries' choice."""

from __future__ import annotations

import pytest
import trio
from tests.platform_fakes import FakeStore, operator_config, running_store
from tests.platform_fakes import worker_record as record

from mustardfront.codes import Code
from mustardfront.coordination.traffic import TrafficState, choose_upstream, follow
from mustardfront.metrics import Metrics
from mustardfront.programs.agent._slow import (
    CHECK_INTERVAL_S,
    RENEW_S,
    keep_slowness_announced,
)
from mustardfront.results import Err, Ok
from mustardfront_platform._store import open_store

ADDRESS = ("10.0.0.1", 80)


class FakeNotices:
    """Records the calls, and fails them while ``error`` is set."""

    def __init__(self) -> None:
        self.calls: list[str] = []
        self.error: Code | None = None

    async def announce_slow(self, address, slowness, ttl_s):
        return self._answer(f"announce {slowness}", 7)

    async def renew_lease(self, lease):
        return self._answer("renew", None)

    async def remove(self, written):
        return self._answer("remove", None)

    def _answer(self, call, value):
        self.calls.append(call)
        return Ok(value) if self.error is None else Err(self.error, call)


async def play(notices: FakeNotices, steps) -> None:
    """Run the agent's task while the slowness takes each value for some seconds."""
    now = [1.0]
    async with trio.open_nursery() as nursery:
        nursery.start_soon(keep_slowness_announced, notices, ADDRESS, lambda: now[0])
        for slowness, duration_s, error in steps:
            now[0], notices.error = slowness, error
            await trio.sleep(duration_s)
        nursery.cancel_scope.cancel()


async def test_a_slow_rank_is_announced_until_it_recovers(autojump_clock):
    notices = FakeNotices()
    await play(notices, [(1.0, 3.0, None), (5.0, 1.0, None), (1.0, 3.0, None)])
    assert notices.calls == ["announce 5.0", "remove"]


async def test_a_rank_near_the_limit_does_not_write_again_and_again(autojump_clock):
    """Guards against store calls for each small change of a rank's pace."""
    notices = FakeNotices()
    step_s = 2 * CHECK_INTERVAL_S
    await play(notices, [(1.5, step_s, None), (1.65, step_s, None)] * 3)
    assert notices.calls[0] == "announce 1.65"
    assert not {"remove", "announce 1.5"} & set(notices.calls)


async def test_a_notice_is_renewed_and_written_anew_after_its_lease(autojump_clock):
    """Guards against a notice that lapses while its rank is still slow."""
    notices = FakeNotices()
    steps = [(4.0, RENEW_S + 1, None), (4.0, RENEW_S, Code.LEASE_LOST)]
    await play(notices, [*steps, (4.0, 2 * RENEW_S, None)])
    assert notices.calls[:2] == ["announce 4.0", "renew"]
    assert notices.calls.count("announce 4.0") >= 2


async def test_an_outage_of_the_store_causes_few_calls(autojump_clock):
    """Guards against an agent that calls an unreachable store all the time."""
    notices = FakeNotices()
    await play(notices, [(4.0, 10.0, Code.STORE_UNAVAILABLE)])
    assert len(notices.calls) <= 10 / RENEW_S


async def wait_until(condition) -> None:
    with trio.fail_after(5):
        for _ in range(500):
            if condition():
                return
            await trio.sleep(0.01)
    pytest.fail("the condition did not become true")


async def test_entries_learn_of_a_slow_upstream_from_the_store():
    """Guards against requests at a rank for which all others then wait."""
    store = FakeStore()
    store.put("op/config", operator_config())
    store.put("servers/i-1", record("10.0.0.1:80"))
    store.put("servers/i-2", record("10.0.0.2:80"))
    state = TrafficState(trio.current_time)
    async with (
        running_store(store),
        open_store(store.address, Metrics()) as client,
        trio.open_nursery() as nursery,
    ):
        nursery.start_soon(follow, client, state, trio.current_time)
        await wait_until(lambda: len(state.upstreams_of("svc")) == 2)
        slow, other = sorted(state.upstreams_of("svc"), key=lambda one: one.instance)
        notice = await client.announce_slow(ADDRESS, 5.0, 6.0)
        assert isinstance(notice, Ok)
        await wait_until(lambda: state.slowness(slow) == 5.0)
        assert state.slowness(other) == 1.0
        other.in_flight = 2
        chosen = choose_upstream(
            (slow, other), frozenset(), 0.0, "a", lambda: 0.0, state.slowness
        )
        assert chosen is other
        # A snapshot has the notices too.
        snapshot = await client.snapshot()
        assert isinstance(snapshot, Ok)
        assert [one.address for one in snapshot.value.slow] == [ADDRESS]
        assert snapshot.value.entries == {}
        store.put("mustardfront/slow/10.0.0.2:80", b"not a number")
        assert isinstance(await client.remove(notice.value), Ok)
        await wait_until(lambda: state.slowness(slow) == 1.0)
        assert state.slowness(other) == 1.0
        assert isinstance(await client.remove(notice.value), Err)
        nursery.cancel_scope.cancel()
