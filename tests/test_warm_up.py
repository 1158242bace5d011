"""Cold upstreams get no more requests than they bear, from all entries together."""

from __future__ import annotations

import math
import random
from collections.abc import Callable
from dataclasses import replace

import pytest

from gateway_fakes import config, instance
from mustardfront.coordination.traffic import (
    PlaceEvacuation,
    Snapshot,
    TrafficState,
    WarmUps,
)
from mustardfront.coordination.traffic._warm_up import SETTLE_S
from mustardfront.state import TrafficService, WarmUpLimit

STEP_S = 0.005
WINDOW_S = 1.0
COLD = "u1.0"


def requests_max(per_s: float) -> float:
    """Return the users' bound on the requests of one second."""
    return 1.5 * per_s + 5


class ColdFleet:
    """Entries that all send to one cold upstream whenever they may."""

    def __init__(self, count: int, per_s: float) -> None:
        self.now_s = 0.0
        self.names = [f"e{index:03}" for index in range(count)]
        self.per_s = per_s
        self.entries: dict[str, WarmUps] = {}
        # The entry to which each entry takes the upstream to be assigned.
        self.owner: dict[str, str] = {}
        self.sent: list[float] = []
        for name in self.names:
            self.start(name)
            self.tell(name, self.names)
        self.now_s = SETTLE_S
        for name in self.names:
            self.cool(name)

    def start(self, name: str) -> None:
        self.entries[name] = WarmUps(lambda: self.now_s, name)

    def tell(self, name: str, known: list[str]) -> None:
        """Let an entry learn which entries run."""
        self.entries[name].set_entries(known)
        self.owner[name] = sorted(known)[len(known) // 2]

    def cool(self, name: str) -> None:
        self.entries[name].begin(COLD, self.per_s, 60.0, "test")

    def play(self, duration_s: float, demand: Callable[[str], bool] | None = None):
        ends_at = self.now_s + duration_s
        while self.now_s < ends_at:
            self.now_s += STEP_S
            for name, warm_ups in self.entries.items():
                is_own = self.owner[name] == name
                wanted = demand is None or demand(name)
                while wanted and not warm_ups.wait_s(COLD, is_own=is_own):
                    warm_ups.take(COLD)
                    self.sent.append(self.now_s)

    def most_in_a_second(self) -> int:
        starts = range(len(self.sent))
        return max(
            sum(at < self.sent[start] + WINDOW_S for at in self.sent[start:])
            for start in starts
        )


@pytest.mark.parametrize("per_s", [1.0, 3.0, 8.0, 26.0, 90.0])
@pytest.mark.parametrize("count", [1, 3, 6, 14, 40])
def test_all_entries_together_keep_the_limit(count, per_s):
    """Guards against entries that each send as much as the upstream bears."""
    fleet = ColdFleet(count, per_s)
    fleet.play(6.0)
    assert fleet.most_in_a_second() <= requests_max(per_s)
    # What the upstream bears is used for the most part.
    assert len(fleet.sent) / 6.0 >= 0.5 * per_s - 1


@pytest.mark.parametrize("per_s", [3.0, 26.0])
@pytest.mark.parametrize("seed", range(6))
def test_limit_holds_while_entries_join_leave_and_disagree(per_s, seed):
    """Guards against shares that are handed out twice.

    A third of the entries sees the store late: they go on with the old shares while
    the others already divide the limit anew.
    """
    rng = random.Random(seed)
    fleet = ColdFleet(14, per_s)
    for _ in range(5):
        fleet.play(0.7)
        joined, left = f"j{rng.random()}", rng.choice(fleet.names)
        fleet.names = [name for name in fleet.names if name != left] + [joined]
        fleet.entries.pop(left, None)
        fleet.start(joined)
        fleet.tell(joined, fleet.names)
        fleet.cool(joined)
        late = rng.sample(fleet.names, 5)
        for name in fleet.names:
            if name not in late:
                fleet.tell(name, fleet.names)
        fleet.play(0.7)
        for name in late:
            fleet.tell(name, fleet.names)
    assert fleet.most_in_a_second() <= requests_max(per_s)


@pytest.mark.parametrize("known_share", [0.0, 0.3])
def test_entries_that_all_start_at_once_keep_the_limit(known_share):
    """Guards against entries that each take themselves for the only one."""
    fleet = ColdFleet(14, 26.0)
    rng = random.Random(3)
    for name in fleet.names:
        fleet.start(name)
        known = [one for one in fleet.names if rng.random() < known_share]
        fleet.tell(name, [*known, name])
        fleet.cool(name)
    fleet.play(1.0)
    for name in fleet.names:
        fleet.tell(name, fleet.names)
    fleet.play(4.0)
    assert fleet.most_in_a_second() <= requests_max(26.0)


def test_frozen_entry_does_not_send_what_it_missed():
    """Guards against a burst of an entry that wakes after seconds."""
    fleet = ColdFleet(14, 26.0)
    frozen = set(fleet.names[:7])
    fleet.play(2.0, lambda name: name not in frozen)
    fleet.play(2.0)
    assert fleet.most_in_a_second() <= requests_max(26.0)


def test_owner_uses_more_than_an_equal_share():
    """Guards against a limit that lies idle with entries that have no requests."""
    fleet = ColdFleet(14, 26.0)
    fleet.play(5.0, lambda name: fleet.owner[name] == name)
    assert len(fleet.sent) / 5.0 > 2 * 26.0 / 14


def test_warm_upstream_has_no_limit():
    now_s = 0.0
    warm_ups = WarmUps(lambda: now_s, "e1")
    warm_ups.set_entries(["e1", "e2"])
    warm_ups.begin(COLD, 4.0, 3.0, "test")
    assert warm_ups.cold_count() == 1
    assert warm_ups.wait_s(COLD, is_own=True) > 0
    now_s = 3.1
    assert warm_ups.wait_s(COLD, is_own=True) == 0.0
    assert warm_ups.wait_s(COLD, is_own=False) == 0.0
    assert warm_ups.cold_count() == 0


def test_entry_beyond_the_sharers_sends_nothing():
    """Guards against forty entries that each send one request to a cold upstream."""
    names = [f"e{index}" for index in range(40)]
    waits = []
    for name in names:
        clock = iter([0.0] * 3 + [SETTLE_S + 1.0] * 20)
        warm_ups = WarmUps(lambda clock=clock: next(clock), name)
        warm_ups.set_entries(names)
        warm_ups.begin(COLD, 8.0, 60.0, "test")
        waits.append(warm_ups.wait_s(COLD, is_own=False))
    assert waits.count(math.inf) >= 37


class Clock:
    def __init__(self) -> None:
        self.now_s = 100.0

    def __call__(self) -> float:
        return self.now_s


def cold_state(**announced) -> tuple[TrafficState, Clock]:
    """Return an entry's view of one upstream whose service names a warm-up."""
    clock = Clock()
    state = TrafficState(clock, "e1")
    services = {"svc": TrafficService("svc", 10, warm_up=WarmUpLimit(3.0, 26.0))}
    cfg = replace(config(), services=services)
    upstream = replace(instance("u1", ("127.0.0.1", 9), "svc"), **announced)
    entries = {"e1": 1, "e2": 1}
    state.replace(Snapshot(1, cfg, {"u1": upstream}, entries), keep_missing=False)
    return state, clock


def test_announced_warm_up_limits_requests_until_it_ends():
    state, clock = cold_state(warmup_ms=2_500.0)
    upstream = state.get("u1")
    assert state.wait_s(upstream) > 0
    clock.now_s += 2.6
    assert state.wait_s(upstream) == 0


def test_upstream_may_turn_cold_at_any_moment():
    """Guards against limits that only hold after an upstream's start."""
    state, _ = cold_state()
    upstream = state.get("u1")
    assert state.wait_s(upstream) == 0
    turned = replace(upstream.announced, warmup_ms=3_000.0, sequence=5)
    state.apply(turned, keep_missing=False)
    assert state.wait_s(upstream) > 0


def test_same_announcement_read_again_does_not_lengthen_the_warm_up():
    state, clock = cold_state(warmup_ms=1_000.0, sequence=4)
    upstream = state.get("u1")
    clock.now_s += 0.9
    state.apply(replace(upstream.announced), keep_missing=False)
    clock.now_s += 0.2
    assert state.wait_s(upstream) == 0


def test_place_that_is_taken_back_counts_as_cold():
    """Guards against a rush to upstreams that turned cold while they were evacuated."""
    state, _ = cold_state()
    state.apply(PlaceEvacuation("a"), keep_missing=False)
    state.apply(PlaceEvacuation("a", is_ended=True), keep_missing=False)
    assert state.wait_s(state.get("u1")) > 0


def test_upstream_that_refused_connections_counts_as_cold():
    """Guards against a rush to a process that starts under the name of another."""
    state, _ = cold_state()
    state.record_down(state.get("u1"))
    assert state.wait_s(state.get("u1")) > 0


def test_service_that_names_no_warm_up_has_no_limit():
    """Guards against limits in deployments that do not ask for them."""
    state = TrafficState(lambda: 100.0, "e1")
    upstream = replace(instance("u1", ("127.0.0.1", 9), "svc"), warmup_ms=3_000.0)
    state.replace(Snapshot(1, config(), {"u1": upstream}), keep_missing=False)
    state.record_down(state.get("u1"))
    assert state.wait_s(state.get("u1")) == 0
