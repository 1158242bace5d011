"""The command of the callers' HTTP front."""

from __future__ import annotations

import random
import sys
from collections.abc import Callable, Mapping

import click
import trio

from mustardfront import events
from mustardfront.coordination.limits import RetryBudget, TeamLimits
from mustardfront.coordination.quarantine import CrashEvidence, Quarantine
from mustardfront.coordination.routing import UpstreamTable
from mustardfront.programs._runtime import Process, Settings, run_process, serve_http
from mustardfront.programs.entry._app import FrontContext, make_app, make_operators_app
from mustardfront.programs.entry._control import add_control, follow_config
from mustardfront.programs.entry._explain import Decisions
from mustardfront.programs.entry._forward import Forwarder
from mustardfront.programs.entry._links import SidecarLinks
from mustardfront.settings import ADDRESS, common_settings, setting, tls_setting

# Retries per budget window that a service with little traffic may always use.
RETRY_MINIMUM = 3


@click.command()
@setting("--listen", ADDRESS, "Address of the callers' HTTP front.")
@setting("--ops-listen", ADDRESS, "Address for operators: metrics and decisions.")
@tls_setting
@common_settings
def main(
    listen: tuple[str, int],
    tls_file: str | None,
    ops_listen: tuple[str, int],
    peer_listen: tuple[str, int],
    host: str,
    place: str,
    kv: str,
    host_list: str,
    key_file: bytes,
) -> None:
    """Take callers' requests and forward each to a capable upstream."""
    settings = Settings(peer_listen, host, place, kv, host_list, key_file)

    async def serve(
        process: Process,
        *,
        task_status: trio.TaskStatus[Mapping[str, str]] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        async with trio.open_nursery() as nursery:
            front = _make_context(process, nursery)
            async with trio.open_nursery() as http:
                address = await http.start(
                    serve_http, make_app(front), listen, process, tls_file
                )
                ops_app = make_operators_app(front)
                ops = await http.start(
                    serve_http, ops_app, ops_listen, process, tls_file, "--ops-listen"
                )
                task_status.started({"listen": address, "ops": ops})
            # The links end only after the last answer has been sent.
            nursery.cancel_scope.cancel()

    sys.exit(run_process("entry", settings, serve))


def _make_context(process: Process, nursery: trio.Nursery) -> FrontContext:
    table = UpstreamTable(trio.current_time, entry=process.identity.host)
    quarantine = Quarantine(trio.current_time)
    links = SidecarLinks(
        nursery, process.identity, process.key, process.hub, table, random.Random()
    )
    evidence = CrashEvidence(trio.current_time)
    add_control(process.hub, table, quarantine, evidence)
    nursery.start_soon(follow_config, process.store, process.hosts, table, links)
    decisions = Decisions()
    events.add_listener(decisions.record)
    forwarder = Forwarder(
        config=lambda: process.store.current,
        place=process.identity.place,
        links=links,
        table=table,
        budget_of=_make_budget_of(process),
        quarantine=quarantine,
        crash_evidence=evidence,
    )
    front = FrontContext(
        forwarder=forwarder,
        teams=TeamLimits(),
        metrics=process.metrics,
        decisions=decisions,
        # Before the first ticket there is no team to serve.
        is_ready=lambda: (
            process.spread.synced.is_set() and process.store.current.version > 0
        ),
        is_draining=process.draining.is_set,
    )
    process.metrics.gauge(
        "mustardfront_requests_in_flight", lambda: float(len(front.open_ids))
    )
    return front


def _make_budget_of(process: Process) -> Callable[[str], RetryBudget]:
    budgets: dict[str, RetryBudget] = {}

    def budget_of(service: str) -> RetryBudget:
        ratio = process.store.current.limits_of(service).retry_ratio
        if service not in budgets:
            budgets[service] = RetryBudget(ratio, RETRY_MINIMUM)
        budgets[service].ratio = ratio
        return budgets[service]

    return budget_of
