"""Tests of the specification of at-most-once execution.

Its guarantees must be proved, and each deliberate defect must run a request twice:
otherwise the specification could not detect that fault.
"""

from dataclasses import replace

import pytest
import z3
from specs._bmc import check, prove, reaches
from specs.idempotency import ANSWERED, DONE, make_model
from specs.idempotency_proof import inductive_invariant


def test_protocol_keeps_its_guarantees():
    report = check(make_model(), 8)
    assert report.trace is None, report.describe()
    proof = prove(replace(make_model(), invariant=inductive_invariant))
    assert proof.proved, proof.describe()


def test_specification_reaches_a_resend_that_is_answered_from_the_record():
    # Guards against a model in which no resend is ever answered.
    def goal(state):
        answered = [state["told0"] == ANSWERED, state["told1"] == ANSWERED]
        return z3.And(*answered, state["record"] == DONE, state["runs"] == 1)

    assert reaches(make_model(), goal, 9).trace is not None


@pytest.mark.parametrize(
    ("defect", "actions"),
    [
        ("early_start", ["take", "accept", "start"] * 2),
        (
            "no_fence",
            ["take", "accept", "arrive", "learn_claimed", "start"] * 2,
        ),
    ],
)
def test_defect_has_a_counterexample(defect, actions):
    report = check(make_model(**{defect: True}), 12)
    assert report.trace is not None
    names = [step.action.split("(")[0].rstrip("012") for step in report.trace[1:]]
    assert sorted(names) == sorted(actions), report.describe()
    assert report.trace[-1].values["runs"] == "2"
    assert not prove(
        replace(make_model(**{defect: True}), invariant=inductive_invariant)
    ).proved
