"""The project's programs as processes, started with the commands of the deploy file."""

from __future__ import annotations

import asyncio
import os
import random
import signal
import socket
import subprocess
import tomllib
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from third_clients import HOST, KEY
from third_record import Record

ROOT = Path(__file__).resolve().parents[1]
READY_MAX_S = 25.0
BOUNDS: dict[str, Any] = {
    "seedLagS": 3,
    "reuseAfterS": 2,
    "contactMs": 3000,
    "ackMs": 4000,
    "catchUpS": 4,
    "drainMs": 2000,
    "graceS": 8,
    "lossSlackMs": 200,
    "configApplyMs": 2000,
    "rollbackSlackMs": 250,
    "maxExtensionMs": 5000,
    "failClosed": True,
    "revokeMs": 5000,
    "retryBudgetRatio": 0.2,
    "retryWindowS": 10,
    "retryBudgetExtra": 90,
    "recoveryS": 12,
    "passMs": 120,
    "retryAfterS": 0,
    "stall_ms": 1500,
    "fencingEnforced": False,
}
MAX_HEADER_BYTES = 16_384
METRICS_PORT = 9464


def operator_config(version: int = 1, **limits: int) -> dict[str, Any]:
    """Return a configuration: a lookup, a booking, and a draft that streams."""

    def route(name: str, prefix: str, kind: str, **fields: Any) -> dict[str, Any]:
        return {
            "name": name,
            "host": HOST,
            "prefix": prefix,
            "kind": kind,
            "timeoutMs": 2500,
            "targetLatencyMs": 200,
            "priority": 1,
            "service": "ledger",
            "maxAttempts": 2,
            "anonymous": False,
        } | fields

    return {
        "version": version,
        "routes": [
            route("lookup", "/lookup/", "idempotent"),
            route("book", "/book/", "non_idempotent", maxAttempts=1),
            route("draft", "/draft/", "streaming", timeoutMs=8000, maxAttempts=1),
        ],
        "services": [
            {"name": "ledger", "maxConnections": 100, "healthPath": "/healthz"}
        ],
        "limits": {
            "maxHeaderBytes": MAX_HEADER_BYTES,
            "maxBodyBytes": 4_194_304,
            "headerTimeoutMs": 5_000,
            "idleTimeoutMs": 15_000,
        }
        | limits,
        "tenants": [{"name": "hule930", "apiKeys": [KEY], "priority": 1}],
    }


def free_ip() -> str:
    """Return a loopback address of its own, as the port of metrics is fixed."""
    while True:
        parts = [random.randint(1, 254) for _ in range(3)]
        ip = "127." + ".".join(map(str, parts))
        with socket.socket() as sock:
            try:
                sock.bind((ip, METRICS_PORT))
            except OSError:
                continue
            return ip


def free_ports(ip: str, count: int) -> list[int]:
    """Return ports that are free at an address."""
    socks = [socket.socket() for _ in range(count)]
    for sock in socks:
        sock.bind((ip, 0))
    ports = [int(sock.getsockname()[1]) for sock in socks]
    for sock in socks:
        sock.close()
    return ports


@dataclass
class Entry:
    """One entry on a machine of class ``edge``, and its settings file."""

    folder: Path
    record: Record
    store: str
    name: str = "edge-a-1"
    bounds: dict[str, Any] = field(default_factory=dict)
    memory_mb: int = 300
    descriptors: int = 4200
    ip: str = field(default_factory=free_ip)
    process: subprocess.Popen[bytes] | None = None

    def __post_init__(self) -> None:
        front, ready, self._peer = free_ports(self.ip, 3)
        self.front, self.ready = (self.ip, front), (self.ip, ready)
        self.file = self.folder / f"{self.name}.toml"
        self.log = self.folder / f"{self.name}.log"

    def write_settings(self, **bounds: Any) -> None:
        """Write the settings file, with changed bounds."""
        lines = [
            f'nodeName = "{self.name}"',
            'role = "entry"',
            'machineClass = "edge"',
            'serves = ["edge"]',
            f'ip = "{self.ip}"',
            'zone = "zone-a"',
            'region = "region-a"',
            f"internalPortRange = [{self._peer}, {self._peer}]",
            "heartbeatIntervalMs = 1200",
            "[zones]",
            'zone-a = "region-a"',
            "[listen]",
            f'frontend = "{self.ip}:{self.front[1]}"',
            f'ready = "{self.ip}:{self.ready[1]}"',
            "[limits]",
            f"memoryMb = {self.memory_mb}",
            f"fileDescriptors = {self.descriptors}",
            "[bounds]",
        ]
        for key, value in (BOUNDS | self.bounds | bounds).items():
            text = str(value).lower() if isinstance(value, bool) else str(value)
            lines.append(f"{key} = {text}")
        lines += ["[platform]", f'address = "{self.store}"', 'form = "kv"']
        self.file.write_text("\n".join(lines) + "\n")

    async def start(self) -> None:
        """Start the process and wait until it is ready."""
        if not self.file.exists():
            self.write_settings()
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        words = deploy["roles"]["entry"]["run"].split()
        env = {key: os.environ[key] for key in ("PATH", "HOME") if key in os.environ}
        env["MUSTARDFRONT_BOOT"] = str(self.file)
        env["PYTHONPATH"] = ":".join(
            str(ROOT / part) for part in ("target/deps", "src", "platform")
        )
        env["PYTHONDONTWRITEBYTECODE"] = "1"
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                words, cwd=ROOT, env=env, stdout=log, stderr=log
            )
        self.record.write("entry starts", entry=self.name, pid=self.process.pid)
        async with asyncio.timeout(READY_MAX_S):
            while not await self.is_ready():
                if self.process.poll() is not None:
                    raise RuntimeError(f"the entry ended: {self.log.read_text()}")
                await asyncio.sleep(0.1)
        self.record.write("entry is ready", entry=self.name)

    async def is_ready(self) -> bool:
        """Return whether the readiness check succeeds."""
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(*self.ready)
                writer.write(b"GET /-/readiness HTTP/1.1\r\nHost: x\r\n\r\n")
                line = await reader.readline()
                writer.close()
        except (OSError, TimeoutError):
            return False
        return b" 200 " in line

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        assert self.process is not None
        self.record.write("signal", entry=self.name, signal=number.name)
        self.process.send_signal(number)

    def memory_now_mb(self) -> float:
        """Return the resident memory of the process; 0 if it has ended."""
        assert self.process is not None
        try:
            status = Path(f"/proc/{self.process.pid}/status").read_text()
        except OSError:
            return 0.0
        lines = [one for one in status.splitlines() if one.startswith("VmRSS")]
        return int(lines[0].split()[1]) / 1024 if lines else 0.0

    def kill(self) -> None:
        """End the process, if it runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()
