"""The tuning page lists each tunable value with the default in the code."""

import re
from dataclasses import fields
from fractions import Fraction
from pathlib import Path

import pytest

from mustardfront.coordination.limits import (
    RESERVE_RATIO,
    TOLERANCE_RATIO,
    WINDOW_SAMPLES_MIN,
)
from mustardfront.coordination.routing import RoutingKnobs
from mustardfront.state import Limits, Team

PAGE = Path(__file__).parent.parent / "docs" / "tuning.md"
ROW = re.compile(r"^\| `([\w.]+)` \| ([\d./]+) \|", re.MULTILINE)


def documented_defaults() -> dict[str, float]:
    return {
        name: float(Fraction(value)) for name, value in ROW.findall(PAGE.read_text())
    }


def test_page_lists_each_routing_knob():
    knobs = RoutingKnobs()
    listed = documented_defaults()
    for field in fields(RoutingKnobs):
        assert listed[field.name] == pytest.approx(getattr(knobs, field.name))


def test_page_lists_the_defaults_of_tickets_and_sidecar():
    listed = documented_defaults()
    for name, value in {
        "limits.max_in_flight": Limits().max_in_flight,
        "limits.queue": Limits().queue,
        "limits.retry_ratio": Limits().retry_ratio,
        "teams.weight": Team("").weight,
        "teams.max_in_flight": Team("").max_in_flight,
        "teams.priority": Team("").priority,
        "RESERVE_RATIO": RESERVE_RATIO,
        "TOLERANCE_RATIO": TOLERANCE_RATIO,
        "WINDOW_SAMPLES_MIN": WINDOW_SAMPLES_MIN,
    }.items():
        assert listed[name] == value
