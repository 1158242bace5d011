"""Coordinators, sidecars and ranks under reordered, lost and late messages.

The coroutines of coordinators and sidecars run without an event loop, so that
hypothesis chooses the next event: an order or a call to a rank arrives, is lost, or
arrives after its sender has timed out.
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
    reconcile_group,
    switch_map,
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
def suspend(awaited):
    return (yield awaited)


@dataclass
class Batch:
    orders: dict
    answers: dict = field(default_factory=dict)


@dataclass
class Task:
    """A coordinator's coroutine and what it awaits: a batch of orders or a pause."""

    coro: object
    awaited: object = None
    alive: bool = True

    def resume(self, value):
        try:
            self.awaited = self.coro.send(value)
        except StopIteration:
            self.alive, self.awaited = False, None


@dataclass
class Job:
    """An order that a sidecar executes, with its pending call to the rank."""

    coro: object
    sender: tuple
    call: tuple = ()


async def send_orders(orders):
    return await suspend(Batch(dict(orders)))


async def pause(seconds):
    await suspend(PAUSE)


async def call_rank(method, path, body):
    return await suspend((path, body))


async def propose_switches(co):
    for _ in range(40):
        done = await reconcile_group(co)
        if isinstance(done, Ok) and done.value is not None:
            states = done.value
            step = max(state.step for state in states.values()) + 2
            layers = MAPS[(co.proposals + co.fence) % len(MAPS)]
            await switch_map(co, states, ExpertMap(0, layers), step)
        await pause(0)


class MapSwitching(RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.starts_count = self.last_fence = 0
        self.ranks = [self.new_rank(index) for index in range(RANKS)]
        self.sidecars = [LocalRank(call_rank) for _ in range(RANKS)]
        self.jobs = [None] * RANKS
        self.tasks = []
        self.orders = []
        self.late_calls = []
        # The (epoch, step) that each rank has begun last.
        self.step_keys = [None] * RANKS
        # The map version that each rank used, by (epoch, step) and rank.
        self.maps_by_step = {}
        self.seen_votes = {}
        self.decisions = {}

    def new_rank(self, index):
        self.starts_count += 1
        # One of the ranks ignores fences.
        return RankVotes(f"start-{self.starts_count}", checks_fence=index != 1)

    # Events of coordinators.

    def add_coordinator(self):
        self.last_fence += 1
        co = Coordinator(
            "g",
            tuple(map(str, range(RANKS))),
            self.last_fence,
            send_orders,
            pause,
            lambda: first_map(1, 4, RANKS, 2),
            vote_polls_max=3,
        )
        task = Task(propose_switches(co))
        self.tasks.append((task, co))
        self.resume_task(task, co, None)

    def resume_task(self, task, co, value):
        task.resume(value)
        if isinstance(task.awaited, Batch):
            batch = task.awaited
            self.orders += [
                (task, co, batch, rank, Order(0, "g", kind, co.fence, data))
                for rank, (kind, raw) in batch.orders.items()
                for data in [msgspec.json.encode(raw)]
            ]

    def deliver_answer(self, sender, result):
        task, co, batch, rank = sender
        batch.answers.setdefault(rank, result)
        if task.awaited is batch and len(batch.answers) == len(batch.orders):
            task.awaited = None
            self.resume_task(task, co, batch.answers)

    @precondition(lambda self: sum(task.alive for task, _ in self.tasks) < 3)
    @rule()
    def start_coordinator(self):
        self.add_coordinator()

    @precondition(lambda self: any(t.awaited is PAUSE for t, _ in self.tasks))
    @rule(pick=st.integers(0, 9))
    def end_pause(self, pick):
        paused = [pair for pair in self.tasks if pair[0].awaited is PAUSE]
        task, co = paused[pick % len(paused)]
        self.resume_task(task, co, None)

    # Events of orders between a coordinator and a sidecar.

    def deliverable_orders(self):
        return [order for order in self.orders if self.jobs[int(order[3])] is None]

    def deliver_order(self, order):
        self.orders.remove(order)
        index = int(order[3])
        coro = execute_order(self.sidecars[index], order[4])
        self.jobs[index] = Job(coro, order[:4])
        self.resume_job(index, None)

    def resume_job(self, index, value):
        job = self.jobs[index]
        try:
            job.call = job.coro.send(value)
        except StopIteration as done:
            self.jobs[index] = None
            reply = done.value
            data = msgspec.json.decode(reply.data)
            code = Code(reply.code)
            ok = code is Code.ANSWERED
            self.deliver_answer(job.sender, Ok(data) if ok else Err(code, data["text"]))

    @precondition(lambda self: self.deliverable_orders())
    @rule(pick=st.integers(0, 99))
    def order_arrives(self, pick):
        found = self.deliverable_orders()
        self.deliver_order(found[pick % len(found)])

    @precondition(lambda self: self.orders)
    @rule(pick=st.integers(0, 99), late=st.booleans())
    def order_times_out(self, pick, late):
        order = self.orders[pick % len(self.orders)]
        if not late:
            self.orders.remove(order)
        self.deliver_answer(order[:4], LOST)

    # Events of calls between a sidecar and its rank.

    def handle_call(self, index, call):
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

    def busy_sidecars(self):
        return [index for index in range(RANKS) if self.jobs[index] is not None]

    @precondition(lambda self: self.busy_sidecars())
    @rule(pick=st.integers(0, 9), lost=st.sampled_from([False, False, True]))
    def call_arrives(self, pick, lost):
        index = self.busy_sidecars()[pick % len(self.busy_sidecars())]
        answer = Ok(self.handle_call(index, self.jobs[index].call))
        self.resume_job(index, LOST if lost else answer)

    @precondition(lambda self: self.busy_sidecars())
    @rule(pick=st.integers(0, 9))
    def call_is_late(self, pick):
        index = self.busy_sidecars()[pick % len(self.busy_sidecars())]
        self.late_calls.append((index, self.jobs[index].call))
        self.resume_job(index, LOST)

    @precondition(lambda self: self.late_calls)
    @rule(pick=st.integers(0, 9))
    def late_call_arrives(self, pick):
        self.handle_call(*self.late_calls.pop(pick % len(self.late_calls)))

    # Events of ranks, and restarts.

    @rule(index=st.integers(0, RANKS - 1))
    def weights_arrive(self, index):
        for version in list(self.ranks[index].ballots):
            self.ranks[index].loaded(version)

    @rule(index=st.integers(0, RANKS - 1))
    def begin_step(self, index):
        rank, key = self.ranks[index], self.step_keys[index]
        if key and key[0] == rank.epoch and len(self.maps_by_step[key]) < RANKS:
            return
        step = rank.begin_step()
        if step is not None:
            key = self.step_keys[index] = (rank.epoch, step)
            self.maps_by_step.setdefault(key, {})[index] = rank.map_version

    @rule(index=st.integers(0, RANKS - 1))
    def rank_restarts(self, index):
        self.ranks[index] = self.new_rank(index)
        self.step_keys[index] = None
        if self.jobs[index] is not None:
            self.resume_job(index, LOST)

    @rule(index=st.integers(0, RANKS - 1))
    def sidecar_restarts(self, index):
        self.sidecars[index] = LocalRank(call_rank)
        job, self.jobs[index] = self.jobs[index], None
        if job is not None:
            self.late_calls.append((index, job.call))
            self.deliver_answer(job.sender, LOST)

    # Sequences without faults, so that runs get beyond the first vote.

    @initialize()
    def form_first(self):
        self.add_coordinator()
        for _ in range(200):
            self.process_next(None)
            if all(rank.epoch for rank in self.ranks):
                return
        raise AssertionError("the group was not formed")

    @rule(turns=st.integers(1, 120), left_out=st.sampled_from([None, None, 0, 1, 2]))
    def run_smoothly(self, turns, left_out):
        for _ in range(turns):
            self.process_next(left_out)

    def process_next(self, left_out):
        """Process the next pending event, leaving one rank out if it is given."""
        orders = [o for o in self.deliverable_orders() if o[3] != str(left_out)]
        busy = [index for index in self.busy_sidecars() if index != left_out]
        paused = [pair for pair in self.tasks if pair[0].awaited is PAUSE]
        if busy:
            call = self.jobs[busy[0]].call
            self.resume_job(busy[0], Ok(self.handle_call(busy[0], call)))
        elif orders:
            self.deliver_order(orders[0])
        else:
            for index in range(RANKS):
                if index != left_out:
                    self.weights_arrive(index)
                    self.begin_step(index)
            for task, co in paused[-1:]:
                self.resume_task(task, co, None)

    # Invariants.

    @invariant()
    def one_map_in_each_step(self):
        assert all(len(set(maps.values())) == 1 for maps in self.maps_by_step.values())

    @invariant()
    def votes_and_outcomes_never_change(self):
        for rank in self.ranks:
            for version, ballot in rank.ballots.items():
                if ballot.vote != "loading":
                    key = (rank.instance, version)
                    assert self.seen_votes.setdefault(key, ballot.vote) == ballot.vote
                if ballot.decided is not None and not ballot.form:
                    outcome = self.decisions.setdefault(version, ballot.decided)
                    assert outcome == ballot.decided

    def teardown(self):
        # From any state, one coordinator without faults gets the group running again.
        self.tasks, self.orders, self.late_calls = [], [], []
        self.jobs = [None] * RANKS
        self.add_coordinator()
        for _ in range(600):
            self.process_next(None)
            self.one_map_in_each_step()
        assert len({rank.epoch for rank in self.ranks} - {0}) == 1
        assert any(len(maps) == RANKS for maps in self.maps_by_step.values())


def test_switching_maps_under_faults():
    # Guards against ranks with different maps in one step, changed votes or outcomes,
    # and groups that stay stopped.
    run_state_machine_as_test(
        MapSwitching,
        settings=settings(
            derandomize=True, max_examples=300, stateful_step_count=50, deadline=None
        ),
    )


def test_state_machine_reaches_a_switch_and_a_formation_after_a_restart():
    # Guards against a state machine that finds no fault because it never gets as far
    # as a switch or a formation after a restart.
    machine = MapSwitching()
    machine.teardown()
    assert (
        len({next(iter(maps.values())) for maps in machine.maps_by_step.values()}) > 1
    )
    epoch = machine.ranks[0].epoch
    machine.rank_restarts(2)
    machine.teardown()
    assert machine.ranks[0].epoch > epoch
    assert is_group_formed(machine)


def is_group_formed(machine):
    states = read_states(machine.tasks[0][1])
    batch = states.send(None)
    answers = {rank: Ok(machine.ranks[int(rank)].to_data()) for rank in batch.orders}
    try:
        states.send(answers)
    except StopIteration as done:
        return is_formed(done.value.value)
    return False
