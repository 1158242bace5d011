"""The routing decision."""

from __future__ import annotations

import random
from collections.abc import Callable, Sequence
from typing import TypeAlias

from mustardfront import events
from mustardfront.codes import Code
from mustardfront.coordination.routing._table import UpstreamState, UpstreamTable
from mustardfront.coordination.routing._types import Candidate, Decision, RouteRequest
from mustardfront.results import Err, Ok, Result
from mustardfront.state import Config

# Chooses among capable upstreams and names its reason.
Policy: TypeAlias = Callable[
    [UpstreamTable, Sequence[UpstreamState], RouteRequest],
    tuple[UpstreamState, str, tuple[Candidate, ...]],
]
_rng = random.Random()


def choose(
    table: UpstreamTable,
    cfg: Config,
    req: RouteRequest,
    exclude: frozenset[str] = frozenset(),
    policy: Policy | None = None,
) -> Result[Decision]:
    """Return the upstream for a request; Err(NO_CAPABLE_UPSTREAM) when none can.

    ``exclude`` names upstreams that already failed this request.
    """
    service = cfg.services.get(req.service)
    if service is None:
        return Err(Code.UNKNOWN_SERVICE, f"no service {req.service}")
    capable = capable_upstreams(table, req, exclude)
    if not capable:
        return Err(Code.NO_CAPABLE_UPSTREAM, f"no upstream of {req.service} can run it")
    state, reason, compared = (policy or two_choices)(table, capable, req)
    events.log(
        events.Event.ROUTE_CHOSEN,
        request_id=req.request_id,
        service=req.service,
        team=req.team,
        upstream=state.name,
        reason=reason,
        capable=len(capable),
        candidates=[[item.upstream, round(item.score, 3)] for item in compared],
        config_version=cfg.version,
    )
    return Ok(Decision(state.name, state.address, reason, compared, cfg.version))


def capable_upstreams(
    table: UpstreamTable, req: RouteRequest, exclude: frozenset[str]
) -> list[UpstreamState]:
    """Return the upstreams that can take a request now."""
    now = table.clock()
    return [
        state
        for state in table.fronts(req.service)
        if state.report_ready
        and not state.draining
        and not state.leaving
        and state.down_until <= now
        and state.ejected_until <= now
        and (not req.adapter or req.adapter in state.adapters)
        and state.role in ("both", req.role)
        and state.name not in exclude
    ]


def two_choices(
    table: UpstreamTable, capable: Sequence[UpstreamState], req: RouteRequest
) -> tuple[UpstreamState, str, tuple[Candidate, ...]]:
    """Choose the less loaded of two random upstreams."""
    picked = _rng.sample(capable, min(2, len(capable)))
    best = min(picked, key=lambda state: state.in_flight)
    compared = tuple(
        Candidate(state.name, state.in_flight, state.in_flight) for state in picked
    )
    return best, "two-choices", compared
