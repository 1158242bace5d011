"""At-most-once execution: single failures of the real code over a fake service."""

import uuid
from contextlib import asynccontextmanager
from dataclasses import dataclass, field

import pytest
import trio
from tests.fake_kv import FakeKv

from mustardfront.codes import Code, Outcome
from mustardfront.coordination.idempotency import (
    Execution,
    PartitionOwner,
    owner_order,
    partition_of,
    unknown,
)
from mustardfront.protocol import Request
from mustardfront_standins.kv import Store

START_MS = 1_800_000_000_000
RETENTION_S = 3_600


def now_ms() -> int:
    return START_MS + int(trio.current_time() * 1_000)


def make_key(number: int, age_s: float = 0) -> str:
    time_ms = START_MS - int(age_s * 1_000)
    return str(uuid.UUID(int=time_ms << 80 | 7 << 76 | 2 << 62 | number))


def make_request(
    key: str, body: bytes = b"book 5", deadline_ms: int = 30_000
) -> Request:
    return Request(
        1, "r", 1, "lofts", "ledger", "POST", "/bookings", (), body, deadline_ms, 1, key
    )


@dataclass
class Fleet:
    """Owners over one store; ``runs`` lists the keys that were executed."""

    nursery: trio.Nursery
    store: Store = field(default_factory=Store)
    runs: list[str] = field(default_factory=list)
    took_s: float = 0.1

    async def start(self, upstream: str, instance: str = ""):
        kv = FakeKv(self.store)
        owner = PartitionOwner(
            "ledger",
            upstream,
            instance or f"{upstream}-1",
            kv,
            retention_s=lambda: RETENTION_S,
            now_ms=now_ms,
        )
        scope = await self.nursery.start(self._serve, owner)
        return owner, kv, scope

    async def _serve(self, owner, task_status) -> None:
        with trio.CancelScope() as scope:
            task_status.started(scope)
            await owner.serve()

    async def run(
        self, owner, key: str, result: Execution | None = None, **req: object
    ):
        async def execute() -> Execution:
            self.runs.append(key)
            await trio.sleep(self.took_s)
            return result or Execution(
                Outcome.ANSWERED, Code.ANSWERED, status=201, body=b"booked"
            )

        return await owner.run(make_request(key, **req), execute)


@asynccontextmanager
async def fleet():
    async with trio.open_nursery() as nursery:
        yield Fleet(nursery)
        nursery.cancel_scope.cancel()


async def test_resend_is_answered_from_the_record(autojump_clock):
    async with fleet() as test:
        owner, _, _ = await test.start("a")
        key = make_key(1)
        first = await test.run(owner, key)
        assert (first.code, first.body) == (Code.ANSWERED, b"booked")
        again = await test.run(owner, key)
        assert (again.code, again.status) == (Code.ANSWERED_FROM_RECORD, 201)
        other = await test.run(owner, key, body=b"book 6")
        assert (other.code, other.outcome) == (Code.KEY_CONFLICT, Outcome.NOT_RUN)
        assert test.runs == [key]


async def test_resends_during_the_first_attempt_wait_for_it(autojump_clock):
    async with fleet() as test:
        owner, _, _ = await test.start("a")
        results = []

        async def call() -> None:
            results.append(await test.run(owner, make_key(1)))

        async with trio.open_nursery() as nursery:
            for _ in range(5):
                nursery.start_soon(call)
        assert test.runs == [make_key(1)]
        assert {result.code for result in results} == {Code.ANSWERED}


async def test_claims_share_writes(autojump_clock):
    # Guards against one write for each request.
    async with fleet() as test:
        owner, kv, _ = await test.start("a")
        await test.run(owner, make_key(0))
        before = kv.calls["txn"]
        async with trio.open_nursery() as nursery:
            for number in range(1, 201):
                nursery.start_soon(test.run, owner, make_key(number))
        assert len(test.runs) == 201
        assert kv.calls["txn"] - before <= 12


@pytest.mark.parametrize("fault", ["lose", "late"])
async def test_lost_answer_runs_once(autojump_clock, fault):
    async with fleet() as test:
        owner, kv, _ = await test.start("a")
        await test.run(owner, make_key(0))
        setattr(kv, fault, 1)
        result = await test.run(owner, make_key(1))
        kv.deliver()
        assert result.code is Code.ANSWERED
        assert (await test.run(owner, make_key(1))).code is Code.ANSWERED_FROM_RECORD
        assert test.runs.count(make_key(1)) == 1


async def test_outage_refuses_as_not_run_and_the_resend_runs(autojump_clock):
    async with fleet() as test:
        owner, kv, _ = await test.start("a")
        await test.run(owner, make_key(0))
        # The claim becomes durable after the refusal, so it has to be voided.
        kv.late, kv.down_after_late = 1, True
        refused = await test.run(owner, make_key(1))
        assert refused.outcome is Outcome.NOT_RUN
        assert refused.code is Code.STORE_UNAVAILABLE
        kv.deliver()
        assert (await test.run(owner, make_key(2))).outcome is Outcome.NOT_RUN
        kv.down = False
        await trio.sleep(2)
        assert (await test.run(owner, make_key(1))).code is Code.ANSWERED
        assert test.runs == [make_key(0), make_key(1)]


async def test_claim_of_a_dead_owner_is_unknown_for_ever(autojump_clock):
    async with fleet() as test:
        first, _, scope = await test.start("a")
        test.took_s = 100
        test.nursery.start_soon(test.run, first, make_key(1))
        await trio.sleep(1)
        scope.cancel()
        second, _, _ = await test.start("a", "a-2")
        for _ in range(2):
            result = await test.run(second, make_key(1))
            assert result.code is Code.CLAIM_UNRESOLVED
            assert result.outcome is Outcome.UNKNOWN
            await trio.sleep(60)
        assert test.runs == [make_key(1)]


async def test_paused_owner_is_fenced_by_its_compare_and_swap(autojump_clock):
    async with fleet() as test:
        old, old_kv, _ = await test.start("a")
        await test.run(old, make_key(0))
        old_kv.hold()
        results = []

        async def call() -> None:
            results.append(await test.run(old, make_key(1)))

        test.nursery.start_soon(call)
        await trio.sleep(20)
        new, _, _ = await test.start("b")
        assert (await test.run(new, make_key(1))).code is Code.ANSWERED
        old_kv.resume()
        await trio.sleep(5)
        assert [result.outcome for result in results] == [Outcome.NOT_RUN]
        assert test.runs == [make_key(0), make_key(1)]


async def test_not_owner_names_the_owner(autojump_clock):
    async with fleet() as test:
        owners = {}
        for name in ("a", "b", "c"):
            owners[name], _, _ = await test.start(name)
        await trio.sleep(30)
        assert sum(len(owner.owned) for owner in owners.values()) == 16
        key = make_key(9)
        right, wrong, _ = owner_order("ledger", partition_of(key), owners)
        refused = await test.run(owners[wrong], key)
        assert (refused.code, refused.text) == (Code.NOT_OWNER, right)
        assert refused.outcome is Outcome.NOT_RUN
        assert (await test.run(owners[right], key)).code is Code.ANSWERED


async def test_drain_hands_over_results(autojump_clock):
    # Guards against resends that become unknown because an owner was shut down.
    async with fleet() as test:
        first, _, _ = await test.start("a")
        second, _, _ = await test.start("b")
        await trio.sleep(30)
        keys = [make_key(number) for number in range(40)]
        mine = [key for key in keys if partition_of(key) in first.owned]
        test.took_s = 2
        for key in mine:
            test.nursery.start_soon(test.run, first, key)
        await trio.sleep(1)
        await first.drain()
        assert not first.owned
        refused = await test.run(first, mine[0])
        assert refused.outcome is Outcome.NOT_RUN
        await trio.sleep(5)
        for key in mine:
            result = await test.run(second, key)
            assert result.code is Code.ANSWERED_FROM_RECORD
        assert sorted(test.runs) == sorted(mine)


async def test_drain_during_an_outage_still_ends_running_requests(autojump_clock):
    # Guards against a shutdown that cuts off a call because handing over takes long.
    async with fleet() as test:
        owner, kv, _ = await test.start("a")
        results = []
        test.took_s = 25

        async def call() -> None:
            results.append(await test.run(owner, make_key(1)))

        test.nursery.start_soon(call)
        await trio.sleep(1)
        kv.down = True
        with trio.fail_after(60):
            await owner.drain(handover_s=10)
        assert [result.code for result in results] == [Code.ANSWERED]


@pytest.mark.parametrize("held", [False, True])
async def test_end_of_serving_answers_the_callers_that_wait(autojump_clock, held):
    # Guards against callers that wait for ever for an owner that was stopped.
    async with fleet() as test:
        owner, kv, scope = await test.start("a")
        await test.run(owner, make_key(0))
        results = []
        test.took_s = 100

        async def call() -> None:
            results.append(await test.run(owner, make_key(1)))

        if held:
            kv.hold()
        test.nursery.start_soon(call)
        await trio.sleep(1)
        scope.cancel()
        await trio.sleep(1)
        outcome = Outcome.NOT_RUN if held else Outcome.UNKNOWN
        assert [result.outcome for result in results] == [outcome]
        assert test.runs.count(make_key(1)) == (0 if held else 1)
        late = await test.run(owner, make_key(2))
        assert (late.code, late.outcome) == (Code.NOT_READY, Outcome.NOT_RUN)


async def test_caller_that_leaves_before_the_claim_frees_the_key(autojump_clock):
    async with fleet() as test:
        owner, kv, _ = await test.start("a")
        await test.run(owner, make_key(0))
        kv.hold()
        with trio.move_on_after(1):
            await test.run(owner, make_key(1))
        kv.resume()
        await trio.sleep(5)
        assert test.runs == [make_key(0)]
        assert (await test.run(owner, make_key(1))).code is Code.ANSWERED


@pytest.mark.parametrize(
    ("key", "code", "outcome"),
    [
        ("", Code.KEY_REQUIRED, Outcome.NOT_RUN),
        ("seven", Code.KEY_MALFORMED, Outcome.NOT_RUN),
        (str(uuid.UUID(int=4 << 76 | 2 << 62)), Code.KEY_MALFORMED, Outcome.NOT_RUN),
        (make_key(1, -400), Code.KEY_MALFORMED, Outcome.NOT_RUN),
        (make_key(1, -200), Code.ANSWERED, Outcome.ANSWERED),
        (make_key(1, RETENTION_S - 60), Code.ANSWERED, Outcome.ANSWERED),
        (make_key(1, RETENTION_S + 60), Code.KEY_EXPIRED, Outcome.UNKNOWN),
    ],
)
async def test_ages_of_keys(autojump_clock, key, code, outcome):
    async with fleet() as test:
        owner, _, _ = await test.start("a")
        result = await test.run(owner, key)
        assert (result.code, result.outcome) == (code, outcome)


@pytest.mark.parametrize(
    ("result", "again"),
    [
        (Execution(Outcome.NOT_RUN, Code.UPSTREAM_DOWN), Code.ANSWERED),
        (unknown(Code.UPSTREAM_CRASHED, "cut"), Code.CLAIM_UNRESOLVED),
    ],
)
async def test_outcome_of_the_attempt_decides_the_resend(autojump_clock, result, again):
    async with fleet() as test:
        owner, _, _ = await test.start("a")
        assert await test.run(owner, make_key(1), result) == result
        assert (await test.run(owner, make_key(1))).code is again
