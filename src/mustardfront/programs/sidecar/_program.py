"""Assembly, configuration and end of the sidecar program."""

from __future__ import annotations

from collections.abc import Mapping
from functools import partial
from typing import Final

import trio

from mustardfront.codes import Code
from mustardfront.programs._runtime import Process
from mustardfront.programs.sidecar._experts import serve_rank
from mustardfront.programs.sidecar._health import Health
from mustardfront.programs.sidecar._owned import keep_owner
from mustardfront.programs.sidecar._pauses import PauseMeter
from mustardfront.programs.sidecar._peers import (
    crash_handler,
    greet,
    report_loads,
    serve_connection,
)
from mustardfront.programs.sidecar._side import Sidecar
from mustardfront.programs.sidecar._upstream import UpstreamClient
from mustardfront.protocol import Handler
from mustardfront.results import Err
from mustardfront.state import Config

# Time for the last replies to reach the peers before the connections close.
FLUSH_S: Final = 0.25


class SidecarProgram:
    """What the shared runtime calls: the peers' handler and the program's own part."""

    def __init__(self, upstream_url: str) -> None:
        self._url = upstream_url
        self._side: Sidecar

    def peer_handler(self, process: Process) -> Handler:
        """Return the handler of accepted connections."""
        side = Sidecar(
            process.identity.upstream,
            UpstreamClient(self._url),
            process.store,
            process.hub,
        )
        process.hub.add_handler(crash_handler(side))
        process.hub.add_greeting(partial(greet, side))
        self._side = side
        self._pauses = PauseMeter()
        return partial(serve_connection, side, self._pauses)

    async def serve(
        self,
        process: Process,
        *,
        task_status: trio.TaskStatus[Mapping[str, str]] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Serve the upstream until the process stops and nothing is in flight."""
        side = self._side
        # Checks have their own connections, so that requests cannot hold them up.
        health_client = UpstreamClient(self._url)
        health = Health(side, health_client)
        side.confirm_loss = health.confirm_loss
        _add_gauges(process, side)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._pauses.run)
            nursery.start_soon(health.run)
            nursery.start_soon(report_loads, side)
            nursery.start_soon(process.store.follow, partial(apply_config, side))
            nursery.start_soon(follow_hosts, process, side)
            nursery.start_soon(serve_rank, process, self._url)
            nursery.start_soon(keep_owner, side, process.kv, process.identity.instance)
            task_status.started({})
            await process.draining.wait()
            side.set_drain("signal", True)
            await process.stopping.wait()
            while side.attempts or side.owner is not None:
                await side.load_changed.wait()
            await _close_connections(process)
            nursery.cancel_scope.cancel()
        await side.client.aclose()
        await health_client.aclose()


async def _close_connections(process: Process) -> None:
    await trio.sleep(FLUSH_S)
    for conn in process.hub.connections:
        process.hub.close(conn, Err(Code.CONNECTION_CLOSED, "the sidecar ends"))
    # The connections' writers now send what is queued.
    await trio.sleep(FLUSH_S)


async def apply_config(side: Sidecar, cfg: Config) -> None:
    """Take over what a newer configuration says about this upstream."""
    entry = cfg.upstreams.get(side.upstream)
    if entry is not None:
        side.set_limits(cfg.limits_of(entry.service))
    side.set_drain("ticket", cfg.is_draining(side.upstream))
    side.changed()


async def follow_hosts(process: Process, side: Sidecar) -> None:
    """Drain while the host list says that this host is leaving."""
    while True:
        leaving = process.hosts.state_of(process.identity.host) == "leaving"
        side.set_drain("host list", leaving)
        await process.hosts.wait_changed()


def _add_gauges(process: Process, side: Sidecar) -> None:
    gauges = {
        "mustardfront_in_flight": lambda: float(side.queue.in_flight),
        "mustardfront_queued": lambda: float(side.queue.queued),
        "mustardfront_limit": lambda: float(side.limit),
        "mustardfront_upstream_up": lambda: float(side.healthy),
    }
    for name, read in gauges.items():
        process.metrics.gauge(name, read)
