"""Test the adaptive limit, the fair queue, the retry budget and team limits."""

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


async def test_cancelled_request_leaves_the_queue(autojump_clock):
    # Guards against a slot that is granted to a cancelled request and never released,
    # and against counting a release twice.
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


async def test_retry_budget_is_a_ratio_of_recent_requests(autojump_clock):
    budget = RetryBudget(0.1, 1)
    for _ in range(100):
        budget.record_request()
    assert [budget.try_spend() for _ in range(12)] == [True] * 11 + [False]
    # Then all requests are older than the 10 s that count; only the minimum is left.
    await trio.sleep(11)
    assert [budget.try_spend() for _ in range(2)] == [True, False]


def test_team_limit_refuses_a_request_above_it():
    limits = TeamLimits()
    with limits.admit("a", 1) as first, limits.admit("a", 1) as second:
        assert isinstance(first, Ok)
        assert isinstance(second, Err) and second.code is Code.TEAM_LIMIT
    assert limits.in_flight("a") == 0


class QueueHarness:
    """Sends requests to a queue with one slot; each holds it for a second."""

    def __init__(self, max_queued: int = 1_000) -> None:
        self.queue = FairQueue(lambda: 1, max_queued)
        self.served: list[str] = []
        self.refused: list[tuple[str, Code]] = []

    async def send(self, name: str, weight=1.0, priority=1, deadline_s=math.inf):
        """Send a request of the team that the first letter of its name stands for."""
        slot = await self.queue.acquire(name[0], weight, priority, deadline_s)
        if isinstance(slot, Err):
            self.refused.append((name, slot.code))
            return
        with slot.value:
            self.served.append(name)
            await trio.sleep(1)


async def run_requests(harness: QueueHarness, requests: list[tuple]) -> None:
    """Send the requests in order while a request of team x holds the slot."""
    async with trio.open_nursery() as nursery:
        nursery.start_soon(harness.send, "x")
        await trio.testing.wait_all_tasks_blocked()
        for request in requests:
            nursery.start_soon(harness.send, *request)
            await trio.testing.wait_all_tasks_blocked()
    assert (harness.queue.in_flight, harness.queue.queued) == (0, 0)


async def test_teams_share_by_weight_and_a_small_team_is_served_soon(autojump_clock):
    # Guards against a backlog of a large team that delays all other teams.
    harness = QueueHarness()
    await run_requests(
        harness, [(f"a{n}", 3.0) for n in range(30)] + [("b1",), ("b2",)]
    )
    assert harness.served.index("b1") <= 4
    assert harness.served.index("b2") <= 8


async def test_priority_orders_requests_only_within_a_team(autojump_clock):
    harness = QueueHarness()
    await run_requests(harness, [("a1",), ("b1",), ("a2", 1.0, 9)])
    assert harness.served.index("a2") < harness.served.index("a1")
    assert harness.served.index("b1") < harness.served.index("a1")


async def test_last_slots_are_reserved_for_a_team_below_its_share(autojump_clock):
    # Guards against a small team that waits until long requests of a large one finish.
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
    # A team that has been the only active one for over 30 s may use all slots.
    await trio.sleep(60)
    for _ in range(16):
        assert isinstance(await queue.acquire("large", 1, 1, 200), Ok)


@pytest.mark.parametrize(
    ("asks", "refused"),
    [
        ([("a1",), ("a2",), ("a3",)], [("a3", Code.QUEUE_FULL)]),
        ([("a1",), ("a2",), ("b1", 1.0, 5)], [("a2", Code.SHED)]),
        ([("a1", 1.0, 5), ("a2", 1.0, 5), ("b1",)], [("b1", Code.QUEUE_FULL)]),
        # At equal priority, a request of the team with the longer queue is shed.
        ([("a1",), ("a2",), ("b1",)], [("a2", Code.SHED)]),
        ([("a1",), ("b1",), ("c1",)], [("c1", Code.QUEUE_FULL)]),
    ],
)
async def test_full_queue_sheds_the_least_important_request(
    autojump_clock, asks, refused
):
    harness = QueueHarness(max_queued=2)
    await run_requests(harness, asks)
    assert harness.refused == refused


async def test_unreachable_deadline_is_refused_on_arrival(autojump_clock):
    harness = QueueHarness()
    await run_requests(harness, [(f"a{n}",) for n in range(10)])
    now = trio.current_time()
    queued = [(f"a{n}",) for n in range(5)]
    await run_requests(
        harness, [*queued, ("a9", 1.0, 1, now + 3), ("a8", 1.0, 9, now + 3)]
    )
    # a8 has the higher priority: its team serves it next, within its deadline.
    assert harness.refused == [("a9", Code.DEADLINE_UNREACHABLE)]


async def test_request_whose_deadline_passes_leaves_the_queue(autojump_clock):
    harness = QueueHarness()
    await run_requests(harness, [("a1", 1.0, 1, 0.5)])
    assert harness.refused == [("a1", Code.DEADLINE_PASSED)]


REQUESTS = st.lists(
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
@given(REQUESTS, st.integers(1, 3), st.integers(0, 6))
def test_no_slot_is_leaked_or_granted_above_the_limit(requests, limit, max_queued):
    # Guards against slots that leak when requests are cancelled, shed or too late.
    async def main() -> None:
        queue = FairQueue(lambda: limit, max_queued)
        finished = []

        async def send(team, weight, priority, at_s, hold_s, timeout_s):
            await trio.sleep(at_s)
            deadline_s = trio.current_time() + timeout_s
            with trio.move_on_after(timeout_s * 0.7):
                slot = await queue.acquire(team, weight, priority, deadline_s)
                if isinstance(slot, Ok):
                    with slot.value:
                        assert queue.in_flight <= limit
                        await trio.sleep(hold_s)
                assert queue.queued <= max_queued
            finished.append(team)

        async with trio.open_nursery() as nursery:
            for request in requests:
                nursery.start_soon(send, *request)
        assert len(finished) == len(requests)
        assert (queue.in_flight, queue.queued) == (0, 0)

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


@seeded
@given(st.lists(st.integers(1, 5), min_size=2, max_size=4), st.integers(20, 60))
def test_backlogged_teams_are_served_by_weight(weights, request_count):
    async def main() -> None:
        harness = QueueHarness()
        async with trio.open_nursery() as nursery:
            for index, weight in enumerate(weights):
                for n in range(request_count):
                    nursery.start_soon(harness.send, f"{index}-{n}", float(weight))
            await trio.sleep(request_count - 0.5)
            for index, weight in enumerate(weights):
                expected = request_count * weight / sum(weights)
                served = sum(name[0] == str(index) for name in harness.served)
                assert abs(served - expected) <= len(weights) + 1
            nursery.cancel_scope.cancel()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


@seeded
@given(
    st.lists(
        st.tuples(st.floats(allow_nan=True), st.integers(0, 99), st.booleans()),
        max_size=200,
    )
)
def test_adaptive_limit_stays_between_minimum_and_maximum(samples):
    limit = AdaptiveLimit(10, 4, 40)
    for sample in samples:
        limit.observe(*sample)
        assert 4 <= limit.limit <= 40


def test_adaptive_limit_falls_with_latency_and_recovers():
    limit = AdaptiveLimit(20, 2, 64)

    def observe(latency_s: float, count: int, in_flight: int = 64) -> int:
        for _ in range(count):
            limit.observe(latency_s, in_flight, True)
        return limit.limit

    assert observe(0.1, 2_000) == 64
    assert observe(0.4, 400) < 32
    assert observe(0.1, 4_000) == 64
    lowered = observe(0.4, 400)
    # The latency of an idle upstream must not raise the limit.
    assert observe(0.1, 4_000, in_flight=0) == lowered


def test_adaptive_limit_falls_on_failures():
    limit = AdaptiveLimit(40, 4, 40)
    for _ in range(400):
        limit.observe(0.1, 40, False)
    assert limit.limit == 4
