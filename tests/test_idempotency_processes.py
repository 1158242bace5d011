"""At-most-once execution with real processes: kill, SIGSTOP, outage, lost answers."""

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
LIMIT_S = 40


def new_key() -> str:
    time_ms = time.time_ns() // 1_000_000
    tail = secrets.randbits(62)
    return str(uuid.UUID(int=time_ms << 80 | 7 << 76 | 2 << 62 | tail))


class Lines:
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
        """Resend until the outcome is one of these."""
        while True:
            result = await self.call(key)
            if result["outcome"] in outcomes:
                return result
            await trio.sleep(0.1)


@asynccontextmanager
async def running(*command: str):
    env = os.environ | {"PYTHONPATH": f"{ROOT / 'src'}:{ROOT}"}
    process = await trio.lowlevel.open_process(
        [sys.executable, "-m", *command],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        stderr=subprocess.DEVNULL,
        env=env,
    )
    try:
        yield Lines(process)
    finally:
        with trio.CancelScope(shield=True):
            # SIGKILL ends a stopped process as well.
            process.kill()
            await process.wait()
            await process.stdin.aclose()
            await process.stdout.aclose()


class Setup:
    def __init__(self, url: str, runs: Path) -> None:
        self.url = url
        self._runs = runs

    @asynccontextmanager
    async def owner(self, upstream: str, instance: str):
        command = (self.url, upstream, instance, str(self._runs))
        async with running("tests.owner_process", *command) as child:
            assert await child.read() == {"ready": True}
            yield child

    async def first_run(self) -> None:
        while True:
            if self.runs():
                return
            await trio.sleep(0.02)

    def runs(self) -> Counter[str]:
        lines = self._runs.read_text().splitlines() if self._runs.exists() else []
        return Counter(line.split()[0] for line in lines)


@pytest.fixture
async def setup(tmp_path):
    with trio.fail_after(LIMIT_S):
        async with running("mustardfront_standins.kv") as kv:
            yield Setup((await kv.read())["url"], tmp_path / "runs")


async def test_killed_owner_leaves_an_unknown_that_never_runs_again(setup):
    key = new_key()
    async with setup.owner("a", "a-1") as first:
        await first.send(key=key, took_s=60)
        await setup.first_run()
        first.process.kill()
        async with setup.owner("a", "a-2") as second:
            for _ in range(3):
                result = await second.call_until(key, "unknown", "answered")
                assert (result["outcome"], result["code"]) == ("unknown", 4005)
            assert (await second.call(new_key()))["outcome"] == "answered"
    assert setup.runs()[key] == 1


async def test_owner_stopped_past_its_lease_is_fenced(setup):
    key = new_key()
    async with setup.owner("a", "a-1") as stopped:
        assert (await stopped.call(new_key()))["outcome"] == "answered"
        stopped.process.send_signal(signal.SIGSTOP)
        # The paused owner finds this request when it continues, and has not noticed
        # that its lease ended.
        number = await stopped.send(key=key)
        async with setup.owner("b", "b-1") as other:
            assert (await other.call_until(key, "answered"))["code"] in (1000, 1001)
            stopped.process.send_signal(signal.SIGCONT)
            late = await stopped.result(number)
            assert (late["outcome"], late["code"]) == ("not-run", 3011)
    assert setup.runs()[key] == 1


async def test_owner_stopped_during_its_claim_runs_once_in_all(setup):
    async with setup.owner("a", "a-1") as stopped:
        assert (await stopped.call(new_key()))["outcome"] == "answered"
        await set_faults(setup.url, delay_ms=300)
        key = new_key()
        number = await stopped.send(key=key)
        await trio.sleep(0.1)
        stopped.process.send_signal(signal.SIGSTOP)
        await set_faults(setup.url, delay_ms=0)
        async with setup.owner("b", "b-1") as other:
            theirs = await other.call_until(key, "answered", "unknown")
            stopped.process.send_signal(signal.SIGCONT)
            mine = await stopped.result(number)
            runs = setup.runs()[key]
            assert runs <= 1
            answered = [mine["outcome"], theirs["outcome"]].count("answered")
            assert answered <= runs


@pytest.mark.parametrize("outage", ["cut", "hang", "unavailable"])
async def test_outage_refuses_and_resends_run(setup, outage):
    async with setup.owner("a", "a-1") as owner:
        assert (await owner.call(new_key()))["outcome"] == "answered"
        await set_faults(setup.url, outage=outage)
        keys = [new_key() for _ in range(5)]
        for key in keys:
            refused = await owner.call(key)
            assert (refused["outcome"], refused["code"]) == ("not-run", 5000)
        assert not set(setup.runs()) & set(keys)
        await set_faults(setup.url, outage="")
        for key in keys:
            assert (await owner.call_until(key, "answered"))["code"] in (1000, 1001)
    assert {setup.runs()[key] for key in keys} == {1}


async def test_lost_answers_neither_double_nor_lose_a_request(setup):
    async with setup.owner("a", "a-1") as owner:
        assert (await owner.call(new_key()))["outcome"] == "answered"
        await set_faults(setup.url, lose_answer_probability=0.4, seed=1)
        keys = [new_key() for _ in range(40)]
        for key in keys:
            await owner.call_until(key, "answered")
    assert {setup.runs()[key] for key in keys} == {1}
