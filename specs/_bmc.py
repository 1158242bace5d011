"""Bounded model checking and k-induction with z3, for the specifications here.

A specification is a ``Model``: variables with their sorts, an initial condition, named
actions (relations between a state and the next) and an invariant. ``check`` looks at
every path up to a bound and returns the shortest counterexample; ``prove`` shows the
invariant for paths of any length when it is k-inductive.

Boolean and bit-vector sorts with ``logic="QF_BV"`` are decided much faster than
integers. An action must constrain every variable of the next state; ``same`` states
which ones keep their values, and ``only`` which ones may change.
"""

from __future__ import annotations

import time
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any, TypeAlias

import z3

# One state: the z3 constant of each variable, by the variable's name.
State: TypeAlias = Mapping[str, Any]
Formula: TypeAlias = Any
Action: TypeAlias = Callable[[State, State], Formula]


@dataclass(frozen=True, slots=True)
class Model:
    """A transition system and the property that shall hold in all its states."""

    name: str
    variables: Mapping[str, Any]
    initial: Callable[[State], Formula]
    actions: Mapping[str, Action]
    invariant: Callable[[State], Formula]
    logic: str = ""


@dataclass(frozen=True, slots=True)
class Step:
    """A state of a counterexample, and the action that led to it."""

    action: str
    values: Mapping[str, str]


@dataclass(frozen=True, slots=True)
class Report:
    """What a check found: ``trace`` is None when the invariant held.

    ``depth`` is the number of steps looked at, ``proved`` says that the result holds
    beyond them, and ``seconds`` is the time that it took.
    """

    name: str
    depth: int
    proved: bool
    seconds: float
    trace: tuple[Step, ...] | None = None

    def describe(self) -> str:
        """Return the result, with each step's changes when there is a trace."""
        if self.trace is None:
            kind = "proved by induction" if self.proved else "holds"
            return f"{self.name}: {kind}, depth {self.depth}, {self.seconds:.1f} s"
        lines = [f"{self.name}: violated after {self.depth} steps"]
        before: Mapping[str, str] = {}
        for step in self.trace:
            changes = [
                f"{name}={value}"
                for name, value in step.values.items()
                if before.get(name) != value
            ]
            lines.append(f"  {step.action}: {' '.join(changes)}")
            before = step.values
        return "\n".join(lines)


def same(now: State, after: State, *names: str) -> Formula:
    """Return that these variables keep their values."""
    return z3.And([after[name] == now[name] for name in names])


def only(now: State, after: State, *names: str) -> Formula:
    """Return that all variables except these keep their values."""
    return same(now, after, *(name for name in now if name not in names))


def check(model: Model, bound: int) -> Report:
    """Look for a violation in all paths of at most ``bound`` steps."""
    started = time.monotonic()
    solver = _solver(model)
    states = [_state(model, 0)]
    solver.add(model.initial(states[0]))
    for depth in range(bound + 1):
        solver.push()
        solver.add(z3.Not(model.invariant(states[depth])))
        if _is_sat(solver):
            trace = _trace(model, states, solver.model())
            seconds = time.monotonic() - started
            return Report(model.name, depth, False, seconds, trace)
        solver.pop()
        # The states that were shown safe help the solver with the deeper ones.
        solver.add(model.invariant(states[depth]))
        states.append(_state(model, depth + 1))
        solver.add(_next(model, depth, states[depth], states[depth + 1]))
    return Report(model.name, bound, False, time.monotonic() - started)


def reaches(model: Model, goal: Callable[[State], Formula], bound: int) -> Report:
    """Look for a path to ``goal``, to show that a model is not vacuously safe."""
    target = Model(
        f"{model.name}, goal",
        model.variables,
        model.initial,
        model.actions,
        lambda state: z3.Not(goal(state)),
        model.logic,
    )
    return check(target, bound)


def prove(model: Model, k: int = 1) -> Report:
    """Show the invariant for all paths by k-induction, or return why not.

    A trace that it returns begins in a state that may be unreachable: then the
    invariant needs to be stronger, or ``k`` larger.
    """
    started = time.monotonic()
    base = check(model, k - 1)
    if base.trace is not None:
        return base
    solver = _solver(model)
    states = [_state(model, depth) for depth in range(k + 1)]
    for depth in range(k):
        solver.add(model.invariant(states[depth]))
        solver.add(_next(model, depth, states[depth], states[depth + 1]))
    solver.add(z3.Not(model.invariant(states[k])))
    trace = _trace(model, states, solver.model()) if _is_sat(solver) else None
    return Report(model.name, k, trace is None, time.monotonic() - started, trace)


def _solver(model: Model) -> Any:
    return z3.SolverFor(model.logic) if model.logic else z3.Solver()


def _is_sat(solver: Any) -> bool:
    result = solver.check()
    if result == z3.unknown:
        raise RuntimeError(f"z3 gave up: {solver.reason_unknown()}")
    return bool(result == z3.sat)


def _state(model: Model, depth: int) -> State:
    return {
        name: z3.Const(f"{name}@{depth}", sort)
        for name, sort in model.variables.items()
    }


def _choice(depth: int) -> Any:
    return z3.BitVec(f"action@{depth}", 8)


def _next(model: Model, depth: int, now: State, after: State) -> Formula:
    return z3.Or(
        [
            z3.And(_choice(depth) == number, action(now, after))
            for number, action in enumerate(model.actions.values())
        ]
    )


def _trace(model: Model, states: list[State], found: Any) -> tuple[Step, ...]:
    names = list(model.actions)
    steps = []
    for depth, state in enumerate(states):
        values = {
            name: str(found.eval(constant, model_completion=True))
            for name, constant in state.items()
        }
        action = "initial"
        if depth:
            number = found.eval(_choice(depth - 1), model_completion=True).as_long()
            action = names[number]
        steps.append(Step(action, values))
    return tuple(steps)
