"""Which rank holds which expert: balancing policies and their replay."""

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
