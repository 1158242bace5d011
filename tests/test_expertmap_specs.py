"""Tests of the specification of the map switch.

It must be proved, and each deliberate defect must have a counterexample: otherwise the
specification could not detect that fault.
"""

import pytest
import z3
from specs import expertmap_switch as spec
from specs._bmc import check, prove, reaches


def test_one_map_in_a_step_is_proved_for_all_paths():
    report = prove(spec.with_inductive_invariant(spec.make_model()))
    assert report.proved, report.describe()


@pytest.mark.parametrize(
    "defect", ["skipped-vote", "coordinator-decides", "restart-keeps-seat", "no-wait"]
)
def test_defect_has_a_counterexample(defect):
    report = check(spec.make_model(defect), 16)
    assert report.trace is not None, report.describe()
    # Guards against a counterexample other than two maps in one step.
    last = report.trace[-1]
    used = {last.values[f"used{rank}"] for rank in spec.RANKS} - {"0"}
    assert last.action.startswith("begin") and len(used) > 1, report.describe()


@pytest.mark.parametrize("new_map", [2, 3])
def test_all_ranks_can_reach_a_new_map(new_map):
    # Guards against a model that is safe because no switch is ever committed.
    def switched(state):
        return z3.And([state[f"used{rank}"] == new_map for rank in spec.RANKS])

    report = reaches(spec.make_model(), switched, 14)
    assert report.trace is not None, report.describe()
