"""Overload policy: slots are never granted twice nor lost on cancellation."""

import math

import pytest
import trio
import trio.testing
from hypothesis import given, settings
from hypothesis import strategies as st

from mustardfront.codes import Code
from mustardfront.coordination.limits import (
    AdaptiveLimit,
    FairQueue,
    RetryBudget,
    TeamLimits,
)
from mustardfront.results import Err, Ok

seeded = settings(derandomize=True, deadline=None, max_examples=60)


async def test_cancelled_waiter_leaves_the_queue(autojump_clock):
    # Guards against slots that are granted to a cancelled request and never released.
    queue = FairQueue(lambda: 1, 4)
    held = await queue.acquire("a", 1, 1, 100)
    assert isinstance(held, Ok)
    with trio.move_on_after(1):
        await queue.acquire("b", 1, 1, 100)
    assert queue.queued == 0
    held.value.release()
    held.value.release()
    assert queue.in_flight == 0
    assert isinstance(await queue.acquire("c", 1, 1, 100), Ok)


async def test_retry_budget_is_a_share_of_recent_requests(autojump_clock):
    budget = RetryBudget(0.1, 1)
    for _ in range(100):
        budget.record_request()
    assert [budget.try_spend() for _ in range(12)] == [True] * 11 + [False]
    await trio.sleep(11)
    assert [budget.try_spend() for _ in range(2)] == [True, False]


def test_team_limit_refuses_the_request_over_it():
    limits = TeamLimits()
    with limits.hold("a", 1) as first, limits.hold("a", 1) as second:
        assert isinstance(first, Ok)
        assert isinstance(second, Err) and second.code is Code.TEAM_LIMIT
    assert limits.in_flight("a") == 0


class SlotUsers:
    """Requests of a queue with one slot, each holding it for a second."""

    def __init__(self, max_queued: int = 1_000) -> None:
        self.queue = FairQueue(lambda: 1, max_queued)
        self.served: list[str] = []
        self.refused: list[tuple[str, Code]] = []

    async def ask(self, name: str, weight=1.0, priority=1, deadline_s=math.inf):
        slot = await self.queue.acquire(name[0], weight, priority, deadline_s)
        if isinstance(slot, Err):
            self.refused.append((name, slot.code))
            return
        with slot.value:
            self.served.append(name)
            await trio.sleep(1)


async def run_users(users: SlotUsers, asks: list[tuple]) -> None:
    """Send the asks in order while one request of team x holds the slot."""
    async with trio.open_nursery() as nursery:
        nursery.start_soon(users.ask, "x")
        await trio.testing.wait_all_tasks_blocked()
        for ask in asks:
            nursery.start_soon(users.ask, *ask)
            await trio.testing.wait_all_tasks_blocked()
    assert (users.queue.in_flight, users.queue.queued) == (0, 0)


async def test_teams_share_by_weight_and_small_teams_wait_briefly(autojump_clock):
    # Guards against a large team's backlog delaying every other team.
    users = SlotUsers()
    await run_users(users, [(f"a{n}", 3.0) for n in range(30)] + [("b1",), ("b2",)])
    assert users.served.index("b1") <= 4
    assert users.served.index("b2") <= 8


async def test_priority_orders_requests_only_within_a_team(autojump_clock):
    users = SlotUsers()
    await run_users(users, [("a1",), ("b1",), ("a2", 1.0, 9)])
    assert users.served.index("a2") < users.served.index("a1")
    assert users.served.index("b1") < users.served.index("a1")


async def test_last_slots_are_kept_for_a_team_below_its_share(autojump_clock):
    # Guards against a small team waiting for a large one's long answers to end.
    queue = FairQueue(lambda: 16, 100)
    slots = [await queue.acquire("small", 1, 1, 100)]
    with trio.move_on_after(5):
        for _ in range(16):
            slots.append(await queue.acquire("large", 1, 1, 100))
    assert queue.in_flight == 14
    for _ in range(2):
        slots.append(await queue.acquire("small", 1, 1, 100))
    assert queue.in_flight == 16
    for slot in slots:
        assert isinstance(slot, Ok)
        slot.value.release()
    # A team that has been alone for long enough gets all slots.
    await trio.sleep(60)
    for _ in range(16):
        assert isinstance(await queue.acquire("large", 1, 1, 200), Ok)


@pytest.mark.parametrize(
    ("asks", "refused"),
    [
        ([("a1",), ("a2",), ("a3",)], [("a3", Code.QUEUE_FULL)]),
        ([("a1",), ("a2",), ("b1", 1.0, 5)], [("a2", Code.SHED)]),
        ([("a1", 1.0, 5), ("a2", 1.0, 5), ("b1",)], [("b1", Code.QUEUE_FULL)]),
        # At equal priority, the team with the longer queue loses a request.
        ([("a1",), ("a2",), ("b1",)], [("a2", Code.SHED)]),
        ([("a1",), ("b1",), ("c1",)], [("c1", Code.QUEUE_FULL)]),
    ],
)
async def test_full_queue_sheds_the_least_important(autojump_clock, asks, refused):
    users = SlotUsers(max_queued=2)
    await run_users(users, asks)
    assert users.refused == refused


async def test_unreachable_deadline_is_refused_on_arrival(autojump_clock):
    users = SlotUsers()
    await run_users(users, [(f"a{n}",) for n in range(10)])
    now = trio.current_time()
    asks = [(f"a{n}",) for n in range(5)]
    await run_users(users, [*asks, ("a9", 1.0, 1, now + 3), ("a8", 1.0, 9, now + 3)])
    # The one of high priority comes first in its team, so it can still make it.
    assert users.refused == [("a9", Code.DEADLINE_UNREACHABLE)]


async def test_deadline_that_passes_in_the_queue_frees_the_place(autojump_clock):
    users = SlotUsers()
    await run_users(users, [("a1", 1.0, 1, 0.5)])
    assert users.refused == [("a1", Code.DEADLINE_PASSED)]


ACTIONS = st.lists(
    st.tuples(
        st.sampled_from("abc"),
        st.integers(1, 4),
        st.integers(0, 9),
        st.floats(0.0, 3.0),
        st.floats(0.1, 5.0),
        st.floats(0.1, 9.0),
    ),
    max_size=40,
)


@seeded
@given(ACTIONS, st.integers(1, 3), st.integers(0, 6))
def test_no_slot_is_lost_or_granted_over_the_limit(actions, limit, max_queued):
    # Guards against lost slots when requests are cancelled, shed or too late.
    async def main() -> None:
        queue = FairQueue(lambda: limit, max_queued)
        ends = []

        async def ask(team, weight, priority, at_s, hold_s, patience_s):
            await trio.sleep(at_s)
            deadline_s = trio.current_time() + patience_s
            with trio.move_on_after(patience_s * 0.7):
                slot = await queue.acquire(team, weight, priority, deadline_s)
                if isinstance(slot, Ok):
                    with slot.value:
                        assert queue.in_flight <= limit
                        await trio.sleep(hold_s)
                assert queue.queued <= max_queued
            ends.append(team)

        async with trio.open_nursery() as nursery:
            for action in actions:
                nursery.start_soon(ask, *action)
        assert len(ends) == len(actions)
        assert (queue.in_flight, queue.queued) == (0, 0)

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


@seeded
@given(st.lists(st.integers(1, 5), min_size=2, max_size=4), st.integers(20, 60))
def test_backlogged_teams_are_served_by_weight(weights, turns):
    async def main() -> None:
        users = SlotUsers()
        async with trio.open_nursery() as nursery:
            for index, weight in enumerate(weights):
                for n in range(turns):
                    nursery.start_soon(users.ask, f"{index}-{n}", float(weight))
            await trio.sleep(turns - 0.5)
            for index, weight in enumerate(weights):
                fair = turns * weight / sum(weights)
                served = sum(name[0] == str(index) for name in users.served)
                assert abs(served - fair) <= len(weights) + 1
            nursery.cancel_scope.cancel()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


@seeded
@given(
    st.lists(
        st.tuples(st.floats(allow_nan=True), st.integers(0, 99), st.booleans()),
        max_size=200,
    )
)
def test_adaptive_limit_stays_in_its_range(samples):
    limit = AdaptiveLimit(10, 4, 40)
    for sample in samples:
        limit.observe(*sample)
        assert 4 <= limit.limit <= 40


def test_adaptive_limit_falls_with_latency_and_recovers():
    limit = AdaptiveLimit(20, 2, 64)

    def feed(latency_s: float, count: int, in_flight: int = 64) -> int:
        for _ in range(count):
            limit.observe(latency_s, in_flight, True)
        return limit.limit

    assert feed(0.1, 2_000) == 64
    assert feed(0.4, 400) < 32
    assert feed(0.1, 4_000) == 64
    low = feed(0.4, 400)
    # An idle upstream's latency says nothing about a higher limit.
    assert feed(0.1, 4_000, in_flight=0) == low


def test_adaptive_limit_falls_on_failures():
    limit = AdaptiveLimit(40, 4, 40)
    for _ in range(400):
        limit.observe(0.1, 40, False)
    assert limit.limit == 4
