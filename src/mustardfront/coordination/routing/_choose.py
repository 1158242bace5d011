"""Routing decisions."""

from __future__ import annotations

from mustardfront import events
from mustardfront.codes import Code
from mustardfront.coordination.routing._policy import Policy, default_policy
from mustardfront.coordination.routing._state import TrackedUpstream
from mustardfront.coordination.routing._table import UpstreamTable
from mustardfront.coordination.routing._types import Decision, RouteRequest
from mustardfront.results import Err, Ok, Result
from mustardfront.state import Config


def choose(
    table: UpstreamTable,
    cfg: Config,
    req: RouteRequest,
    exclude: frozenset[str] = frozenset(),
    policy: Policy = default_policy,
) -> Result[Decision]:
    """Choose an upstream for a request.

    ``exclude`` names upstreams that already failed this request. Returns
    Err(NO_CAPABLE_UPSTREAM) when no upstream can serve it.
    """
    service = cfg.services.get(req.service)
    if service is None:
        return Err(Code.UNKNOWN_SERVICE, f"unknown service {req.service}")
    if req.model not in ("", service.model) or req.version not in ("", service.version):
        text = (
            f"{req.service} serves only model {service.model} version {service.version}"
        )
        return Err(Code.NO_CAPABLE_UPSTREAM, text)
    capable = capable_upstreams(table, req, exclude)
    if not capable:
        return Err(
            Code.NO_CAPABLE_UPSTREAM,
            f"no upstream of {req.service} is available for the request",
        )
    state, reason, compared = policy(table, capable, req)
    events.log(
        events.Event.ROUTE_CHOSEN,
        request_id=req.request_id,
        service=req.service,
        team=req.team,
        upstream=state.name,
        reason=reason,
        capable=len(capable),
        candidates=[
            [candidate.upstream, round(candidate.load, 1), round(candidate.score, 3)]
            for candidate in compared[: table.knobs.logged_candidates_max]
        ],
        config_version=cfg.version,
    )
    return Ok(Decision(state.name, state.address, reason, compared, cfg.version))


def capable_upstreams(
    table: UpstreamTable, req: RouteRequest, exclude: frozenset[str]
) -> list[TrackedUpstream]:
    """Return the upstreams that are available now and can serve the request."""
    now = table.clock()
    capable = [
        state
        for state in table.fronts(req.service)
        if state.available_at <= now and state.role in ("both", req.role)
    ]
    if req.adapter:
        capable = [state for state in capable if req.adapter in state.adapters]
    if exclude:
        capable = [state for state in capable if state.name not in exclude]
    return capable
