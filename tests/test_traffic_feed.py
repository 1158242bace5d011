"""Watching the store: number of calls, and delay of changes."""

import math

import pytest
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

    def apply_all(self, changes, keep_missing):
        self.seen += ((trio.current_time(), change.name) for change in changes)

    def drop_lapsed(self):
        pass

    def handle_store_return(self):
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


class QuietFeed:
    """A store feed without changes whose replies may come early or be read late."""

    def __init__(self, wait_s: float | None, pause_s: float = 0.0) -> None:
        self._wait_s = wait_s
        self._pause_s = pause_s

    async def snapshot(self):
        return Ok(Snapshot(0, None, {}))

    async def wait_for_changes(self, after, wait_s):
        await trio.sleep(wait_s if self._wait_s is None else self._wait_s)
        await trio.sleep(self._pause_s)
        return Ok(Changes(after, ()))


class ConfirmedView(RecordingView):
    def __init__(self) -> None:
        super().__init__()
        self.confirmed_s: list[float] = []

    def confirm(self, began_s):
        self.confirmed_s.append(began_s)


async def first_confirmed(feed: QuietFeed) -> float:
    """Return when the view was complete, in seconds since the first watch began."""
    view = ConfirmedView()
    began_s = trio.current_time()
    with trio.move_on_after(8):
        await follow(feed, view, trio.current_time)
    # The first one is that of the snapshot.
    return view.confirmed_s[1] - began_s


async def test_a_quiet_watch_confirms_the_view_near_its_end(autojump_clock):
    """Guards against refusals for want of a view while the store was just there."""
    assert await first_confirmed(QuietFeed(None)) == pytest.approx(1.0, abs=0.01)


async def test_a_watch_that_returns_early_confirms_its_start(autojump_clock):
    """Guards against a view that counts as newer than the store's reply."""
    assert await first_confirmed(QuietFeed(0.2)) == pytest.approx(0.0, abs=0.01)


async def test_a_pause_does_not_make_a_view_newer(autojump_clock):
    """Guards against a paused process that serves keys revoked meanwhile."""
    late = await first_confirmed(QuietFeed(None, pause_s=5.0))
    assert late == pytest.approx(1.0, abs=0.01)
