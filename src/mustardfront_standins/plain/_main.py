"""Plain HTTP service that counts the runs of each record.

``POST /records/{id}`` runs a record once, ``GET /records/{id}`` returns its number of
runs, and ``GET /runs`` returns all counts, so that a test can detect duplicate runs.
``--delay-ms`` or the query parameter ``delay_ms`` delays the response, and the query
parameter ``crash=before`` or ``crash=after`` kills the process before or after the run.
"""

from __future__ import annotations

import json
import os
import signal
import uuid
from collections import Counter
from dataclasses import dataclass, field
from urllib.parse import parse_qs

import click
import trio

from mustardfront_standins._serving import (
    Receive,
    Scope,
    Send,
    read_body,
    run_http,
    send_head,
    send_json,
)


@dataclass
class PlainService:
    """Service process; ``instance`` is unique to each start."""

    delay_s: float
    # File to which runs are appended as well, so that they survive a crash.
    run_log: str
    instance: str = field(default_factory=lambda: uuid.uuid4().hex)
    runs: Counter[str] = field(default_factory=Counter)

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Handle one request."""
        method, path = scope["method"], scope["path"]
        query = {
            name: values[0]
            for name, values in parse_qs(scope["query_string"].decode()).items()
        }
        if method == "GET" and path == "/healthz":
            await send_json(send, 200, {"status": "ok", "instance": self.instance})
        elif method == "GET" and path == "/runs":
            await send_json(send, 200, dict(self.runs))
        elif method == "GET" and path.startswith("/records/"):
            record = path.removeprefix("/records/")
            await trio.sleep(_response_delay_s(query, self.delay_s))
            await send_json(send, 200, {"id": record, "runs": self.runs[record]})
        elif method == "POST" and path.startswith("/records/"):
            body = await read_body(receive)
            await self._run_record(path.removeprefix("/records/"), body, query, send)
        elif method == "GET" and path == "/bytes":
            await _send_bytes(send, int(query.get("size", "0")), "chunked" in query)
        else:
            await send_json(send, 404, {"error": f"no {method} {path}"})

    async def _run_record(
        self, record: str, body: bytes, query: dict[str, str], send: Send
    ) -> None:
        if query.get("crash") == "before":
            os.kill(os.getpid(), signal.SIGKILL)
        self.runs[record] += 1
        if self.run_log:
            with open(self.run_log, "a") as file:  # noqa: ASYNC230
                file.write(json.dumps({"id": record, "by": self.instance}) + "\n")
        if query.get("crash") == "after":
            os.kill(os.getpid(), signal.SIGKILL)
        await trio.sleep(_response_delay_s(query, self.delay_s))
        answer = {"id": record, "runs": self.runs[record], "bytes": len(body)}
        await send_json(send, 201, answer)


def _response_delay_s(query: dict[str, str], default_s: float) -> float:
    return float(query["delay_ms"]) / 1e3 if "delay_ms" in query else default_s


async def _send_bytes(send: Send, size: int, chunked: bool) -> None:
    length = () if chunked else (("content-length", str(size)),)
    await send_head(send, 200, (("content-type", "text/plain"), *length))
    pattern = b"0123456789abcdef" * 1024
    for start in range(0, size, len(pattern)):
        chunk = pattern[: size - start]
        await send({"type": "http.response.body", "body": chunk, "more_body": True})
    await send({"type": "http.response.body", "body": b""})


@click.command()
@click.option("--listen", default="127.0.0.1:0", help="IP:PORT to serve at.")
@click.option("--delay-ms", default=0.0, help="Time that each call takes.")
@click.option("--run-log", default="", help="File to append each run to.")
def main(listen: str, delay_ms: float, run_log: str) -> None:
    """Serve records until SIGTERM."""
    host, _, port = listen.rpartition(":")
    plain = PlainService(delay_ms / 1e3, run_log)

    async def run() -> None:
        await run_http(plain, (host, int(port)), instance=plain.instance)

    trio.run(run)
