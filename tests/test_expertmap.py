"""The coordinator's term, and its balancing of a group whose load is skewed."""

import msgspec
import pytest
import trio

from fake_kv import FakeKv
from mustardfront.codes import Code
from mustardfront.coordination.expertmap import (
    Coordinator,
    LocalRank,
    campaign,
    execute_order,
    run_term,
    tend,
)
from mustardfront.coordination.expertmap._balance import Balance
from mustardfront.coordination.expertmap._coordinator import refresh_quiet_states
from mustardfront.coordination.expertmap._run import run_round
from mustardfront.protocol import Order
from mustardfront.results import Err, Ok
from mustardfront.state import Group, first_map, rank_loads
from mustardfront_standins.kv import Store
from mustardfront_standins.rank import OrderRefusedError, RankVotes

STEP_S = 0.04


class Ranks:
    """Ranks in this process that run steps by trio's clock and load at once."""

    def __init__(self, shares):
        self.shares = shares
        self.ranks = {name: RankVotes(f"start-{name}") for name in ("a", "b", "c", "d")}

    def advance(self):
        rank = next(iter(self.ranks.values()))
        target = int(trio.current_time() / STEP_S)
        while rank.epoch and min(r.step for r in self.ranks.values()) < target:
            begun = [each.begin_step() for each in self.ranks.values()]
            if None in begun:
                return

    async def ask(self, orders):
        await trio.sleep(0.001)
        self.advance()
        return {name: self.one(name, *order) for name, order in orders.items()}

    def one(self, name, kind, data):
        rank = self.ranks[name]
        try:
            if kind == "state":
                return Ok(rank.to_data())
            if kind == "map":
                return Ok({"version": rank.map_version, "layers": rank.layers})
            if kind == "loads":
                return Ok({"layers": [[x * rank.step for x in self.shares]]})
            if kind == "decide":
                return Ok(rank.decide(data).to_data())
            ballot = rank.prepare(data | {"refuse": kind == "refuse"})
            rank.loaded(ballot.map_version)
            return Ok(ballot.to_data())
        except OrderRefusedError as exc:
            return Err(exc.code, exc.text)


async def test_a_skewed_group_gets_a_better_map(autojump_clock, monkeypatch):
    # Guards against loads, plan and switch that do not fit together.
    async def run_sync(function, *args):
        return function(*args)

    monkeypatch.setattr(trio.to_thread, "run_sync", run_sync)
    shares = [900.0, 700.0, 100, 100, 100, 100, 100, 100]
    group = Group("svc", ("a", "b", "c", "d"), 1, 8, 3, 1000, 1e6, 4.0, 1.0)
    ranks = Ranks(shares)
    co = Coordinator(
        "g", group.ranks, 7, ranks.ask, trio.sleep, lambda: first_map(1, 8, 4, 3)
    )
    balance = Balance(group)
    quiet, read_at = None, 0.0
    with trio.fail_after(300):
        while len({rank.map_version for rank in ranks.ranks.values()} - {0}) == 0 or (
            ranks.ranks["a"].map_version == ranks.ranks["a"].epoch
        ):
            done, quiet, read_at = await run_round(co, balance, quiet, read_at)
            assert isinstance(done, Ok)
            await trio.sleep(1.0)
    layer = ranks.ranks["a"].layers[0]
    before = first_map(1, 8, 4, 3).value.layers[0]
    assert max(rank_loads(layer, shares)) < 0.7 * max(rank_loads(before, shares))


async def test_a_stopped_front_makes_the_coordinator_read_all_ranks(autojump_clock):
    # Guards against a restart behind a front that looks quiet.
    ranks = Ranks([1.0] * 8)
    names = tuple(ranks.ranks)
    co = Coordinator(
        "g", names, 1, ranks.ask, trio.sleep, lambda: first_map(1, 8, 4, 3)
    )
    assert isinstance(await tend(co), Ok)
    await trio.sleep(10)
    states = (await tend(co)).value
    await trio.sleep(10)
    seen = await refresh_quiet_states(co, states)
    assert seen["a"].step > states["a"].step
    ranks.ranks["d"] = RankVotes("restarted")
    ranks.advance = lambda: None
    assert await refresh_quiet_states(co, seen) is None


async def test_a_fenced_coordinator_stops(autojump_clock):
    # Guards against a paused coordinator that goes on after its successor's order.
    ranks = Ranks([1.0] * 8)
    names = tuple(ranks.ranks)
    old, new = (
        Coordinator("g", names, f, ranks.ask, trio.sleep, lambda: first_map(1, 8, 4, 3))
        for f in (3, 4)
    )
    assert isinstance(await tend(new), Ok)
    ranks.ranks["a"] = RankVotes("restarted")
    done = await tend(old)
    assert isinstance(done, Err) and done.code is Code.FENCED
    assert ranks.ranks["b"].epoch == new.fence << 20 | 1


@pytest.mark.parametrize("lose", [0, 1])
async def test_each_term_has_a_higher_fence(autojump_clock, lose):
    # Guards against a term without a fence when the write's answer is lost.
    store = Store()
    fences = []
    async with trio.open_nursery() as nursery:
        nursery.start_soon(store.run_leases)
        for _ in range(2):
            kv = FakeKv(store)
            kv.lose = lose
            term = await campaign(kv, "g", "me")
            fences.append(term.fence)

            async def lead():
                await trio.sleep(30)

            await run_term(kv, term, lead)
        nursery.cancel_scope.cancel()
    assert fences[0] < fences[1]


async def test_a_term_outlives_an_outage_but_not_its_lease(autojump_clock):
    # Guards against ranks that wait at an open vote for as long as the service is down.
    kv = FakeKv(Store())
    term = await campaign(kv, "g", "me")
    outage_over = trio.Event()

    async def lead():
        await trio.sleep(60)
        assert not term.is_lease_valid()
        outage_over.set()
        kv.down = False
        await trio.sleep_forever()

    kv.down = True
    with trio.fail_after(90):
        # The lease ended during the outage, which the first answer tells.
        await run_term(kv, term, lead)
    assert outage_over.is_set()


@pytest.mark.parametrize("ignores_fences", [False, True])
async def test_a_lost_answer_is_read_back_before_the_next_order(ignores_fences):
    # Guards against a doubled order at a rank, and an old one after a restart.
    rank = RankVotes("start-1", checks_fence=not ignores_fences)
    calls = []

    async def call(method, path, body):
        calls.append(path)
        if path == "/rank/state":
            return Ok((200, rank.to_data()))
        ballot = rank.prepare(body)
        rank.loaded(ballot.map_version)
        return Err(Code.RANK_UNREACHABLE, "lost")

    local = LocalRank(call)
    layers = [[list(held) for held in first_map(1, 4, 2, 2).value.layers[0]]]
    data = {
        "map_version": 9,
        "step": 1,
        "epoch": 9,
        "form": True,
        "instance": "start-1",
        "map": {"version": 9, "layers": layers},
    }
    prepare = Order(1, "g", "prepare", 5, msgspec.json.encode(data))
    lost = await execute_order(local, prepare)
    assert lost.code == Code.RANK_UNREACHABLE
    again = await execute_order(local, prepare)
    assert again.code == Code.ANSWERED
    assert msgspec.json.decode(again.data)["vote"] == "yes"
    assert calls == ["/rank/state", "/rank/prepare", "/rank/state"]
    old = Order(2, "g", "refuse", 4, msgspec.json.encode(data | {"map_version": 8}))
    assert (await execute_order(local, old)).code == Code.FENCED
