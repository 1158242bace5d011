"""Two of twelve workers of a model service crash at once while long prompts wait there.

Requests of the plain service beside it, whose workers are sound, are sent all the time.
Rule CONFIG: of the requests that are still unanswered at their route's ``timeoutMs``,
more than half have no answer half a second later, at machines in touch.
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

# Ten documents with a context of 38,400 tokens in 600 parts. The six requests that a
# worker runs at once fit into the 247,000 tokens of its memory.
DOCUMENTS = 10
PARTS = 600
PART_TOKENS = 64
# Callers that ask about one document at about the same time.
CALLERS = 12
WRITERS = 12
# Share 0.167 of the service.
CRASHED = 2
DOWN_S = 4.0
ENTRIES = 2
BOOK_TIMEOUT_MS = 1200
BOOK_DEADLINE_MS = 2500
BOOKINGS_PER_S = 8
LATE_S = 0.5
# The last draft is sent this long before the crash; a worker reads a prompt in 0.51 s.
CRASH_AFTER_S = 0.3
WATCH_AFTER_CRASH_S = 25.0


def prompt(document: int, caller: int) -> dict[str, str]:
    """Return the headers of a draft: the document's parts and the caller's own one."""
    ids = [f"{document:02x}{part:04x}:{PART_TOKENS}" for part in range(PARTS)]
    own = f"f{document:02x}{caller:04x}:20"
    return {
        "X-Mustardfront-Model": "m",
        "X-Mustardfront-Token-Counts": f"{PARTS * PART_TOKENS + 20},20",
        "X-Mustardfront-Prompt-Prefix": ",".join([*ids, own]),
    }


class Case:
    def __init__(self, trouble: bool) -> None:
        self.trouble = trouble
        self.record: list[str] = []
        self.bookings: list[tuple[int, object]] = []
        self.began = time.time()

    def note(self, text: str) -> None:
        self.record.append(f"{time.time() - self.began:8.3f} {text}")

    async def draft(self, entry, document: int, caller: int):
        answer = await send(
            entry.front, "POST", HOST, "/draft/x", KEY, 8050,
            prompt(document, caller), f"draft {caller}".encode(),
        )  # fmt: skip
        self.note(
            f"draft on document {document} of caller {caller} {answer.attempt}"
            f" sent {answer.sent_at - self.began:.3f}: {answer.status}"
            f" {'whole' if answer.complete else 'not whole'} {answer.text}"
        )
        return answer

    async def book(self, number: int, entry) -> None:
        answer = await send(
            entry.front, "POST", HOST, "/book/quote", KEY, BOOK_DEADLINE_MS, {},
            f"booking {time.time()} {secrets_text()}".encode(),
        )  # fmt: skip
        self.bookings.append((number, answer))

    async def keep_booking(self, entries) -> None:
        async with asyncio.TaskGroup() as group:
            while True:
                for number, entry in enumerate(entries):
                    group.create_task(self.book(number, entry))
                await asyncio.sleep(1 / BOOKINGS_PER_S)

    async def run(self) -> int:
        with Deployment() as dep:
            log = dep.folder / "ran.log"
            ports = [free_port("127.0.0.1") for _ in range(WRITERS)]

            def start(number: int, instance: str):
                return dep.start_worker(
                    log, id=instance, service="net-writer", ip="127.0.0.1",
                    port=ports[number], zone=f"bayern-{'abc'[number // 4]}",
                    kind="stream", events=5, work_ms=20, queue=8,
                )  # fmt: skip

            writers = [start(number, f"i-writer{number}") for number in range(WRITERS)]
            for number, zone in enumerate("abc"):
                dep.start_worker(
                    log, id=f"i-ledger{number}", service="member-ledger",
                    ip="127.0.0.1", port=free_port("127.0.0.1"), zone=f"bayern-{zone}",
                )  # fmt: skip
            await asyncio.sleep(0.5)
            await dep.put_config(
                [
                    route("draft", "streaming", "net-writer", timeoutMs=8000,
                          targetLatencyMs=400, targetGapMs=120, resumable=True,
                          sticky=True),
                    route("book", "non_idempotent", "member-ledger",
                          timeoutMs=BOOK_TIMEOUT_MS, maxAttempts=1),
                ],
                [service("net-writer"), service("member-ledger")],
            )  # fmt: skip
            dep.start_entries(ENTRIES)
            await dep.wait_ready()
            await asyncio.sleep(1.0)
            self.note("entries are ready")
            booking = asyncio.create_task(self.keep_booking(dep.entries))
            for document in range(DOCUMENTS):
                for entry in dep.entries:
                    answer = await self.draft(entry, document, 0)
                    if answer.status != 200 or not answer.complete:
                        self.note("a draft of the calm time failed")
                        return 2
            await asyncio.sleep(1.0)
            drafts = []
            for document in range(DOCUMENTS):
                for caller in range(1, CALLERS + 1):
                    entry = dep.entries[caller % ENTRIES]
                    drafts.append(
                        asyncio.create_task(self.draft(entry, document, caller))
                    )
                await asyncio.sleep(0.01)
            await asyncio.sleep(CRASH_AFTER_S)
            crash_at = time.time()
            if self.trouble:
                self.note(f"{CRASHED} of {WRITERS} workers crash (SIGKILL)")
                for worker in writers[:CRASHED]:
                    worker.send_signal(signal.SIGKILL)
                await asyncio.sleep(DOWN_S)
                for number in range(CRASHED):
                    start(number, f"i-writer{number}b")
                self.note("the workers are started again")
            await asyncio.sleep(WATCH_AFTER_CRASH_S)
            booking.cancel()
            await asyncio.wait([booking, *drafts], timeout=10.0)
            return self.judge(crash_at, log)

    def judge(self, crash_at: float, log: Path) -> int:
        limit = BOOK_TIMEOUT_MS / 1000
        lasting, late = 0, 0
        for number, one in self.bookings:
            took_s = one.ended_at - one.sent_at
            self.record.append(
                f"booking at entry {number} {one.attempt} sent"
                f" {one.sent_at - self.began:.3f}: {one.status} {one.text}"
                f" after {took_s:.3f} s"
            )
            if took_s < limit:
                continue
            is_late = not one.status or took_s > limit + LATE_S
            lasting, late = lasting + 1, late + is_late
        self.record.append(
            f"{len(self.bookings)} bookings, {lasting} unanswered at timeoutMs,"
            f" {late} of them 0.5 s later"
        )
        # The rule counts eight requests or more.
        broken = lasting >= 8 and 2 * late > lasting
        sent = [one.sent_at for _, one in self.bookings if not one.status]
        if sent:
            self.record.append(
                f"bookings without an answer were sent {min(sent) - crash_at:.1f} s to"
                f" {max(sent) - crash_at:.1f} s after the crash"
            )
        self.record += ["run: " + line for line in log.read_text().splitlines()]
        self.record.append("rule broken" if broken else "rule held")
        return 1 if broken else 0


def secrets_text() -> str:
    return os.urandom(4).hex()


def main() -> int:
    case = Case(os.environ.get("TROUBLE", "1") != "0")
    try:
        code = asyncio.run(case.run())
    except Exception as exc:
        case.record.append(f"could not run: {type(exc).__name__} {exc}")
        code = 2
    (FOLDER / "record.txt").write_text("\n".join(case.record) + "\n")
    print(json.dumps({"exit": code, "last": case.record[-4:]}, indent=1))
    return code


if __name__ == "__main__":
    sys.exit(main())
