"""The agent process: handles the orders for one rank and may coordinate its group."""

from __future__ import annotations

import secrets
import signal
from collections.abc import Callable
from contextlib import AbstractAsyncContextManager
from dataclasses import dataclass
from typing import Final

import trio

from mustardfront import events
from mustardfront.coordination.rankmaps import (
    DecayedLoads,
    GroupCoordinator,
    GuardedHold,
    Members,
    RankOrderHandler,
    RelayTree,
)
from mustardfront.coordination.traffic import Snapshot
from mustardfront.log_sink import LogSink
from mustardfront.metrics import Metrics
from mustardfront.programs._clock import boottime_clock
from mustardfront.programs._connections import CallerConnections
from mustardfront.programs._http import (
    bind_socket,
    make_metrics_app,
    serve_asgi,
    server_config,
)
from mustardfront.programs.agent._hold_watch import HoldWatch
from mustardfront.programs.agent._peers import AgentPeers, peer_handler
from mustardfront.programs.agent._services import AgentServices
from mustardfront.programs.agent._slow import keep_slowness_announced
from mustardfront.protocol import Identity, connect_peer, serve_peers
from mustardfront.results import Err
from mustardfront.state import RankPosition, UpstreamInstance

POLL_S: Final = 0.5
# The lock must have been free for this long before a rank becomes the coordinator; the
# delay grows with the rank number, so that the lowest running rank wins.
CANDIDATE_DELAY_BASE_S: Final = 0.3
CANDIDATE_DELAY_PER_RANK_S: Final = 0.7
# Connections to other agents that have not been used for this long are closed.
CONNECTION_IDLE_S: Final = 10.0
METRICS_CONNECTIONS_MAX: Final = 16


@dataclass(frozen=True, slots=True)
class AgentSettings:
    """Settings of an agent; all agents listen on the same ``peer_port``."""

    host: str
    place: str
    ip: str
    peer_port: int
    metrics_listen: tuple[str, int]
    service: str
    key: bytes
    # Address of the rank beside the agent, as it announces itself.
    upstream: tuple[str, int]


OpenServices = Callable[[Metrics], AbstractAsyncContextManager[AgentServices]]


def run_agent(
    settings: AgentSettings,
    open_services: OpenServices,
    clock: Callable[[], float] = boottime_clock,
) -> int:
    """Run the agent until SIGTERM or SIGINT and return its exit code."""
    sink = LogSink()
    events.start_logging(
        "mustardfront-agent", sink, host=settings.host, place=settings.place
    )
    events.log(events.Event.PROCESS_STARTED, service=settings.service)
    try:
        return trio.run(_run, settings, open_services, clock, sink)
    finally:
        events.log(events.Event.PROCESS_STOPPED)
        sink.flush()


async def _run(
    settings: AgentSettings,
    open_services: OpenServices,
    clock: Callable[[], float],
    sink: LogSink,
) -> int:
    instance = secrets.token_hex(8)
    identity = Identity("agent", settings.host, settings.place, instance)
    metrics = Metrics()
    async with open_services(metrics) as services, trio.open_nursery() as nursery:
        order_handler = RankOrderHandler(services.own_client, clock)
        address = (settings.ip, settings.peer_port)
        peers = AgentPeers(
            settings.service, address, identity, settings.key, order_handler
        )
        nursery.start_soon(sink.run)
        nursery.start_soon(_stop_on_signal, nursery.cancel_scope)
        await nursery.start(
            serve_peers, address, identity, settings.key, peer_handler(peers)
        )
        metrics.gauge(
            "mustardfront_rank_locked", lambda: float(bool(order_handler.holder))
        )
        nursery.start_soon(_serve_metrics, settings, metrics)

        def read_slowness() -> float:
            report = order_handler.last_report
            return report.slowness if report is not None else 1.0

        nursery.start_soon(
            keep_slowness_announced, services.notices, settings.upstream, read_slowness
        )
        events.log(events.Event.PROCESS_READY, addresses={"peer": address})
        async with peers.connections.open({}, connect_peer):
            guard = HoldWatch(services, order_handler, peers)

            def start_guard(hold: GuardedHold) -> None:
                nursery.start_soon(guard.run, hold)

            order_handler.on_hold = start_guard
            await _Candidate(settings, identity, order_handler, services, peers).run()
    return 0


async def _serve_metrics(settings: AgentSettings, metrics: Metrics) -> None:
    """Serve the metrics; if the address is in use, the agent runs without them.

    The HTTP server is imported and started when the first connection waits, because it
    takes a tenth of an agent's memory and most agents are not asked for metrics.
    """
    bound = bind_socket(settings.metrics_listen)
    if isinstance(bound, Err):
        events.log(events.Event.SETTING_REFUSED, code=int(bound.code), text=bound.text)
        return
    sock = bound.value
    sock.listen()
    await trio.lowlevel.wait_readable(sock)
    config = server_config(sock, grace_s=0)
    few = CallerConnections(METRICS_CONNECTIONS_MAX)
    await serve_asgi(make_metrics_app(metrics), config, trio.sleep_forever, few)


async def _stop_on_signal(scope: trio.CancelScope) -> None:
    signals = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
    with trio.open_signal_receiver(*signals) as received:
        async for number in received:
            name = signal.Signals(number).name
            if number == signal.SIGHUP:
                events.log(events.Event.SETTINGS_KEPT, cause=name)
                continue
            events.log(events.Event.PROCESS_DRAINING, cause=name)
            scope.cancel()
            return


class _Candidate:
    """Coordinates the rank's group whenever no other agent does."""

    def __init__(
        self,
        settings: AgentSettings,
        identity: Identity,
        order_handler: RankOrderHandler,
        services: AgentServices,
        peers: AgentPeers,
    ) -> None:
        self._peers = peers
        self._settings = settings
        self._identity = identity
        self._order_handler = order_handler
        self._services = services
        self._loads: DecayedLoads | None = None

    async def run(self) -> None:
        """Wait until the lock is free and coordinate the group, until cancelled."""
        free_since = trio.current_time()
        while True:
            await trio.sleep(POLL_S)
            self._peers.connections.close_unused(CONNECTION_IDLE_S)
            now = trio.current_time()
            if self._order_handler.holder not in ("", self._identity.instance):
                free_since = now
                continue
            report = await self._services.own_client.report()
            if isinstance(report, Err) or not report.value.seat.is_open:
                free_since = now
                continue
            seat = report.value.seat
            delay_s = CANDIDATE_DELAY_BASE_S + CANDIDATE_DELAY_PER_RANK_S * seat.rank
            if now - free_since < delay_s:
                continue
            with events.log_exceptions("coordinator"):
                await self._coordinate(seat)
            free_since = trio.current_time()

    async def _coordinate(self, seat: RankPosition) -> None:
        read = await self._services.snapshots.stale_snapshot()
        if isinstance(read, Err) or read.value.config is None:
            return
        service = read.value.config.services.get(self._settings.service)
        model = service.engine if service else None
        upstreams = self._upstreams_by_rank(read.value, seat)
        if model is None or not model.layers:
            return
        if len(upstreams) != seat.size:
            events.log(
                events.Event.MAP_ROUND_SKIPPED,
                group=seat.group,
                reason="the store does not list all ranks of the group",
                ranks=seat.size,
                missing=seat.size - len(upstreams),
                first_missing=[],
            )
            return
        addresses = {
            rank: self._peer_address(upstream) for rank, upstream in upstreams.items()
        }
        # Neighbours in this order share a branch, so branches stay within a place.
        ranks = sorted(upstreams, key=lambda rank: (upstreams[rank].place, rank))
        tree = RelayTree([addresses[rank] for rank in ranks], self._peers.send_directly)
        members = Members(
            seat.group,
            addresses,
            seat.rank,
            self._identity.instance,
            tree.send_requests,
            is_locked=lambda: self._order_handler.holder == self._identity.instance,
            upstreams={
                rank: f"{upstream.address[0]}:{upstream.address[1]}"
                for rank, upstream in upstreams.items()
            },
            client_of=lambda rank: self._services.client_of(upstreams[rank].address),
        )
        if self._loads is None:
            self._loads = DecayedLoads(model.experts)
        coordinator = GroupCoordinator(
            members,
            model,
            lambda rank: self._services.client_of(upstreams[rank].address),
            self._loads,
        )
        events.log(
            events.Event.COORDINATOR_CHANGED,
            group=seat.group,
            epoch=seat.epoch,
            held=True,
        )
        await coordinator.run()
        events.log(
            events.Event.COORDINATOR_CHANGED,
            group=seat.group,
            epoch=seat.epoch,
            held=False,
        )

    def _upstreams_by_rank(
        self, snapshot: Snapshot, seat: RankPosition
    ) -> dict[int, UpstreamInstance]:
        """Return the ranks of a group; of several for one rank the likeliest.

        A rank that crashed stays listed for some seconds beside its successor.
        """
        found: dict[int, UpstreamInstance] = {}

        def likelihood(upstream: UpstreamInstance) -> tuple[bool, int]:
            is_same_epoch = upstream.seat is not None and (
                upstream.seat.epoch == seat.epoch
            )
            return is_same_epoch, upstream.born_ms

        for upstream in snapshot.upstreams.values():
            own = upstream.seat
            if own is None or upstream.service != self._settings.service:
                continue
            if (own.group, own.size) != (seat.group, seat.size):
                continue
            known = found.get(own.rank)
            if known is None or likelihood(upstream) > likelihood(known):
                found[own.rank] = upstream
        return found

    def _peer_address(self, upstream: UpstreamInstance) -> str:
        return f"{upstream.address[0]}:{self._settings.peer_port}"
