"""Process lifecycle of entry, sidecar and admin.

Start, readiness, signal handling and draining.
"""

from __future__ import annotations

import secrets
import signal
from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass, field
from typing import Any, Final, TypeAlias

import trio

from mustardfront import events
from mustardfront.codes import Code
from mustardfront.constants import DRAIN_TIMEOUT_S, READINESS_GRACE_S
from mustardfront.coordination.config import ConfigSpread, ConfigStore
from mustardfront.coordination.hosts import HostList
from mustardfront.coordination.kv import KvClient
from mustardfront.coordination.peers import PeerHub
from mustardfront.metrics import Metrics
from mustardfront.programs._http import bind_socket, serve_asgi, server_config
from mustardfront.protocol import Identity, Leaving, PeerHandler, serve_peers
from mustardfront.results import Err, Ok, Result

# ``process-ready`` is logged after this time even without a configuration, so that the
# addresses of a process that starts during an outage can be read from its log.
SYNC_TIMEOUT_S: Final = 3.0
SIGINT_EXIT_CODE: Final = 130
SETTING_EXIT_CODE: Final = 2


@dataclass(frozen=True, slots=True)
class Settings:
    """Values of the settings that ``settings.common_settings`` adds."""

    peer_listen: tuple[str, int]
    host: str
    place: str
    kv: str
    host_list: str
    key_file: bytes


@dataclass(slots=True)
class Process:
    """State of the running process, passed to the program's ``serve``.

    ``draining`` is set on SIGTERM or SIGINT: the readiness check fails and new work is
    refused or routed elsewhere. ``stopping`` is set ``READINESS_GRACE_S`` later: no new
    connections are accepted, and ``serve`` returns when no requests are in flight.
    """

    identity: Identity
    key: bytes
    kv: KvClient
    hosts: HostList
    hub: PeerHub
    store: ConfigStore
    spread: ConfigSpread
    metrics: Metrics
    draining: trio.Event
    stopping: trio.Event
    exit_code: int = 0
    cancel_scope: trio.CancelScope = field(default_factory=trio.CancelScope)

    def exit(self, exit_code: int) -> None:
        """Cancel all tasks and exit with ``exit_code``."""
        self.exit_code = exit_code
        self.cancel_scope.cancel()

    def refuse_setting(self, code: Code, text: str) -> None:
        """Log that a setting is unusable, and exit."""
        events.log(events.Event.SETTING_REFUSED, code=int(code), text=text)
        self.exit(SETTING_EXIT_CODE)

    @property
    def is_ready(self) -> bool:
        """Return whether the process accepts new work."""
        return self.spread.synced.is_set() and not self.draining.is_set()

    def not_ready_reason(self) -> str:
        """Return why the process is not ready, or ``""`` when it is."""
        if self.draining.is_set():
            return "draining"
        return "" if self.is_ready else "no configuration yet"


# Runs the program-specific tasks until ``stopping`` is set and its work is done. Its
# ``task_status`` gets the bound addresses by name, for instance
# {"listen": "127.0.0.1:4711"}.
Serve: TypeAlias = Callable[..., Awaitable[None]]
PeerHandlerFactory: TypeAlias = Callable[[Process], PeerHandler]


def run_process(
    role: str,
    settings: Settings,
    serve: Serve,
    *,
    upstream: str = "",
    make_peer_handler: PeerHandlerFactory | None = None,
    instance: str = "",
) -> int:
    """Run a program until SIGTERM or SIGINT, and return its exit code.

    ``serve(process, task_status=...)`` runs the program-specific tasks.
    ``make_peer_handler`` makes the handler of accepted peer connections; by default
    they carry control messages only. ``instance`` must be unique to this start; it is
    generated when empty.
    """
    identity = Identity(
        role,
        settings.host,
        settings.place,
        instance or secrets.token_hex(8),
        upstream,
    )
    events.start_logging(
        f"mustardfront-{role}",
        host=identity.host,
        place=identity.place,
        instance=identity.instance,
    )
    events.log(
        events.Event.PROCESS_STARTED,
        kv=settings.kv,
        host_list=settings.host_list,
        upstream=upstream,
    )
    return trio.run(_run_async, identity, settings, serve, make_peer_handler)


async def _run_async(
    identity: Identity,
    settings: Settings,
    serve: Serve,
    make_peer_handler: PeerHandlerFactory | None,
) -> int:
    async with KvClient(settings.kv) as kv:
        hosts, hub, store = HostList(settings.host_list), PeerHub(), ConfigStore()
        process = Process(
            identity=identity,
            key=settings.key_file,
            kv=kv,
            hosts=hosts,
            hub=hub,
            store=store,
            spread=ConfigSpread(store, hub, kv, identity, hosts, settings.key_file),
            metrics=Metrics(),
            draining=trio.Event(),
            stopping=trio.Event(),
        )
        _register_gauges(process)
        handler = make_peer_handler(process) if make_peer_handler else hub.serve
        with process.cancel_scope:
            await _run_tasks(process, settings.peer_listen, serve, handler)
    events.log(events.Event.PROCESS_STOPPED, exit_code=process.exit_code)
    return process.exit_code


async def _run_tasks(
    process: Process, peer_listen: tuple[str, int], serve: Serve, handler: PeerHandler
) -> None:
    async with trio.open_nursery() as nursery:
        await nursery.start(_handle_signals, process)
        nursery.start_soon(_drain_and_stop, process)
        bound = await _start_peer_listener(nursery, process, peer_listen, handler)
        if isinstance(bound, Err):
            process.refuse_setting(bound.code, bound.text)
            return
        addresses = {"peer": f"{bound.value[0]}:{bound.value[1]}"}
        await nursery.start(process.hosts.run)
        await nursery.start(process.spread.run)

        async def serve_then_cancel(
            *,
            task_status: trio.TaskStatus[Mapping[str, str]] = trio.TASK_STATUS_IGNORED,
        ) -> None:
            await serve(process, task_status=task_status)
            nursery.cancel_scope.cancel()

        addresses |= await nursery.start(serve_then_cancel)
        with trio.move_on_after(SYNC_TIMEOUT_S):
            await process.spread.synced.wait()
        events.log(
            events.Event.PROCESS_READY,
            addresses=addresses,
            synced=process.spread.synced.is_set(),
            config_version=process.store.current.version,
        )


async def _start_peer_listener(
    nursery: trio.Nursery,
    process: Process,
    address: tuple[str, int],
    handler: PeerHandler,
) -> Result[tuple[str, int]]:
    """Start the peer listener; Err(ADDRESS_IN_USE) if its port cannot be bound."""
    try:
        bound: tuple[str, int] = await nursery.start(
            serve_peers, address, process.identity, process.key, handler
        )
    except OSError as exc:
        text = f"--peer-listen {address[0]}:{address[1]}: {exc}"
        return Err(Code.ADDRESS_IN_USE, text)
    return Ok(bound)


async def _handle_signals(
    process: Process,
    *,
    task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Start draining on SIGTERM or SIGINT; exit at once on a second SIGINT."""
    interrupts = 0
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as received:
        task_status.started()
        async for signum in received:
            if signum == signal.SIGINT:
                interrupts += 1
                if interrupts == 2:
                    process.exit(SIGINT_EXIT_CODE)
                    return
            if not process.draining.is_set():
                events.log(
                    events.Event.PROCESS_DRAINING, cause=signal.Signals(signum).name
                )
                process.draining.set()


async def _drain_and_stop(process: Process) -> None:
    """Set ``stopping`` after draining has begun; exit when draining takes too long."""
    await process.draining.wait()
    if process.identity.upstream:
        process.hub.broadcast(Leaving(process.identity.upstream))
    await trio.sleep(READINESS_GRACE_S)
    process.stopping.set()
    await trio.sleep(DRAIN_TIMEOUT_S)
    events.log(
        events.Event.TASK_FAILED,
        text=f"draining did not finish within {DRAIN_TIMEOUT_S:.0f} s",
    )
    process.exit(0)


def _register_gauges(process: Process) -> None:
    metrics = process.metrics
    metrics.gauge(
        "mustardfront_config_version", lambda: float(process.store.current.version)
    )
    metrics.gauge("mustardfront_ready", lambda: float(process.is_ready))
    metrics.gauge(
        "mustardfront_peer_connections", lambda: float(len(process.hub.connections))
    )
    metrics.gauge("mustardfront_watching", lambda: float(process.spread.is_watching))
    metrics.gauge("mustardfront_hosts", lambda: float(len(process.hosts.current)))
    metrics.gauge(
        "mustardfront_kv_calls", lambda: float(sum(process.kv.calls.values()))
    )


async def serve_http(
    app: Any,
    listen: tuple[str, int],
    process: Process,
    tls_file: str | None = None,
    flag: str = "--listen",
    *,
    task_status: trio.TaskStatus[str] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serve an ASGI application until ``stopping``, then finish requests in flight.

    ``app`` gets ``http`` scopes only. With ``tls_file`` it is served over HTTPS.
    ``flag`` is the setting to name in the error when the address cannot be bound.
    ``task_status`` gets the bound address ``"IP:PORT"``.
    """
    bound = bind_socket(listen)
    if isinstance(bound, Err):
        process.refuse_setting(bound.code, f"{flag} {bound.text}")
        await trio.sleep_forever()
        return
    config = server_config(bound.value, DRAIN_TIMEOUT_S)
    config.certfile = config.keyfile = tls_file
    await serve_asgi(app, config, process.stopping.wait, task_status=task_status)
