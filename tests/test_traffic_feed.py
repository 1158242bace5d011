"""Following the store: how often a follower asks, and what it misses."""

import math

import trio

from mustardfront.coordination.traffic import Changes, EntrySeen, Snapshot, follow
from mustardfront.results import Ok

FLEET = 80


class StartingFleet:
    """A store in which hosts announce themselves one after the other."""

    def __init__(self, gap_s: float) -> None:
        self.calls = 0
        self._gap_s = gap_s
        self._began_s = trio.current_time()

    def _announced(self) -> int:
        return min(
            FLEET, int((trio.current_time() - self._began_s) / self._gap_s + 0.01)
        )

    async def snapshot(self):
        return Ok(Snapshot(0, None, {}))

    async def changes(self, after, wait_s):
        self.calls += 1
        with trio.move_on_after(wait_s):
            due_s = self._began_s + self._gap_s * (after + 1)
            await trio.sleep_until(due_s if after < FLEET else math.inf)
        newest = self._announced()
        seen = tuple(EntrySeen(f"e{one}") for one in range(after, newest))
        return Ok(Changes(newest, seen))


class View:
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


async def play(gap_s: float) -> tuple[StartingFleet, View, float]:
    feed, view = StartingFleet(gap_s), View()
    began_s = trio.current_time()
    with trio.move_on_after(FLEET * gap_s + 1.5):
        await follow(feed, view, trio.current_time)
    return feed, view, began_s


async def test_a_fleet_that_starts_takes_few_calls(autojump_clock):
    """Guards against a call for each host that starts, at each entry."""
    feed, view, _ = await play(0.02)
    assert [name for _, name in view.seen] == [f"e{one}" for one in range(FLEET)]
    assert feed.calls < FLEET / 4


async def test_a_single_change_is_seen_at_once(autojump_clock):
    """Guards against a pause before a change that comes alone."""
    _, view, began_s = await play(0.7)
    late_s = [at - began_s - 0.7 * (one + 1) for one, (at, _) in enumerate(view.seen)]
    assert max(late_s) < 0.2
