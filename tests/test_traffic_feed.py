"""Watching the store: number of calls, and delay of changes."""

import math

import trio

from mustardfront.coordination.traffic import Changes, EntryChange, Snapshot, follow
from mustardfront.results import Ok

FLEET_SIZE = 80


class StartingFleetFeed:
    """A store feed in which entries are announced at a fixed interval."""

    def __init__(self, gap_s: float) -> None:
        self.calls = 0
        self._gap_s = gap_s
        self._began_s = trio.current_time()

    def _announced(self) -> int:
        return min(
            FLEET_SIZE, int((trio.current_time() - self._began_s) / self._gap_s + 0.01)
        )

    async def snapshot(self):
        return Ok(Snapshot(0, None, {}))

    async def wait_for_changes(self, after, wait_s):
        self.calls += 1
        with trio.move_on_after(wait_s):
            due_s = self._began_s + self._gap_s * (after + 1)
            await trio.sleep_until(due_s if after < FLEET_SIZE else math.inf)
        newest = self._announced()
        seen = tuple(EntryChange(f"e{one}") for one in range(after, newest))
        return Ok(Changes(newest, seen))


class RecordingView:
    def __init__(self) -> None:
        self.seen = []

    def replace(self, snapshot, keep_missing):
        pass

    def apply(self, change, keep_missing):
        self.seen.append((trio.current_time(), change.name))

    def drop_lapsed(self):
        pass

    def confirm(self, began_s):
        pass


async def run_follower(gap_s: float) -> tuple[StartingFleetFeed, RecordingView, float]:
    feed, view = StartingFleetFeed(gap_s), RecordingView()
    began_s = trio.current_time()
    with trio.move_on_after(FLEET_SIZE * gap_s + 1.5):
        await follow(feed, view, trio.current_time)
    return feed, view, began_s


async def test_starting_fleet_causes_few_store_calls(autojump_clock):
    """Guards against one store call per starting entry, made by every entry."""
    feed, view, _ = await run_follower(0.02)
    assert [name for _, name in view.seen] == [f"e{one}" for one in range(FLEET_SIZE)]
    assert feed.calls < FLEET_SIZE / 4


async def test_single_change_is_applied_without_delay(autojump_clock):
    """Guards against a delay before an isolated change is applied."""
    _, view, began_s = await run_follower(0.7)
    late_s = [at - began_s - 0.7 * (one + 1) for one, (at, _) in enumerate(view.seen)]
    assert max(late_s) < 0.2
