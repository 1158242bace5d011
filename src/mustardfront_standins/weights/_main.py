"""Weight store that serves ``GET /weights/{name}`` under a byte rate limit.

The query parameter ``size`` is the size of the object in bytes. While earlier reads
exceed the rate, a read is refused with 429 and ``Retry-After``.
"""

from __future__ import annotations

from urllib.parse import parse_qs

import click
import trio

from mustardfront_standins._serving import (
    Receive,
    Scope,
    Send,
    run_http,
    send_head,
    send_json,
)

_CHUNK_BYTES = 65_536


class WeightStore:
    """Byte token bucket; one object may overdraw it, and later ones then wait."""

    def __init__(self, rate: float, burst_s: float = 1.0) -> None:
        self._rate = rate
        self._capacity = rate * burst_s
        self._available = self._capacity
        self._updated_at: float | None = None
        self.served_bytes = 0

    def try_consume(self, size: int) -> float:
        """Consume ``size`` bytes and return 0, or return the seconds to wait."""
        now = trio.current_time()
        if self._updated_at is not None:
            self._available = min(
                self._capacity, self._available + (now - self._updated_at) * self._rate
            )
        self._updated_at = now
        if self._available <= 0:
            return -self._available / self._rate + 0.001
        self._available -= size
        self.served_bytes += size
        return 0.0

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Handle one request."""
        path = scope["path"]
        if path == "/served":
            await send_json(send, 200, {"bytes": self.served_bytes})
            return
        if scope["method"] != "GET" or not path.startswith("/weights/"):
            await send_json(send, 404, {"error": f"no {path}"})
            return
        query = parse_qs(scope["query_string"].decode())
        size = int(query.get("size", ["1024"])[0])
        wait_s = self.try_consume(size)
        if wait_s:
            retry = (("retry-after", f"{wait_s:.3f}"),)
            await send_json(send, 429, {"error": "rate limit"}, retry)
            return
        await send_head(send, 200, (("content-length", str(size)),))
        for start in range(0, size, _CHUNK_BYTES):
            body = bytes(min(_CHUNK_BYTES, size - start))
            await send({"type": "http.response.body", "body": body, "more_body": True})
        await send({"type": "http.response.body", "body": b""})


@click.command()
@click.option("--listen", default="127.0.0.1:0", help="IP:PORT to serve at.")
@click.option("--rate", default=1e9, help="Bytes a second.")
def main(listen: str, rate: float) -> None:
    """Serve weights until SIGTERM."""
    host, _, port = listen.rpartition(":")
    trio.run(run_http, WeightStore(rate), (host, int(port)))
