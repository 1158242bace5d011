"""The project's entry and agents as processes, with settings of a small deployment."""

from __future__ import annotations

import asyncio
import os
import signal
import socket
import subprocess
import time
from pathlib import Path

from case_wire import GONE, read_head

ROOT = Path(__file__).resolve().parents[1]
READY_MAX_S = 20.0
# As in the deploy file; the same on all machines.
METRICS_PORT = 9464
# The figures of the deployment `nsg-quotes`.
ENTRY_MEMORY_MB = 300
AGENT_MEMORY_MB = 168
SETTINGS = """\
nodeName = "{name}"
role = "{role}"
machineClass = "{machine_class}"
serves = ["{machine_class}"]
ip = "{ip}"
zone = "bayern-a"
region = "bayern"
internalPortRange = [{peer_port}, {peer_port}]
seeds = []
bootstrap = true
faultCounted = false
discovery = "platform"
entry = "virtual_ip"
heartbeatIntervalMs = 1200
contracts = ["base", "drain", "config", "cost", "retry", "recover", "engine", "stream",
  "tenants", "platform", "experts"]
{extra}
[zones]
bayern-a = "bayern"
[listen]
{listen}
[limits]
cpuShare = 0.817
cores = 1
memoryMb = {memory_mb}
fileDescriptors = 4200
linkMbps = 1000.0
diskMb = 0
[bounds]
seedLagS = 3
reuseAfterS = 2
contactMs = 3000
ackMs = 4000
catchUpS = 4
drainMs = 2000
graceS = 8
lossSlackMs = 200
configApplyMs = 2000
rollbackSlackMs = 250
maxExtensionMs = 5000
failClosed = true
revokeMs = 5000
retryBudgetRatio = 0.2
retryWindowS = 10
retryBudgetExtra = 90
recoveryS = 12
passMs = 120
retryAfterS = 0
stall_ms = 1500
fencingEnforced = false
[platform]
address = "{store}"
form = "kv"
writesPerS = 400
readsPerS = 2000
historyS = 20
valueBytes = 1048576
ttlMinMs = 1000
"""


class CannotRunError(Exception):
    """The case could not run, so that it shows nothing."""


def free_port(ip: str = "127.0.0.1") -> int:
    """Return a port that is free at the moment."""
    with socket.socket() as sock:
        sock.bind((ip, 0))
        return int(sock.getsockname()[1])


def free_ip() -> str:
    """Return a loopback address on which the port of the metrics is free."""
    # Scripts that start at the same time begin at different addresses.
    for number in range(os.getpid(), os.getpid() + 250):
        ip = f"127.0.5.{number % 250 + 1}"
        with socket.socket() as sock:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                sock.bind((ip, METRICS_PORT))
            except OSError:
                continue
            return ip
    raise CannotRunError("the port of the metrics is taken on all addresses")


class Program:
    """A process of the deploy file; ``start`` starts it again after its end."""

    def __init__(self, folder: Path, fields: dict[str, object]) -> None:
        self.name = str(fields["name"])
        self.log = folder / f"{self.name}.log"
        self._role = str(fields["role"])
        self._settings = folder / f"{self.name}.toml"
        self._settings.write_text(SETTINGS.format(**fields))
        self._process: subprocess.Popen[bytes]
        self.start()

    def start(self) -> None:
        """Start the process with the command of the deploy file."""
        places = ("target/deps", "src", "platform")
        env = {
            name: os.environ[name] for name in ("PATH", "HOME") if name in os.environ
        }
        env["PYTHONPATH"] = os.pathsep.join(str(ROOT / place) for place in places)
        env["MUSTARDFRONT_BOOT"] = str(self._settings)
        with self.log.open("ab") as output:
            self._process = subprocess.Popen(
                ["python3", "-OO", "-S", "platform/main.py", self._role],
                cwd=ROOT,
                env=env,
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=subprocess.STDOUT,
            )

    @property
    def exit_code(self) -> int | None:
        """Return the exit code, None while the process runs."""
        return self._process.poll()

    @property
    def memory_mb(self) -> float:
        """Return the resident memory; 0 if the process has ended."""
        try:
            status = Path(f"/proc/{self._process.pid}/status").read_text()
        except OSError:
            return 0.0
        sizes = [line.split()[1] for line in status.splitlines() if "VmRSS" in line]
        return int(sizes[0]) / 1024 if sizes else 0.0

    def send(self, number: signal.Signals) -> None:
        """Send a signal if the process runs."""
        if self.exit_code is None:
            self._process.send_signal(number)

    async def stop(self) -> None:
        """Stop the process with SIGTERM, as at planned work."""
        self.send(signal.SIGTERM)
        await asyncio.to_thread(self._process.wait, 10)

    def end(self) -> None:
        """End the process, also a stopped one."""
        self.send(signal.SIGCONT)
        self.send(signal.SIGKILL)
        self._process.wait()


class Entry(Program):
    """An entry; callers connect to ``address``."""

    def __init__(
        self, folder: Path, store: str, memory_mb: int = ENTRY_MEMORY_MB
    ) -> None:
        ip = free_ip()
        self.address = (ip, free_port(ip))
        self._ready_address = (ip, free_port(ip))
        listen = f'frontend = "{ip}:{self.address[1]}"\n'
        listen += f'ready = "{ip}:{self._ready_address[1]}"'
        fields = {
            "name": "edge-bayern-a-1",
            "role": "entry",
            "machine_class": "edge",
            "ip": ip,
            "peer_port": free_port(ip),
            "extra": "",
            "listen": listen,
            "memory_mb": memory_mb,
            "store": store,
        }
        super().__init__(folder, fields)

    async def wait_until_ready(self) -> None:
        """Wait until the readiness check passes."""
        ends_at = time.monotonic() + READY_MAX_S
        while time.monotonic() < ends_at:
            if await self.is_ready():
                return
            await asyncio.sleep(0.1)
        raise CannotRunError("the entry did not become ready")

    async def is_ready(self) -> bool:
        """Return whether the readiness check passes now."""
        try:
            reader, writer = await asyncio.open_connection(*self._ready_address)
        except OSError:
            return False
        try:
            writer.write(b"GET /-/readiness HTTP/1.1\r\nHost: platform\r\n\r\n")
            first, _ = await read_head(reader)
            return first[1] == "200"
        except GONE:
            return False
        finally:
            writer.close()


class Agent(Program):
    """The agent beside the rank at ``app``, on a machine of its own (``ip``)."""

    def __init__(
        self, folder: Path, store: str, name: str, ip: str, peer_port: int, app: str
    ) -> None:
        fields = {
            "name": name,
            "role": "agent",
            "machine_class": "side",
            "ip": ip,
            "peer_port": peer_port,
            "extra": f'app = "{app}"\nservice = "net-writer"',
            "listen": f'outbound = "{ip}:{free_port(ip)}"',
            "memory_mb": AGENT_MEMORY_MB,
            "store": store,
        }
        super().__init__(folder, fields)
