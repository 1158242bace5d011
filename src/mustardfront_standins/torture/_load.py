"""Callers that send random requests and retry those that may not have run."""

from __future__ import annotations

import random
from collections.abc import Callable

import trio

from mustardfront_standins.caller import Caller, CallerAnswer
from mustardfront_standins.deployments import NETZWERK, new_key
from mustardfront_standins.system import System
from mustardfront_standins.torture._history import (
    History,
    IdempotentCall,
    NonIdempotentCall,
    Stream,
)

_MAX_TOKENS = 120
_MAX_ATTEMPTS = 3


async def run_callers(
    system: System,
    caller: Caller,
    history: History,
    seed: int,
    count: int,
    stopped: Callable[[], bool],
) -> None:
    """Run ``count`` callers until ``stopped``, each with one request at a time."""
    async with trio.open_nursery() as nursery:
        for number in range(count):
            rng = random.Random(f"caller-{seed}-{number}")
            nursery.start_soon(
                _run_caller, system, caller, history, rng, f"{seed}-{number}", stopped
            )


async def _run_caller(
    system: System,
    caller: Caller,
    history: History,
    rng: random.Random,
    name: str,
    stopped: Callable[[], bool],
) -> None:
    number = 0
    while not stopped():
        number += 1
        kind = rng.random()
        title = f"{name}-{number}"
        if kind < 0.5:
            await _request_stream(system, caller, history, rng, title)
        elif kind < 0.85:
            await _send_non_idempotent_call(system, caller, history, rng, title)
        else:
            await _send_idempotent_call(system, caller, history, rng, title)
        await trio.sleep(rng.uniform(0.0, 0.1))


async def _request_stream(
    system: System, caller: Caller, history: History, rng: random.Random, title: str
) -> None:
    prompt, tokens = f"draft {title}", rng.randint(1, _MAX_TOKENS)
    answer = await caller.complete(
        rng.choice(system.entry_urls),
        rng.choice(NETZWERK.teams),
        NETZWERK.model,
        prompt,
        tokens,
        {"x-deadline-ms": "15000"},
    )
    history.streams.append(Stream(prompt, tokens, answer))


async def _send_non_idempotent_call(
    system: System, caller: Caller, history: History, rng: random.Random, title: str
) -> None:
    """Send a call with one key; retry through random entries until it is answered."""
    record, key = f"b-{title}", new_key()
    team = rng.choice(NETZWERK.teams)
    for _ in range(_MAX_ATTEMPTS):
        answer = await caller.call(
            rng.choice(system.entry_urls),
            "POST",
            f"/s/{NETZWERK.plain}/records/{record}",
            team,
            b"{}",
            {"idempotency-key": key, "x-deadline-ms": "5000"},
        )
        history.non_idempotent_calls.append(NonIdempotentCall(record, answer))
        # Some answered calls are repeated, as if the caller had missed the answer.
        if answer.outcome == "answered" and rng.random() < 0.7:
            return
        await trio.sleep(rng.uniform(0.0, 0.5))


async def _send_idempotent_call(
    system: System, caller: Caller, history: History, rng: random.Random, title: str
) -> None:
    record = f"r-{title}"
    answer: CallerAnswer = await caller.call(
        rng.choice(system.entry_urls),
        "GET",
        f"/s/{NETZWERK.plain}/records/{record}",
        rng.choice(NETZWERK.teams),
        headers={"x-deadline-ms": "5000"},
    )
    history.idempotent_calls.append(IdempotentCall(record, answer))
