"""The gateway process: an entry that calls upstreams directly, without sidecars."""

from __future__ import annotations

import os
import random
import signal
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from typing import Any, Final

import trio

from mustardfront import events
from mustardfront.codes import Code
from mustardfront.coordination.limits import RetryBudget
from mustardfront.coordination.traffic import (
    Feed,
    RateLimitNotice,
    StopDeadline,
    TrafficState,
    follow,
    keep_announced,
)
from mustardfront.log_sink import LogSink
from mustardfront.metrics import Metrics
from mustardfront.programs._clock import boottime_clock
from mustardfront.programs._connections import CallerConnections, connections_limit
from mustardfront.programs._held import HeldBytes, held_limit
from mustardfront.programs._http import (
    bind_socket,
    make_metrics_app,
    serve_asgi,
    server_config,
)
from mustardfront.programs.gateway._app import (
    Frontend,
    make_app,
    make_ready_app,
)
from mustardfront.programs.gateway._choice import Forwarder
from mustardfront.programs.gateway._crash import CrashReporter
from mustardfront.programs.gateway._header_names import HeaderNames
from mustardfront.programs.gateway._load_exchange import LoadExchange
from mustardfront.programs.gateway._outbox import Outbox
from mustardfront.programs.gateway._settings import GatewaySettings, LiveSettings
from mustardfront.results import Err, Ok, Result

SETTING_EXIT_CODE: Final = 2
# Readiness checks and metrics come from a few callers of the platform.
SIDE_CONNECTIONS_MAX: Final = 16
# Limit of the request line and headers; it holds before the configuration is known.
HEADER_MAX_BYTES: Final = 64 * 1024
# Added to the configured idle timeout of caller connections.
IDLE_MARGIN_S: Final = 1.0
# Number of entries that share a retry budget, assumed while none of them is known.
ENTRY_COUNT_DEFAULT: Final = 40
# Entries learn of a limit by their own answers at nearly the same time; at different
# delays all but the first find that it is announced.
NOTICE_DELAY_S: Final = (0.05, 0.4)
# Entries that start within this time learn of a limit before their first request.
NOTICE_LEASE_S: Final = 600.0
# The process exits by itself before SIGKILL: open requests are cancelled this long
# before it, and the exit is forced half of this time before it.
EXIT_MARGIN_S: Final = 0.8
# Requests that are still open then get an answer this long before they are cancelled.
ANSWER_MARGIN_S: Final = 0.1


def run_gateway(
    settings: GatewaySettings,
    header_names: HeaderNames,
    open_feed: Callable[[Metrics], Any],
    clock: Callable[[], float] = boottime_clock,
    read_settings: Callable[[], Result[GatewaySettings]] | None = None,
) -> int:
    """Run the gateway until it is stopped by a signal, and return its exit code.

    ``open_feed(metrics)`` returns an async context manager that yields the ``Feed`` of
    the configuration store. ``read_settings`` reads the settings again at SIGHUP.
    """
    sink = LogSink()
    events.start_logging(
        "mustardfront-gateway", sink, host=settings.host, place=settings.place
    )
    events.log(events.Event.PROCESS_STARTED, listen=settings.listen)
    try:
        live = LiveSettings(settings, read_settings)
        return trio.run(_run, live, header_names, open_feed, clock, sink)
    finally:
        events.log(events.Event.PROCESS_STOPPED)
        sink.flush()


@dataclass(slots=True)
class _Shutdown:
    """Events of the shutdown stages: draining, then stopping."""

    draining: trio.Event
    stopping: trio.Event


async def _run(
    live: LiveSettings,
    header_names: HeaderNames,
    open_feed: Callable[[Metrics], Any],
    clock: Callable[[], float],
    sink: LogSink,
) -> int:
    shutdown = _Shutdown(trio.Event(), trio.Event())
    metrics = Metrics()
    state = TrafficState(clock, live.current.host)
    settings = live.current
    frontend = _make_frontend(live, header_names, state, metrics, shutdown)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(sink.run)
        await nursery.start(_handle_signals, shutdown, live)
        nursery.start_soon(
            _stop_after_drain, live, shutdown, frontend.forwarder.stop, sink
        )
        nursery.start_soon(
            _follow_feed, settings, open_feed, metrics, frontend.forwarder, clock
        )
        if settings.peer_listen is not None:
            fwd = frontend.forwarder
            exchange = LoadExchange(
                state, settings.host, fwd.places.waiting_count, fwd.places.grant_all
            )
            nursery.start_soon(exchange.run, settings.peer_listen)
        failed = await _serve_http(nursery, settings, frontend, shutdown, state)
        if failed is not None:
            events.log(
                events.Event.SETTING_REFUSED, code=int(failed.code), text=failed.text
            )
            nursery.cancel_scope.cancel()
            return SETTING_EXIT_CODE
        # All responses to callers have been sent.
        nursery.cancel_scope.cancel()
    return 0


async def _follow_feed(
    settings: GatewaySettings,
    open_feed: Callable[[Metrics], Any],
    metrics: Metrics,
    fwd: Forwarder,
    clock: Callable[[], float],
) -> None:
    feed: Feed
    async with open_feed(metrics) as feed, trio.open_nursery() as nursery:
        state = fwd.state
        nursery.start_soon(
            partial(
                keep_announced,
                feed,
                settings.host,
                lambda: state.version,
                state.sleep_until_store_returns,
                address=settings.peer_listen,
            )
        )
        nursery.start_soon(fwd.crash_reporter.run, feed.report_crash)
        nursery.start_soon(_announce_rate_limits, feed, fwd)
        await follow(feed, fwd.state, clock)


async def _announce_rate_limits(feed: Feed, fwd: Forwarder) -> None:
    """Tell the other entries of limits that no entry has told yet."""

    async def announce(notice: RateLimitNotice) -> Result[None]:
        if not fwd.state.rate_limits.needs_announcement(notice):
            return Ok(None)
        written = await feed.announce_rate_limit(notice, NOTICE_LEASE_S)
        return written if isinstance(written, Err) else Ok(None)

    def announce_missing() -> None:
        for notice in fwd.state.rate_limits.missing_notices():
            fwd.rate_limit_notices.put(notice.incarnation, notice)

    fwd.state.on_restore(announce_missing)
    await fwd.rate_limit_notices.run(announce)


def _make_frontend(
    live: LiveSettings,
    header_names: HeaderNames,
    state: TrafficState,
    metrics: Metrics,
    shutdown: _Shutdown,
) -> Frontend:
    settings = live.current
    budgets: dict[str, RetryBudget] = {}

    def budget_of(service: str) -> RetryBudget:
        budget = budgets.setdefault(service, RetryBudget(0.0, 0))
        budget.ratio = live.current.retry_ratio
        # Until the entries are known, take the small share of one in a large fleet.
        entries = len(state.entries) or ENTRY_COUNT_DEFAULT
        budget.minimum = int(live.current.retry_extra / entries)
        return budget

    def is_view_unconfirmed() -> bool:
        limit_s = live.current.view_age_max_s
        return limit_s is not None and state.age_s() > limit_s

    def is_ready() -> bool:
        is_configured = state.routes is not None and not state.is_outdated
        return is_configured and not is_view_unconfirmed()

    crash_reporter = CrashReporter(settings.host, state.crash_evidence)
    state.on_restore(crash_reporter.repeat)
    frontend = Frontend(
        forwarder=Forwarder(
            state,
            header_names,
            settings.place,
            budget_of,
            is_view_unconfirmed,
            crash_reporter,
            Outbox(lambda: random.uniform(*NOTICE_DELAY_S)),
            settings.regions,
            held=HeldBytes(held_limit(settings.memory_bytes)),
        ),
        metrics=metrics,
        is_ready=is_ready,
        # An entry that is not ready also closes connections, so that its callers
        # reconnect to another entry.
        is_draining=lambda: shutdown.draining.is_set() or not is_ready(),
        connections=CallerConnections(
            connections_limit(settings.memory_bytes, settings.descriptors)
        ),
    )
    metrics.gauge("mustardfront_config_version", lambda: float(state.version))
    metrics.gauge("mustardfront_view_age_seconds", state.age_s)
    metrics.gauge(
        "mustardfront_evacuated_places", lambda: float(len(state.evacuated_places))
    )
    metrics.gauge(
        "mustardfront_cold_upstreams", lambda: float(state.warm_ups.cold_count())
    )
    metrics.gauge(
        "mustardfront_caller_connections", lambda: float(frontend.connections.count)
    )
    metrics.gauge(
        "mustardfront_callers_closed", lambda: float(frontend.connections.closed_count)
    )
    places = frontend.forwarder.places
    metrics.gauge(
        "mustardfront_requests_waiting", lambda: float(places.waiting_count())
    )
    metrics.gauge(
        "mustardfront_peers_reporting", lambda: float(state.peer_loads.reporting_count)
    )
    metrics.gauge(
        "mustardfront_requests_in_flight", lambda: float(frontend.open_requests)
    )
    return frontend


async def _serve_http(
    nursery: trio.Nursery,
    settings: GatewaySettings,
    frontend: Frontend,
    shutdown: _Shutdown,
    state: TrafficState,
) -> Err | None:
    """Serve callers, readiness checks and metrics until the process stops."""
    configs = []
    for address in (settings.listen, settings.ready_listen, settings.metrics_listen):
        bound = bind_socket(address)
        if isinstance(bound, Err):
            return Err(Code.ADDRESS_IN_USE, bound.text)
        grace_s = settings.grace_s - settings.deregister_s - EXIT_MARGIN_S
        config = server_config(bound.value, max(0.0, grace_s))
        config.h11_max_incomplete_size = HEADER_MAX_BYTES
        config.include_date_header = False
        config.include_server_header = False
        config.keep_alive_max_requests = 1_000_000
        configs.append(config)
    callers, ready, metrics = configs

    def apply_idle_timeout() -> None:
        if state.routes is not None:
            idle_ms = state.routes.config.limits.idle_timeout_ms
            callers.keep_alive_timeout = idle_ms / 1000 + IDLE_MARGIN_S

    callers.keep_alive_timeout = 60.0
    state.on_change(apply_idle_timeout)
    side_apps = (
        (make_ready_app(frontend), ready),
        (make_metrics_app(frontend.metrics), metrics),
    )
    for app, config in side_apps:
        few = CallerConnections(SIDE_CONNECTIONS_MAX)
        await nursery.start(
            partial(serve_asgi, app, config, shutdown.stopping.wait, few)
        )
    async with trio.open_nursery() as serving:
        await serving.start(
            serve_asgi,
            make_app(frontend),
            callers,
            shutdown.stopping.wait,
            frontend.connections,
        )
        events.log(events.Event.PROCESS_READY, addresses={"listen": settings.listen})
    return None


async def _handle_signals(
    shutdown: _Shutdown,
    live: LiveSettings,
    *,
    task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Drain on SIGTERM or SIGINT; read the settings again on SIGHUP."""
    handled_signals = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
    with trio.open_signal_receiver(*handled_signals) as signals:
        # A signal may have come while it was ignored, since the settings were read.
        live.reload_if_changed()
        task_status.started()
        async for number in signals:
            name = signal.Signals(number).name
            if number == signal.SIGHUP:
                live.reload(name)
            elif not shutdown.draining.is_set():
                events.log(events.Event.PROCESS_DRAINING, cause=name)
                shutdown.draining.set()


async def _stop_after_drain(
    live: LiveSettings, shutdown: _Shutdown, stop: StopDeadline, sink: LogSink
) -> None:
    await shutdown.draining.wait()
    settings = live.current
    open_s = settings.grace_s - EXIT_MARGIN_S - ANSWER_MARGIN_S
    stop.begin(trio.current_time() + open_s)
    await trio.sleep(settings.deregister_s)
    shutdown.stopping.set()
    await trio.sleep(settings.grace_s - settings.deregister_s - EXIT_MARGIN_S / 2)
    # A caller that does not read can block a response despite cancellation.
    events.log(
        events.Event.PROCESS_STOPPED, text="exit forced while responses were still open"
    )
    sink.flush()
    os._exit(0)
