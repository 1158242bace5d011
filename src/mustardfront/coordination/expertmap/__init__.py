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
    resolve_vote,
    switch_map,
    tend,
)
from mustardfront.coordination.expertmap._lease import Term, campaign, run_term
from mustardfront.coordination.expertmap._links import (
    GroupLinks,
    LocalExecutor,
    OrderDesk,
)
from mustardfront.coordination.expertmap._rank import (
    LocalRank,
    RankCall,
    execute_order,
)
from mustardfront.coordination.expertmap._run import (
    find_group,
    http_rank,
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
    "GroupLinks",
    "LocalExecutor",
    "LocalRank",
    "OrderDesk",
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
    "http_rank",
    "is_formed",
    "is_switching",
    "list_open_votes",
    "parse_state",
    "read_map",
    "read_states",
    "resolve_vote",
    "run_coordinator",
    "run_term",
    "switch_map",
    "tend",
]
