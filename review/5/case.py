"""The open connections to the store go silent, and a key is taken away just after.

Rule CONFIG: a request that is sent later than ``configApplyMs`` after the
acknowledgement of a version is handled as only an older version allows (run with a
dropped key), by machines in touch.
"""

from __future__ import annotations

import asyncio
import json
import os
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins"))

from client import send  # noqa: E402
from deployment import HOST, KEY, Deployment, free_port, route, service  # noqa: E402
from proxy import SilencingProxy  # noqa: E402

ENTRIES = 2
DROPPED_KEY = "dropped-key"
INTERVAL_S = 0.05
CONFIG_APPLY_S = 2.0
CONTACT_S = 3.0
CHANGE_AFTER_S = 0.2
WATCHED_S = 8.0
# The connections go silent as a watch begins, this short after the renewal of a lease.
RENEWED_WITHIN_S = 0.75
# Before that, a worker of another service starts this long after a renewal; its entry
# ends a watch, so that a later one begins as long after a renewal.
WORKER_STARTS_AFTER_S = 0.3
TRIGGER_WAIT_S = 20.0


class Case:
    def __init__(self, trouble: bool) -> None:
        self.trouble = trouble
        self.record: list[str] = []
        self.answers: list[tuple[int, object]] = []
        self.began = time.time()
        self.renewed_at = 0.0
        self.moment = asyncio.Event()
        self.proxies: list[SilencingProxy] = []
        self.renewals = 0

    def note(self, text: str) -> None:
        self.record.append(f"{time.time() - self.began:8.3f} {text}")

    def on_call(self, line: str) -> None:
        if "/-/kv-keep/" in line:
            self.renewed_at = time.time()
            if not self.moment.is_set():
                self.renewals += 1
            if self.renewals == 1:
                self.starting = asyncio.create_task(self.start_other_worker())
        elif "/-/kv-watch" in line and self.renewals >= 2 and not self.moment.is_set():
            if time.time() - self.renewed_at < RENEWED_WITHIN_S:
                self.moment.set()
                self.silence()

    async def start_other_worker(self) -> None:
        await asyncio.sleep(WORKER_STARTS_AFTER_S)
        self.note("a worker of another service enters itself in the store")
        port = free_port("127.0.0.1")
        await self.dep.put_entry(
            f"i-other{port}", service="other", address=f"127.0.0.1:{port}", zone="z"
        )

    def silence(self) -> None:
        self.silent_at = time.time()
        if self.trouble:
            self.note("all open connections to the store go silent")
            for proxy in self.proxies:
                proxy.silence()

    async def request(self, number: int, entry) -> None:
        answer = await send(entry.front, "GET", HOST, "/lookup/q", DROPPED_KEY, 2500)
        self.answers.append((number, answer))

    async def keep_sending(self, entries) -> None:
        async with asyncio.TaskGroup() as group:
            while True:
                for number, entry in enumerate(entries):
                    group.create_task(self.request(number, entry))
                await asyncio.sleep(INTERVAL_S)

    async def run(self) -> int:
        with Deployment() as dep:
            log = dep.folder / "ran.log"
            self.dep = dep
            host, _, port = dep.store_address.partition(":")
            for number in range(ENTRIES):
                ignore = number != 0
                proxy = SilencingProxy(
                    (host, int(port)), (lambda line: None) if ignore else self.on_call
                )
                await proxy.start("127.0.0.1")
                self.proxies.append(proxy)
            for number, zone in enumerate("abc"):
                dep.start_worker(
                    log, id=f"i-ledger{number}", service="member-ledger",
                    ip="127.0.0.1", port=free_port("127.0.0.1"),
                    zone=f"bayern-{zone}",
                )  # fmt: skip
            await asyncio.sleep(0.5)
            routes = [route("lookup", "idempotent", "member-ledger", timeoutMs=1200)]
            services = [service("member-ledger")]
            await dep.put_config(routes, services, (KEY, DROPPED_KEY))
            self.moment.set()
            dep.start_entries(
                ENTRIES, [f"{ip}:{port}" for ip, port in (p.address for p in self.proxies)]
            )
            await dep.wait_ready()
            sending = asyncio.create_task(self.keep_sending(dep.entries))
            await asyncio.sleep(5.0)
            self.moment.clear()
            await asyncio.wait_for(self.moment.wait(), TRIGGER_WAIT_S)
            await asyncio.sleep(CHANGE_AFTER_S)
            version = await dep.put_config(routes, services, (KEY,))
            acknowledged_at = time.time()
            self.note(f"version {version}, without the key, is acknowledged")
            await asyncio.sleep(WATCHED_S)
            sending.cancel()
            await asyncio.wait([sending])
            for proxy in self.proxies:
                await proxy.stop()
            return self.judge(acknowledged_at, log)

    def judge(self, acknowledged_at: float, log: Path) -> int:
        bound_at = acknowledged_at + CONFIG_APPLY_S
        if self.trouble:
            # No machine is in touch for contactMs after its connections were reset.
            bound_at = max(bound_at, self.silent_at + CONTACT_S)
        late = [
            one
            for _, one in self.answers
            if one.sent_at > bound_at and one.status == 200
        ]
        refused = sum(one.status == 401 for _, one in self.answers)
        for number, one in self.answers:
            self.record.append(
                f"request at entry {number} {one.attempt} sent"
                f" {one.sent_at - self.began:.3f}: {one.status} {one.text}"
            )
        self.record += ["run: " + line for line in log.read_text().splitlines()]
        self.record.append(
            f"{len(late)} requests with the dropped key ran that were sent later than"
            f" {bound_at - self.began:.3f}, the last one"
            f" {max((one.sent_at - bound_at for one in late), default=0.0):.3f} s later;"
            f" {refused} were refused with 401"
        )
        if not refused:
            return 2
        self.record.append("rule broken" if late else "rule held")
        return 1 if late else 0


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
