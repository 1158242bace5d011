"""Assembly, start and end of the sidecar program."""

from __future__ import annotations

import signal
import uuid
from dataclasses import dataclass
from functools import partial
from typing import Final

import trio

from mustardfront import events
from mustardfront.constants import DRAIN_TIMEOUT_S, READINESS_GRACE_S
from mustardfront.coordination.config import ConfigStore
from mustardfront.coordination.peers import PeerHub
from mustardfront.coordination.quarantine import Quarantine
from mustardfront.programs.sidecar._health import Health
from mustardfront.programs.sidecar._pauses import PauseMeter
from mustardfront.programs.sidecar._peers import (
    control_handler,
    greet,
    push_handler,
    report_loads,
    serve_connection,
)
from mustardfront.programs.sidecar._side import Sidecar
from mustardfront.programs.sidecar._upstream import UpstreamClient
from mustardfront.protocol import Identity, serve_peers
from mustardfront.state import Config

# Time for the last replies to reach the peers before the connections close.
FLUSH_S: Final = 0.25


@dataclass(frozen=True, slots=True)
class Settings:
    """Checked settings of one sidecar process."""

    peer_listen: tuple[str, int]
    upstream_name: str
    upstream_url: str
    host: str
    place: str
    kv: str
    host_list: str
    key: bytes


async def run_sidecar(settings: Settings) -> None:
    """Serve peers until a signal ends the process; raise OSError on a taken port."""
    identity = Identity(
        "sidecar",
        settings.host,
        settings.place,
        uuid.uuid4().hex,
        settings.upstream_name,
    )
    client, health_client = (UpstreamClient(settings.upstream_url) for _ in range(2))
    hub, store = PeerHub(), ConfigStore()
    quarantine = Quarantine(trio.current_time)
    side = Sidecar(settings.upstream_name, client, store, hub, quarantine)
    health = Health(side, health_client)
    side.confirm_loss = health.confirm_loss
    pauses = PauseMeter()
    hub.add_handler(control_handler(side))
    hub.add_handler(push_handler(store))
    hub.add_greeting(partial(greet, side))
    async with trio.open_nursery() as nursery:
        # Signals are taken from the start, so that none ends the process by default.
        await nursery.start(_end_on_signals, side, nursery.cancel_scope)
        address = await nursery.start(
            serve_peers,
            settings.peer_listen,
            identity,
            settings.key,
            partial(serve_connection, side, pauses),
        )
        nursery.start_soon(pauses.run)
        nursery.start_soon(health.run)
        nursery.start_soon(report_loads, side)
        nursery.start_soon(store.follow, partial(_apply, side))
        events.log(
            events.Event.PROCESS_READY,
            peer_listen=f"{address[0]}:{address[1]}",
            upstream=settings.upstream_name,
            instance=identity.instance,
        )
    await client.aclose()
    await health_client.aclose()
    events.log(events.Event.PROCESS_STOPPED, upstream=settings.upstream_name)


async def _apply(side: Sidecar, cfg: Config) -> None:
    """Take over what a newer configuration says about this upstream."""
    entry = cfg.upstreams.get(side.upstream)
    if entry is not None:
        side.limits = cfg.limits_of(entry.service)
        side.queue.max_queued = side.limits.queue
        side.queue.wake()
    side.set_drain("ticket", cfg.is_draining(side.upstream))
    side.changed()


async def _end_on_signals(
    side: Sidecar,
    everything: trio.CancelScope,
    *,
    task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Drain at the first signal; a second SIGINT ends at once, a SIGTERM does not."""
    interrupts = 0
    async with trio.open_nursery() as nursery:
        with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
            task_status.started()
            async for number in signals:
                interrupts += number == signal.SIGINT
                if interrupts == 2:
                    everything.cancel()
                elif "signal" not in side.drain_reasons:
                    side.set_drain("signal", True)
                    nursery.start_soon(_drain, side, everything)


async def _drain(side: Sidecar, everything: trio.CancelScope) -> None:
    """Wait for what is in flight, close the connections and end the process."""
    await trio.sleep(READINESS_GRACE_S)
    with trio.move_on_after(DRAIN_TIMEOUT_S):
        while side.attempts:
            await side.load_changed.wait()
    await trio.sleep(FLUSH_S)
    side.close_connections()
    # The connections' writers now send what is queued.
    await trio.sleep(FLUSH_S)
    everything.cancel()
