"""A fleet under load is upgraded from the previous protocol version, host by host."""

import random

import trio

from mustardfront_standins.caller import Caller
from mustardfront_standins.deployments import NETZWERK, first_ticket, new_key
from mustardfront_standins.fleet import Fleet
from mustardfront_standins.previous import LAUNCHER
from mustardfront_standins.system import System, start_system
from mustardfront_standins.torture._history import (
    Booking,
    History,
    Stream,
    read_runs,
    violations,
)

LIMIT_S = 150
CALLERS = 6
RESENDS = 40


async def ready_entry(system: System, caller: Caller, rng: random.Random) -> str:
    """Return an entry as the platform's balancer chooses it: by its readiness."""
    while True:
        for url in rng.sample(system.entry_urls, len(system.entry_urls)):
            try:
                if (await caller.get(url, "/readyz"))[0] == 200:
                    return url
            except Exception:
                # An entry that does not listen is out of the balancer's rotation.
                continue
        await trio.sleep(0.05)


async def call_until(system, caller, history, number: int, done: trio.Event) -> None:
    rng = random.Random(f"upgrade-{number}")
    count = 0
    while not done.is_set():
        count += 1
        prompt, tokens = f"draft {number}-{count}", rng.randint(1, 150)
        url = await ready_entry(system, caller, rng)
        team = rng.choice(NETZWERK.teams)
        answer = await caller.complete(url, team, NETZWERK.model, prompt, tokens)
        history.streams.append(Stream(prompt, tokens, answer))
        await book(system, caller, history, rng, f"b-{number}-{count}")


async def book(system, caller, history, rng, record: str) -> None:
    key = {"idempotency-key": new_key()}
    path = f"/s/{NETZWERK.plain}/records/{record}"
    for _ in range(RESENDS):
        url = await ready_entry(system, caller, rng)
        answer = await caller.call(url, "POST", path, NETZWERK.teams[0], b"{}", key)
        history.bookings.append(Booking(record, answer))
        if answer.outcome == "answered":
            return
        await trio.sleep(0.2)


async def test_upgrade_of_a_fleet_loses_and_doubles_nothing():
    # Guards guarantee 6: both versions side by side, and each restart under load.
    plans = NETZWERK.upstreams(3, 3)
    history, done = History(), trio.Event()
    with trio.fail_after(LIMIT_S):
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
                for number in range(CALLERS):
                    nursery.start_soon(
                        call_until, system, caller, history, number, done
                    )
                await trio.sleep(1)
                system.launcher = ()
                order = sorted(names, key=lambda name: not name.startswith("entry-"))
                codes = [await system.restart(name) for name in order]
                await trio.sleep(1)
                done.set()
            runs = read_runs(fleet.folder / f"{plan.name}.runs" for plan in plans)
    assert codes == [0] * len(names)
    assert violations(history, runs) == []
    cut = [item.answer for item in history.streams if item.answer.code != 1000]
    assert cut == []
    records = {item.record for item in history.bookings}
    answered = {b.record for b in history.bookings if b.answer.outcome == "answered"}
    assert answered == records and {runs[record] for record in records} == {1}
