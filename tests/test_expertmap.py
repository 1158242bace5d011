"""Terms of a group's coordinator, its rounds, and the orders that ranks execute."""

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
    reconcile_group,
    run_term,
)
from mustardfront.coordination.expertmap._balancer import GroupBalancer
from mustardfront.coordination.expertmap._coordinator import refresh_quiet_states
from mustardfront.coordination.expertmap._lease import raise_fence
from mustardfront.coordination.expertmap._task import run_round
from mustardfront.protocol import Order
from mustardfront.results import Err, Ok
from mustardfront.state import Group, first_map, rank_loads
from mustardfront_standins.kv import Store
from mustardfront_standins.rank import OrderRefusedError, RankVotes

STEP_S = 0.04


class InProcessRanks:
    """Ranks in this process that step by trio's clock and load weights immediately."""

    def __init__(self, shares):
        self.shares = shares
        self.ranks = {name: RankVotes(f"start-{name}") for name in ("a", "b", "c", "d")}

    def run_steps(self):
        rank = next(iter(self.ranks.values()))
        target = int(trio.current_time() / STEP_S)
        while rank.epoch and min(r.step for r in self.ranks.values()) < target:
            begun = [r.begin_step() for r in self.ranks.values()]
            if None in begun:
                return

    async def send_orders(self, orders):
        await trio.sleep(0.001)
        self.run_steps()
        return {name: self.execute(name, *order) for name, order in orders.items()}

    def execute(self, name, kind, data):
        rank = self.ranks[name]
        try:
            if kind == "state":
                return Ok(rank.to_data())
            if kind == "map":
                return Ok({"version": rank.map_version, "layers": rank.layers})
            if kind == "loads":
                return Ok({"layers": [[share * rank.step for share in self.shares]]})
            if kind == "decide":
                return Ok(rank.decide(data).to_data())
            ballot = rank.prepare(data | {"refuse": kind == "refuse"})
            rank.loaded(ballot.map_version)
            return Ok(ballot.to_data())
        except OrderRefusedError as exc:
            return Err(exc.code, exc.text)


async def test_a_skewed_group_gets_a_better_map(autojump_clock, monkeypatch):
    # Guards against faults between the reading of loads, the planning and the switch,
    # which leave an unbalanced group on its first map.
    async def run_sync(function, *args):
        return function(*args)

    monkeypatch.setattr(trio.to_thread, "run_sync", run_sync)
    shares = [900.0, 700.0, 100, 100, 100, 100, 100, 100]
    group = Group("svc", ("a", "b", "c", "d"), 1, 8, 3, 1000, 1e6, 4.0, 1.0)
    ranks = InProcessRanks(shares)
    co = Coordinator(
        "g",
        group.ranks,
        7,
        ranks.send_orders,
        trio.sleep,
        lambda: first_map(1, 8, 4, 3),
    )
    balance = GroupBalancer(group)
    quiet_states, read_at = None, 0.0
    with trio.fail_after(300):
        while len({rank.map_version for rank in ranks.ranks.values()} - {0}) == 0 or (
            ranks.ranks["a"].map_version == ranks.ranks["a"].epoch
        ):
            done, quiet_states, read_at = await run_round(
                co, balance, quiet_states, read_at
            )
            assert isinstance(done, Ok)
            await trio.sleep(1.0)
    layer = ranks.ranks["a"].layers[0]
    before = first_map(1, 8, 4, 3).value.layers[0]
    assert max(rank_loads(layer, shares)) < 0.7 * max(rank_loads(before, shares))


async def test_a_stopped_front_rank_makes_the_coordinator_read_all_ranks(
    autojump_clock,
):
    # Guards against missing the restart of another rank because only the front rank
    # is read. The front rank's step stops growing then.
    ranks = InProcessRanks([1.0] * 8)
    names = tuple(ranks.ranks)
    co = Coordinator(
        "g", names, 1, ranks.send_orders, trio.sleep, lambda: first_map(1, 8, 4, 3)
    )
    assert isinstance(await reconcile_group(co), Ok)
    await trio.sleep(10)
    states = (await reconcile_group(co)).value
    await trio.sleep(10)
    refreshed = await refresh_quiet_states(co, states)
    assert refreshed["a"].step > states["a"].step
    ranks.ranks["d"] = RankVotes("restarted")
    ranks.run_steps = lambda: None
    assert await refresh_quiet_states(co, refreshed) is None


async def test_a_fenced_coordinator_stops(autojump_clock):
    # Guards against a paused coordinator that goes on sending orders after its
    # successor has sent some.
    ranks = InProcessRanks([1.0] * 8)
    names = tuple(ranks.ranks)
    old, new = (
        Coordinator(
            "g",
            names,
            fence,
            ranks.send_orders,
            trio.sleep,
            lambda: first_map(1, 8, 4, 3),
        )
        for fence in (3, 4)
    )
    assert isinstance(await reconcile_group(new), Ok)
    ranks.ranks["a"] = RankVotes("restarted")
    done = await reconcile_group(old)
    assert isinstance(done, Err) and done.code is Code.FENCED
    assert ranks.ranks["b"].epoch == new.fence << 20 | 1


@pytest.mark.parametrize("lose", [0, 1])
async def test_each_term_has_a_higher_fence(autojump_clock, lose):
    # Guards against a term whose fence is not the revision of its write when the
    # write's answer was lost.
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


async def test_fence_is_above_those_that_the_service_lost(autojump_clock):
    """Guards against a group without a coordinator, or with two of one fence."""
    store = Store()
    kv = FakeKv(store)
    older = store.copy()
    for _ in range(9):
        await kv.txn({}, {"other": b""})
    seen = (await campaign(kv, "g", "me")).fence
    store.restore(older)
    fences = []
    for newest in (seen, seen, 0):
        term = await campaign(kv, "g", "me")
        assert isinstance(await raise_fence(kv, "g", term, newest), Ok)
        fences.append(term.fence)
        await kv.lease_revoke(term.lease)
    assert seen < fences[0] < fences[1] < fences[2]


async def test_a_term_survives_an_outage_but_ends_with_its_lease(autojump_clock):
    # Guards against ending a term when the key-value service is down: ranks with an
    # open vote would wait until it is back.
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
        # The lease expired during the outage; the first answer after it says so.
        await run_term(kv, term, lead)
    assert outage_over.is_set()


@pytest.mark.parametrize("ignores_fences", [False, True])
async def test_state_is_read_after_a_lost_answer_before_the_next_order(ignores_fences):
    # Guards against executing an order twice after its answer was lost, and against
    # executing an order with a stale fence.
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
    layers = [[list(experts) for experts in first_map(1, 4, 2, 2).value.layers[0]]]
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
    repeated = await execute_order(local, prepare)
    assert repeated.code == Code.ANSWERED
    assert msgspec.json.decode(repeated.data)["vote"] == "yes"
    assert calls == ["/rank/state", "/rank/prepare", "/rank/state"]
    stale = Order(2, "g", "refuse", 4, msgspec.json.encode(data | {"map_version": 8}))
    assert (await execute_order(local, stale)).code == Code.FENCED
