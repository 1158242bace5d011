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

LOAD_SAMPLE_S = 0.05


@dataclass
class Engine:
    """State of one engine process; ``instance`` differs at each start."""

    model: str
    batch: Batch
    cache: PrefixCache
    checks_fence: bool
    load_lag_s: float
    prefill_s_per_char: float
    crash_marker: str
    cut_marker: str
    # Adds the time of sending to each token, for measurements on one host.
    stamps: bool = False
    instance: str = field(default_factory=lambda: uuid.uuid4().hex)
    fence: int = 0
    orders: list[dict[str, Any]] = field(default_factory=list)
    requests: int = 0
    cancels: int = 0
    _loads: deque[tuple[float, dict[str, Any]]] = field(default_factory=deque)

    def __post_init__(self) -> None:
        self.batch.on_admit = self._prefill

    def _prefill(self, sequence: Sequence) -> float:
        """Return the prefill time; a prompt with the crash marker ends the process."""
        if self.crash_marker and self.crash_marker in sequence.prompt:
            os.kill(os.getpid(), signal.SIGKILL)
        if self.cache.touch(sequence.prompt):
            return 0.0
        return self.prefill_s_per_char * len(sequence.prompt)

    def load_now(self) -> dict[str, Any]:
        """Return the load at this moment."""
        return {
            "running": len(self.batch.running),
            "waiting": len(self.batch.waiting),
            "slots": self.batch.slots,
            "steps": self.batch.steps,
        }

    async def sample_load(self) -> None:
        """Keep samples of the load for as long as reports lag, until cancelled."""
        while True:
            now = trio.current_time()
            self._loads.append((now, self.load_now()))
            while len(self._loads) > 1 and self._loads[1][0] <= now - self.load_lag_s:
                self._loads.popleft()
            await trio.sleep(LOAD_SAMPLE_S)

    def load_reported(self) -> dict[str, Any]:
        """Return the load as it was ``load_lag_s`` ago."""
        return self._loads[0][1] if self._loads else self.load_now()

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Answer one request."""
        method, path = scope["method"], scope["path"]
        if method == "POST" and path == "/v1/completions":
            await self._complete(scope, receive, send)
        elif method == "DELETE" and path.startswith("/v1/requests/"):
            found = self.batch.cancel(path.removeprefix("/v1/requests/"))
            self.cancels += found
            await send_json(send, 200 if found else 404, {"cancelled": found})
        elif method == "GET" and path == "/load":
            await send_json(send, 200, self.load_reported())
        elif method == "GET" and path == "/healthz":
            await send_json(send, 200, {"status": "ok", "instance": self.instance})
        elif method == "GET" and path == "/stats":
            await send_json(send, 200, self._stats())
        elif method == "GET" and path == "/cache_events":
            since = int(parse_qs(scope["query_string"].decode())["since"][0])
            await send_json(send, 200, {"events": self.cache.events_since(since)})
        elif method == "POST" and path == "/orders":
            await self._order(receive, send)
        else:
            await send_json(send, 404, {"error": f"no {method} {path}"})

    def _stats(self) -> dict[str, Any]:
        return self.load_now() | {
            "requests": self.requests,
            "cancels": self.cancels,
            "hits": self.cache.hits,
            "misses": self.cache.misses,
            "orders": self.orders,
        }

    async def _order(self, receive: Receive, send: Send) -> None:
        order = json.loads(await read_body(receive))
        fence = int(order["fence"])
        if self.checks_fence and fence < self.fence:
            await send_json(send, 409, {"error": "old fence", "fence": self.fence})
            return
        self.fence = max(self.fence, fence)
        self.orders.append(order)
        await send_json(send, 200, {"done": True, "fence": self.fence})

    async def _complete(self, scope: Scope, receive: Receive, send: Send) -> None:
        try:
            body = json.loads(await read_body(receive))
            prompt = str(body["prompt"])
            end = int(body.get("max_tokens", 16))
            start = int(body.get("resume_from", 0))
            resume_text = str(body.get("resume_text", ""))
        except (ValueError, KeyError, TypeError) as exc:
            await send_json(send, 400, {"error": f"malformed request: {exc}"})
            return
        # A wrong resume text shows a token lost or doubled before the resume.
        if not 0 <= start <= end or resume_text != answer_text(prompt, start):
            await send_json(
                send, 400, {"error": "resume text is not the answer so far"}
            )
            return
        self.requests += 1
        request_id = request_header(scope, "x-request-id") or uuid.uuid4().hex
        sequence, tokens = self.batch.add(request_id, prompt, start, end)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_watch_caller, receive, sequence, nursery.cancel_scope)
            if body.get("stream", False):
                await self._stream(sequence, tokens, send)
            else:
                await self._whole(sequence, tokens, send)
            nursery.cancel_scope.cancel()

    async def _whole(
        self,
        sequence: Sequence,
        tokens: trio.MemoryReceiveChannel[tuple[int, str]],
        send: Send,
    ) -> None:
        text = "".join([token async for _, token in tokens])
        choice = {"index": 0, "text": text, "finish_reason": "length"}
        answer = {"id": sequence.request_id, "model": self.model, "choices": [choice]}
        await send_json(send, 200, answer)

    async def _stream(
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


async def _watch_caller(
    receive: Receive, sequence: Sequence, scope: trio.CancelScope
) -> None:
    """Cancel the sequence when its caller closes the connection."""
    while (await receive())["type"] != "http.disconnect":
        pass
    sequence.cancelled = True
    scope.cancel()
