"""Expert maps of groups whose ranks follow timed orders and do not vote."""

from mustardfront.coordination.rankmaps._coordinator import GroupCoordinator
from mustardfront.coordination.rankmaps._guard import guard_hold, may_give_up
from mustardfront.coordination.rankmaps._loads import CountDeltas, DecayedLoads
from mustardfront.coordination.rankmaps._members import Members, SendRequests, States
from mustardfront.coordination.rankmaps._order_handler import (
    LOCK_LEASE_S,
    ORDER_REQUEST,
    STATE_QUERY,
    GroupMember,
    GuardedHold,
    HoldGuard,
    MemberState,
    OrderRequest,
    OrderResult,
    RankOrderHandler,
    StateQuery,
)
from mustardfront.coordination.rankmaps._plan import (
    Plan,
    PlanLimits,
    layer_cost,
    plan_layers,
)
from mustardfront.coordination.rankmaps._recover import recover
from mustardfront.coordination.rankmaps._relay import (
    ORDER_TIMEOUT_S,
    RELAY_REQUEST,
    Relay,
    RelayTree,
    SendDirectly,
)
from mustardfront.coordination.rankmaps._switch import (
    SwitchResult,
    is_held_or_armed,
    next_version,
    release,
    switch,
)
from mustardfront.coordination.rankmaps._types import (
    ArmedSwitch,
    Counts,
    MapChanges,
    OrderKind,
    OrderOutcome,
    RankClient,
    RankExperts,
    RankMaps,
    RankOrder,
    RankReport,
    apply_changes,
    find_changes,
)

__all__ = [
    "LOCK_LEASE_S",
    "ORDER_REQUEST",
    "ORDER_TIMEOUT_S",
    "RELAY_REQUEST",
    "STATE_QUERY",
    "ArmedSwitch",
    "CountDeltas",
    "Counts",
    "DecayedLoads",
    "GroupCoordinator",
    "GroupMember",
    "GuardedHold",
    "HoldGuard",
    "MapChanges",
    "MemberState",
    "Members",
    "OrderKind",
    "OrderOutcome",
    "OrderRequest",
    "OrderResult",
    "Plan",
    "PlanLimits",
    "RankClient",
    "RankExperts",
    "RankMaps",
    "RankOrder",
    "RankOrderHandler",
    "RankReport",
    "Relay",
    "RelayTree",
    "SendDirectly",
    "SendRequests",
    "StateQuery",
    "States",
    "SwitchResult",
    "apply_changes",
    "find_changes",
    "guard_hold",
    "is_held_or_armed",
    "layer_cost",
    "may_give_up",
    "next_version",
    "plan_layers",
    "recover",
    "release",
    "switch",
]
