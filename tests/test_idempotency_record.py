"""At-most-once execution: expiry, size and damage of the records."""

import trio
from tests.fake_kv import FakeKv
from tests.test_idempotency import RETENTION_S, fleet, make_key, now_ms

from mustardfront.codes import Code, Outcome
from mustardfront.constants import RECORD_HEAD_BYTES, RECORDED_BODY_MAX_BYTES
from mustardfront.coordination.idempotency import (
    Execution,
    PartitionOwner,
    partition_of,
)


async def test_expired_records_are_deleted_and_their_keys_stay_refused(autojump_clock):
    async with fleet() as test:
        owner, _, scope = await test.start("a")
        body = bytes(RECORDED_BODY_MAX_BYTES)
        answer = Execution(Outcome.ANSWERED, Code.ANSWERED, status=201, body=body)
        key = make_key(1)
        same = [
            make_key(number)
            for number in range(1, 400)
            if partition_of(make_key(number)) == partition_of(key)
        ]
        for other in same:
            await test.run(owner, other, answer)
            await trio.sleep(1)
        prefix = f"/mustardfront/idem/ledger/{partition_of(key):02d}/".encode()
        assert len(test.store.get_range(prefix, prefix + b"\xff")) > 3
        assert (await test.run(owner, key)).code is Code.ANSWERED_FROM_RECORD
        await trio.sleep(RETENTION_S + 700)
        assert not test.store.get_range(prefix, prefix + b"\xff")
        scope.cancel()
        # A longer retention must not revive a key whose record was deleted.
        longer = PartitionOwner(
            "ledger",
            "a",
            "a-2",
            FakeKv(test.store),
            retention_s=lambda: 10 * RETENTION_S,
            now_ms=now_ms,
        )
        await test.nursery.start(test._serve, longer)
        assert (await test.run(longer, key)).code is Code.KEY_EXPIRED
        assert test.runs.count(key) == 1


async def test_large_record_is_cut_into_segments_and_refused_when_full(
    autojump_clock, monkeypatch
):
    module = "mustardfront.coordination.idempotency._owner.RECORD_MAX_BYTES"
    monkeypatch.setattr(module, 4 * RECORD_HEAD_BYTES)
    async with fleet() as test:
        owner, _, _ = await test.start("a")
        body = bytes(RECORDED_BODY_MAX_BYTES + 1)
        large = Execution(Outcome.ANSWERED, Code.ANSWERED, body=body)
        assert (await test.run(owner, make_key(1), large)).body == body
        assert (await test.run(owner, make_key(1))).code is Code.CLAIM_UNRESOLVED
        stored = Execution(Outcome.ANSWERED, Code.ANSWERED, body=body[:-1])
        codes = set()
        for number in range(2, 400):
            result = await test.run(owner, make_key(number), stored)
            codes.add((result.code, result.outcome))
            await trio.sleep(0.6)
        assert (Code.SHED, Outcome.NOT_RUN) in codes


async def test_new_owner_reads_all_segments(autojump_clock):
    # Guards against a takeover that loads only the newest part of the record.
    async with fleet() as test:
        first, _, scope = await test.start("a")
        keys = [
            key
            for key in map(make_key, range(400))
            if partition_of(key) == partition_of(make_key(0))
        ]
        for key in keys:
            answer = Execution(Outcome.ANSWERED, Code.ANSWERED, body=key.encode() * 9)
            await test.run(first, key, answer)
        await trio.sleep(2)
        prefix = f"/mustardfront/idem/ledger/{partition_of(keys[0]):02d}/".encode()
        assert len(test.store.get_range(prefix, prefix + b"\xff")) > 3
        scope.cancel()
        second, _, _ = await test.start("a", "a-2")
        for key in keys:
            again = await test.run(second, key)
            assert (again.code, again.body) == (
                Code.ANSWERED_FROM_RECORD,
                key.encode() * 9,
            )
        assert sorted(test.runs) == sorted(keys)


async def test_damaged_record_is_refused_and_the_other_partitions_work(autojump_clock):
    async with fleet() as test:
        key = make_key(1)
        damaged = f"/mustardfront/idem/ledger/{partition_of(key):02d}".encode()
        member = b"/mustardfront/idem-members/ledger/b"
        test.store.apply([(damaged, b"\xc1", 0), (member, b"{", 0)], [])
        owner, _, _ = await test.start("a")
        result = await test.run(owner, key)
        assert (result.code, result.outcome) == (Code.NOT_READY, Outcome.NOT_RUN)
        assert len(owner.owned) == 15
