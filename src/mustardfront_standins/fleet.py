"""Start and stop the processes of a local fleet, for the demo and tests."""

from __future__ import annotations

import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
from collections.abc import Awaitable, Callable, Mapping
from contextlib import AsyncExitStack
from dataclasses import dataclass, field
from pathlib import Path
from types import TracebackType
from typing import Any, Final

import trio

_START_TIMEOUT_S: Final = 30.0
_STOP_TIMEOUT_S: Final = 20.0
_MAX_EVENTS: Final = 50_000
_PORT_MIN: Final = 10_000
_PORT_END: Final = 32_000
_PORT_ATTEMPTS: Final = 200
_ALLOCATED_PORTS: Final[set[int]] = set()
_RANDOM: Final = random.SystemRandom()


def _source_path() -> str:
    """Return a ``PYTHONPATH`` that makes child processes import this source tree."""
    source = str(Path(__file__).resolve().parent.parent)
    return os.pathsep.join([source, os.environ.get("PYTHONPATH", "")])


def free_port() -> int:
    """Return a TCP port that is currently free on the loopback address.

    The port lies below the kernel's ephemeral port range. Otherwise an outgoing
    connection could occupy it before the program listens on it.
    """
    for _ in range(_PORT_ATTEMPTS):
        port = _RANDOM.randrange(_PORT_MIN, _PORT_END)
        if port in _ALLOCATED_PORTS:
            continue
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
        _ALLOCATED_PORTS.add(port)
        return port
    raise RuntimeError("found no free TCP port on 127.0.0.1; too many are in use")


@dataclass(slots=True)
class FleetProcess:
    """A started program with its ready line and its logged events."""

    name: str
    process: trio.Process
    ready: dict[str, Any] = field(default_factory=dict)
    events: list[dict[str, Any]] = field(default_factory=list)
    other_lines: list[str] = field(default_factory=list)
    changed: trio.Event = field(default_factory=trio.Event)

    @property
    def pid(self) -> int:
        """Return the ID of the process."""
        return self.process.pid

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal unless the process has exited."""
        if self.process.poll() is None:
            os.kill(self.pid, number)

    def kill(self) -> None:
        """Send SIGKILL to the process."""
        self.send_signal(signal.SIGKILL)

    async def wait_event(
        self, name: str, where: Callable[[dict[str, Any]], bool] = lambda _: True
    ) -> dict[str, Any]:
        """Wait for the first event with this message type that ``where`` accepts."""
        seen = 0
        while True:
            for event in self.events[seen:]:
                if event.get("message_type") == name and where(event):
                    return event
            seen = len(self.events)
            await self.changed.wait()

    def versions(self) -> list[int]:
        """Return the configuration versions that took effect, in order."""
        return [
            event["version"]
            for event in self.events
            if event.get("message_type") == "config-in-force"
        ]

    def tail(self) -> str:
        """Return the last output lines that are not JSON, such as a traceback."""
        return "\n".join(self.other_lines[-30:])


class Fleet:
    """Starts processes and kills them all when the context exits."""

    def __init__(self) -> None:
        self.processes: dict[str, FleetProcess] = {}
        self._exit_stack = AsyncExitStack()
        self._nursery: trio.Nursery
        self._folder: Path

    async def __aenter__(self) -> Fleet:
        await self._exit_stack.__aenter__()
        folder = tempfile.TemporaryDirectory(prefix="mustardfront-")
        self._folder = Path(self._exit_stack.enter_context(folder))
        self._nursery = await self._exit_stack.enter_async_context(trio.open_nursery())
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        exc: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        with trio.CancelScope(shield=True):
            await self._kill_all()
        self._nursery.cancel_scope.cancel()
        await self._exit_stack.__aexit__(None, None, None)

    @property
    def folder(self) -> Path:
        """Return a directory that is removed when the context exits."""
        return self._folder

    def write(self, name: str, text: str) -> Path:
        """Write a file to the directory of the fleet and return its path."""
        path = self._folder / name
        path.write_text(text)
        return path

    async def start(
        self, name: str, module: str, *args: str, env: Mapping[str, str] | None = None
    ) -> FleetProcess:
        """Start ``python -m module`` without waiting until it is ready."""
        process = await trio.lowlevel.open_process(
            [sys.executable, "-m", module, *args],
            stdin=subprocess.DEVNULL,
            stdout=subprocess.PIPE,
            stderr=subprocess.PIPE,
            env={**os.environ, "PYTHONPATH": _source_path(), **(env or {})},
        )
        started = FleetProcess(name, process)
        self.processes[name] = started
        self._nursery.start_soon(self._read_output, started, process.stdout)
        self._nursery.start_soon(self._read_output, started, process.stderr)
        return started

    async def start_standin(self, name: str, module: str, *args: str) -> FleetProcess:
        """Start a stand-in and wait for its ready line."""
        started = await self.start(name, f"mustardfront_standins.{module}", *args)
        await self.until(started, lambda: bool(started.ready))
        return started

    async def until(self, proc: FleetProcess, done: Callable[[], bool]) -> None:
        """Wait until ``done`` holds; raise RuntimeError on exit or timeout."""
        with trio.move_on_after(_START_TIMEOUT_S):
            while not done():
                if proc.process.poll() is not None:
                    await trio.sleep(0.1)
                    code = proc.process.returncode
                    raise RuntimeError(
                        f"{proc.name} exited with {code}:\n{proc.tail()}"
                    )
                with trio.move_on_after(0.2):
                    await proc.changed.wait()
            return
        raise RuntimeError(f"{proc.name} was not ready in time:\n{proc.tail()}")

    async def stop(self, proc: FleetProcess) -> int:
        """Send SIGTERM, then SIGKILL after a timeout, and return the exit code."""
        proc.send_signal(signal.SIGTERM)
        with trio.move_on_after(_STOP_TIMEOUT_S):
            return await proc.process.wait()
        proc.kill()
        return await proc.process.wait()

    async def _kill_all(self) -> None:
        for proc in self.processes.values():
            # A stopped process handles only SIGKILL until it is continued.
            proc.send_signal(signal.SIGCONT)
            proc.send_signal(signal.SIGKILL)
        for proc in self.processes.values():
            await proc.process.wait()

    async def _read_output(
        self, proc: FleetProcess, pipe: trio.abc.ReceiveStream | None
    ) -> None:
        buffer = b""
        if pipe is None:
            return
        async with pipe:
            async for data in pipe:
                *lines, buffer = (buffer + data).split(b"\n")
                for line in lines:
                    _parse_line(proc, line)
                changed, proc.changed = proc.changed, trio.Event()
                changed.set()


def _parse_line(proc: FleetProcess, line: bytes) -> None:
    try:
        data = json.loads(line)
    except ValueError:
        proc.other_lines.append(line.decode(errors="replace"))
        return
    if not isinstance(data, dict):
        return
    if "message_type" not in data:
        proc.ready = proc.ready or data
        return
    proc.events.append(data)
    del proc.events[:-_MAX_EVENTS]


async def poll_until(
    check: Callable[[], Awaitable[bool]], timeout_s: float, interval_s: float = 0.05
) -> bool:
    """Call ``check`` until it returns true; return False after ``timeout_s``."""
    with trio.move_on_after(timeout_s):
        while True:
            if await check():
                return True
            await trio.sleep(interval_s)
    return False
