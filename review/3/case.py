"""Two of four workers answer a report with bytes that do not end, three times.

Rule Fault: on a tenth of the machines in use (two at least) processes end by themselves
three times in the day with no disruption there (memory over the limit counts).
"""

from __future__ import annotations

import asyncio
import json
import os
import signal
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from deployment import Agent, Deployment, free_port, route, service  # noqa: E402

RANKS = 4
SPOILING = 2
SPOILED_ANSWERS = 3
SPACING_S = 15.0
# The platform kills a process that exceeds this, and starts it again after a while.
MEMORY_MB = 168
RESTART_S = 0.5
WATCH_S = 0.02


class Case:
    def __init__(self, trouble: bool) -> None:
        self.trouble = trouble
        self.record: list[str] = []
        self.ends: dict[str, int] = {}
        self.peak_mb: dict[str, float] = {}
        self.began = time.time()

    def note(self, text: str) -> None:
        self.record.append(f"{time.time() - self.began:8.3f} {text}")

    async def watch(self, agent: Agent) -> None:
        """Do to an agent's process what the platform does."""
        while True:
            await asyncio.sleep(WATCH_S)
            rss_mb = resident_mb(agent.process.pid)
            self.peak_mb[agent.name] = max(self.peak_mb.get(agent.name, 0.0), rss_mb)
            if rss_mb > MEMORY_MB:
                agent.send_signal(signal.SIGKILL)
                agent.process.wait()
                self.note(f"{agent.name} is killed with {rss_mb:.0f} MB")
            elif agent.process.poll() is not None:
                self.note(f"{agent.name} ended with {agent.process.returncode}")
            else:
                continue
            self.ends[agent.name] = self.ends.get(agent.name, 0) + 1
            await asyncio.sleep(RESTART_S)
            agent.start()

    async def run(self) -> int:
        with Deployment() as dep:
            log = dep.folder / "ran.log"
            ranks, agents = [], []
            for number in range(RANKS):
                port = free_port("127.0.0.1")
                ranks.append(dep.start_rank(log, "127.0.0.1", port, number, RANKS))
                app = f"127.0.0.1:{port}"
                agents.append(Agent(dep, number + 1, app, "net-writer"))
            await asyncio.sleep(0.5)
            await dep.put_config(
                [route("draft", "streaming", "net-writer")], [service("net-writer")]
            )
            for agent in agents:
                agent.start()
            watching = [asyncio.create_task(self.watch(agent)) for agent in agents]
            await asyncio.sleep(5.0)
            for _ in range(SPOILED_ANSWERS):
                if self.trouble:
                    self.note(f"{SPOILING} workers spoil their next answer to a report")
                    for rank in ranks[:SPOILING]:
                        rank.send_signal(signal.SIGUSR1)
                await asyncio.sleep(SPACING_S)
            for task in watching:
                task.cancel()
            await asyncio.wait(watching)
            return self.judge(log)

    def judge(self, log: Path) -> int:
        for name, mb in sorted(self.peak_mb.items()):
            self.record.append(
                f"{name}: {self.ends.get(name, 0)} ends, at most {mb:.0f} MB"
            )
        answered = [json.loads(line) for line in log.read_text().splitlines()]
        for rank in range(RANKS):
            mine = [one["event"] for one in answered if one["rank"] == rank]
            spoiled = mine.count("answers a report without end")
            self.record.append(
                f"rank {rank}: {len(mine)} reports were asked for, {spoiled} answered"
                " without end"
            )
        self.record += ["run: " + json.dumps(one) for one in answered]
        machines = sum(count >= 3 for count in self.ends.values())
        broken = machines >= max(2, RANKS / 10)
        self.record.append("rule broken" if broken else "rule held")
        return 1 if broken else 0


def resident_mb(pid: int) -> float:
    try:
        pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    except (OSError, IndexError):
        return 0.0
    return pages * os.sysconf("SC_PAGE_SIZE") / 2**20


def main() -> int:
    case = Case(os.environ.get("TROUBLE", "1") != "0")
    try:
        code = asyncio.run(case.run())
    except Exception as exc:
        case.record.append(f"could not run: {type(exc).__name__} {exc}")
        code = 2
    (FOLDER / "record.txt").write_text("\n".join(case.record) + "\n")
    print(json.dumps({"exit": code, "last": case.record[-5:]}, indent=1))
    return code


if __name__ == "__main__":
    sys.exit(main())
