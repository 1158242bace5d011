"""Random faults: kills, freezes, outages, broken links, drains and restarts."""

from __future__ import annotations

import json
import random
import signal
from collections import Counter
from collections.abc import Awaitable, Callable, Mapping
from typing import Final

import trio

from mustardfront_standins.deployments import UpstreamPlan, drain_ticket
from mustardfront_standins.fleet import FleetProcess
from mustardfront_standins.system import System
from mustardfront_standins.torture._history import History
from mustardfront_standins.torture._proxy import Link

_MAX_SUBMIT_ATTEMPTS: Final = 6
_ENDS_OF_WITNESSES: Final = (
    "sidecar killed",
    "sidecar shut down",
    "admin killed",
)


class FaultInjector:
    """Injects random faults and counts them by kind.

    ``links`` maps upstream names to the proxies between entries and sidecars. With
    ``restores`` the store also goes back to older copies of its data, and no process
    ends that alone may know what was lost: claims of its sidecar, or a ticket.
    """

    def __init__(
        self,
        system: System,
        history: History,
        rng: random.Random,
        upstream_args: Callable[[UpstreamPlan], tuple[str, ...]],
        links: Mapping[str, Link],
        *,
        restores: bool = False,
    ) -> None:
        self.counts: Counter[str] = Counter()
        self._system = system
        self._history = history
        self._rng = rng
        self._upstream_args = upstream_args
        self._links = links
        self._last_ticket = 1
        self._restarting_entries: set[int] = set()
        self._starting_upstreams: set[str] = set()
        self._fault_functions: dict[str, Callable[[], Awaitable[None]]] = {
            "engine killed": self._kill_upstream,
            "sidecar killed": self._kill_sidecar,
            "sidecar frozen": self._freeze_sidecar,
            "upstream frozen": self._freeze_upstream,
            "sidecar shut down": self._shut_down_sidecar,
            "admin killed": self._kill_admin,
            "entry killed": self._kill_entry,
            "entry shut down": self._shut_down_entry,
            "store outage": self._store_outage,
            "store slow": self._store_slow,
            "store answers lost": self._store_lost_answers,
            "host drained and back": self._drain_host,
            "link delayed": self._delay_link,
            "link reset": self._reset_link,
            "link cut one way": self._block_link_one_way,
            "link silenced": self._block_link_both_ways,
        }
        if restores:
            for kind in _ENDS_OF_WITNESSES:
                del self._fault_functions[kind]
            self._fault_functions["store restored"] = self._restore_store

    async def run(self, stopped: Callable[[], bool]) -> None:
        """Inject faults, some of them concurrently, until ``stopped`` returns true."""
        async with trio.open_nursery() as nursery:
            while not stopped():
                kind = self._rng.choice(sorted(self._fault_functions))
                self.counts[kind] += 1
                if self._rng.random() < 0.3:
                    nursery.start_soon(self._fault_functions[kind])
                else:
                    await self._fault_functions[kind]()
                await trio.sleep(self._rng.uniform(0.2, 1.0))

    def _choose_plan(self, kind: str = "") -> UpstreamPlan:
        candidates = [plan for plan in self._system.plans if kind in ("", plan.kind)]
        return self._rng.choice(candidates)

    def _process(self, name: str) -> FleetProcess:
        return self._system.fleet.processes[name]

    async def _kill_upstream(self) -> None:
        plan = self._choose_plan()
        process = self._process(f"engine-{plan.name}")
        # A second kill before the upstream is ready would make its start fail.
        if plan.name in self._starting_upstreams or process.process.poll() is not None:
            return
        self._starting_upstreams.add(plan.name)
        process.kill()
        await process.process.wait()
        await trio.sleep(self._rng.uniform(0.0, 1.0))
        await self._system.start_upstream(plan, self._upstream_args(plan))
        self._starting_upstreams.discard(plan.name)

    async def _kill_sidecar(self) -> None:
        plan = self._choose_plan()
        process = self._process(f"sidecar-{plan.name}")
        if process.process.poll() is not None:
            return
        process.kill()
        await process.process.wait()
        self._record_versions(process)
        await self._system.start_sidecar(plan)

    async def _shut_down_sidecar(self) -> None:
        plan = self._choose_plan()
        process = self._process(f"sidecar-{plan.name}")
        if process.process.poll() is not None:
            return
        await self._system.fleet.stop(process)
        self._record_versions(process)
        await self._system.start_sidecar(plan)

    async def _freeze_sidecar(self) -> None:
        await self._freeze(self._process(f"sidecar-{self._choose_plan().name}"))

    async def _freeze_upstream(self) -> None:
        await self._freeze(self._process(f"engine-{self._choose_plan().name}"))

    async def _freeze(self, process: FleetProcess) -> None:
        process.send_signal(signal.SIGSTOP)
        await trio.sleep(self._rng.uniform(0.2, 8.0))
        process.send_signal(signal.SIGCONT)

    async def _kill_admin(self) -> None:
        process = self._process("admin")
        if process.process.poll() is not None:
            return
        process.kill()
        await process.process.wait()
        self._record_versions(process)
        await self._system.start_admin()

    async def _kill_entry(self) -> None:
        await self._restart_entry(signal.SIGKILL)

    async def _shut_down_entry(self) -> None:
        await self._restart_entry(signal.SIGTERM)

    async def _restart_entry(self, number: signal.Signals) -> None:
        index = self._rng.randrange(len(self._system.entry_urls))
        process = self._process(f"entry-{index + 1}")
        if index in self._restarting_entries or process.process.poll() is not None:
            return
        self._restarting_entries.add(index)
        if number == signal.SIGTERM:
            shutdown = (self._system.entry_urls[index], trio.current_time())
            self._history.shutdowns.append(shutdown)
        process.send_signal(number)
        with trio.move_on_after(20):
            await process.process.wait()
        if process.process.poll() is None:
            process.kill()
            await process.process.wait()
        self._record_versions(process)
        await self._system.restart_entry(index)
        self._restarting_entries.discard(index)

    async def _store_outage(self) -> None:
        outage = self._rng.choice(["unavailable", "cut", "hang"])
        await self._system.set_kv_faults(outage=outage)
        await trio.sleep(self._rng.uniform(0.5, 5.0))
        await self._system.set_kv_faults(outage="")

    async def _restore_store(self) -> None:
        await self._system.set_kv_faults(outage="cut")
        await trio.sleep(self._rng.uniform(0.0, 3.0))
        await self._system.restore_kv(self._rng.uniform(0.5, 8.0))
        await self._system.set_kv_faults(outage="")
        # Tickets are refused until a process has written the lost ones again.
        await trio.sleep(self._rng.uniform(8.0, 10.0))

    async def _store_slow(self) -> None:
        await self._system.set_kv_faults(delay_ms=self._rng.uniform(50, 600))
        await trio.sleep(self._rng.uniform(0.5, 3.0))
        await self._system.set_kv_faults(delay_ms=0)

    async def _store_lost_answers(self) -> None:
        await self._system.set_kv_faults(lose_answers=self._rng.randint(1, 3))

    def _choose_link(self) -> Link:
        return self._links[self._rng.choice(sorted(self._links))]

    async def _delay_link(self) -> None:
        link = self._choose_link()
        link.delay_s = self._rng.uniform(0.02, 0.5)
        await trio.sleep(self._rng.uniform(0.5, 4.0))
        link.restore()

    async def _reset_link(self) -> None:
        self._choose_link().reset()

    async def _block_link_one_way(self) -> None:
        await self._block_link(self._rng.choice(["up", "down"]))

    async def _block_link_both_ways(self) -> None:
        await self._block_link("up", "down")

    async def _block_link(self, *directions: str) -> None:
        link = self._choose_link()
        link.block(*directions)
        await trio.sleep(self._rng.uniform(0.2, 10.0))
        link.restore()

    async def _drain_host(self) -> None:
        plan = self._choose_plan()
        for state in ("draining", "active"):
            await self._submit(plan, state)
            await trio.sleep(self._rng.uniform(0.2, 1.0))

    async def _submit(self, plan: UpstreamPlan, state: str) -> None:
        """Submit a ticket; retry if its result is unknown or its number is taken."""
        for _ in range(_MAX_SUBMIT_ATTEMPTS):
            number = self._last_ticket + 1
            ticket = drain_ticket(number, plan)
            ticket["set"]["hosts"][plan.host]["state"] = state
            if await self._system.try_submit(ticket) == 0:
                self._last_ticket = max(self._last_ticket, number)
                text = json.dumps(ticket, sort_keys=True)
                self._history.accepted.setdefault(number, set()).add(text)
                return
            await trio.sleep(1.0)

    def _record_versions(self, process: FleetProcess) -> None:
        self._history.versions[f"{process.name}/{process.pid}"] = process.versions()
