"""Coordinators, sidecars and ranks under reordered, lost and late messages.

The real coroutines are driven by hand, so that hypothesis chooses what happens next:
an order or a call to a rank arrives, is lost, or arrives after its sender gave up.
"""

import types
from dataclasses import dataclass, field

import hypothesis.strategies as st
import msgspec
from hypothesis import settings
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)

from mustardfront.codes import Code
from mustardfront.coordination.expertmap import (
    Coordinator,
    LocalRank,
    execute_order,
    is_formed,
    read_states,
    switch_map,
    tend,
)
from mustardfront.protocol import Order
from mustardfront.results import Err, Ok
from mustardfront.state import ExpertMap, first_map
from mustardfront_standins.rank import OrderRefusedError, RankVotes

RANKS = 3
MAPS = (
    (((0, 1), (2,), (3,)),),
    (((0,), (1, 2), (3,)),),
)
LOST = Err(Code.RANK_UNREACHABLE, "lost")
PAUSE = object()


@types.coroutine
def suspend(what):
    return (yield what)


@dataclass
class Batch:
    orders: dict
    answers: dict = field(default_factory=dict)


@dataclass
class Task:
    """A coordinator's coroutine and what it waits for."""

    coro: object
    waits: object = None
    alive: bool = True

    def resume(self, value):
        try:
            self.waits = self.coro.send(value)
        except StopIteration:
            self.alive, self.waits = False, None


@dataclass
class Job:
    """An order at a sidecar, with its call to the rank under way."""

    coro: object
    sender: tuple
    call: tuple = ()


async def ask(orders):
    return await suspend(Batch(dict(orders)))


async def pause(seconds):
    await suspend(PAUSE)


async def call_rank(method, path, body):
    return await suspend((path, body))


async def lead(co):
    for _ in range(40):
        done = await tend(co)
        if isinstance(done, Ok) and done.value is not None:
            states = done.value
            step = max(state.step for state in states.values()) + 2
            chosen = MAPS[(co.proposals + co.fence) % len(MAPS)]
            await switch_map(co, states, ExpertMap(0, chosen), step)
        await pause(0)


class MapSwitching(RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.starts = self.fence = 0
        self.ranks = [self.new_rank(index) for index in range(RANKS)]
        self.sidecars = [LocalRank(call_rank) for _ in range(RANKS)]
        self.jobs = [None] * RANKS
        self.tasks = []
        self.orders = []
        self.late_calls = []
        self.in_step = [None] * RANKS
        self.used = {}
        self.seen_votes = {}
        self.decisions = {}

    def new_rank(self, index):
        self.starts += 1
        # One of the ranks ignores fences.
        return RankVotes(f"start-{self.starts}", checks_fence=index != 1)

    # What coordinators do.

    def start(self):
        self.fence += 1
        co = Coordinator(
            "g",
            tuple(map(str, range(RANKS))),
            self.fence,
            ask,
            pause,
            lambda: first_map(1, 4, RANKS, 2),
            vote_polls_max=3,
        )
        task = Task(lead(co))
        self.tasks.append((task, co))
        self.resume(task, co, None)

    def resume(self, task, co, value):
        task.resume(value)
        if isinstance(task.waits, Batch):
            batch = task.waits
            self.orders += [
                (task, co, batch, rank, Order(0, "g", kind, co.fence, data))
                for rank, (kind, raw) in batch.orders.items()
                for data in [msgspec.json.encode(raw)]
            ]

    def answer(self, sender, result):
        task, co, batch, rank = sender
        batch.answers.setdefault(rank, result)
        if task.waits is batch and len(batch.answers) == len(batch.orders):
            task.waits = None
            self.resume(task, co, batch.answers)

    @precondition(lambda self: sum(task.alive for task, _ in self.tasks) < 3)
    @rule()
    def start_coordinator(self):
        self.start()

    @precondition(lambda self: any(t.waits is PAUSE for t, _ in self.tasks))
    @rule(pick=st.integers(0, 9))
    def end_pause(self, pick):
        paused = [pair for pair in self.tasks if pair[0].waits is PAUSE]
        task, co = paused[pick % len(paused)]
        self.resume(task, co, None)

    # What becomes of orders between a coordinator and a sidecar.

    def idle_orders(self):
        return [order for order in self.orders if self.jobs[int(order[3])] is None]

    def deliver(self, order):
        self.orders.remove(order)
        index = int(order[3])
        coro = execute_order(self.sidecars[index], order[4])
        self.jobs[index] = Job(coro, order[:4])
        self.run_job(index, None)

    def run_job(self, index, value):
        job = self.jobs[index]
        try:
            job.call = job.coro.send(value)
        except StopIteration as done:
            self.jobs[index] = None
            reply = done.value
            data = msgspec.json.decode(reply.data)
            code = Code(reply.code)
            ok = code is Code.ANSWERED
            self.answer(job.sender, Ok(data) if ok else Err(code, data["text"]))

    @precondition(lambda self: self.idle_orders())
    @rule(pick=st.integers(0, 99))
    def order_arrives(self, pick):
        found = self.idle_orders()
        self.deliver(found[pick % len(found)])

    @precondition(lambda self: self.orders)
    @rule(pick=st.integers(0, 99), late=st.booleans())
    def order_times_out(self, pick, late):
        order = self.orders[pick % len(self.orders)]
        if not late:
            self.orders.remove(order)
        self.answer(order[:4], LOST)

    # What becomes of calls between a sidecar and its rank.

    def at_rank(self, index, call):
        rank = self.ranks[index]
        path, body = call
        try:
            if path == "/rank/state":
                return 200, rank.to_data()
            if path == "/rank/map":
                return 200, {"version": rank.map_version, "layers": rank.layers}
            if path == "/rank/prepare":
                return 200, rank.prepare(body).to_data()
            return 200, rank.decide(body).to_data()
        except OrderRefusedError as exc:
            return 409, {"code": int(exc.code), "text": exc.text}

    def busy(self):
        return [index for index in range(RANKS) if self.jobs[index] is not None]

    @precondition(lambda self: self.busy())
    @rule(pick=st.integers(0, 9), lost=st.sampled_from([False, False, True]))
    def call_arrives(self, pick, lost):
        index = self.busy()[pick % len(self.busy())]
        answer = Ok(self.at_rank(index, self.jobs[index].call))
        self.run_job(index, LOST if lost else answer)

    @precondition(lambda self: self.busy())
    @rule(pick=st.integers(0, 9))
    def call_is_late(self, pick):
        index = self.busy()[pick % len(self.busy())]
        self.late_calls.append((index, self.jobs[index].call))
        self.run_job(index, LOST)

    @precondition(lambda self: self.late_calls)
    @rule(pick=st.integers(0, 9))
    def late_call_arrives(self, pick):
        self.at_rank(*self.late_calls.pop(pick % len(self.late_calls)))

    # What ranks do.

    @rule(index=st.integers(0, RANKS - 1))
    def weights_arrive(self, index):
        for version in list(self.ranks[index].ballots):
            self.ranks[index].loaded(version)

    @rule(index=st.integers(0, RANKS - 1))
    def begin_step(self, index):
        rank, key = self.ranks[index], self.in_step[index]
        if key and key[0] == rank.epoch and len(self.used[key]) < RANKS:
            return
        step = rank.begin_step()
        if step is not None:
            key = self.in_step[index] = (rank.epoch, step)
            self.used.setdefault(key, {})[index] = rank.map_version

    @rule(index=st.integers(0, RANKS - 1))
    def rank_restarts(self, index):
        self.ranks[index] = self.new_rank(index)
        self.in_step[index] = None
        if self.jobs[index] is not None:
            self.run_job(index, LOST)

    @rule(index=st.integers(0, RANKS - 1))
    def sidecar_restarts(self, index):
        self.sidecars[index] = LocalRank(call_rank)
        job, self.jobs[index] = self.jobs[index], None
        if job is not None:
            self.late_calls.append((index, job.call))
            self.answer(job.sender, LOST)

    # Long stretches without faults, so that runs get beyond the first vote.

    @initialize()
    def form_first(self):
        self.start()
        for _ in range(200):
            self.progress(None)
            if all(rank.epoch for rank in self.ranks):
                return
        raise AssertionError("the group was not formed")

    @rule(turns=st.integers(1, 120), left_out=st.sampled_from([None, None, 0, 1, 2]))
    def run_smoothly(self, turns, left_out):
        for _ in range(turns):
            self.progress(left_out)

    def progress(self, left_out):
        """Do the next thing that waits, at all ranks but one."""
        orders = [o for o in self.idle_orders() if o[3] != str(left_out)]
        busy = [index for index in self.busy() if index != left_out]
        paused = [pair for pair in self.tasks if pair[0].waits is PAUSE]
        if busy:
            call = self.jobs[busy[0]].call
            self.run_job(busy[0], Ok(self.at_rank(busy[0], call)))
        elif orders:
            self.deliver(orders[0])
        else:
            for index in range(RANKS):
                if index != left_out:
                    self.weights_arrive(index)
                    self.begin_step(index)
            for task, co in paused[-1:]:
                self.resume(task, co, None)

    # What must hold.

    @invariant()
    def one_map_in_each_step(self):
        assert all(len(set(parts.values())) == 1 for parts in self.used.values())

    @invariant()
    def votes_and_outcomes_never_change(self):
        for rank in self.ranks:
            for version, ballot in rank.ballots.items():
                if ballot.vote != "loading":
                    key = (rank.instance, version)
                    assert self.seen_votes.setdefault(key, ballot.vote) == ballot.vote
                if ballot.decided is not None and not ballot.form:
                    told = self.decisions.setdefault(version, ballot.decided)
                    assert told == ballot.decided

    def teardown(self):
        # Whatever happened, one undisturbed coordinator gets the group going again.
        self.tasks, self.orders, self.late_calls = [], [], []
        self.jobs = [None] * RANKS
        self.start()
        for _ in range(600):
            self.progress(None)
            self.one_map_in_each_step()
        assert len({rank.epoch for rank in self.ranks} - {0}) == 1
        assert any(len(parts) == RANKS for parts in self.used.values())


def test_switching_maps_under_faults():
    run_state_machine_as_test(
        MapSwitching,
        settings=settings(
            derandomize=True, max_examples=300, stateful_step_count=50, deadline=None
        ),
    )


def test_the_machine_reaches_a_switch_and_a_restart():
    # Guards against a machine that is safe only because nothing ever happens.
    world = MapSwitching()
    world.teardown()
    assert len({next(iter(parts.values())) for parts in world.used.values()}) > 1
    epoch = world.ranks[0].epoch
    world.rank_restarts(2)
    world.teardown()
    assert world.ranks[0].epoch > epoch
    assert is_formed_now(world)


def is_formed_now(world):
    states = read_states(world.tasks[0][1])
    batch = states.send(None)
    answers = {rank: Ok(world.ranks[int(rank)].to_data()) for rank in batch.orders}
    try:
        states.send(answers)
    except StopIteration as done:
        return is_formed(done.value.value)
    return False
