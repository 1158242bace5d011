"""Tests of the specifications of ticket submission and configuration spread.

Each must be proved, and each deliberate defect must have a counterexample: otherwise
the specification could not detect that fault.
"""

import pytest
import z3
from specs import config_spread, config_submission
from specs._bmc import check, prove, reaches


@pytest.mark.parametrize("module", [config_submission, config_spread])
def test_specification_is_proved_for_all_paths(module):
    report = prove(module.make_model())
    assert report.proved, report.describe()


@pytest.mark.parametrize(
    ("module", "defect", "last"),
    [
        (config_submission, "no-compare", "effect"),
        (config_submission, "lost-is-accepted", "lose"),
        (config_submission, "absent-is-refused", "read_back"),
        (config_spread, "one-peer", "start_from_peers"),
        (config_spread, "starting-peers-count", "start_from_peers"),
        (config_spread, "stale-push", "pull"),
    ],
)
def test_defect_has_a_counterexample(module, defect, last):
    report = check(module.make_model(defect), 14)
    assert report.trace is not None
    assert last in report.trace[-1].action, report.describe()


def test_submission_reaches_acceptance_after_a_lost_answer():
    # Guards against a model in which nothing can be accepted.
    report = reaches(
        config_submission.make_model(),
        lambda state: state["a_pc"] == config_submission.ACCEPTED,
        6,
    )
    assert report.trace is not None


def test_spread_reaches_a_start_from_peers_with_a_new_floor():
    # Guards against a model in which no process can start during an outage.
    report = reaches(
        config_spread.make_model(),
        lambda state: z3.And(state["floor"] == 2, state["down"], state["v0"] == 2),
        8,
    )
    assert report.trace is not None
