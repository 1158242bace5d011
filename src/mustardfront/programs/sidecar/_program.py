"""Start, configuration and shutdown of the sidecar program."""

from __future__ import annotations

from collections.abc import Mapping
from functools import partial
from typing import Final

import trio

from mustardfront.codes import Code
from mustardfront.programs._runtime import Process
from mustardfront.programs.sidecar._claims import run_partition_owner
from mustardfront.programs.sidecar._experts import serve_rank
from mustardfront.programs.sidecar._health import HealthChecker
from mustardfront.programs.sidecar._pauses import PauseDetector
from mustardfront.programs.sidecar._peers import (
    crash_handler,
    report_loads,
    send_initial_state,
    serve_connection,
)
from mustardfront.programs.sidecar._state import Sidecar
from mustardfront.programs.sidecar._upstream import UpstreamClient
from mustardfront.protocol import PeerHandler
from mustardfront.results import Err
from mustardfront.state import Config

# Time to send the final replies to the peers before the connections are closed.
FLUSH_S: Final = 0.25


class SidecarProgram:
    """Callbacks of the shared runtime: the peer handler and the main task."""

    def __init__(self, upstream_url: str) -> None:
        self._upstream_url = upstream_url
        self._sidecar: Sidecar

    def peer_handler(self, process: Process) -> PeerHandler:
        """Return the handler of accepted peer connections."""
        sidecar = Sidecar(
            process.identity.upstream,
            UpstreamClient(self._upstream_url),
            process.store,
            process.hub,
        )
        process.hub.add_handler(crash_handler(sidecar))
        process.hub.add_connect_handler(partial(send_initial_state, sidecar))
        self._sidecar = sidecar
        self._pauses = PauseDetector()
        return partial(serve_connection, sidecar, self._pauses)

    async def serve(
        self,
        process: Process,
        *,
        task_status: trio.TaskStatus[Mapping[str, str]] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Serve the upstream until the process stops and nothing is in flight."""
        sidecar = self._sidecar
        health = HealthChecker(sidecar, sidecar.client)
        sidecar.confirm_crash = health.confirm_crash
        sidecar.confirm_running = health.confirm_running
        _register_gauges(process, sidecar)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._pauses.run)
            nursery.start_soon(health.run)
            nursery.start_soon(report_loads, sidecar)
            nursery.start_soon(process.store.follow, partial(apply_config, sidecar))
            nursery.start_soon(follow_host_list, process, sidecar)
            nursery.start_soon(serve_rank, process, self._upstream_url)
            nursery.start_soon(
                run_partition_owner, sidecar, process.kv, process.identity.instance
            )
            task_status.started({})
            await process.draining.wait()
            sidecar.set_drain("signal", True)
            await process.stopping.wait()
            while sidecar.attempts or sidecar.owner is not None:
                await sidecar.load_changed.wait()
            await _close_connections(process)
            nursery.cancel_scope.cancel()


async def _close_connections(process: Process) -> None:
    await trio.sleep(FLUSH_S)
    for conn in process.hub.connections:
        process.hub.close(
            conn, Err(Code.CONNECTION_CLOSED, "the sidecar is shutting down")
        )
    # Let the writer tasks of the connections send what is queued.
    await trio.sleep(FLUSH_S)


async def apply_config(sidecar: Sidecar, cfg: Config) -> None:
    """Apply the limits and the drain state that ``cfg`` sets for this upstream."""
    upstream = cfg.upstreams.get(sidecar.upstream)
    if upstream is not None:
        sidecar.set_limits(cfg.limits_of(upstream.service))
    sidecar.set_drain("ticket", cfg.is_draining(sidecar.upstream))
    sidecar.notify_load_changed()


async def follow_host_list(process: Process, sidecar: Sidecar) -> None:
    """Drain while the host list marks this host as leaving."""
    while True:
        leaving = process.hosts.state_of(process.identity.host) == "leaving"
        sidecar.set_drain("host list", leaving)
        await process.hosts.wait_changed()


def _register_gauges(process: Process, sidecar: Sidecar) -> None:
    gauges = {
        "mustardfront_in_flight": lambda: float(sidecar.queue.in_flight),
        "mustardfront_queued": lambda: float(sidecar.queue.queued),
        "mustardfront_limit": lambda: float(sidecar.limit),
        "mustardfront_upstream_up": lambda: float(sidecar.healthy),
    }
    for name, read in gauges.items():
        process.metrics.gauge(name, read)
