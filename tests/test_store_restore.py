"""Entries and agents before a store that returns from an older copy of its data."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import trio

from mustardfront.coordination.traffic import TrafficState, follow
from mustardfront.metrics import Metrics
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
