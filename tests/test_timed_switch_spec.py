"""Specification of the switch by timed orders: it holds, and each defect is found."""

from dataclasses import replace

import pytest
import z3
from specs import timed_switch as spec
from specs._bmc import check, prove, reaches

# Long enough for two proposals, with orders that arrive after their coordinator's end.
DEPTH = 15
# The shortest counterexample of this defect is too long for a search.
UNSEARCHED = "late-release"


def test_ranks_never_have_different_maps():
    report = prove(replace(spec.make_model(), invariant=spec.strengthened))
    assert report.proved, report.describe()


def test_ranks_never_have_different_maps_in_any_short_path():
    # Guards against an invariant that says less than the property.
    report = check(spec.make_model(), DEPTH)
    assert report.trace is None, report.describe()


@pytest.mark.parametrize("defect", spec.DEFECTS)
def test_defect_breaks_the_proof(defect):
    model = spec.make_model(defect)
    report = prove(replace(model, invariant=spec.strengthened))
    assert not report.proved, report.describe()


@pytest.mark.parametrize("defect", [one for one in spec.DEFECTS if one != UNSEARCHED])
def test_defect_has_a_counterexample(defect):
    report = check(spec.make_model(defect), DEPTH)
    assert report.trace is not None, report.describe()
    # Guards against a counterexample other than a step that begins on unequal maps.
    assert report.trace[-1].action == "begin", report.describe()


def test_all_ranks_can_reach_a_new_version_after_one_was_given_up():
    # Guards against a model in which no switch is ever done.
    def switched(state):
        given_up = z3.Or([state[f"a1{step}"] for step in spec.STEPS])
        return z3.And([given_up, *[state[f"map{rank}"] == 2 for rank in spec.RANKS]])

    report = reaches(spec.make_model(), switched, 18)
    assert report.trace is not None, report.describe()
