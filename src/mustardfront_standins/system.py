"""A whole local system: stand-ins, entries, sidecars and the administration API."""

from __future__ import annotations

import hashlib
import json
import os
import secrets
import subprocess
import sys
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass
from typing import Any, Final

import httpcore
import trio

from mustardfront_standins.deployments import UpstreamPlan
from mustardfront_standins.fleet import Fleet, FleetProcess, free_port, poll_until

# The author of the deployments' tickets.
OPERATOR: Final = "operator"
EngineArgs = Callable[[UpstreamPlan], Sequence[str]]


def _no_args(_: UpstreamPlan) -> Sequence[str]:
    return ()


@dataclass(slots=True)
class System:
    """Addresses and processes of a running system."""

    fleet: Fleet
    plans: tuple[UpstreamPlan, ...]
    kv_url: str
    hosts_url: str
    key_file: str
    # The admin process's operators, and the token of the one that runs the commands.
    operators_file: str
    token_file: str
    admin_url: str
    entry_urls: list[str]
    # Operators' addresses of the entries.
    ops_urls: list[str]
    sidecar_addresses: Mapping[str, str]
    upstream_urls: dict[str, str]
    # Place and peer address of each entry.
    entry_peers: list[tuple[str, str]]
    # Place and peer address of the administration API.
    admin_peer: tuple[str, str] = ("", "")
    # Module and arguments that start a program in place of the program's own module.
    launcher: tuple[str, ...] = ()

    def programs(self) -> list[tuple[str, FleetProcess]]:
        """Return the project's own processes that were started, by name."""
        own = ("entry-", "sidecar-", "admin")
        return [
            (name, proc)
            for name, proc in self.fleet.processes.items()
            if name.startswith(own)
        ]

    async def run_cli(self, *args: str) -> tuple[int, str]:
        """Run the operators' command line; return its exit code and what it printed."""
        result = await trio.run_process(
            [sys.executable, "-m", "mustardfront.programs.cli", *args],
            capture_stdout=True,
            capture_stderr=True,
            stdin=subprocess.DEVNULL,
            check=False,
            env={
                **os.environ,
                "MUSTARDFRONT_ADMIN": self.admin_url,
                "MUSTARDFRONT_TOKEN_FILE": self.token_file,
                "MUSTARDFRONT_ENTRY": self.ops_urls[0],
            },
        )
        text = (result.stdout + result.stderr).decode()
        return result.returncode, text.rstrip()

    async def cli(self, *args: str) -> str:
        """Run the command line; raise RuntimeError when it does not end with 0."""
        code, text = await self.run_cli(*args)
        if code:
            raise RuntimeError(f"{args} ended with {code}: {text}")
        return text

    async def submit(self, ticket: Mapping[str, Any]) -> str:
        """Submit a ticket that must be accepted."""
        return await self.cli("ticket", "submit", self._ticket_file(ticket))

    async def try_submit(self, ticket: Mapping[str, Any]) -> int:
        """Submit a ticket and return the command's exit code; 0 is accepted."""
        code, _ = await self.run_cli("ticket", "submit", self._ticket_file(ticket))
        return code

    def _ticket_file(self, ticket: Mapping[str, Any]) -> str:
        name = f"ticket-{ticket['ticket']}.json"
        return str(self.fleet.write(name, json.dumps(ticket, indent=2)))

    async def in_force_everywhere(self, version: int, timeout_s: float) -> bool:
        """Wait until every live process of the system logged this version."""

        async def reached() -> bool:
            return all(
                any(
                    event.get("message_type") == "config-in-force"
                    and event["version"] >= version
                    for event in proc.events
                )
                for _, proc in self.programs()
                if proc.process.poll() is None
            )

        return await poll_until(reached, timeout_s)

    async def control_kv(self, **faults: Any) -> None:
        """Set faults of the key-value stand-in."""
        await _post(f"{self.kv_url}/control/faults", faults)

    async def announce(
        self, name: str, place: str, role: str, address: str, state: str = "live"
    ) -> None:
        """Put a host into the host list."""
        entry = {"place": place, "role": role, "address": address, "state": state}
        await _put(f"{self.hosts_url}/v1/hosts/{name}", entry)

    async def start_upstream(self, plan: UpstreamPlan, args: Sequence[str]) -> None:
        """Start an upstream, at its old address when it ran before."""
        url = self.upstream_urls.get(plan.name, "http://127.0.0.1:0")
        module = "engine" if plan.kind == "model" else "plain"
        proc = await self.fleet.start_standin(
            f"engine-{plan.name}",
            module,
            "--listen",
            url.removeprefix("http://"),
            *args,
        )
        self.upstream_urls[plan.name] = proc.ready["url"]

    async def start_sidecar(self, plan: UpstreamPlan) -> FleetProcess:
        """Start the sidecar of an upstream."""
        return await self.fleet.start(
            f"sidecar-{plan.name}",
            *self._program("sidecar"),
            *self._common(plan.host, plan.place, self.sidecar_addresses[plan.name]),
            "--upstream-name",
            plan.name,
            "--upstream-url",
            self.upstream_urls[plan.name],
        )

    async def start_entry(
        self, number: int, place: str, peer_listen: str
    ) -> FleetProcess:
        """Start an entry; ``number`` is its index in ``entry_urls``."""
        return await self.fleet.start(
            f"entry-{number + 1}",
            *self._program("entry"),
            "--listen",
            self.entry_urls[number].removeprefix("http://"),
            "--ops-listen",
            self.ops_urls[number].removeprefix("http://"),
            *self._common(f"entry-host-{number + 1}", place, peer_listen),
        )

    async def restart(self, name: str) -> int:
        """Shut a program down in order and start it again; return its exit code."""
        code = await self.fleet.stop(self.fleet.processes[name])
        if name == "admin":
            proc = await self.start_admin()
        elif name.startswith("entry-"):
            proc = await self.restart_entry(int(name.removeprefix("entry-")) - 1)
        else:
            upstream = name.removeprefix("sidecar-")
            plan = next(plan for plan in self.plans if plan.name == upstream)
            proc = await self.start_sidecar(plan)
        await self.fleet.until(proc, lambda: _is_ready(proc))
        return code

    async def restart_entry(self, number: int) -> FleetProcess:
        """Start an ended entry again at its old addresses."""
        place, peer_listen = self.entry_peers[number]
        return await self.start_entry(number, place, peer_listen)

    async def start_admin(self) -> FleetProcess:
        """Start the administration API, at its old addresses when it ran before."""
        place, peer_listen = self.admin_peer
        return await self.fleet.start(
            "admin",
            *self._program("admin"),
            "--listen",
            self.admin_url.removeprefix("http://"),
            "--token-file",
            self.operators_file,
            *self._common("admin-host", place, peer_listen),
        )

    def _program(self, role: str) -> tuple[str, ...]:
        return (*self.launcher, f"mustardfront.programs.{role}")

    def _common(self, host: str, place: str, peer_listen: str) -> tuple[str, ...]:
        return (
            "--peer-listen",
            peer_listen,
            "--host",
            host,
            "--place",
            place,
            "--kv",
            self.kv_url,
            "--host-list",
            self.hosts_url,
            "--key-file",
            self.key_file,
        )


async def start_system(
    fleet: Fleet,
    plans: tuple[UpstreamPlan, ...],
    entries: int = 2,
    engine_args: EngineArgs = _no_args,
    launcher: tuple[str, ...] = (),
) -> System:
    """Start everything and wait until each process says that it is ready."""
    kv = await fleet.start_standin("kv", "kv", "--listen", "127.0.0.1:0")
    hosts = await fleet.start_standin("hosts", "hosts", "--listen", "127.0.0.1:0")
    key_file = fleet.write("peer.key", secrets.token_hex(32))
    operators_file, token_file = write_tokens(fleet, OPERATOR)
    system = System(
        fleet=fleet,
        plans=plans,
        kv_url=kv.ready["url"],
        hosts_url=hosts.ready["url"],
        key_file=str(key_file),
        operators_file=operators_file,
        token_file=token_file,
        admin_url=f"http://{_address()}",
        entry_urls=[f"http://{_address()}" for _ in range(entries)],
        ops_urls=[f"http://{_address()}" for _ in range(entries)],
        sidecar_addresses={plan.name: _address() for plan in plans},
        upstream_urls={},
        entry_peers=[],
        launcher=launcher,
    )
    async with trio.open_nursery() as nursery:
        for plan in plans:
            nursery.start_soon(system.start_upstream, plan, engine_args(plan))
    places = sorted({plan.place for plan in plans}) or ["bayern-a"]
    for plan in plans:
        address = system.sidecar_addresses[plan.name]
        await system.announce(plan.host, plan.place, "sidecar", address)
        await system.start_sidecar(plan)
    for number in range(entries):
        address, place = _address(), places[number % len(places)]
        system.entry_peers.append((place, address))
        await system.announce(f"entry-host-{number + 1}", place, "entry", address)
        await system.start_entry(number, place, address)
    address = _address()
    await system.announce("admin-host", places[0], "admin", address)
    system.admin_peer = (places[0], address)
    await system.start_admin()
    for _, proc in system.programs():
        await fleet.until(proc, lambda proc=proc: _is_ready(proc))  # type: ignore[misc]
    return system


def write_tokens(fleet: Fleet, operator: str) -> tuple[str, str]:
    """Write the files of an admin process and of an operator with a new token."""
    token = secrets.token_hex(16)
    digest = hashlib.sha256(token.encode()).hexdigest()
    operators = fleet.write("operators", f"{operator}:{digest}\n")
    return str(operators), str(fleet.write("operator.token", f"{operator}:{token}\n"))


def _is_ready(proc: FleetProcess) -> bool:
    return any(event.get("message_type") == "process-ready" for event in proc.events)


def _address() -> str:
    return f"127.0.0.1:{free_port()}"


async def _post(url: str, data: Mapping[str, Any]) -> None:
    await _send("POST", url, data)


async def _put(url: str, data: Mapping[str, Any]) -> None:
    await _send("PUT", url, data)


async def _send(method: str, url: str, data: Mapping[str, Any]) -> None:
    async with httpcore.AsyncConnectionPool() as pool:
        response = await pool.request(method, url, content=json.dumps(data).encode())
    if response.status >= 300:
        raise RuntimeError(f"{method} {url}: {response.status} {response.content!r}")
