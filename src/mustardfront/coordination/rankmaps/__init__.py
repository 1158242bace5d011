"""Expert maps of groups whose ranks take timed orders and do not vote."""

from mustardfront.coordination.rankmaps._desk import (
    ASK_ORDER,
    ASK_STATE,
    LOCK_S,
    MemberState,
    OrderRequest,
    OrderResult,
    RankDesk,
    StateQuery,
)
from mustardfront.coordination.rankmaps._lead import Leader
from mustardfront.coordination.rankmaps._loads import CountsSince, LoadWindow
from mustardfront.coordination.rankmaps._members import AskRanks, Members, States
from mustardfront.coordination.rankmaps._plan import (
    Plan,
    PlanLimits,
    layer_cost,
    plan_layers,
)
from mustardfront.coordination.rankmaps._recover import recover
from mustardfront.coordination.rankmaps._switch import (
    is_unsettled,
    next_version,
    release,
    switch,
)
from mustardfront.coordination.rankmaps._types import (
    Armed,
    Counts,
    HeldMaps,
    OrderKind,
    OrderOutcome,
    RankOrder,
    RankPort,
    RankReport,
    RankRows,
)

__all__ = [
    "ASK_ORDER",
    "ASK_STATE",
    "LOCK_S",
    "Armed",
    "AskRanks",
    "Counts",
    "CountsSince",
    "HeldMaps",
    "Leader",
    "LoadWindow",
    "MemberState",
    "Members",
    "OrderKind",
    "OrderOutcome",
    "OrderRequest",
    "OrderResult",
    "Plan",
    "PlanLimits",
    "RankDesk",
    "RankOrder",
    "RankPort",
    "RankReport",
    "RankRows",
    "StateQuery",
    "States",
    "is_unsettled",
    "layer_cost",
    "next_version",
    "plan_layers",
    "recover",
    "release",
    "switch",
]
