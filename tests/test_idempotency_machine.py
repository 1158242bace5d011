"""At-most-once execution under random faults, as a hypothesis state machine.

Trio runs in guest mode with a mock clock, so that each rule acts on running owners.
"""

import itertools
import queue

import trio
import trio.testing
from hypothesis import HealthCheck, Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
    run_state_machine_as_test,
)
from tests.fake_kv import FakeKv
from tests.test_idempotency import RETENTION_S, make_key, make_request, now_ms

from mustardfront.codes import Code, Outcome
from mustardfront.coordination.idempotency import Execution, PartitionOwner, unknown
from mustardfront_standins.kv import Store

KEYS = [make_key(number) for number in range(2)]
UPSTREAMS = ("a", "b")


class GuestTrio:
    """A trio run in guest mode, which a test advances step by step."""

    def __init__(self) -> None:
        self.clock = trio.testing.MockClock()
        self._queue: queue.Queue = queue.Queue()
        self._is_finished = False
        self._is_ready = False
        trio.lowlevel.start_guest_run(
            self._main,
            run_sync_soon_threadsafe=self._queue.put,
            done_callback=self._set_finished,
            clock=self.clock,
        )
        self._run_callbacks_until(lambda: self._is_ready)

    async def _main(self) -> None:
        async with trio.open_nursery() as self.nursery:
            self.token = trio.lowlevel.current_trio_token()
            self._is_ready = True
            await trio.sleep_forever()

    def _set_finished(self, outcome) -> None:
        self._is_finished = True

    def _run_callbacks_until(self, condition) -> None:
        while not condition():
            self._queue.get(timeout=30)()

    def spawn(self, function, *args) -> None:
        self.token.run_sync_soon(self.nursery.start_soon, function, *args)

    def run_until_blocked(self) -> float:
        """Run until all tasks are blocked; return the seconds to the next deadline."""
        remaining_s = None

        async def wait() -> None:
            nonlocal remaining_s
            await trio.testing.wait_all_tasks_blocked()
            remaining_s = trio.lowlevel.current_statistics().seconds_to_next_deadline

        self.spawn(wait)
        self._run_callbacks_until(lambda: remaining_s is not None)
        return remaining_s

    def advance(self, seconds: float) -> None:
        """Advance the mock clock, stopping at each deadline."""
        while seconds > 0:
            step_s = min(max(self.run_until_blocked(), 0.0001), seconds)
            self.clock.jump(step_s)
            seconds -= step_s
        self.run_until_blocked()

    def close(self) -> None:
        self.token.run_sync_soon(self.nursery.cancel_scope.cancel)
        self._run_callbacks_until(lambda: self._is_finished)


class Attempts(RuleBasedStateMachine):
    """Callers, two sidecars and faults; the invariants check the guarantees."""

    @initialize()
    def start(self) -> None:
        self.guest = GuestTrio()
        self.owners: list = []
        self.numbers = itertools.count(1)
        self.runs: dict[str, list[int]] = {key: [] for key in KEYS}
        self.executed: set[int] = set()
        self.results: dict[int, tuple[str, Execution]] = {}
        self.not_run_by_upstream: set[int] = set()
        self.store = Store()
        for name in UPSTREAMS:
            self.start_owner(name)
        self.guest.advance(8)

    def start_owner(self, name: str) -> None:
        kv = FakeKv(self.store)
        instance = f"{name}-{next(self.numbers)}"
        owner = PartitionOwner(
            "ledger",
            name,
            instance,
            kv,
            retention_s=lambda: RETENTION_S,
            now_ms=now_ms,
        )

        async def serve() -> None:
            async with trio.open_nursery() as nursery:
                self.owners.append((name, owner, kv, nursery))
                await owner.serve()

        self.guest.spawn(serve)
        self.guest.run_until_blocked()

    @rule(
        key=st.sampled_from(KEYS),
        pick=st.integers(0, 9),
        outcome=st.sampled_from([Outcome.ANSWERED] * 3 + [Outcome.NOT_RUN, "fail"]),
        took_s=st.sampled_from([0.0, 0.01, 3.0]),
        deadline_ms=st.sampled_from([20, 30_000, 30_000]),
    )
    def call_one(self, key, pick, outcome, took_s, deadline_ms) -> None:
        self.call(key, pick, outcome, took_s, deadline_ms)

    def call(self, key, pick, outcome, took_s, deadline_ms) -> None:
        _, owner, _, process = self.owners[pick % len(self.owners)]
        attempt = next(self.numbers)

        async def execute() -> Execution:
            self.executed.add(attempt)
            self.runs[key].append(attempt)
            await trio.sleep(took_s)
            if outcome == "fail":
                return unknown(Code.UPSTREAM_CRASHED, "cut")
            if outcome is Outcome.NOT_RUN:
                self.runs[key].remove(attempt)
                self.not_run_by_upstream.add(attempt)
                return Execution(Outcome.NOT_RUN, Code.UPSTREAM_DOWN)
            body = str(attempt).encode()
            return Execution(Outcome.ANSWERED, Code.ANSWERED, body=body)

        async def run() -> None:
            result = await owner.run(
                make_request(key, deadline_ms=deadline_ms), execute
            )
            self.results[attempt] = (key, result)

        # Requests to a killed process get no result.
        if not process.cancel_scope.cancel_called:
            self.guest.token.run_sync_soon(process.start_soon, run)
        self.guest.run_until_blocked()

    @rule(key=st.sampled_from(KEYS))
    def call_everywhere(self, key) -> None:
        for pick in range(len(self.owners)):
            self.call(key, pick, Outcome.ANSWERED, 0.01, 30_000)

    @rule(pick=st.integers(0, 9), fault=st.sampled_from(["lose", "late", "down"]))
    def break_service(self, pick, fault) -> None:
        kv = self.owners[pick % len(self.owners)][2]
        if fault == "down":
            kv.down = not kv.down
        else:
            setattr(kv, fault, 1)

    @rule()
    def deliver_late_writes(self) -> None:
        for _, _, kv, _ in self.owners:
            self.guest.token.run_sync_soon(kv.deliver)
        self.guest.run_until_blocked()

    @rule(pick=st.integers(0, 9), resume=st.booleans())
    def pause(self, pick, resume) -> None:
        kv = self.owners[pick % len(self.owners)][2]
        kv.resume() if resume else kv.hold()

    @rule(pick=st.integers(0, 9), kill=st.booleans())
    def replace(self, pick, kill) -> None:
        """Start a new instance; kill the old one, or keep it as a duplicate."""
        name, _, _, process = self.owners[pick % len(self.owners)]
        if kill:
            self.guest.token.run_sync_soon(process.cancel_scope.cancel)
            self.guest.run_until_blocked()
        if len(self.owners) < 6:
            self.start_owner(name)
        self.guest.run_until_blocked()

    @rule(pick=st.integers(0, 9))
    def drain(self, pick) -> None:
        _, owner, _, process = self.owners[pick % len(self.owners)]
        if not process.cancel_scope.cancel_called:
            self.guest.token.run_sync_soon(process.start_soon, owner.drain, 10)
            self.guest.run_until_blocked()

    @rule(seconds=st.sampled_from([0.004, 0.01, 0.03, 0.6, 4.0, 16.0]))
    def wait(self, seconds) -> None:
        self.guest.advance(seconds)

    @invariant()
    def no_key_runs_twice(self) -> None:
        for key, attempts in getattr(self, "runs", {}).items():
            assert len(attempts) <= 1, (key, attempts)

    @invariant()
    def not_run_is_true(self) -> None:
        for attempt, (_, result) in getattr(self, "results", {}).items():
            if result.outcome is Outcome.NOT_RUN:
                ran = self.executed - self.not_run_by_upstream
                assert attempt not in ran, (attempt, result)

    @invariant()
    def answers_are_the_key_s_own(self) -> None:
        for key, result in getattr(self, "results", {}).values():
            if result.outcome is Outcome.ANSWERED:
                assert int(result.body) in self.runs[key]

    def teardown(self) -> None:
        if hasattr(self, "guest"):
            self.guest.close()


PROFILE = settings(
    max_examples=40,
    stateful_step_count=30,
    deadline=None,
    derandomize=True,
    suppress_health_check=list(HealthCheck),
)


def test_random_faults_keep_the_guarantees():
    # Guards against a combination of faults that breaks a guarantee.
    run_state_machine_as_test(Attempts, settings=PROFILE)


def test_state_machine_finds_a_missing_fence(monkeypatch):
    # Guards against a state machine that cannot fail. Without the comparisons, a paused
    # owner's claim is accepted after another owner has acquired the partition.
    async def txn(self, compare, puts, deletes=(), lease=0):
        return await original(self, {}, puts, deletes, lease)

    original = FakeKv.txn
    monkeypatch.setattr(FakeKv, "txn", txn)
    try:
        search_settings = settings(PROFILE, max_examples=200, phases=[Phase.generate])
        run_state_machine_as_test(Attempts, settings=search_settings)
    except AssertionError:
        return
    raise AssertionError("the missing fence was not found")
