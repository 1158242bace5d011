"""History of a torture run and the checks of its guarantees."""

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
    """A streamed completion request and its response."""

    prompt: str
    tokens: int
    answer: CallerAnswer


@dataclass(frozen=True, slots=True)
class NonIdempotentCall:
    """One attempt of a non-idempotent call; its retries have the same ``record``."""

    record: str
    answer: CallerAnswer


@dataclass(frozen=True, slots=True)
class IdempotentCall:
    """An idempotent call of a plain service and its response."""

    record: str
    answer: CallerAnswer


@dataclass(slots=True)
class History:
    """Everything that the checks need besides the run logs."""

    streams: list[Stream] = field(default_factory=list)
    non_idempotent_calls: list[NonIdempotentCall] = field(default_factory=list)
    idempotent_calls: list[IdempotentCall] = field(default_factory=list)
    # Texts of the tickets that the administration API accepted, by number. The same
    # ticket may be accepted again.
    accepted: dict[int, set[str]] = field(default_factory=dict)
    # Configuration versions that each process put in force, in order.
    versions: dict[str, list[int]] = field(default_factory=dict)
    # Entry URL and trio time in seconds of each graceful shutdown.
    shutdowns: list[tuple[str, float]] = field(default_factory=list)


def read_runs(paths: Iterable[Path]) -> Counter[str]:
    """Return how often each record ran, from the run logs of the plain services."""
    runs: Counter[str] = Counter()
    for path in paths:
        if path.exists():
            runs.update(
                json.loads(line)["id"] for line in path.read_text().splitlines()
            )
    return runs


def find_violations(history: History, runs: Counter[str]) -> list[str]:
    """Return a description of each violation of a guarantee."""
    return [
        *_stream_violations(history.streams),
        *_non_idempotent_violations(history.non_idempotent_calls, runs),
        *_idempotent_violations(history.idempotent_calls),
        *_config_violations(history),
        *_shutdown_violations(history),
    ]


def _shutdown_violations(history: History) -> list[str]:
    """Return requests that were cut off by the graceful shutdown of an entry."""
    sent: list[Stream | NonIdempotentCall | IdempotentCall] = [
        *history.streams,
        *history.non_idempotent_calls,
        *history.idempotent_calls,
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
        expected = answer_text(stream.prompt, stream.tokens)
        if answer.outcome == "answered" and answer.status == 200:
            if answer.answer_text != expected:
                found.append(f"answered, but not the whole answer: {stream.prompt}")
        elif not expected.startswith(answer.answer_text):
            found.append(f"tokens of another answer: {stream.prompt}")
        if answer.indexes != list(range(len(answer.indexes))):
            found.append(f"token lost or doubled: {stream.prompt}")
    return found


def _non_idempotent_violations(
    non_idempotent_calls: list[NonIdempotentCall], runs: Counter[str]
) -> list[str]:
    found = [f"{record} ran {n} times" for record, n in runs.items() if n > 1]
    outcomes: dict[str, set[str]] = {}
    bodies: dict[str, Any] = {}
    for call in non_idempotent_calls:
        outcomes.setdefault(call.record, set()).add(call.answer.outcome)
        body = call.answer.body
        answered = call.answer.outcome == "answered"
        if answered and isinstance(body, dict) and body.get("id") != call.record:
            found.append(f"{call.record} got the answer to {body.get('id')}")
        if answered and bodies.setdefault(call.record, body) != body:
            found.append(f"{call.record} had two answers")
    for record, seen in outcomes.items():
        if seen == {"not-run"} and runs[record]:
            found.append(f"{record} was called not run, but ran")
        if "answered" in seen and not runs[record]:
            found.append(f"{record} was answered, but never ran")
    return found


def _idempotent_violations(idempotent_calls: list[IdempotentCall]) -> list[str]:
    return [
        f"look-up of {call.record} got {call.answer.body}"
        for call in idempotent_calls
        if call.answer.outcome == "answered"
        and (call.answer.body or {}).get("id") != call.record
    ]


def _config_violations(history: History) -> list[str]:
    found = [
        f"{process} went from version {before} to {after}"
        for process, versions in history.versions.items()
        for before, after in itertools.pairwise(versions)
        if after <= before
    ]
    found += [
        f"ticket number {number} was accepted for {len(texts)} tickets: {sorted(texts)}"
        for number, texts in history.accepted.items()
        if len(texts) > 1
    ]
    return found
