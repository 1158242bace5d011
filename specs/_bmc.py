"""Bounded model checking and k-induction with z3, for the specifications here.

A specification is a ``Model``: variables with their sorts, an initial condition, named
actions (relations between a state and the next) and an invariant. ``check`` searches
all paths up to a bound and returns the shortest counterexample; ``prove`` proves the
invariant for paths of any length if it is k-inductive.

Boolean and bit-vector sorts with ``logic="QF_BV"`` are decided much faster than
integers. An action must constrain every variable of the next state: ``unchanged``
lists the variables that keep their values, ``unchanged_except`` those that may change.
"""

from __future__ import annotations

import time
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any, TypeAlias

import z3

# A symbolic state: maps the name of each variable to its z3 constant.
State: TypeAlias = Mapping[str, Any]
Formula: TypeAlias = Any
Action: TypeAlias = Callable[[State, State], Formula]


@dataclass(frozen=True, slots=True)
class Model:
    """A transition system and the invariant that all its reachable states must meet."""

    name: str
    variables: Mapping[str, Any]
    initial: Callable[[State], Formula]
    actions: Mapping[str, Action]
    invariant: Callable[[State], Formula]
    logic: str = ""


@dataclass(frozen=True, slots=True)
class Step:
    """A state of a trace, and the action that led to it."""

    action: str
    values: Mapping[str, str]


@dataclass(frozen=True, slots=True)
class Report:
    """Result of a check; ``trace`` is None if the invariant held.

    ``depth`` is the number of steps checked, ``proved`` is true if the result holds for
    paths of any length, and ``seconds`` is the run time.
    """

    name: str
    depth: int
    proved: bool
    seconds: float
    trace: tuple[Step, ...] | None = None

    def describe(self) -> str:
        """Return the result as text, with the changes of each step of a trace."""
        if self.trace is None:
            kind = "proved by induction" if self.proved else "holds"
            return f"{self.name}: {kind}, depth {self.depth}, {self.seconds:.1f} s"
        lines = [f"{self.name}: violated after {self.depth} steps"]
        previous: Mapping[str, str] = {}
        for step in self.trace:
            changes = [
                f"{name}={value}"
                for name, value in step.values.items()
                if previous.get(name) != value
            ]
            lines.append(f"  {step.action}: {' '.join(changes)}")
            previous = step.values
        return "\n".join(lines)


def unchanged(now: State, after: State, *names: str) -> Formula:
    """Return the formula that the named variables keep their values."""
    return z3.And([after[name] == now[name] for name in names])


def unchanged_except(now: State, after: State, *names: str) -> Formula:
    """Return the formula that all variables but the named ones keep their values."""
    return unchanged(now, after, *(name for name in now if name not in names))


def check(model: Model, bound: int) -> Report:
    """Search all paths of at most ``bound`` steps for a violated invariant."""
    started = time.monotonic()
    solver = _make_solver(model)
    states = [_make_state(model, 0)]
    solver.add(model.initial(states[0]))
    for depth in range(bound + 1):
        solver.push()
        solver.add(z3.Not(model.invariant(states[depth])))
        if _is_sat(solver):
            trace = _read_trace(model, states, solver.model())
            seconds = time.monotonic() - started
            return Report(model.name, depth, False, seconds, trace)
        solver.pop()
        # The invariant of the states already checked speeds up the deeper checks.
        solver.add(model.invariant(states[depth]))
        states.append(_make_state(model, depth + 1))
        solver.add(_transition(model, depth, states[depth], states[depth + 1]))
    return Report(model.name, bound, False, time.monotonic() - started)


def reaches(model: Model, goal: Callable[[State], Formula], bound: int) -> Report:
    """Search for a path to ``goal``, to show that a model is not vacuously safe.

    The report has the path as its ``trace``, or None if there is none.
    """
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
    """Prove the invariant for paths of any length by k-induction.

    If the proof fails, the report has a trace. Unless it comes from the base case, it
    may begin in an unreachable state: then the invariant must be stronger, or ``k``
    larger.
    """
    started = time.monotonic()
    base_case = check(model, k - 1)
    if base_case.trace is not None:
        return base_case
    solver = _make_solver(model)
    states = [_make_state(model, depth) for depth in range(k + 1)]
    for depth in range(k):
        solver.add(model.invariant(states[depth]))
        solver.add(_transition(model, depth, states[depth], states[depth + 1]))
    solver.add(z3.Not(model.invariant(states[k])))
    trace = _read_trace(model, states, solver.model()) if _is_sat(solver) else None
    return Report(model.name, k, trace is None, time.monotonic() - started, trace)


def _make_solver(model: Model) -> Any:
    return z3.SolverFor(model.logic) if model.logic else z3.Solver()


def _is_sat(solver: Any) -> bool:
    result = solver.check()
    if result == z3.unknown:
        raise RuntimeError(
            f"z3 could not decide the formula: {solver.reason_unknown()}"
        )
    return bool(result == z3.sat)


def _make_state(model: Model, depth: int) -> State:
    return {
        name: z3.Const(f"{name}@{depth}", sort)
        for name, sort in model.variables.items()
    }


def _action_variable(depth: int) -> Any:
    return z3.BitVec(f"action@{depth}", 8)


def _transition(model: Model, depth: int, now: State, after: State) -> Formula:
    return z3.Or(
        [
            z3.And(_action_variable(depth) == number, action(now, after))
            for number, action in enumerate(model.actions.values())
        ]
    )


def _read_trace(model: Model, states: list[State], solution: Any) -> tuple[Step, ...]:
    names = list(model.actions)
    steps = []
    for depth, state in enumerate(states):
        values = {
            name: str(solution.eval(constant, model_completion=True))
            for name, constant in state.items()
        }
        action = "initial"
        if depth:
            number = solution.eval(
                _action_variable(depth - 1), model_completion=True
            ).as_long()
            action = names[number]
        steps.append(Step(action, values))
    return tuple(steps)
