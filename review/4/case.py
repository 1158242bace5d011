"""Two of twelve workers crash at once; 15 s later all entries are killed (final fault).

Callers look up the same page all the time. Rule RECOVER: of the requests sent later than
``recoveryS`` after the machines are back, less than a quarter is served, though a quarter
or more was before the final fault. ``TROUBLE=final`` is the final fault alone.
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

from client import send  # noqa: E402
from deployment import HOST, KEY, Deployment, free_port, route, service  # noqa: E402

ENTRIES = 2
WORKERS = 12
# Share 0.167 of the service.
CRASHED = 2
DOWN_S = 2.0
# Callers that look up the page, at each entry, in this interval.
CALLERS = 3
INTERVAL_S = 0.5
DEADLINE_MS = 2500
# The look-ups of an interval have begun to run, and take 150 ms.
CRASH_AFTER_LOOKUPS_S = 0.06
WORK_MS = 150
FINAL_FAULT_AFTER_S = 15.0
ENTRIES_DOWN_S = 1.0
RECOVERY_S = 12.0
JUDGED_S = 15.0


class Case:
    def __init__(self, trouble: str) -> None:
        self.crash = trouble not in ("0", "final")
        self.final_fault = trouble != "0"
        self.record: list[str] = []
        self.answers: list[tuple[int, object]] = []
        self.began = time.time()
        self.sent = asyncio.Event()

    def note(self, text: str) -> None:
        self.record.append(f"{time.time() - self.began:8.3f} {text}")

    async def request(self, number: int, entry) -> None:
        answer = await send(entry.front, "GET", HOST, "/status/board", KEY, DEADLINE_MS)
        self.answers.append((number, answer))

    async def keep_sending(self, entries) -> None:
        async with asyncio.TaskGroup() as group:
            while True:
                for number, entry in enumerate(entries):
                    for _ in range(CALLERS):
                        group.create_task(self.request(number, entry))
                self.sent.set()
                self.sent = asyncio.Event()
                await asyncio.sleep(INTERVAL_S)

    async def run(self) -> int:
        with Deployment() as dep:
            log = dep.folder / "ran.log"
            ports = [free_port("127.0.0.1") for _ in range(WORKERS)]

            def start(number: int, instance: str):
                return dep.start_worker(
                    log, id=instance, service="quote-status", ip="127.0.0.1",
                    port=ports[number], zone=f"bayern-{'abc'[number // 4]}",
                    work_ms=WORK_MS,
                )  # fmt: skip

            workers = [start(number, f"i-status{number}") for number in range(WORKERS)]
            await asyncio.sleep(0.5)
            routes = [route("status", "idempotent", "quote-status", timeoutMs=1200)]
            services = [service("quote-status")]
            await dep.put_config(routes, services)
            dep.start_entries(ENTRIES)
            await dep.wait_ready()
            await asyncio.sleep(1.0)
            sending = asyncio.create_task(self.keep_sending(dep.entries))
            await asyncio.sleep(5.0)
            await self.sent.wait()
            await asyncio.sleep(CRASH_AFTER_LOOKUPS_S)
            if self.crash:
                busy = self.busy_workers(log)
                for number in busy:
                    workers[number].send_signal(signal.SIGKILL)
                self.note(f"workers {busy} crash (SIGKILL)")
                await asyncio.sleep(DOWN_S)
                for number in busy:
                    start(number, f"i-status{number}b")
                self.note("they are started again")
            await asyncio.sleep(FINAL_FAULT_AFTER_S)
            version = await dep.put_config(routes, services)
            fault_at = time.time()
            if self.final_fault:
                for entry in dep.entries:
                    entry.send_signal(signal.SIGKILL)
                self.note(f"version {version} is acknowledged; all entries are killed")
                await asyncio.sleep(ENTRIES_DOWN_S)
                for entry in dep.entries:
                    entry.start()
                self.note("the entries are started again")
            back_at = time.time()
            await asyncio.sleep(RECOVERY_S + JUDGED_S)
            sending.cancel()
            await asyncio.wait([sending])
            return self.judge(fault_at, back_at, log)

    def busy_workers(self, log: Path) -> list[int]:
        """Return workers that are running a look-up."""
        running: dict[str, set[str]] = {}
        for line in log.read_text().splitlines():
            entry = json.loads(line)
            if entry["event"] == "run":
                running.setdefault(entry["worker"], set()).add(entry["attempt"])
            elif entry["event"] == "answered":
                running[entry["worker"]].discard(entry["attempt"])
        names = [name for name, left in running.items() if left]
        return sorted(int(name.removeprefix("i-status")) for name in names)[:CRASHED]

    def judge(self, fault_at: float, back_at: float, log: Path) -> int:
        def served(found) -> int:
            return sum(one.status == 200 and one.complete for one in found)

        before = [one for _, one in self.answers if one.sent_at < fault_at]
        after = [one for _, one in self.answers if one.sent_at > back_at + RECOVERY_S]
        self.record.append(
            f"{served(before)} of {len(before)} served before the final fault,"
            f" {served(after)} of {len(after)} later than recoveryS after it"
        )
        for number, one in self.answers:
            wait = one.headers.get("retry-after", "")
            self.record.append(
                f"look-up at entry {number} {one.attempt} sent"
                f" {one.sent_at - self.began:.3f}: {one.status} {one.text}"
                f"{'Retry-After ' + wait if wait else ''}"
                f" {one.body.decode(errors='replace').strip() if one.status == 503 else ''}"
            )
        self.record += ["run: " + line for line in log.read_text().splitlines()]
        if not after or 4 * served(before) < len(before):
            return 2
        broken = 4 * served(after) < len(after)
        self.record.append("rule broken" if broken else "rule held")
        return 1 if broken else 0


def main() -> int:
    case = Case(os.environ.get("TROUBLE", "1"))
    try:
        code = asyncio.run(case.run())
    except Exception as exc:
        case.record.append(f"could not run: {type(exc).__name__} {exc}")
        code = 2
    (FOLDER / "record.txt").write_text("\n".join(case.record) + "\n")
    print(json.dumps({"exit": code, "last": case.record[-1:]}, indent=1))
    return code


if __name__ == "__main__":
    sys.exit(main())
