"""Tests of the specifications of answers, hand-over and quarantine.

Each must hold up to its bound, and each deliberate defect must have a counterexample:
otherwise the specification could not detect that fault.
"""

from dataclasses import replace

import pytest
import z3
from specs import answers, handover, quarantine
from specs._bmc import check, prove, reaches

# Number of steps that are searched for a counterexample.
BOUNDS = {answers: 13, handover: 14, quarantine: 14}


@pytest.mark.parametrize("module", list(BOUNDS))
def test_specification_holds_up_to_its_bound(module):
    report = check(module.make_model(), BOUNDS[module])
    assert report.trace is None, report.describe()


@pytest.mark.parametrize(
    ("module", "defect"),
    [
        (answers, "match-by-request"),
        (answers, "no-index-check"),
        (answers, "no-count-check"),
        (handover, "lost-is-not-run"),
        (handover, "timeout-is-refusal"),
        (handover, "cancel-unconfirmed"),
        (handover, "accepts-while-leaving"),
        (handover, "exits-early"),
        (quarantine, "suspects-together"),
        (quarantine, "never-held"),
    ],
)
def test_defect_has_a_counterexample(module, defect):
    report = check(module.make_model(defect), BOUNDS[module])
    assert report.trace is not None, f"{defect} was not found"


def test_hand_over_is_proved_for_all_paths():
    model = handover.make_model()
    inductive = replace(
        model,
        invariant=lambda s: z3.And(model.invariant(s), handover.auxiliary_invariant(s)),
    )
    report = prove(inductive)
    assert report.proved, report.describe()


@pytest.mark.parametrize(
    ("module", "goal"),
    [
        (answers, lambda s: z3.And(s["x_pc"] == answers.ANSWERED, s["x_resumed"])),
        (handover, lambda s: z3.And(s["exited"], s["ran"])),
        (quarantine, lambda s: s["crashes"] == 2),
    ],
)
def test_model_reaches_its_goal(module, goal):
    # Guards against a model that is safe because nothing can happen in it.
    assert reaches(module.make_model(), goal, BOUNDS[module]).trace is not None
