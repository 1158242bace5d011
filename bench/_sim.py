"""Entries, engines and callers on the paused clock, to measure routing policies."""

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

from bench._engine import Engine, EngineModel, Work
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
SAMPLE_S = 0.25
REFUSED = frozenset(
    {Code.QUEUE_FULL, Code.SHED, Code.DEADLINE_UNREACHABLE, Code.DEADLINE_PASSED}
)


@dataclass(frozen=True, slots=True)
class Scenario:
    """One condition; ``load`` is a share of what the healthy groups can serve."""

    load: float = 0.85
    groups: int = 12
    entries: int = 4
    places: int = 3
    duration_s: float = 120.0
    warm_s: float = 30.0
    report_delay_s: float = 0.05
    slow: dict[int, float] = field(default_factory=dict)
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
    # Requests of a team that one entry lets run at a time; no limit when absent.
    team_limits: dict[str, int] = field(default_factory=dict)
    fair: bool = True


@dataclass(slots=True)
class Outcome:
    """What became of one request; times in seconds from its arrival."""

    work: Work
    code: Code = Code.INTERNAL_ERROR
    attempts: int = 0
    first_token_s: float = 0.0
    total_s: float = 0.0
    hit: bool = False
    local: bool = False


Fault = Callable[[Sequence[Engine]], Awaitable[None]]


@dataclass(slots=True)
class Result:
    """The outcomes after the warm-up, and each group's load at each sample."""

    outcomes: list[Outcome]
    loads: list[list[int]]

    def ttft_s(self, quantile: float) -> float:
        """Return a quantile of the time to first token; unanswered ones are infinite.

        Requests that got no answer count, so a policy cannot gain by refusing.
        """
        values = [
            item.first_token_s if item.code is Code.ANSWERED else float("inf")
            for item in self.outcomes
        ]
        return percentile(values, quantile)

    @property
    def answered(self) -> float:
        """Return the share of requests that were answered."""
        done = sum(item.code is Code.ANSWERED for item in self.outcomes)
        return done / len(self.outcomes)

    @property
    def hit_share(self) -> float:
        """Return the share of answered requests that found their prefix cached."""
        done = [item for item in self.outcomes if item.code is Code.ANSWERED]
        return sum(item.hit for item in done) / max(1, len(done))

    @property
    def attempts(self) -> float:
        """Return the mean number of attempts of a request."""
        return sum(item.attempts for item in self.outcomes) / len(self.outcomes)

    @property
    def local_share(self) -> float:
        """Return the share of requests that ran in their entry's place."""
        return sum(item.local for item in self.outcomes) / len(self.outcomes)

    @property
    def load_peak(self) -> float:
        """Return the most loaded group's mean load over the mean of all groups."""
        totals = [sum(group) for group in zip(*self.loads, strict=True)]
        return float(max(totals) * len(totals) / max(1, sum(totals)))


def percentile(values: Sequence[float], quantile: float) -> float:
    """Return the value below which ``quantile`` of all lie; NaN of none."""
    if not values:
        return float("nan")
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(quantile * len(ordered)))]


def make_trace(
    scenario: Scenario, seed: int, teams: dict[str, float] | None = None
) -> list[Work]:
    """Return Poisson arrivals; the same for all policies of a seed.

    ``teams`` are their loads as shares of what the healthy groups serve; each has
    arrivals and prefixes of its own, which do not depend on the other teams.
    """
    works: list[Work] = []
    for index, (team, load) in enumerate((teams or {"team": scenario.load}).items()):
        works += _team_trace(scenario, random.Random(seed * 1_000 + index), team, load)
    works.sort(key=lambda work: work.at_s)
    return [replace(work, number=number) for number, work in enumerate(works)]


def _team_trace(
    scenario: Scenario, rng: random.Random, team: str, load: float
) -> list[Work]:
    rate = load * scenario.groups * scenario.model.capacity(scenario.mean_tokens)
    weights = [1 / (rank + 1) ** scenario.zipf for rank in range(scenario.prefixes)]
    cumulative = list(itertools.accumulate(weights))
    names = [rng.getrandbits(64) | 1 for _ in range(scenario.prefixes)]
    works: list[Work] = []
    at_s = 0.0
    while True:
        at_s += rng.expovariate(rate)
        if at_s >= scenario.duration_s:
            return works
        prefix = rng.choices(names, cum_weights=cumulative)[0]
        works.append(
            Work(
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
    """Return the name of a group's front upstream."""
    return f"group-{number:02d}"


class _Entry:
    """One entry: its own table, budget and policy, and the callers' requests."""

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
        self.teams = TeamLimits()

    async def call(self, outcome: Outcome) -> None:
        """Run one request unless its team is at its limit at this entry."""
        team = outcome.work.team
        maximum = self.scenario.team_limits.get(team, sys.maxsize)
        with self.teams.admit(team, maximum) as held:
            if isinstance(held, Err):
                outcome.code = held.code
                return
            await self._route(outcome)

    async def _route(self, outcome: Outcome) -> None:
        """Route one request, with retries elsewhere while the budget allows."""
        work, begun = outcome.work, trio.current_time()
        req = RouteRequest(
            str(work.number), SERVICE, work.team, self.place, work.prefix
        )
        exclude: frozenset[str] = frozenset()
        self.budget.record_request()
        while outcome.attempts < self.scenario.attempts_max:
            # An attempt that reached no upstream put no load on any.
            free = outcome.code is Code.CONNECT_FAILED
            if outcome.attempts and not free and not self.budget.try_spend():
                return
            decision = choose(self.table, self.cfg, req, exclude, self.policy)
            if isinstance(decision, Err):
                outcome.code = decision.code
                return
            name = decision.value.upstream
            outcome.attempts += 1
            outcome.local = self.table_place(name) == self.place
            outcome.code = await self._attempt(outcome, name, begun)
            if outcome.code is Code.ANSWERED:
                return
            exclude |= {name}

    def table_place(self, name: str) -> str:
        """Return the place of an upstream."""
        return self.cfg.place_of(name)

    async def _attempt(self, outcome: Outcome, name: str, begun: float) -> Code:
        table, started = self.table, trio.current_time()

        def first(hit: bool) -> None:
            now = trio.current_time()
            outcome.first_token_s, outcome.hit = now - begun, hit
            table.record_first_token(name, now - started)

        table.record_start(name)
        weight = self.scenario.weights.get(outcome.work.team, 1.0)
        # Without fairness, all requests count as one team's: first come, first served.
        work = outcome.work if self.scenario.fair else replace(outcome.work, team="")
        served = await self.engines[name].serve(work, weight, first)
        now = trio.current_time()
        if isinstance(served, Ok):
            table.record_finish(name, now - started, True)
            outcome.total_s = now - begun
            return Code.ANSWERED
        refused = served.code in REFUSED
        table.record_finish(name, now - started, None if refused else False)
        if served.code in (Code.CONNECT_FAILED, Code.PEER_LOST):
            table.set_connected(name, False)
        return served.code


async def _sample(engines: Sequence[Engine], loads: list[list[int]]) -> None:
    while True:
        loads.append([engine.load for engine in engines])
        await trio.sleep(SAMPLE_S)


async def _main(
    scenario: Scenario,
    policy: Callable[[], Policy],
    seed: int,
    works: Sequence[Work],
    fault: Fault | None,
    setup: Callable[[Sequence[Engine]], None] | None,
) -> Result:
    cfg = make_config(scenario)
    engines = {
        group_name(n): Engine(group_name(n), scenario.model, scenario.slow.get(n, 1.0))
        for n in range(scenario.groups)
    }
    if setup is not None:
        setup(tuple(engines.values()))
    entries = [
        _Entry(n, scenario, cfg, engines, policy(), seed)
        for n in range(scenario.entries)
    ]

    def deliver(report: LoadReport) -> None:
        for entry in entries:
            entry.table.apply_report(report)

    outcomes = [Outcome(work) for work in works]
    loads: list[list[int]] = []
    async with trio.open_nursery() as background:
        for engine in engines.values():
            delay_s = partial(float, scenario.report_delay_s)
            background.start_soon(engine.report, deliver, delay_s)
        background.start_soon(_sample, tuple(engines.values()), loads)
        if fault is not None:
            background.start_soon(fault, tuple(engines.values()))
        async with trio.open_nursery() as callers:
            start = trio.current_time()
            for outcome in outcomes:
                await trio.sleep_until(start + outcome.work.at_s)
                callers.start_soon(entries[outcome.work.entry].call, outcome)
        background.cancel_scope.cancel()
    first = int(scenario.warm_s / SAMPLE_S)
    last = int(scenario.duration_s / SAMPLE_S)
    kept = [item for item in outcomes if item.work.at_s >= scenario.warm_s]
    return Result(kept, loads[first:last])


def simulate(
    scenario: Scenario,
    policy: str | Callable[[], Policy],
    seed: int,
    works: Sequence[Work] | None = None,
    fault: Fault | None = None,
    setup: Callable[[Sequence[Engine]], None] | None = None,
) -> Result:
    """Run a scenario under a policy, or a named one, on a clock of its own."""
    make = policy
    if isinstance(make, str):
        make = BASELINES.get(make, lambda: default_policy)
    # Trio shuffles tasks that are due together; a fixed order makes runs repeatable.
    _run._hypothesis_plugin_setup()
    _run._r.seed(seed)
    return trio.run(
        _main,
        scenario,
        make,
        seed,
        works if works is not None else make_trace(scenario, seed),
        fault,
        setup,
        clock=trio.testing.MockClock(autojump_threshold=0),
    )
