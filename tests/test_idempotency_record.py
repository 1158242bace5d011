"""Records of at-most-once execution: expiry, size limits and damaged records."""

import trio
from tests.fake_kv import FakeKv
from tests.test_idempotency import RETENTION_S, make_key, now_ms, open_fleet

from mustardfront.codes import Code, Outcome
from mustardfront.constants import RECORD_HEAD_BYTES, RECORDED_BODY_MAX_BYTES
from mustardfront.coordination.idempotency import (
    Execution,
    PartitionOwner,
    partition_of,
)


async def test_expired_records_are_deleted_and_their_keys_stay_refused(autojump_clock):
    # Guards against records that are never deleted, and a second run afterwards.
    async with open_fleet() as fleet:
        owner, _, scope = await fleet.start("a")
        body = bytes(RECORDED_BODY_MAX_BYTES)
        answer = Execution(Outcome.ANSWERED, Code.ANSWERED, status=201, body=body)
        key = make_key(1)
        partition_keys = [
            make_key(number)
            for number in range(1, 400)
            if partition_of(make_key(number)) == partition_of(key)
        ]
        for other in partition_keys:
            await fleet.run(owner, other, answer)
            await trio.sleep(1)
        prefix = f"/mustardfront/idem/ledger/{partition_of(key):02d}/".encode()
        assert len(fleet.store.get_range(prefix, prefix + b"\xff")) > 3
        assert (await fleet.run(owner, key)).code is Code.ANSWERED_FROM_RECORD
        await trio.sleep(RETENTION_S + 700)
        assert not fleet.store.get_range(prefix, prefix + b"\xff")
        scope.cancel()
        # With a longer retention, a key whose record was deleted must stay refused.
        new_owner = PartitionOwner(
            "ledger",
            "a",
            "a-2",
            FakeKv(fleet.store),
            retention_s=lambda: 10 * RETENTION_S,
            now_ms=now_ms,
        )
        await fleet.nursery.start(fleet.serve, new_owner)
        assert (await fleet.run(new_owner, key)).code is Code.KEY_EXPIRED
        assert fleet.runs.count(key) == 1


async def test_full_record_refuses_new_requests(autojump_clock, monkeypatch):
    # Guards against a record that grows without limit, and against a second run of a
    # request whose answer was too large to be recorded.
    constant = "mustardfront.coordination.idempotency._active.RECORD_MAX_BYTES"
    monkeypatch.setattr(constant, 4 * RECORD_HEAD_BYTES)
    async with open_fleet() as fleet:
        owner, _, _ = await fleet.start("a")
        body = bytes(RECORDED_BODY_MAX_BYTES + 1)
        large_answer = Execution(Outcome.ANSWERED, Code.ANSWERED, body=body)
        assert (await fleet.run(owner, make_key(1), large_answer)).body == body
        assert (await fleet.run(owner, make_key(1))).code is Code.CLAIM_UNRESOLVED
        answer = Execution(Outcome.ANSWERED, Code.ANSWERED, body=body[:-1])
        codes = set()
        for number in range(2, 400):
            result = await fleet.run(owner, make_key(number), answer)
            codes.add((result.code, result.outcome))
            await trio.sleep(0.6)
        assert (Code.SHED, Outcome.NOT_RUN) in codes


async def test_new_owner_reads_all_segments(autojump_clock):
    # Guards against a takeover that loads only the newest part of the record.
    async with open_fleet() as fleet:
        first, _, scope = await fleet.start("a")
        keys = [
            key
            for key in map(make_key, range(400))
            if partition_of(key) == partition_of(make_key(0))
        ]
        for key in keys:
            answer = Execution(Outcome.ANSWERED, Code.ANSWERED, body=key.encode() * 9)
            await fleet.run(first, key, answer)
        await trio.sleep(2)
        prefix = f"/mustardfront/idem/ledger/{partition_of(keys[0]):02d}/".encode()
        assert len(fleet.store.get_range(prefix, prefix + b"\xff")) > 3
        scope.cancel()
        second, _, _ = await fleet.start("a", "a-2")
        for key in keys:
            again = await fleet.run(second, key)
            assert (again.code, again.body) == (
                Code.ANSWERED_FROM_RECORD,
                key.encode() * 9,
            )
        assert sorted(fleet.runs) == sorted(keys)


async def test_damaged_record_only_refuses_its_own_partition(autojump_clock):
    # Guards against a damaged record or member that stops all partitions.
    async with open_fleet() as fleet:
        key = make_key(1)
        damaged = f"/mustardfront/idem/ledger/{partition_of(key):02d}".encode()
        member = b"/mustardfront/idem-members/ledger/b"
        fleet.store.apply([(damaged, b"\xc1", 0), (member, b"{", 0)], [])
        owner, _, _ = await fleet.start("a")
        result = await fleet.run(owner, key)
        assert (result.code, result.outcome) == (Code.NOT_READY, Outcome.NOT_RUN)
        assert len(owner.owned) == 15
