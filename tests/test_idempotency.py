"""At-most-once execution under single failures, with a fake key-value service."""

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
    """Partition owners that share one store.

    ``runs`` lists the executed keys. ``took_s`` is how long an execution takes.
    """

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
        scope = await self.nursery.start(self.serve, owner)
        return owner, kv, scope

    async def serve(self, owner, task_status) -> None:
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
async def open_fleet():
    async with trio.open_nursery() as nursery:
        yield Fleet(nursery)
        nursery.cancel_scope.cancel()


async def test_resend_is_answered_from_the_record(autojump_clock):
    # Guards against a resend, or another request with the same key, that runs.
    async with open_fleet() as fleet:
        owner, _, _ = await fleet.start("a")
        key = make_key(1)
        first = await fleet.run(owner, key)
        assert (first.code, first.body) == (Code.ANSWERED, b"booked")
        again = await fleet.run(owner, key)
        assert (again.code, again.status) == (Code.ANSWERED_FROM_RECORD, 201)
        other = await fleet.run(owner, key, body=b"book 6")
        assert (other.code, other.outcome) == (Code.KEY_CONFLICT, Outcome.NOT_RUN)
        assert fleet.runs == [key]


async def test_resends_during_the_first_attempt_wait_for_it(autojump_clock):
    # Guards against resends that run, or are refused, while the first attempt runs.
    async with open_fleet() as fleet:
        owner, _, _ = await fleet.start("a")
        results = []

        async def call() -> None:
            results.append(await fleet.run(owner, make_key(1)))

        async with trio.open_nursery() as nursery:
            for _ in range(5):
                nursery.start_soon(call)
        assert fleet.runs == [make_key(1)]
        assert {result.code for result in results} == {Code.ANSWERED}


async def test_concurrent_claims_share_writes(autojump_clock):
    # Guards against a separate write for each claim.
    async with open_fleet() as fleet:
        owner, kv, _ = await fleet.start("a")
        await fleet.run(owner, make_key(0))
        before = kv.calls["txn"]
        async with trio.open_nursery() as nursery:
            for number in range(1, 201):
                nursery.start_soon(fleet.run, owner, make_key(number))
        assert len(fleet.runs) == 201
        assert kv.calls["txn"] - before <= 12


@pytest.mark.parametrize("fault", ["lose", "late"])
async def test_request_runs_once_when_its_claim_is_unconfirmed(autojump_clock, fault):
    # Guards against a second run when the claim's write has an unknown outcome.
    async with open_fleet() as fleet:
        owner, kv, _ = await fleet.start("a")
        await fleet.run(owner, make_key(0))
        setattr(kv, fault, 1)
        result = await fleet.run(owner, make_key(1))
        kv.deliver()
        assert result.code is Code.ANSWERED
        assert (await fleet.run(owner, make_key(1))).code is Code.ANSWERED_FROM_RECORD
        assert fleet.runs.count(make_key(1)) == 1


async def test_request_refused_in_an_outage_runs_when_it_is_resent(autojump_clock):
    # Guards against a refused claim that blocks its key when it becomes durable.
    async with open_fleet() as fleet:
        owner, kv, _ = await fleet.start("a")
        await fleet.run(owner, make_key(0))
        # The claim becomes durable after the refusal, so it must be voided.
        kv.late, kv.down_after_late = 1, True
        refused = await fleet.run(owner, make_key(1))
        assert refused.outcome is Outcome.NOT_RUN
        assert refused.code is Code.STORE_UNAVAILABLE
        kv.deliver()
        assert (await fleet.run(owner, make_key(2))).outcome is Outcome.NOT_RUN
        kv.down = False
        await trio.sleep(2)
        assert (await fleet.run(owner, make_key(1))).code is Code.ANSWERED
        assert fleet.runs == [make_key(0), make_key(1)]


async def test_claim_of_a_stopped_owner_stays_unknown(autojump_clock):
    # Guards against a new instance that runs a request which may have run already.
    async with open_fleet() as fleet:
        first, _, scope = await fleet.start("a")
        fleet.took_s = 100
        fleet.nursery.start_soon(fleet.run, first, make_key(1))
        await trio.sleep(1)
        scope.cancel()
        second, _, _ = await fleet.start("a", "a-2")
        for _ in range(2):
            result = await fleet.run(second, make_key(1))
            assert result.code is Code.CLAIM_UNRESOLVED
            assert result.outcome is Outcome.UNKNOWN
            await trio.sleep(60)
        assert fleet.runs == [make_key(1)]


async def test_paused_owner_is_fenced_by_compare_and_swap(autojump_clock):
    # Guards against a paused owner that runs a request after it was replaced.
    async with open_fleet() as fleet:
        old, old_kv, _ = await fleet.start("a")
        await fleet.run(old, make_key(0))
        old_kv.hold()
        results = []

        async def call() -> None:
            results.append(await fleet.run(old, make_key(1)))

        fleet.nursery.start_soon(call)
        await trio.sleep(20)
        new, _, _ = await fleet.start("b")
        assert (await fleet.run(new, make_key(1))).code is Code.ANSWERED
        old_kv.resume()
        await trio.sleep(5)
        assert [result.outcome for result in results] == [Outcome.NOT_RUN]
        assert fleet.runs == [make_key(0), make_key(1)]


async def test_not_owner_names_the_owner(autojump_clock):
    # Guards against a refusal that does not name the sidecar to send the request to.
    async with open_fleet() as fleet:
        owners = {}
        for name in ("a", "b", "c"):
            owners[name], _, _ = await fleet.start(name)
        await trio.sleep(30)
        assert sum(len(owner.owned) for owner in owners.values()) == 16
        key = make_key(9)
        right, wrong, _ = owner_order("ledger", partition_of(key), owners)
        refused = await fleet.run(owners[wrong], key)
        assert (refused.code, refused.text) == (Code.NOT_OWNER, right)
        assert refused.outcome is Outcome.NOT_RUN
        assert (await fleet.run(owners[right], key)).code is Code.ANSWERED


async def test_drain_hands_over_results(autojump_clock):
    # Guards against resends with an unknown outcome after an orderly shutdown.
    async with open_fleet() as fleet:
        first, _, _ = await fleet.start("a")
        second, _, _ = await fleet.start("b")
        await trio.sleep(30)
        keys = [make_key(number) for number in range(40)]
        first_keys = [key for key in keys if partition_of(key) in first.owned]
        fleet.took_s = 2
        for key in first_keys:
            fleet.nursery.start_soon(fleet.run, first, key)
        await trio.sleep(1)
        await first.drain()
        assert not first.owned
        refused = await fleet.run(first, first_keys[0])
        assert refused.outcome is Outcome.NOT_RUN
        await trio.sleep(5)
        for key in first_keys:
            result = await fleet.run(second, key)
            assert result.code is Code.ANSWERED_FROM_RECORD
        assert sorted(fleet.runs) == sorted(first_keys)


async def test_drain_during_an_outage_still_ends_running_requests(autojump_clock):
    # Guards against a shutdown that cuts off a request because the partitions cannot
    # be released during an outage.
    async with open_fleet() as fleet:
        owner, kv, _ = await fleet.start("a")
        results = []
        fleet.took_s = 25

        async def call() -> None:
            results.append(await fleet.run(owner, make_key(1)))

        fleet.nursery.start_soon(call)
        await trio.sleep(1)
        kv.down = True
        with trio.fail_after(60):
            await owner.drain(handover_s=10)
        assert [result.code for result in results] == [Code.ANSWERED]


@pytest.mark.parametrize("held", [False, True])
async def test_stopped_owner_answers_waiting_callers(autojump_clock, held):
    # Guards against callers that wait forever for an owner that was stopped.
    async with open_fleet() as fleet:
        owner, kv, scope = await fleet.start("a")
        await fleet.run(owner, make_key(0))
        results = []
        fleet.took_s = 100

        async def call() -> None:
            results.append(await fleet.run(owner, make_key(1)))

        if held:
            kv.hold()
        fleet.nursery.start_soon(call)
        await trio.sleep(1)
        scope.cancel()
        await trio.sleep(1)
        outcome = Outcome.NOT_RUN if held else Outcome.UNKNOWN
        assert [result.outcome for result in results] == [outcome]
        assert fleet.runs.count(make_key(1)) == (0 if held else 1)
        late = await fleet.run(owner, make_key(2))
        assert (late.code, late.outcome) == (Code.NOT_READY, Outcome.NOT_RUN)


async def test_caller_cancelled_before_the_claim_frees_the_key(autojump_clock):
    # Guards against a key that stays claimed for a request that never runs.
    async with open_fleet() as fleet:
        owner, kv, _ = await fleet.start("a")
        await fleet.run(owner, make_key(0))
        kv.hold()
        with trio.move_on_after(1):
            await fleet.run(owner, make_key(1))
        kv.resume()
        await trio.sleep(5)
        assert fleet.runs == [make_key(0)]
        assert (await fleet.run(owner, make_key(1))).code is Code.ANSWERED


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
async def test_keys_are_checked_for_format_and_age(autojump_clock, key, code, outcome):
    # Guards against running a request whose key cannot be checked: it is malformed, or
    # its record may have been deleted.
    async with open_fleet() as fleet:
        owner, _, _ = await fleet.start("a")
        result = await fleet.run(owner, key)
        assert (result.code, result.outcome) == (code, outcome)


@pytest.mark.parametrize(
    ("result", "again"),
    [
        (Execution(Outcome.NOT_RUN, Code.UPSTREAM_DOWN), Code.ANSWERED),
        (unknown(Code.UPSTREAM_CRASHED, "cut"), Code.CLAIM_UNRESOLVED),
    ],
)
async def test_outcome_of_the_attempt_decides_the_resend(autojump_clock, result, again):
    # Guards against a resend that runs although its first attempt may have run.
    async with open_fleet() as fleet:
        owner, _, _ = await fleet.start("a")
        assert await fleet.run(owner, make_key(1), result) == result
        assert (await fleet.run(owner, make_key(1))).code is again


async def test_request_runs_once_when_the_service_lost_its_claim(autojump_clock):
    """Guards against a second run after a return from an older copy of the data."""
    async with open_fleet() as fleet:
        owner, _, _ = await fleet.start("a")
        await fleet.run(owner, make_key(1))
        older = fleet.store.copy()
        await fleet.run(owner, make_key(2))
        await trio.sleep(2)
        fleet.store.restore(older)
        # The owner finds by its next write that its record has changed.
        await fleet.run(owner, make_key(3))
        again = await fleet.run(owner, make_key(2))
        while again.outcome is Outcome.NOT_RUN:
            await trio.sleep(0.5)
            again = await fleet.run(owner, make_key(2))
        assert (again.code, again.status) == (Code.ANSWERED_FROM_RECORD, 201)
        assert fleet.runs.count(make_key(2)) == 1
        # The record itself has the claim and the answer again.
        await trio.sleep(2)
        other, _, _ = await fleet.start("a", "a-2")
        again = await fleet.run(other, make_key(2))
        assert (again.code, again.status) == (Code.ANSWERED_FROM_RECORD, 201)
