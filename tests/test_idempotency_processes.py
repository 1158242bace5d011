"""At-most-once execution with real processes under SIGKILL, SIGSTOP and KV faults."""

import itertools
import json
import os
import secrets
import signal
import subprocess
import sys
import time
import uuid
from collections import Counter
from contextlib import asynccontextmanager
from pathlib import Path

import pytest
import trio
from tests.test_kv import set_faults

ROOT = Path(__file__).parent.parent
TIMEOUT_S = 40


def new_key() -> str:
    time_ms = time.time_ns() // 1_000_000
    tail = secrets.randbits(62)
    return str(uuid.UUID(int=time_ms << 80 | 7 << 76 | 2 << 62 | tail))


class JsonLinesProcess:
    """A child process that reads and writes JSON lines."""

    def __init__(self, process: trio.Process) -> None:
        self.process = process
        self._buffer = b""
        self._ids = itertools.count(1)
        self._results: dict[int, dict] = {}

    async def read(self) -> dict:
        while b"\n" not in self._buffer:
            data = await self.process.stdout.receive_some(65_536)
            assert data, "the process ended"
            self._buffer += data
        line, self._buffer = self._buffer.split(b"\n", 1)
        return json.loads(line)

    async def send(self, **fields: object) -> int:
        number = next(self._ids)
        line = json.dumps({"id": number} | fields).encode() + b"\n"
        await self.process.stdin.send_all(line)
        return number

    async def result(self, number: int) -> dict:
        while number not in self._results:
            result = await self.read()
            self._results[result["id"]] = result
        return self._results.pop(number)

    async def call(self, key: str, **fields: object) -> dict:
        return await self.result(await self.send(key=key, **fields))

    async def call_until(self, key: str, *outcomes: str) -> dict:
        """Resend until the outcome is one of ``outcomes``."""
        while True:
            result = await self.call(key)
            if result["outcome"] in outcomes:
                return result
            await trio.sleep(0.1)


@asynccontextmanager
async def start_process(*command: str):
    env = os.environ | {"PYTHONPATH": f"{ROOT / 'src'}:{ROOT}"}
    process = await trio.lowlevel.open_process(
        [sys.executable, "-m", *command],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        stderr=subprocess.DEVNULL,
        env=env,
    )
    try:
        yield JsonLinesProcess(process)
    finally:
        with trio.CancelScope(shield=True):
            # SIGKILL also ends a process that is stopped by SIGSTOP.
            process.kill()
            await process.wait()
            await process.stdin.aclose()
            await process.stdout.aclose()


class OwnerProcesses:
    """Starts partition owners that share a key-value service and a file of runs."""

    def __init__(self, url: str, runs: Path) -> None:
        self.url = url
        self._runs = runs

    @asynccontextmanager
    async def owner(self, upstream: str, instance: str):
        command = (self.url, upstream, instance, str(self._runs))
        async with start_process("tests.owner_process", *command) as child:
            assert await child.read() == {"ready": True}
            yield child

    async def wait_for_first_run(self) -> None:
        while True:
            if self.runs():
                return
            await trio.sleep(0.02)

    def runs(self) -> Counter[str]:
        lines = self._runs.read_text().splitlines() if self._runs.exists() else []
        return Counter(line.split()[0] for line in lines)


@pytest.fixture
async def processes(tmp_path):
    with trio.fail_after(TIMEOUT_S):
        async with start_process("mustardfront_standins.kv") as kv:
            yield OwnerProcesses((await kv.read())["url"], tmp_path / "runs")


async def test_request_of_a_killed_owner_never_runs_again(processes):
    # Guards against a new instance that runs a killed owner's request again.
    key = new_key()
    async with processes.owner("a", "a-1") as first:
        await first.send(key=key, took_s=60)
        await processes.wait_for_first_run()
        first.process.kill()
        async with processes.owner("a", "a-2") as second:
            for _ in range(3):
                result = await second.call_until(key, "unknown", "answered")
                assert (result["outcome"], result["code"]) == ("unknown", 4005)
            assert (await second.call(new_key()))["outcome"] == "answered"
    assert processes.runs()[key] == 1


async def test_owner_stopped_past_its_lease_is_fenced(processes):
    # Guards against an owner that runs a request after its lease expired unnoticed.
    key = new_key()
    async with processes.owner("a", "a-1") as stopped:
        assert (await stopped.call(new_key()))["outcome"] == "answered"
        stopped.process.send_signal(signal.SIGSTOP)
        # The owner reads this request when it continues, before it can notice that its
        # lease has expired.
        number = await stopped.send(key=key)
        async with processes.owner("b", "b-1") as other:
            assert (await other.call_until(key, "answered"))["code"] in (1000, 1001)
            stopped.process.send_signal(signal.SIGCONT)
            fenced = await stopped.result(number)
            assert (fenced["outcome"], fenced["code"]) == ("not-run", 3011)
    assert processes.runs()[key] == 1


async def test_request_runs_once_when_its_owner_stops_during_the_claim(processes):
    # Guards against a second run when an owner is paused while its claim is written.
    async with processes.owner("a", "a-1") as stopped:
        assert (await stopped.call(new_key()))["outcome"] == "answered"
        await set_faults(processes.url, delay_ms=300)
        key = new_key()
        number = await stopped.send(key=key)
        await trio.sleep(0.1)
        stopped.process.send_signal(signal.SIGSTOP)
        await set_faults(processes.url, delay_ms=0)
        async with processes.owner("b", "b-1") as other:
            other_result = await other.call_until(key, "answered", "unknown")
            stopped.process.send_signal(signal.SIGCONT)
            stopped_result = await stopped.result(number)
            runs = processes.runs()[key]
            assert runs <= 1
            answered = [stopped_result["outcome"], other_result["outcome"]].count(
                "answered"
            )
            assert answered <= runs


@pytest.mark.parametrize("outage", ["cut", "hang", "unavailable"])
async def test_requests_refused_in_an_outage_run_when_resent(processes, outage):
    # Guards against a run without a durable claim, and keys blocked by an outage.
    async with processes.owner("a", "a-1") as owner:
        assert (await owner.call(new_key()))["outcome"] == "answered"
        await set_faults(processes.url, outage=outage)
        keys = [new_key() for _ in range(5)]
        for key in keys:
            refused = await owner.call(key)
            assert (refused["outcome"], refused["code"]) == ("not-run", 5000)
        assert not set(processes.runs()) & set(keys)
        await set_faults(processes.url, outage="")
        for key in keys:
            assert (await owner.call_until(key, "answered"))["code"] in (1000, 1001)
    assert {processes.runs()[key] for key in keys} == {1}


async def test_each_request_runs_once_when_answers_are_lost(processes):
    # Guards against lost or repeated runs when writes have unknown outcomes.
    async with processes.owner("a", "a-1") as owner:
        assert (await owner.call(new_key()))["outcome"] == "answered"
        await set_faults(processes.url, lose_answer_probability=0.4, seed=1)
        keys = [new_key() for _ in range(40)]
        for key in keys:
            await owner.call_until(key, "answered")
    assert {processes.runs()[key] for key in keys} == {1}
