"""Run a complete local system: stand-ins, entries, sidecars and the admin API."""

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

# Author of the tickets in ``deployments``.
OPERATOR: Final = "operator"
EngineArgs = Callable[[UpstreamPlan], Sequence[str]]


def _no_engine_args(_: UpstreamPlan) -> Sequence[str]:
    return ()


@dataclass(slots=True)
class System:
    """Addresses and processes of a running system."""

    fleet: Fleet
    plans: tuple[UpstreamPlan, ...]
    kv_url: str
    hosts_url: str
    key_file: str
    # File of the operators that the admin process accepts, and file of the token that
    # the command line sends.
    operators_file: str
    token_file: str
    admin_url: str
    entry_urls: list[str]
    # URLs of the operations listeners of the entries.
    ops_urls: list[str]
    sidecar_addresses: Mapping[str, str]
    upstream_urls: dict[str, str]
    # Place and peer address of each entry.
    entry_peers: list[tuple[str, str]]
    # Place and peer address of the administration API.
    admin_peer: tuple[str, str] = ("", "")
    # Module and arguments that wrap each program, or empty to run it directly.
    launcher: tuple[str, ...] = ()

    def programs(self) -> list[tuple[str, FleetProcess]]:
        """Return the names and processes of entries, sidecars and the admin API."""
        prefixes = ("entry-", "sidecar-", "admin")
        return [
            (name, proc)
            for name, proc in self.fleet.processes.items()
            if name.startswith(prefixes)
        ]

    async def run_cli(self, *args: str) -> tuple[int, str]:
        """Run the operator command line; return its exit code and its output."""
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

    async def run_cli_checked(self, *args: str) -> str:
        """Return the output of the command line; raise RuntimeError if it fails."""
        code, text = await self.run_cli(*args)
        if code:
            raise RuntimeError(f"command {args} exited with {code}: {text}")
        return text

    async def submit(self, ticket: Mapping[str, Any]) -> str:
        """Submit a ticket; raise RuntimeError unless it is accepted."""
        return await self.run_cli_checked(
            "ticket", "submit", self._write_ticket(ticket)
        )

    async def try_submit(self, ticket: Mapping[str, Any]) -> int:
        """Submit a ticket and return the exit code, 0 if it was accepted."""
        code, _ = await self.run_cli("ticket", "submit", self._write_ticket(ticket))
        return code

    def _write_ticket(self, ticket: Mapping[str, Any]) -> str:
        name = f"ticket-{ticket['ticket']}.json"
        return str(self.fleet.write(name, json.dumps(ticket, indent=2)))

    async def in_force_everywhere(self, version: int, timeout_s: float) -> bool:
        """Return whether every live program applies this version within the timeout."""

        async def all_in_force() -> bool:
            return all(
                any(
                    event.get("message_type") == "config-in-force"
                    and event["version"] >= version
                    for event in proc.events
                )
                for _, proc in self.programs()
                if proc.process.poll() is None
            )

        return await poll_until(all_in_force, timeout_s)

    async def restore_kv(self, age_s: float) -> None:
        """Let the key-value stand-in go back to its data of ``age_s`` ago."""
        await _post(f"{self.kv_url}/control/restore", {"age_s": age_s})

    async def set_kv_faults(self, **faults: Any) -> None:
        """Change fault settings of the key-value stand-in."""
        await _post(f"{self.kv_url}/control/faults", faults)

    async def register_host(
        self, name: str, place: str, role: str, address: str, state: str = "live"
    ) -> None:
        """Add a host to the host list, or replace it."""
        entry = {"place": place, "role": role, "address": address, "state": state}
        await _put(f"{self.hosts_url}/v1/hosts/{name}", entry)

    async def start_upstream(self, plan: UpstreamPlan, args: Sequence[str]) -> None:
        """Start an upstream, at its previous address if it ran before."""
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
            *self._program_args("sidecar"),
            *self._common_args(
                plan.host, plan.place, self.sidecar_addresses[plan.name]
            ),
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
            *self._program_args("entry"),
            "--listen",
            self.entry_urls[number].removeprefix("http://"),
            "--ops-listen",
            self.ops_urls[number].removeprefix("http://"),
            *self._common_args(f"entry-host-{number + 1}", place, peer_listen),
        )

    async def restart(self, name: str) -> int:
        """Shut a program down gracefully, restart it and return its exit code."""
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
        """Start an exited entry again at its previous addresses."""
        place, peer_listen = self.entry_peers[number]
        return await self.start_entry(number, place, peer_listen)

    async def start_admin(self) -> FleetProcess:
        """Start the administration API at its configured addresses."""
        place, peer_listen = self.admin_peer
        return await self.fleet.start(
            "admin",
            *self._program_args("admin"),
            "--listen",
            self.admin_url.removeprefix("http://"),
            "--token-file",
            self.operators_file,
            *self._common_args("admin-host", place, peer_listen),
        )

    def _program_args(self, role: str) -> tuple[str, ...]:
        return (*self.launcher, f"mustardfront.programs.{role}")

    def _common_args(self, host: str, place: str, peer_listen: str) -> tuple[str, ...]:
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
    engine_args: EngineArgs = _no_engine_args,
    launcher: tuple[str, ...] = (),
) -> System:
    """Start all processes and wait until each one reports that it is ready."""
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
        admin_url=f"http://{_free_address()}",
        entry_urls=[f"http://{_free_address()}" for _ in range(entries)],
        ops_urls=[f"http://{_free_address()}" for _ in range(entries)],
        sidecar_addresses={plan.name: _free_address() for plan in plans},
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
        await system.register_host(plan.host, plan.place, "sidecar", address)
        await system.start_sidecar(plan)
    for number in range(entries):
        address, place = _free_address(), places[number % len(places)]
        system.entry_peers.append((place, address))
        await system.register_host(f"entry-host-{number + 1}", place, "entry", address)
        await system.start_entry(number, place, address)
    address = _free_address()
    await system.register_host("admin-host", places[0], "admin", address)
    system.admin_peer = (places[0], address)
    await system.start_admin()
    for _, proc in system.programs():
        await fleet.until(proc, lambda proc=proc: _is_ready(proc))  # type: ignore[misc]
    return system


def write_tokens(fleet: Fleet, operator: str) -> tuple[str, str]:
    """Write the operators file and the token file for a new operator token."""
    token = secrets.token_hex(16)
    digest = hashlib.sha256(token.encode()).hexdigest()
    operators = fleet.write("operators", f"{operator}:{digest}\n")
    return str(operators), str(fleet.write("operator.token", f"{operator}:{token}\n"))


def _is_ready(proc: FleetProcess) -> bool:
    return any(event.get("message_type") == "process-ready" for event in proc.events)


def _free_address() -> str:
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
