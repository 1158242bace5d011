"""Switching an expert group from one expert map to the next."""

from mustardfront.coordination.expertmap._coordinator import (
    Coordinator,
    States,
    form_group,
    is_formed,
    is_switching,
    list_open_votes,
    read_map,
    read_states,
    reconcile_group,
    resolve_vote,
    switch_map,
)
from mustardfront.coordination.expertmap._lease import Term, campaign, run_term
from mustardfront.coordination.expertmap._links import (
    GroupConnections,
    LocalExecutor,
    OrderExecutor,
)
from mustardfront.coordination.expertmap._rank import (
    LocalRank,
    RankCall,
    execute_order,
)
from mustardfront.coordination.expertmap._task import (
    find_group,
    open_rank_client,
    run_coordinator,
)
from mustardfront.coordination.expertmap._types import (
    RankState,
    SendOrders,
    Sleep,
    Vote,
    parse_state,
)

__all__ = [
    "Coordinator",
    "GroupConnections",
    "LocalExecutor",
    "LocalRank",
    "OrderExecutor",
    "RankCall",
    "RankState",
    "SendOrders",
    "Sleep",
    "States",
    "Term",
    "Vote",
    "campaign",
    "execute_order",
    "find_group",
    "form_group",
    "is_formed",
    "is_switching",
    "list_open_votes",
    "open_rank_client",
    "parse_state",
    "read_map",
    "read_states",
    "reconcile_group",
    "resolve_vote",
    "run_coordinator",
    "run_term",
    "switch_map",
]
