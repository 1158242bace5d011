"""Weight store: ``GET /weights/{name}`` under a byte rate limit.

The ``size`` of the query gives an object's bytes. A read is refused with 429 and
``Retry-After`` while earlier ones have used up the rate.
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

_PIECE_BYTES = 65_536


class WeightStore:
    """A bucket of bytes; it may go below zero by one object, which refuses others."""

    def __init__(self, rate: float, burst_s: float = 1.0) -> None:
        self._rate = rate
        self._most = rate * burst_s
        self._left = self._most
        self._at: float | None = None
        self.served_bytes = 0

    def take(self, size: int) -> float:
        """Take ``size`` bytes and return 0, or return the seconds to wait."""
        now = trio.current_time()
        if self._at is not None:
            self._left = min(self._most, self._left + (now - self._at) * self._rate)
        self._at = now
        if self._left <= 0:
            return -self._left / self._rate + 0.001
        self._left -= size
        self.served_bytes += size
        return 0.0

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Answer one request."""
        path = scope["path"]
        if path == "/served":
            await send_json(send, 200, {"bytes": self.served_bytes})
            return
        if scope["method"] != "GET" or not path.startswith("/weights/"):
            await send_json(send, 404, {"error": f"no {path}"})
            return
        query = parse_qs(scope["query_string"].decode())
        size = int(query.get("size", ["1024"])[0])
        wait_s = self.take(size)
        if wait_s:
            retry = (("retry-after", f"{wait_s:.3f}"),)
            await send_json(send, 429, {"error": "rate limit"}, retry)
            return
        await send_head(send, 200, (("content-length", str(size)),))
        for start in range(0, size, _PIECE_BYTES):
            body = bytes(min(_PIECE_BYTES, size - start))
            await send({"type": "http.response.body", "body": body, "more_body": True})
        await send({"type": "http.response.body", "body": b""})


@click.command()
@click.option("--listen", default="127.0.0.1:0", help="IP:PORT to serve at.")
@click.option("--rate", default=1e9, help="Bytes a second.")
def main(listen: str, rate: float) -> None:
    """Serve weights until SIGTERM."""
    host, _, port = listen.rpartition(":")
    trio.run(run_http, WeightStore(rate), (host, int(port)))
