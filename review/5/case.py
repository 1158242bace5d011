"""Another writer's entries name the addresses of workers, with a service unknown here.

The workers of a route that was added later are sound all the time. Rule CONFIG: in
steady state, machines in touch get 20 or more requests on routes that were added later,
and serve them less than a quarter as often as those on the first routes.
"""

from __future__ import annotations

import asyncio
import json
import os
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from client import send  # noqa: E402
from deployment import HOST, KEY, Deployment, free_port, route, service  # noqa: E402

ENTRIES = 2
WORKERS = 3
INTERVAL_S = 0.2
DEADLINE_MS = 2500
# The steady state is judged from here on: several times all bounds of the settings.
STEADY_AFTER_S = 20.0
JUDGED_S = 10.0


class Case:
    def __init__(self, trouble: bool) -> None:
        self.trouble = trouble
        self.record: list[str] = []
        self.answers: list[tuple[str, int, object]] = []
        self.began = time.time()

    def note(self, text: str) -> None:
        self.record.append(f"{time.time() - self.began:8.3f} {text}")

    async def request(self, number: int, entry, name: str) -> None:
        answer = await send(
            entry.front, "GET", HOST, f"/{name}/{time.time()}", KEY, DEADLINE_MS
        )
        self.answers.append((name, number, answer))

    async def keep_sending(self, entries) -> None:
        async with asyncio.TaskGroup() as group:
            while True:
                for number, entry in enumerate(entries):
                    for name in ("lookup", "status"):
                        group.create_task(self.request(number, entry, name))
                await asyncio.sleep(INTERVAL_S)

    async def run(self) -> int:
        with Deployment() as dep:
            log = dep.folder / "ran.log"
            addresses = {}

            def start(name: str, number: int) -> None:
                port = free_port("127.0.0.1")
                instance = f"i-{name}{number}"
                addresses[instance] = f"127.0.0.1:{port}"
                dep.start_worker(
                    log, id=instance, service=name, ip="127.0.0.1", port=port,
                    zone=f"bayern-{'abc'[number]}",
                )  # fmt: skip

            for number in range(WORKERS):
                start("member-ledger", number)
            await asyncio.sleep(0.5)
            first = route("lookup", "idempotent", "member-ledger", timeoutMs=1200)
            services = [service("member-ledger"), service("quote-status")]
            await dep.put_config([first], services)
            dep.start_entries(ENTRIES)
            await dep.wait_ready()
            for number in range(WORKERS):
                start("quote-status", number)
            await asyncio.sleep(0.5)
            added = route("status", "idempotent", "quote-status", timeoutMs=1200)
            version = await dep.put_config([first, added], services)
            self.note(f"version {version} adds route status")
            await asyncio.sleep(3.0)
            sending = asyncio.create_task(self.keep_sending(dep.entries))
            await asyncio.sleep(5.0)
            changed_at = time.time()
            if self.trouble:
                for number in range(WORKERS):
                    await dep.put_entry(
                        f"legacy-status-{number}",
                        service="legacy-status",
                        address=addresses[f"i-quote-status{number}"],
                        zone=f"bayern-{'abc'[number]}",
                    )
                self.note("another writer has written its entries")
            await asyncio.sleep(STEADY_AFTER_S + JUDGED_S)
            sending.cancel()
            await asyncio.wait([sending])
            return self.judge(changed_at, log)

    def judge(self, changed_at: float, log: Path) -> int:
        shares = {}
        for name in ("lookup", "status"):
            found = [one for route_name, _, one in self.answers if route_name == name]
            steady = [one for one in found if one.sent_at > changed_at + STEADY_AFTER_S]
            before = [one for one in found if one.sent_at < changed_at]
            served = sum(one.status == 200 and one.complete for one in steady)
            shares[name] = served / len(steady) if len(steady) >= 20 else None
            self.record.append(
                f"route {name}: {served} of {len(steady)} served in steady state;"
                f" {sum(one.status == 200 for one in before)} of {len(before)} before"
            )
        for name, number, one in self.answers:
            self.record.append(
                f"{name} at entry {number} {one.attempt} sent"
                f" {one.sent_at - self.began:.3f}: {one.status} {one.text}"
            )
        self.record += ["run: " + line for line in log.read_text().splitlines()]
        if None in shares.values() or shares["lookup"] < 0.5:
            return 2
        broken = shares["status"] < shares["lookup"] / 4
        self.record.append("rule broken" if broken else "rule held")
        return 1 if broken else 0


def main() -> int:
    case = Case(os.environ.get("TROUBLE", "1") != "0")
    try:
        code = asyncio.run(case.run())
    except Exception as exc:
        case.record.append(f"could not run: {type(exc).__name__} {exc}")
        code = 2
    (FOLDER / "record.txt").write_text("\n".join(case.record) + "\n")
    print(json.dumps({"exit": code, "last": case.record[-2:]}, indent=1))
    return code


if __name__ == "__main__":
    sys.exit(main())
