"""Tests of the specification of the switch by timed orders.

It must be proved, and each deliberate defect must break the proof: otherwise the
specification could not detect that fault.
"""

from dataclasses import replace

import pytest
import z3
from specs import timed_switch as spec
from specs._bmc import check, prove, reaches
from specs.timed_switch_proof import inductive_invariant

# Enough steps for two proposals whose orders arrive after their coordinator has ended.
SEARCH_DEPTH = 15
# The shortest counterexample of this defect is too long to be found by a search.
TOO_DEEP_TO_SEARCH = "late-release"


def test_ranks_never_have_different_maps():
    report = prove(replace(spec.make_model(), invariant=inductive_invariant))
    assert report.proved, report.describe()


def test_ranks_never_have_different_maps_in_any_short_path():
    # Guards against an inductive invariant that does not imply the property.
    report = check(spec.make_model(), SEARCH_DEPTH)
    assert report.trace is None, report.describe()


@pytest.mark.parametrize("defect", spec.DEFECTS)
def test_defect_breaks_the_proof(defect):
    model = spec.make_model(defect)
    report = prove(replace(model, invariant=inductive_invariant))
    assert not report.proved, report.describe()


@pytest.mark.parametrize(
    "defect", [one for one in spec.DEFECTS if one != TOO_DEEP_TO_SEARCH]
)
def test_defect_has_a_counterexample(defect):
    report = check(spec.make_model(defect), SEARCH_DEPTH)
    assert report.trace is not None, report.describe()
    # Guards against a counterexample other than a step that begins on different maps.
    assert report.trace[-1].action == "begin", report.describe()


def test_all_ranks_can_reach_a_new_version_after_an_abandoned_one():
    # Guards against a model that is safe because no switch ever completes.
    def switched(state):
        abandoned = z3.Or([state[f"a1{step}"] for step in spec.STEPS])
        return z3.And([abandoned, *[state[f"map{rank}"] == 2 for rank in spec.RANKS]])

    report = reaches(spec.make_model(), switched, 18)
    assert report.trace is not None, report.describe()
