"""Simulation of entries, engines and callers on trio's mock clock.

It compares routing policies.
"""

from __future__ import annotations

import itertools
import random
import sys
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass, field, replace
from functools import partial

import trio
import trio.testing
from trio._core import _run

from bench._engine import Engine, EngineModel, TracedRequest
from mustardfront.codes import Code
from mustardfront.coordination.limits import RetryBudget, TeamLimits
from mustardfront.coordination.routing import (
    BASELINES,
    Policy,
    RouteRequest,
    RoutingKnobs,
    UpstreamTable,
    choose,
    default_policy,
)
from mustardfront.protocol import LoadReport
from mustardfront.results import Err, Ok
from mustardfront.state import Config, Group, Host, Limits, Place, Service, Upstream

SERVICE = "model"
SAMPLE_INTERVAL_S = 0.25
REFUSAL_CODES = frozenset(
    {Code.QUEUE_FULL, Code.SHED, Code.DEADLINE_UNREACHABLE, Code.DEADLINE_PASSED}
)


@dataclass(frozen=True, slots=True)
class Scenario:
    """Parameters of a simulation; ``load`` is a share of what healthy groups can serve.

    ``slowdowns`` holds the factor by which the groups with these indexes are slower.
    """

    load: float = 0.85
    groups: int = 12
    entries: int = 4
    places: int = 3
    duration_s: float = 120.0
    warm_up_s: float = 30.0
    report_delay_s: float = 0.05
    slowdowns: dict[int, float] = field(default_factory=dict)
    prefixes: int = 400
    prefix_share: float = 1.0
    zipf: float = 0.9
    mean_tokens: int = 100
    model: EngineModel = field(default_factory=EngineModel)
    knobs: RoutingKnobs = field(default_factory=RoutingKnobs)
    weights: dict[str, float] = field(default_factory=dict)
    attempts_max: int = 4
    retry_ratio: float = 0.1
    deadline_s: float = 60.0
    # Most requests in flight of a team at one entry; absent teams have no limit.
    team_limits: dict[str, int] = field(default_factory=dict)
    fair_queue: bool = True


@dataclass(slots=True)
class Outcome:
    """The outcome of one request; times are in seconds from its arrival."""

    request: TracedRequest
    code: Code = Code.INTERNAL_ERROR
    attempts: int = 0
    first_token_s: float = 0.0
    total_s: float = 0.0
    prefix_hit: bool = False
    in_same_place: bool = False


Fault = Callable[[Sequence[Engine]], Awaitable[None]]


@dataclass(slots=True)
class SimulationResult:
    """The outcomes after the warm-up, and the loads of all groups at each sample."""

    outcomes: list[Outcome]
    loads: list[list[int]]

    def ttft_s(self, quantile: float) -> float:
        """Return a quantile of the time to first token.

        Unanswered requests count as infinite, so that refusing does not improve it.
        """
        values = [
            item.first_token_s if item.code is Code.ANSWERED else float("inf")
            for item in self.outcomes
        ]
        return percentile(values, quantile)

    @property
    def answered_share(self) -> float:
        """Return the share of requests that were answered."""
        done = sum(item.code is Code.ANSWERED for item in self.outcomes)
        return done / len(self.outcomes)

    @property
    def hit_share(self) -> float:
        """Return the share of answered requests that found their prefix cached."""
        done = [item for item in self.outcomes if item.code is Code.ANSWERED]
        return sum(item.prefix_hit for item in done) / max(1, len(done))

    @property
    def attempts(self) -> float:
        """Return the mean number of attempts of a request."""
        return sum(item.attempts for item in self.outcomes) / len(self.outcomes)

    @property
    def same_place_share(self) -> float:
        """Return the share of requests that ran in their entry's place."""
        return sum(item.in_same_place for item in self.outcomes) / len(self.outcomes)

    @property
    def peak_to_mean_load(self) -> float:
        """Return the highest mean load of a group divided by the mean of all groups."""
        totals = [sum(group) for group in zip(*self.loads, strict=True)]
        return float(max(totals) * len(totals) / max(1, sum(totals)))


def percentile(values: Sequence[float], quantile: float) -> float:
    """Return a quantile of the values; NaN if there are none."""
    if not values:
        return float("nan")
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(quantile * len(ordered)))]


def make_trace(
    scenario: Scenario, seed: int, teams: dict[str, float] | None = None
) -> list[TracedRequest]:
    """Return a trace of Poisson arrivals; a seed gives all policies the same trace.

    ``teams`` maps each team to its load as a share of what the healthy groups serve.
    A team's arrivals and prefixes do not depend on the other teams.
    """
    trace: list[TracedRequest] = []
    for index, (team, load) in enumerate((teams or {"team": scenario.load}).items()):
        trace += _team_trace(scenario, random.Random(seed * 1_000 + index), team, load)
    trace.sort(key=lambda request: request.at_s)
    return [replace(request, number=number) for number, request in enumerate(trace)]


def _team_trace(
    scenario: Scenario, rng: random.Random, team: str, load: float
) -> list[TracedRequest]:
    rate = load * scenario.groups * scenario.model.capacity(scenario.mean_tokens)
    weights = [1 / (rank + 1) ** scenario.zipf for rank in range(scenario.prefixes)]
    cumulative = list(itertools.accumulate(weights))
    names = [rng.getrandbits(64) | 1 for _ in range(scenario.prefixes)]
    trace: list[TracedRequest] = []
    at_s = 0.0
    while True:
        at_s += rng.expovariate(rate)
        if at_s >= scenario.duration_s:
            return trace
        prefix = rng.choices(names, cum_weights=cumulative)[0]
        trace.append(
            TracedRequest(
                number=0,
                at_s=at_s,
                entry=rng.randrange(scenario.entries),
                team=team,
                prefix=prefix if rng.random() < scenario.prefix_share else 0,
                tokens=max(10, round(rng.gammavariate(4, scenario.mean_tokens / 4))),
                deadline_s=at_s + scenario.deadline_s,
            )
        )


def make_config(scenario: Scenario) -> Config:
    """Return a configuration with the scenario's groups spread over its places."""
    places = {f"place-{n}": Place("region") for n in range(scenario.places)}
    hosts = {f"host-{n}": Host(f"place-{n}") for n in range(scenario.places)}
    names = [group_name(n) for n in range(scenario.groups)]
    upstreams = {
        name: Upstream(SERVICE, f"host-{n % scenario.places}", f"127.0.0.1:{n + 1}")
        for n, name in enumerate(names)
    }
    return Config(
        version=1,
        places=places,
        hosts=hosts,
        services={SERVICE: Service("model")},
        upstreams=upstreams,
        groups={name: Group(SERVICE, (name,)) for name in names},
        limits={SERVICE: Limits(max_in_flight=scenario.model.slots)},
    )


def group_name(number: int) -> str:
    """Return the name of a group, which is also that of its front upstream."""
    return f"group-{number:02d}"


class _SimulatedEntry:
    """One entry with its own upstream table, retry budget, policy and team limits."""

    def __init__(
        self,
        number: int,
        scenario: Scenario,
        cfg: Config,
        engines: dict[str, Engine],
        policy: Policy,
        seed: int,
    ) -> None:
        self.place = f"place-{number % scenario.places}"
        self.scenario = scenario
        self.cfg = cfg
        self.engines = engines
        self.policy = policy
        rng = random.Random(seed * 1_000 + number)
        self.table = UpstreamTable(trio.current_time, scenario.knobs, rng)
        self.table.update_config(cfg)
        self.budget = RetryBudget(scenario.retry_ratio, 3)
        self.team_limiter = TeamLimits()

    async def handle(self, outcome: Outcome) -> None:
        """Run one request, or refuse it if its team is at its limit at this entry."""
        team = outcome.request.team
        maximum = self.scenario.team_limits.get(team, sys.maxsize)
        with self.team_limiter.admit(team, maximum) as permit:
            if isinstance(permit, Err):
                outcome.code = permit.code
                return
            await self._route(outcome)

    async def _route(self, outcome: Outcome) -> None:
        """Route one request; retry on other upstreams while the budget allows it."""
        request, arrived_s = outcome.request, trio.current_time()
        route_request = RouteRequest(
            str(request.number), SERVICE, request.team, self.place, request.prefix
        )
        exclude: frozenset[str] = frozenset()
        self.budget.record_request()
        while outcome.attempts < self.scenario.attempts_max:
            # A failed connection put no load on an upstream; its retry uses no budget.
            unreached = outcome.code is Code.CONNECT_FAILED
            if outcome.attempts and not unreached and not self.budget.try_spend():
                return
            decision = choose(self.table, self.cfg, route_request, exclude, self.policy)
            if isinstance(decision, Err):
                outcome.code = decision.code
                return
            name = decision.value.upstream
            outcome.attempts += 1
            outcome.in_same_place = self.place_of_upstream(name) == self.place
            outcome.code = await self._attempt(outcome, name, arrived_s)
            if outcome.code is Code.ANSWERED:
                return
            exclude |= {name}

    def place_of_upstream(self, name: str) -> str:
        """Return the place of an upstream."""
        return self.cfg.place_of(name)

    async def _attempt(self, outcome: Outcome, name: str, arrived_s: float) -> Code:
        table, started = self.table, trio.current_time()

        def on_first_token(prefix_hit: bool) -> None:
            now = trio.current_time()
            outcome.first_token_s, outcome.prefix_hit = now - arrived_s, prefix_hit
            table.record_first_token(name, now - started)

        table.record_start(name)
        weight = self.scenario.weights.get(outcome.request.team, 1.0)
        # Without the fair queue, all requests belong to one team and are served in
        # order of arrival.
        request = (
            outcome.request
            if self.scenario.fair_queue
            else replace(outcome.request, team="")
        )
        served = await self.engines[name].serve(request, weight, on_first_token)
        now = trio.current_time()
        if isinstance(served, Ok):
            table.record_finish(name, now - started, True)
            outcome.total_s = now - arrived_s
            return Code.ANSWERED
        refused = served.code in REFUSAL_CODES
        table.record_finish(name, now - started, None if refused else False)
        if served.code in (Code.CONNECT_FAILED, Code.PEER_LOST):
            table.set_connected(name, False)
        return served.code


async def _sample_loads(engines: Sequence[Engine], loads: list[list[int]]) -> None:
    while True:
        loads.append([engine.load for engine in engines])
        await trio.sleep(SAMPLE_INTERVAL_S)


async def _simulate(
    scenario: Scenario,
    policy: Callable[[], Policy],
    seed: int,
    trace: Sequence[TracedRequest],
    fault: Fault | None,
    setup: Callable[[Sequence[Engine]], None] | None,
) -> SimulationResult:
    cfg = make_config(scenario)
    engines = {
        group_name(n): Engine(
            group_name(n), scenario.model, scenario.slowdowns.get(n, 1.0)
        )
        for n in range(scenario.groups)
    }
    if setup is not None:
        setup(tuple(engines.values()))
    entries = [
        _SimulatedEntry(n, scenario, cfg, engines, policy(), seed)
        for n in range(scenario.entries)
    ]

    def deliver(report: LoadReport) -> None:
        for entry in entries:
            entry.table.apply_report(report)

    outcomes = [Outcome(request) for request in trace]
    loads: list[list[int]] = []
    async with trio.open_nursery() as background:
        for engine in engines.values():
            delay_s = partial(float, scenario.report_delay_s)
            background.start_soon(engine.send_reports, deliver, delay_s)
        background.start_soon(_sample_loads, tuple(engines.values()), loads)
        if fault is not None:
            background.start_soon(fault, tuple(engines.values()))
        async with trio.open_nursery() as callers:
            start = trio.current_time()
            for outcome in outcomes:
                await trio.sleep_until(start + outcome.request.at_s)
                callers.start_soon(entries[outcome.request.entry].handle, outcome)
        background.cancel_scope.cancel()
    first_sample = int(scenario.warm_up_s / SAMPLE_INTERVAL_S)
    last_sample = int(scenario.duration_s / SAMPLE_INTERVAL_S)
    measured = [item for item in outcomes if item.request.at_s >= scenario.warm_up_s]
    return SimulationResult(measured, loads[first_sample:last_sample])


def simulate(
    scenario: Scenario,
    policy: str | Callable[[], Policy],
    seed: int,
    trace: Sequence[TracedRequest] | None = None,
    fault: Fault | None = None,
    setup: Callable[[Sequence[Engine]], None] | None = None,
) -> SimulationResult:
    """Run a scenario on its own mock clock.

    ``policy`` makes a policy for each entry, or is the name of a baseline.
    """
    make_policy = policy
    if isinstance(make_policy, str):
        make_policy = BASELINES.get(make_policy, lambda: default_policy)
    # Trio shuffles the tasks that are due at one time; with a seeded order, runs are
    # repeatable.
    _run._hypothesis_plugin_setup()
    _run._r.seed(seed)
    return trio.run(
        _simulate,
        scenario,
        make_policy,
        seed,
        trace if trace is not None else make_trace(scenario, seed),
        fault,
        setup,
        clock=trio.testing.MockClock(autojump_threshold=0),
    )
