"""What callers sent and saw, and what the upstreams ran."""

from __future__ import annotations

import itertools
import json
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from mustardfront_standins.caller import CallerAnswer
from mustardfront_standins.tokens import answer_text


@dataclass(frozen=True, slots=True)
class Stream:
    """A completion that a caller asked for, and what it got."""

    prompt: str
    tokens: int
    answer: CallerAnswer


@dataclass(frozen=True, slots=True)
class Booking:
    """One sending of a non-idempotent call; resends share ``record``."""

    record: str
    answer: CallerAnswer


@dataclass(frozen=True, slots=True)
class LookUp:
    """An idempotent call of a plain service."""

    record: str
    answer: CallerAnswer


@dataclass(slots=True)
class History:
    """Everything that the checks read."""

    streams: list[Stream] = field(default_factory=list)
    bookings: list[Booking] = field(default_factory=list)
    look_ups: list[LookUp] = field(default_factory=list)
    # Tickets that the administration API called accepted.
    accepted: list[int] = field(default_factory=list)
    # Configuration versions in force, in order, of each process that ever ran.
    versions: dict[str, list[int]] = field(default_factory=dict)
    # Entry's URL and time in seconds of each orderly shutdown.
    shutdowns: list[tuple[str, float]] = field(default_factory=list)


def read_runs(paths: Iterable[Path]) -> Counter[str]:
    """Return how often each record ran, from the plain services' run logs."""
    runs: Counter[str] = Counter()
    for path in paths:
        if path.exists():
            runs.update(
                json.loads(line)["id"] for line in path.read_text().splitlines()
            )
    return runs


def violations(history: History, runs: Counter[str]) -> list[str]:
    """Return each guarantee that was broken, with its evidence."""
    return [
        *_stream_violations(history.streams),
        *_booking_violations(history.bookings, runs),
        *_look_up_violations(history.look_ups),
        *_config_violations(history),
        *_shutdown_violations(history),
    ]


def _shutdown_violations(history: History) -> list[str]:
    """Return requests that an entry's orderly shutdown cut off."""
    sent: list[Stream | Booking | LookUp] = [
        *history.streams,
        *history.bookings,
        *history.look_ups,
    ]
    return [
        f"shutdown of {url} cut off a request: {item.answer.text}"
        for url, at_s in history.shutdowns
        for item in sent
        if item.answer.entry == url
        and item.answer.code == 0
        and item.answer.began_s < at_s < item.answer.began_s + item.answer.elapsed_s
    ]


def _stream_violations(streams: list[Stream]) -> list[str]:
    found: list[str] = []
    for stream in streams:
        answer = stream.answer
        whole = answer_text(stream.prompt, stream.tokens)
        if answer.outcome == "answered" and answer.status == 200:
            if answer.answer_text != whole:
                found.append(f"answered, but not the whole answer: {stream.prompt}")
        elif not whole.startswith(answer.answer_text):
            found.append(f"tokens of another answer: {stream.prompt}")
        if answer.indexes != list(range(len(answer.indexes))):
            found.append(f"token lost or doubled: {stream.prompt}")
    return found


def _booking_violations(bookings: list[Booking], runs: Counter[str]) -> list[str]:
    found = [f"{record} ran {n} times" for record, n in runs.items() if n > 1]
    outcomes: dict[str, set[str]] = {}
    bodies: dict[str, Any] = {}
    for booking in bookings:
        outcomes.setdefault(booking.record, set()).add(booking.answer.outcome)
        body = booking.answer.body
        answered = booking.answer.outcome == "answered"
        if answered and isinstance(body, dict) and body.get("id") != booking.record:
            found.append(f"{booking.record} got the answer to {body.get('id')}")
        if answered and bodies.setdefault(booking.record, body) != body:
            found.append(f"{booking.record} had two answers")
    for record, seen in outcomes.items():
        if seen == {"not-run"} and runs[record]:
            found.append(f"{record} was called not run, but ran")
        if "answered" in seen and not runs[record]:
            found.append(f"{record} was answered, but never ran")
    return found


def _look_up_violations(look_ups: list[LookUp]) -> list[str]:
    return [
        f"look-up of {look_up.record} got {look_up.answer.body}"
        for look_up in look_ups
        if look_up.answer.outcome == "answered"
        and (look_up.answer.body or {}).get("id") != look_up.record
    ]


def _config_violations(history: History) -> list[str]:
    found = [
        f"{process} went from version {before} to {after}"
        for process, versions in history.versions.items()
        for before, after in itertools.pairwise(versions)
        if after <= before
    ]
    if len(set(history.accepted)) != len(history.accepted):
        found.append(f"a ticket number was accepted twice: {history.accepted}")
    return found
