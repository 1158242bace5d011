"""A small deployment on loopback addresses: store, workers and the system's entries.

The entries are started with the command of ``deploy/system.toml``, each on a loopback
address of its own, since all of them serve metrics on one port.
"""

from __future__ import annotations

import asyncio
import functools
import json
import os
import shlex
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from base64 import b64encode
from pathlib import Path

STANDINS = Path(__file__).resolve().parent
ROOT = STANDINS.parent
STORE_IP = "127.0.0.1"
HOST = "review.example"
KEY = "review-key"
TENANT = "lofts"
READY_WAIT_S = 20.0

SETTINGS = """\
nodeName = "{name}"
role = "{role}"
machineClass = "{machine_class}"
serves = ["{machine_class}"]
ip = "{ip}"
zone = "bayern-a"
region = "bayern"
internalPortRange = [7340,7355]
bootstrap = true
discovery = "platform"
entry = "virtual_ip"
heartbeatIntervalMs = 1200
{more}
[bounds]
contactMs = 3000
drainMs = 2000
graceS = 8
lossSlackMs = 200
configApplyMs = 2000
rollbackSlackMs = 250
failClosed = true
revokeMs = 5000
retryBudgetRatio = 0.2
retryWindowS = 10
retryBudgetExtra = 90
recoveryS = 12
[platform]
address = "{store}"
form = "kv"
writesPerS = 400
readsPerS = 2000
historyS = 20
valueBytes = 1048576
ttlMinMs = 1000
"""


MACHINE_CLASSES = {"entry": "edge", "agent": "side"}


# Ports that all machines have: those of the metrics and between agents.
FIXED_PORTS = (9464, 7340)
MACHINES_MAX = 8


@functools.cache
def machine_block() -> str:
    """Return a block of loopback addresses on which the fixed ports are free."""
    for number in range(os.getpid(), os.getpid() + 100):
        block = f"127.{10 + number % 200}.{number // 200 % 250}"
        last_parts = (base + n for base in (0, 100) for n in range(1, MACHINES_MAX + 1))
        if all(
            is_free(f"{block}.{last}", port)
            for last in last_parts
            for port in FIXED_PORTS
        ):
            return block
    raise RuntimeError("no block of loopback addresses is free")


def is_free(ip: str, port: int) -> bool:
    """Return whether a port can be bound."""
    with socket.socket() as sock:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            sock.bind((ip, port))
        except OSError:
            return False
        return True


def machine_ip(role: str, number: int) -> str:
    """Return a machine's address, in another block for each case that runs."""
    last = number + (100 if role == "agent" else 0)
    return f"{machine_block()}.{last}"


def free_port(ip: str) -> int:
    with socket.socket() as sock:
        sock.bind((ip, 0))
        return sock.getsockname()[1]


class Machine:
    """The process of a role on a loopback address of its own.

    It may be killed, stopped, continued and started again.
    """

    def __init__(self, dep: Deployment, role: str, number: int, more: str) -> None:
        self.role = role
        self.name = f"{role}-bayern-a-{number}"
        self.ip = machine_ip(role, number)
        self._dep = dep
        self._settings = dep.folder / f"{self.name}.toml"
        self._settings.write_text(
            SETTINGS.format(
                name=self.name,
                role=role,
                machine_class=MACHINE_CLASSES[role],
                ip=self.ip,
                store=dep.store_address,
                more=more,
            )
        )
        self.process: subprocess.Popen | None = None

    def start(self) -> None:
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        command = shlex.split(deploy["roles"][self.role]["run"])
        env = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        env["PYTHONPATH"] = os.pathsep.join(
            str(ROOT / part) for part in ("target/deps", "src", "platform")
        )
        env["MUSTARDFRONT_BOOT"] = str(self._settings)
        with open(self._dep.folder / f"{self.name}.log", "ab") as log:
            self.process = self._dep.popen(command, env=env, stdout=log, stderr=log)

    def send_signal(self, number: int) -> None:
        self.process.send_signal(number)


class Entry(Machine):
    """An entry with its addresses for callers and for readiness checks."""

    def __init__(self, dep: Deployment, number: int) -> None:
        ip = machine_ip("entry", number)
        self.front = (ip, free_port(ip))
        self.ready = (ip, free_port(ip))
        more = f"""[listen]
frontend = "{ip}:{self.front[1]}"
ready = "{ip}:{self.ready[1]}"
"""
        super().__init__(dep, "entry", number, more)


class Agent(Machine):
    """An agent beside the worker at ``app``."""

    def __init__(self, dep: Deployment, number: int, app: str, service: str) -> None:
        more = f"""app = "{app}"
service = "{service}"
[listen]
"""
        super().__init__(dep, "agent", number, more)


class Deployment:
    """Starts the processes of a case and ends all of them at its exit."""

    def __init__(self) -> None:
        self._temp = tempfile.TemporaryDirectory(prefix="review-")
        self.folder = Path(self._temp.name)
        self.store_address = f"{STORE_IP}:{free_port(STORE_IP)}"
        self._processes: list[subprocess.Popen] = []
        self._version = 0
        self.entries: list[Entry] = []

    def __enter__(self) -> Deployment:
        # Ends the processes also if the case is told to stop.
        signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
        host, _, port = self.store_address.partition(":")
        store = self.popen(
            [sys.executable, str(STANDINS / "store.py"), host, port],
            stdout=subprocess.PIPE,
        )
        if store.stdout.readline() != b"ready\n":
            raise RuntimeError("the store's stand-in does not start")
        return self

    def __exit__(self, *exc) -> None:
        for process in self._processes:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self._processes:
            process.wait()
        self._temp.cleanup()

    def popen(self, command: list[str], **options) -> subprocess.Popen:
        process = subprocess.Popen(
            command, cwd=ROOT, stdin=subprocess.DEVNULL, **options
        )
        self._processes.append(process)
        return process

    def start_worker(self, log: Path, **cfg) -> subprocess.Popen:
        cfg |= {"store": self.store_address, "log": str(log)}
        return self.popen(
            [sys.executable, str(STANDINS / "worker.py"), json.dumps(cfg)]
        )

    def start_rank(
        self, log: Path, ip: str, port: int, rank: int, size: int
    ) -> subprocess.Popen:
        words = [ip, str(port), str(rank), str(size), str(log)]
        return self.popen([sys.executable, str(STANDINS / "rank.py"), *words])

    def start_entries(self, count: int) -> None:
        self.entries = [Entry(self, number) for number in range(1, count + 1)]
        for entry in self.entries:
            entry.start()

    async def put_config(self, routes: list[dict], services: list[dict]) -> int:
        """Write the next configuration; return its version once acknowledged."""
        self._version += 1
        config = {
            "version": self._version,
            "routes": routes,
            "services": services,
            "limits": {
                "maxHeaderBytes": 16384,
                "maxBodyBytes": 4194304,
                "headerTimeoutMs": 3000,
                "idleTimeoutMs": 15000,
            },
            "tenants": [{"name": TENANT, "apiKeys": [KEY], "priority": 1}],
        }
        await self._put("op/config", config)
        return self._version

    async def put_entry(self, name: str, **fields) -> None:
        """Write an entry of service discovery that no worker of ours writes."""
        entry = {
            "version": "v1",
            "slots": 6,
            "state": "ready",
            "warmupLeftMs": 0,
            "sequence": 1,
            "born": round(time.time() * 1000),
        }
        await self._put(f"servers/{name}", entry | fields)

    async def _put(self, key: str, data: dict) -> None:
        value = b64encode(json.dumps(data).encode()).decode()
        write = {"key": key, "value": value, "lease": 0}
        raw = json.dumps({"expected": [], "writes": [write], "remove": []}).encode()
        host, _, port = self.store_address.partition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(
            b"POST /-/kv-txn HTTP/1.1\r\nHost: s\r\nX-Standin-Platform: 1\r\n"
            b"Content-Length: %d\r\n\r\n" % len(raw) + raw
        )
        status = int((await reader.readline()).split()[1])
        writer.close()
        if status != 200:
            raise RuntimeError(f"the store answers {status}")

    async def is_ready(self, entry: Entry) -> bool:
        """Ask as the platform does."""
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(*entry.ready)
                writer.write(b"GET /-/readiness HTTP/1.1\r\nHost: p\r\n\r\n")
                line = await reader.readline()
                writer.close()
                return line.startswith(b"HTTP/1.1 200")
        except (OSError, TimeoutError):
            return False

    async def wait_ready(self) -> None:
        """Wait until all entries are ready; raise TimeoutError if they are not."""
        ends_at = time.monotonic() + READY_WAIT_S
        for entry in self.entries:
            while not await self.is_ready(entry):
                if time.monotonic() > ends_at:
                    raise TimeoutError(f"{entry.name} is not ready")
                await asyncio.sleep(0.1)


def route(name: str, kind: str, service: str, **fields) -> dict:
    """Return a route of the configuration under the prefix ``/NAME/``."""
    return {
        "name": name,
        "host": HOST,
        "prefix": f"/{name}/",
        "kind": kind,
        "timeoutMs": 2500,
        "targetLatencyMs": 200,
        "priority": 1,
        "service": service,
        "maxAttempts": 2,
        "anonymous": False,
    } | fields


def service(name: str) -> dict:
    """Return a service of the configuration."""
    return {
        "name": name,
        "healthPath": "/healthz",
        "maxConnections": 348,
        "protocol": "h1",
        "tls": False,
    }
