"""Callers that keep sending requests, and resend what may not have run."""

from __future__ import annotations

import random
from collections.abc import Callable

import trio

from mustardfront_standins.caller import Caller, CallerAnswer
from mustardfront_standins.deployments import NETZWERK, new_key
from mustardfront_standins.system import System
from mustardfront_standins.torture._history import Booking, History, LookUp, Stream

_TOKENS_MAX = 120
_RESENDS = 3


async def run_callers(
    system: System,
    caller: Caller,
    history: History,
    seed: int,
    count: int,
    stopped: Callable[[], bool],
) -> None:
    """Run ``count`` callers until ``stopped``; each waits for its answers."""
    async with trio.open_nursery() as nursery:
        for number in range(count):
            rng = random.Random(f"caller-{seed}-{number}")
            nursery.start_soon(
                _caller, system, caller, history, rng, f"{seed}-{number}", stopped
            )


async def _caller(
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
            await _stream(system, caller, history, rng, title)
        elif kind < 0.85:
            await _booking(system, caller, history, rng, title)
        else:
            await _look_up(system, caller, history, rng, title)
        await trio.sleep(rng.uniform(0.0, 0.1))


async def _stream(
    system: System, caller: Caller, history: History, rng: random.Random, title: str
) -> None:
    prompt, tokens = f"draft {title}", rng.randint(1, _TOKENS_MAX)
    answer = await caller.complete(
        rng.choice(system.entry_urls),
        rng.choice(NETZWERK.teams),
        NETZWERK.model,
        prompt,
        tokens,
        {"x-deadline-ms": "15000"},
    )
    history.streams.append(Stream(prompt, tokens, answer))


async def _booking(
    system: System, caller: Caller, history: History, rng: random.Random, title: str
) -> None:
    """Book once; resend with the same key through any entry until it is answered."""
    record, key = f"b-{title}", new_key()
    team = rng.choice(NETZWERK.teams)
    for _ in range(_RESENDS):
        answer = await caller.call(
            rng.choice(system.entry_urls),
            "POST",
            f"/s/{NETZWERK.plain}/records/{record}",
            team,
            b"{}",
            {"idempotency-key": key, "x-deadline-ms": "5000"},
        )
        history.bookings.append(Booking(record, answer))
        # Some callers resend what was answered, as one does whose answer was lost.
        if answer.outcome == "answered" and rng.random() < 0.7:
            return
        await trio.sleep(rng.uniform(0.0, 0.5))


async def _look_up(
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
    history.look_ups.append(LookUp(record, answer))
