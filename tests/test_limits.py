"""The overload policy: nothing is granted twice, and nothing is lost on cancel."""

import trio

from mustardfront.codes import Code
from mustardfront.coordination.limits import FairQueue, RetryBudget, TeamLimits
from mustardfront.results import Err, Ok


async def test_cancelled_waiter_leaves_the_queue(autojump_clock):
    # Guards against slots that are lost to a request nobody waits for.
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
