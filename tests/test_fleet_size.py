"""Work of an entry that grows with what the store lists, at the target's size.

While the event loop does such work, the entry answers nobody. Times are ratios of two
sizes: a square of them would be sixteen times as much for four times the fleet.
"""

from __future__ import annotations

import random
import time
from dataclasses import replace

from mustardfront.coordination.traffic import (
    EntryChange,
    RateLimitNotice,
    RateLimits,
    Snapshot,
    TrafficState,
    choose_upstream,
    compared_upstreams,
    selectable_upstreams,
)
from mustardfront.coordination.traffic._placing import COMPARED_MAX, SAMPLE_SIZE
from mustardfront.coordination.traffic._rate_limits import entry_share_per_s
from mustardfront.state import UpstreamInstance, UpstreamState

UPSTREAMS = 2_800
ENTRIES = 400
GROWTH_MAX = 8


def upstream(number: int) -> UpstreamInstance:
    address = (f"10.{number // 250}.{number % 250}.1", 80)
    return UpstreamInstance(
        f"i-{number}", "svc", address, "a", UpstreamState.READY, slots=6, born_ms=1
    )


def fleet(count: int) -> TrafficState:
    state = TrafficState(lambda: 0.0, "e0")
    upstreams = {f"i-{number}": upstream(number) for number in range(count)}
    entries = {f"e{number}": 1 for number in range(ENTRIES)}
    state.replace(Snapshot(1, None, upstreams, entries), keep_missing=False)
    return state


def seconds(count: int, work) -> float:
    """Return the least processor time of three runs."""
    taken = []
    for _ in range(3):
        began = time.process_time()
        work(count)
        taken.append(time.process_time() - began)
    return min(taken)


def assert_linear(work) -> None:
    small = seconds(UPSTREAMS // 4, work)
    assert seconds(UPSTREAMS, work) < GROWTH_MAX * small + 0.02


def test_snapshot_of_a_large_fleet_is_applied_in_linear_time():
    """Guards against an entry that stands still when it reads the store anew."""
    assert_linear(fleet)


def test_restart_of_a_large_fleet_is_applied_in_linear_time():
    """Guards against an entry that stands still while all upstreams restart."""

    def restart(count: int) -> None:
        changes = [replace(upstream(n), sequence=2) for n in range(count)]
        states[count].apply_all(changes, keep_missing=False)

    states = {count: fleet(count) for count in (UPSTREAMS // 4, UPSTREAMS)}
    assert_linear(restart)


def test_entry_that_joins_changes_few_shares():
    """Guards against a rank of each entry for each limit at every change of one."""
    limits = RateLimits(lambda: 0.0, "e0")
    entries = [f"e{number}" for number in range(ENTRIES)]
    limits.set_entries(entries)
    for number in range(UPSTREAMS):
        limits.record_announced(RateLimitNotice(f"i-{number}.1", 5.0))
    began = time.process_time()
    for joined in range(5):
        limits.set_entries([*entries, f"new{joined}"])
        for number in range(UPSTREAMS):
            limits.wait_s(f"i-{number}.1")
    # Five changes; ranking all entries for all limits takes half a second each.
    assert time.process_time() - began < 1.0


def test_shares_that_are_kept_are_those_of_ranking_all_entries():
    """Guards against entries that disagree about who shares a limit."""
    rng = random.Random(3)
    limits = RateLimits(lambda: 0.0, "e0")
    entries = {f"e{number}" for number in range(9)}
    per_s = {f"i-{number}.1": rng.choice([0.0, 2.0, 5.5, 40.0]) for number in range(20)}
    for name, value in per_s.items():
        limits.record_announced(RateLimitNotice(name, value))
    for step in range(60):
        change = f"e{rng.randrange(1, 14)}"
        entries ^= {change}
        limits.set_entries(entries)
        for name, value in per_s.items():
            known = frozenset((*entries, "e0"))
            expected = entry_share_per_s(name, max(0.25, value), known, "e0")
            assert limits._share_per_s(name) == expected, step


def test_request_compares_few_of_very_many_upstreams():
    """Guards against a request that takes 10 ms of the processor by itself."""
    state = fleet(UPSTREAMS)
    own = frozenset({"i-7", "i-8", "gone"})
    known = state.upstreams_of("svc")
    for busy in known[:1_000]:
        busy.in_flight = 6
    compared = compared_upstreams(known, own, random.Random(1).sample, state.get)
    assert SAMPLE_SIZE <= len(compared) <= SAMPLE_SIZE + len(own)
    assert {"i-7", "i-8"} <= {one.instance for one in compared}
    candidates = selectable_upstreams(compared, frozenset(), state)
    chosen = choose_upstream(candidates, own, 1.0, "a", lambda: 0.0)
    assert chosen is not None and chosen.in_flight == 0


def test_all_of_a_smaller_fleet_are_compared():
    state = fleet(COMPARED_MAX)
    known = state.upstreams_of("svc")
    assert compared_upstreams(known, frozenset(), random.sample, state.get) is known


def test_changes_of_entries_and_upstreams_keep_the_view_right():
    """Guards against an index that misses a change among many."""
    state = fleet(10)
    state.apply_all(
        [
            replace(upstream(1), sequence=3, state=UpstreamState.DRAINING),
            EntryChange("e1", is_gone=True),
            replace(upstream(11), sequence=1),
        ],
        keep_missing=False,
    )
    names = {one.instance for one in state.upstreams_of("svc")}
    assert names == {f"i-{number}" for number in (0, *range(2, 10), 11)}
    assert "e1" not in state.entries
