"""Numbered, structured log events, as listed in ``docs/log-events.md``."""

from __future__ import annotations

import sys
import traceback
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from enum import IntEnum
from typing import Any

import eliot
from eliot import FileDestination

JsonValue = Any
# Long tracebacks are cut at the start, because the exception is at the end.
_TRACEBACK_MAX_CHARS = 2_000


class Event(IntEnum):
    """Event numbers; the first digit is the class.

    1xx process, 2xx peers, 3xx requests, 4xx configuration, 5xx expert maps,
    6xx placements.
    """

    PROCESS_STARTED = 100
    PROCESS_READY = 101
    PROCESS_DRAINING = 102
    PROCESS_STOPPED = 103
    SETTING_REFUSED = 104
    TASK_FAILED = 105
    SETTINGS_KEPT = 106
    SETTINGS_RELOADED = 107

    PEER_CONNECTED = 200
    PEER_CLOSED = 201
    PEER_REFUSED = 202
    PEER_BAD_MESSAGE = 203
    LATE_MESSAGE_DROPPED = 204
    PEER_SILENT = 205

    ROUTE_CHOSEN = 300
    REQUEST_FINISHED = 301
    REQUEST_REFUSED = 302
    REQUEST_RETRIED = 303
    STREAM_RESUMED = 304
    UPSTREAM_EJECTED = 305
    UPSTREAM_RETURNED = 306
    UPSTREAM_LEAVING = 307
    UPSTREAM_STATE = 308
    LIMIT_CHANGED = 309
    CRASH_SUSPECTED = 310
    REQUEST_HELD = 311
    CLAIM_WRITTEN = 312
    CLAIM_REFUSED = 313
    PARTITION_OWNED = 314
    PARTITION_RELEASED = 315
    ATTEMPT_CLOSED = 316
    CRASH_REPORTED = 317
    RATE_LIMIT_CHANGED = 318
    RETRY_AFTER_RECEIVED = 319
    UPSTREAM_COLD = 320
    CALLER_CLOSED = 321

    CONFIG_IN_FORCE = 400
    CONFIG_STALE_IGNORED = 401
    TICKET_ACCEPTED = 402
    TICKET_REFUSED = 403
    TICKET_UNKNOWN = 404
    WATCHER_CHANGED = 405
    STORE_UNAVAILABLE = 406
    STORE_RETURNED = 407
    HOSTS_CHANGED = 408
    HOSTS_UNAVAILABLE = 409
    CONFIG_MISSING = 410
    OPERATORS_CHANGED = 411
    OPERATORS_UNREADABLE = 412
    RECORD_IGNORED = 413
    STORE_RESTORED = 414
    VIEW_READ = 415
    TICKETS_WRITTEN_AGAIN = 416
    PLACE_EVACUATED = 417
    PLACE_TAKEN_BACK = 418

    MAP_PLANNED = 500
    MAP_PREPARED = 501
    MAP_DECIDED = 502
    MAP_KEPT = 503
    COORDINATOR_CHANGED = 504
    RANK_ORDER_REFUSED = 505
    MAP_RECOVERED = 506
    MAP_ROUND_SKIPPED = 507
    HOLD_TAKEN_OVER = 508

    PLACEMENT_DECIDED = 600


Listener = Callable[[Event, dict[str, JsonValue]], None]
_listeners: list[Listener] = []


Destination = Callable[[dict[str, Any]], None]


def start_logging(
    program: str, destination: Destination | None = None, **context: JsonValue
) -> None:
    """Write events as JSON lines to ``destination``, by default standard error.

    Each line has the program's name and the fields of ``context``.
    """
    eliot.add_destinations(destination or FileDestination(file=sys.stderr))
    eliot.add_global_fields(program=program, **context)


def add_listener(listener: Listener) -> None:
    """Pass each event to ``listener`` too; ``explain`` records decisions this way."""
    _listeners.append(listener)


def remove_listener(listener: Listener) -> None:
    """Stop passing events to ``listener``."""
    _listeners.remove(listener)


def log(event: Event, **fields: JsonValue) -> None:
    """Write one numbered event with its fields."""
    eliot.log_message(
        message_type=event.name.lower().replace("_", "-"), event=int(event), **fields
    )
    for listener in _listeners:
        listener(event, fields)


@contextmanager
def log_exceptions(task: str) -> Iterator[None]:
    """Log and suppress exceptions raised in the context.

    For tasks that serve one connection: an error there must not end the process. It may
    come in a group with the cancellation of the task, which goes on.
    """
    try:
        yield
    except* Exception as exc:
        text = "".join(traceback.format_exception(exc))[-_TRACEBACK_MAX_CHARS:]
        log(Event.TASK_FAILED, task=task, text=text)
