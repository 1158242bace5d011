"""HTTP interface of the engine stand-in."""

from __future__ import annotations

import json
import os
import signal
import time
import uuid
from collections import deque
from dataclasses import dataclass, field
from typing import Any
from urllib.parse import parse_qs

import trio

from mustardfront_standins._serving import (
    Receive,
    Scope,
    Send,
    read_body,
    request_header,
    send_head,
    send_json,
)
from mustardfront_standins.engine._batch import Batch, Sequence
from mustardfront_standins.engine._cache import PrefixCache
from mustardfront_standins.tokens import answer_text

LOAD_SAMPLE_INTERVAL_S = 0.05


@dataclass
class Engine:
    """Engine process; ``instance`` is unique to each start."""

    model: str
    batch: Batch
    cache: PrefixCache
    checks_fence: bool
    load_lag_s: float
    prefill_s_per_char: float
    crash_marker: str
    cut_marker: str
    # Adds a monotonic send time to each token, to measure latency on a single host.
    stamps: bool = False
    instance: str = field(default_factory=lambda: uuid.uuid4().hex)
    fence: int = 0
    orders: list[dict[str, Any]] = field(default_factory=list)
    requests: int = 0
    cancels: int = 0
    _load_samples: deque[tuple[float, dict[str, Any]]] = field(default_factory=deque)

    def __post_init__(self) -> None:
        self.batch.on_admit = self._prefill

    def _prefill(self, sequence: Sequence) -> float:
        """Return the prefill time in s; kill the process on a crash marker."""
        if self.crash_marker and self.crash_marker in sequence.prompt:
            os.kill(os.getpid(), signal.SIGKILL)
        if self.cache.access(sequence.prompt):
            return 0.0
        return self.prefill_s_per_char * len(sequence.prompt)

    def current_load(self) -> dict[str, Any]:
        """Return the current load."""
        return {
            "running": len(self.batch.running),
            "waiting": len(self.batch.waiting),
            "slots": self.batch.slots,
            "steps": self.batch.steps,
        }

    async def sample_load(self) -> None:
        """Record load samples for delayed reports, until cancelled."""
        while True:
            now = trio.current_time()
            self._load_samples.append((now, self.current_load()))
            while (
                len(self._load_samples) > 1
                and self._load_samples[1][0] <= now - self.load_lag_s
            ):
                self._load_samples.popleft()
            await trio.sleep(LOAD_SAMPLE_INTERVAL_S)

    def reported_load(self) -> dict[str, Any]:
        """Return the load as it was ``load_lag_s`` ago."""
        return self._load_samples[0][1] if self._load_samples else self.current_load()

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Handle one request."""
        method, path = scope["method"], scope["path"]
        if method == "POST" and path == "/v1/completions":
            await self._handle_completion(scope, receive, send)
        elif method == "DELETE" and path.startswith("/v1/requests/"):
            found = self.batch.cancel(path.removeprefix("/v1/requests/"))
            self.cancels += found
            await send_json(send, 200 if found else 404, {"cancelled": found})
        elif method == "GET" and path == "/load":
            await send_json(send, 200, self.reported_load())
        elif method == "GET" and path == "/healthz":
            await send_json(send, 200, {"status": "ok", "instance": self.instance})
        elif method == "GET" and path == "/stats":
            await send_json(send, 200, self._stats())
        elif method == "GET" and path == "/cache_events":
            since = int(parse_qs(scope["query_string"].decode())["since"][0])
            await send_json(send, 200, {"events": self.cache.events_since(since)})
        elif method == "POST" and path == "/orders":
            await self._handle_order(receive, send)
        else:
            await send_json(send, 404, {"error": f"no {method} {path}"})

    def _stats(self) -> dict[str, Any]:
        return self.current_load() | {
            "requests": self.requests,
            "cancels": self.cancels,
            "hits": self.cache.hits,
            "misses": self.cache.misses,
            "orders": self.orders,
        }

    async def _handle_order(self, receive: Receive, send: Send) -> None:
        order = json.loads(await read_body(receive))
        fence = int(order["fence"])
        if self.checks_fence and fence < self.fence:
            await send_json(
                send,
                409,
                {"error": "fence is older than the current one", "fence": self.fence},
            )
            return
        self.fence = max(self.fence, fence)
        self.orders.append(order)
        await send_json(send, 200, {"done": True, "fence": self.fence})

    async def _handle_completion(
        self, scope: Scope, receive: Receive, send: Send
    ) -> None:
        try:
            body = json.loads(await read_body(receive))
            prompt = str(body["prompt"])
            end = int(body.get("max_tokens", 16))
            start = int(body.get("resume_from", 0))
            resume_text = str(body.get("resume_text", ""))
        except (ValueError, KeyError, TypeError) as exc:
            await send_json(send, 400, {"error": f"malformed request: {exc}"})
            return
        # A mismatch means that a token was lost or duplicated before the resume.
        if not 0 <= start <= end or resume_text != answer_text(prompt, start):
            await send_json(
                send,
                400,
                {"error": "resume_text differs from the answer up to resume_from"},
            )
            return
        self.requests += 1
        request_id = request_header(scope, "x-request-id") or uuid.uuid4().hex
        sequence, tokens = self.batch.add(request_id, prompt, start, end)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(
                _cancel_on_disconnect, receive, sequence, nursery.cancel_scope
            )
            if body.get("stream", False):
                await self._stream_completion(sequence, tokens, send)
            else:
                await self._send_completion(sequence, tokens, send)
            nursery.cancel_scope.cancel()

    async def _send_completion(
        self,
        sequence: Sequence,
        tokens: trio.MemoryReceiveChannel[tuple[int, str]],
        send: Send,
    ) -> None:
        text = "".join([token async for _, token in tokens])
        choice = {"index": 0, "text": text, "finish_reason": "length"}
        answer = {"id": sequence.request_id, "model": self.model, "choices": [choice]}
        await send_json(send, 200, answer)

    async def _stream_completion(
        self,
        sequence: Sequence,
        tokens: trio.MemoryReceiveChannel[tuple[int, str]],
        send: Send,
    ) -> None:
        headers = (("content-type", "text/event-stream"), ("cache-control", "no-cache"))
        await send_head(send, 200, headers)
        cut = self.cut_marker and self.cut_marker in sequence.prompt
        async for index, token in tokens:
            last = index + 1 == sequence.end
            finish = "length" if last else None
            choice = {"index": 0, "text": token, "finish_reason": finish}
            event = {"id": sequence.request_id, "index": index, "choices": [choice]}
            if self.stamps:
                event["sent_s"] = time.monotonic()
            await _send_event(send, json.dumps(event))
            if cut and index + 1 == (sequence.end + 1) // 2:
                sequence.cancelled = True
                break
        if not sequence.cancelled:
            await _send_event(send, "[DONE]")
        await send({"type": "http.response.body", "body": b""})


async def _send_event(send: Send, data: str) -> None:
    body = f"data: {data}\n\n".encode()
    await send({"type": "http.response.body", "body": body, "more_body": True})


async def _cancel_on_disconnect(
    receive: Receive, sequence: Sequence, scope: trio.CancelScope
) -> None:
    """Cancel the sequence when the caller closes the connection."""
    while (await receive())["type"] != "http.disconnect":
        pass
    sequence.cancelled = True
    scope.cancel()
