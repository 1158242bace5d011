"""Policies that assign experts to ranks, and their replay on recorded loads."""

from mustardfront.coordination.balancing._policies import (
    POLICIES,
    BalanceSettings,
    Policy,
    make_policy,
)
from mustardfront.coordination.balancing._replay import (
    LoadRecord,
    ReplayReport,
    read_loads,
    replay,
)

__all__ = [
    "POLICIES",
    "BalanceSettings",
    "LoadRecord",
    "Policy",
    "ReplayReport",
    "make_policy",
    "read_loads",
    "replay",
]
