"""Readiness of an entry process and access to its decisions."""

from mustardfront.codes import Code
from mustardfront_standins.caller import Caller
from mustardfront_standins.deployments import NETZWERK, first_ticket
from mustardfront_standins.fleet import Fleet
from mustardfront_standins.system import start_system


async def test_entry_is_ready_after_a_ticket_and_hides_decisions_from_callers():
    # Guards against traffic to an entry that has no teams yet, and against one team
    # reading the decisions on another team's requests.
    plans = NETZWERK.upstreams(1, 0)
    async with Fleet() as fleet, Caller() as caller:
        system = await start_system(fleet, plans, 1)
        entry, ops = system.entry_urls[0], system.ops_urls[0]
        assert (await caller.get(entry, "/healthz"))[0] == 200
        assert (await caller.get(entry, "/readyz"))[0] == 503
        team = NETZWERK.teams[0]
        early = await caller.complete(entry, team, NETZWERK.model, "p", 3)
        assert (early.code, early.outcome) == (Code.NOT_READY, "not-run")
        ticket = first_ticket((NETZWERK,), plans, system.sidecar_addresses)
        del ticket["set"]["services"][NETZWERK.plain]
        for team_entry in ticket["set"]["teams"].values():
            team_entry["services"] = [NETZWERK.model]
        await system.submit(ticket)
        assert await system.in_force_everywhere(1, 12.0)
        assert (await caller.get(entry, "/readyz"))[0] == 200
        answer = await caller.complete(entry, team, NETZWERK.model, "p", 3)
        assert answer.code == Code.ANSWERED
        path = f"/explain/{answer.request_id}"
        assert (await caller.get(ops, path))[0] == 200
        assert (await caller.get(ops, "/metrics"))[0] == 200
        for page in (path, "/metrics"):
            refused = await caller.call(entry, "GET", page, team)
            assert refused.code == Code.UNKNOWN_SERVICE
