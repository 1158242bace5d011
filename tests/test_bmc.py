"""Tests of the bounded model checker on systems whose results are known."""

import pytest
import z3
from specs._bmc import Model, check, prove, reaches, unchanged_except


def counter(limit: int, guard: bool) -> Model:
    """Return a counter that steps by 2; with ``guard`` it stops below ``limit``."""
    return Model(
        name="counter",
        variables={"n": z3.BitVecSort(8), "flag": z3.BoolSort()},
        initial=lambda s: z3.And(s["n"] == 0, z3.Not(s["flag"])),
        actions={
            "add": lambda s, t: z3.And(
                z3.Or(z3.ULT(s["n"], limit - 2), not guard),
                t["n"] == s["n"] + 2,
                unchanged_except(s, t, "n"),
            ),
            "flip": lambda s, t: z3.And(
                t["flag"] == z3.Not(s["flag"]), unchanged_except(s, t, "flag")
            ),
        },
        invariant=lambda s: z3.ULT(s["n"], limit),
        logic="QF_BV",
    )


def test_shortest_counterexample_is_returned():
    report = check(counter(10, guard=False), bound=8)
    assert report.trace is not None and report.depth == 5
    assert [step.action for step in report.trace] == ["initial"] + ["add"] * 5
    assert report.trace[-1].values["n"] == "10"
    assert "violated after 5 steps" in report.describe()


@pytest.mark.parametrize("bound", [0, 4])
def test_violation_beyond_the_bound_is_not_reported(bound):
    report = check(counter(10, guard=False), bound)
    assert report.trace is None and not report.proved


def test_safe_system_is_proved_and_not_vacuous():
    model = counter(10, guard=True)
    assert check(model, 12).trace is None
    assert prove(model).proved
    assert reaches(model, lambda s: s["n"] == 8, 6).depth == 4


def test_system_that_is_not_inductive_is_not_proved():
    assert not prove(counter(10, guard=False), k=2).proved
