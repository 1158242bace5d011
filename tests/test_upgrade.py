"""Upgrade of a fleet under load from the previous protocol version."""

import random

import trio

from mustardfront_standins.caller import Caller
from mustardfront_standins.deployments import NETZWERK, first_ticket, new_key
from mustardfront_standins.fleet import Fleet
from mustardfront_standins.previous import LAUNCHER
from mustardfront_standins.system import System, start_system
from mustardfront_standins.torture._history import (
    History,
    NonIdempotentCall,
    Stream,
    find_violations,
    read_runs,
)

TIMEOUT_S = 150
CALLER_COUNT = 6
MAX_ATTEMPTS = 40


async def wait_ready_entry(system: System, caller: Caller, rng: random.Random) -> str:
    """Wait for a ready entry and return its URL, as the platform's balancer does."""
    while True:
        for url in rng.sample(system.entry_urls, len(system.entry_urls)):
            try:
                if (await caller.get(url, "/readyz"))[0] == 200:
                    return url
            except Exception:
                # The balancer skips an entry that does not accept connections.
                continue
        await trio.sleep(0.05)


async def send_calls_until(
    system, caller, history, number: int, done: trio.Event
) -> None:
    rng = random.Random(f"upgrade-{number}")
    count = 0
    while not done.is_set():
        count += 1
        prompt, tokens = f"draft {number}-{count}", rng.randint(1, 150)
        url = await wait_ready_entry(system, caller, rng)
        team = rng.choice(NETZWERK.teams)
        answer = await caller.complete(url, team, NETZWERK.model, prompt, tokens)
        history.streams.append(Stream(prompt, tokens, answer))
        await send_non_idempotent_call(
            system, caller, history, rng, f"b-{number}-{count}"
        )


async def send_non_idempotent_call(system, caller, history, rng, record: str) -> None:
    key = {"idempotency-key": new_key()}
    path = f"/s/{NETZWERK.plain}/records/{record}"
    for _ in range(MAX_ATTEMPTS):
        url = await wait_ready_entry(system, caller, rng)
        answer = await caller.call(url, "POST", path, NETZWERK.teams[0], b"{}", key)
        history.non_idempotent_calls.append(NonIdempotentCall(record, answer))
        if answer.outcome == "answered":
            return
        await trio.sleep(0.2)


async def test_upgrade_loses_and_repeats_no_request():
    """Guards guarantee 6: an upgrade under load loses and repeats no request.

    The programs restart one after the other, so both versions run side by side.
    """
    plans = NETZWERK.upstreams(3, 3)
    history, done = History(), trio.Event()
    with trio.fail_after(TIMEOUT_S):
        async with Fleet() as fleet, Caller() as caller:

            def upstream_args(plan):
                if plan.kind == "model":
                    return ("--step-ms", "5")
                return ("--run-log", str(fleet.folder / f"{plan.name}.runs"))

            system = await start_system(fleet, plans, 2, upstream_args, LAUNCHER)
            ticket = first_ticket((NETZWERK,), plans, system.sidecar_addresses)
            await system.submit(ticket)
            assert await system.in_force_everywhere(1, 12.0)
            names = [name for name, _ in system.programs()]
            async with trio.open_nursery() as nursery:
                for number in range(CALLER_COUNT):
                    nursery.start_soon(
                        send_calls_until, system, caller, history, number, done
                    )
                await trio.sleep(1)
                system.launcher = ()
                restart_order = sorted(
                    names, key=lambda name: not name.startswith("entry-")
                )
                codes = [await system.restart(name) for name in restart_order]
                await trio.sleep(1)
                done.set()
            runs = read_runs(fleet.folder / f"{plan.name}.runs" for plan in plans)
    assert codes == [0] * len(names)
    assert find_violations(history, runs) == []
    not_answered = [item.answer for item in history.streams if item.answer.code != 1000]
    assert not_answered == []
    records = {item.record for item in history.non_idempotent_calls}
    answered = {
        b.record for b in history.non_idempotent_calls if b.answer.outcome == "answered"
    }
    assert answered == records and {runs[record] for record in records} == {1}
