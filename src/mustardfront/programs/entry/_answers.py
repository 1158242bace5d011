"""Answers to callers: status, headers and the event stream's frames."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass
from typing import Any, Final

import msgspec
import trio

from mustardfront.codes import Code, Outcome
from mustardfront.constants import RESPONSE_QUEUE_PARTS
from mustardfront.protocol import Headers

AsgiSend = Callable[[Any], Awaitable[None]]

_STATUS_BY_CODE: Final[Mapping[Code, int]] = {
    Code.MALFORMED_REQUEST: 400,
    Code.UNKNOWN_TEAM: 401,
    Code.WRONG_KEY: 401,
    Code.UNKNOWN_SERVICE: 404,
    Code.NO_ROUTE: 404,
    Code.TEAM_NOT_ALLOWED: 403,
    Code.BODY_TOO_LARGE: 413,
    Code.KEY_REQUIRED: 400,
    Code.KEY_MALFORMED: 400,
    Code.KEY_EXPIRED: 409,
    Code.KEY_CONFLICT: 422,
    Code.DUPLICATE_REQUEST_ID: 409,
    Code.TEAM_LIMIT: 429,
    Code.REQUEST_HELD: 422,
    Code.DEADLINE_PASSED: 504,
    Code.UPSTREAM_TIMEOUT: 504,
    Code.UPSTREAM_CRASHED: 502,
    Code.STREAM_CUT: 502,
    Code.PEER_LOST: 502,
    Code.UPSTREAM_BAD_ANSWER: 502,
    Code.CLAIM_UNRESOLVED: 409,
    Code.INTERNAL_ERROR: 500,
}
_DEFAULT_STATUS: Final = 503
_CLIENT_CLOSED_REQUEST: Final = 499


@dataclass(frozen=True, slots=True)
class Finish:
    """How a request ended for its caller."""

    code: Code
    outcome: Outcome
    text: str = ""
    upstream: str = ""
    attempts: int = 0
    retry_after_ms: int = 0


def status_of(code: Code) -> int:
    """Return the HTTP status for a code that is not ``ANSWERED``."""
    if code is Code.CANCELLED:
        return _CLIENT_CLOSED_REQUEST
    return _STATUS_BY_CODE.get(code, _DEFAULT_STATUS)


class Answer:
    """The answer to one caller; its head and its end are sent at most once.

    Parts go through a bounded queue because the HTTP server's send cannot be
    cancelled: a caller that stops reading must not block a request past its deadline.
    """

    def __init__(self, request_id: str, closing: Callable[[], bool]) -> None:
        self._request_id = request_id
        self._closing = closing
        self._send, self._parts = trio.open_memory_channel[bytes](RESPONSE_QUEUE_PARTS)
        self._head: Any = None
        self._final_part: bytes | None = None
        self.started = False
        # Set before the last send, because the server reports a disconnect right after.
        self.ended = False

    async def deliver(self, send: AsgiSend) -> None:
        """Send all parts to the caller, until the answer is ended or closed.

        Queued parts are joined into one send, because the server's cost is per send.
        """
        async for first in self._parts:
            await self._send_head(send)
            await send(_body_message(first + self._drain_queue(), more=True))
        if self._final_part is not None:
            await self._send_head(send)
            self.ended = True
            await send(_body_message(self._final_part, more=False))

    async def _send_head(self, send: AsgiSend) -> None:
        if self._head is not None:
            head, self._head = self._head, None
            await send(head)

    def _drain_queue(self) -> bytes:
        parts: list[bytes] = []
        while True:
            try:
                parts.append(self._parts.receive_nowait())
            except (trio.WouldBlock, trio.EndOfChannel):
                return b"".join(parts)

    def close(self) -> None:
        """Stop accepting parts; without the last one the caller sees a cut answer."""
        self._send.close()

    def send_complete(
        self, finish: Finish, status: int, headers: Headers, body: bytes
    ) -> None:
        """Send a complete answer that came from an upstream."""
        self._prepare_head(status, finish, headers, len(body))
        self._close_with(body)

    def send_error(self, finish: Finish) -> None:
        """Send an error answer, or an error event if the stream has started."""
        if self.started:
            self._end_with_event("error", finish)
            return
        body = msgspec.json.encode(
            {
                "code": int(finish.code),
                "name": finish.code.name,
                "outcome": finish.outcome.value,
                "text": finish.text,
                "request_id": self._request_id,
            }
        )
        headers: Headers = (("content-type", "application/json"),)
        if finish.retry_after_ms:
            seconds = -(-finish.retry_after_ms // 1000)
            headers += (("retry-after", str(seconds)),)
        self._prepare_head(status_of(finish.code), finish, headers, len(body))
        self._close_with(body)

    def begin_stream(self, finish: Finish) -> None:
        """Send the head of an event stream; ``finish`` names the upstream."""
        headers: Headers = (
            ("content-type", "text/event-stream"),
            ("cache-control", "no-store"),
        )
        self._prepare_head(200, finish, headers, None)

    async def send_token(self, payload: bytes) -> None:
        """Send one token's event; wait while the queue is full."""
        part = b"data: " + payload + b"\n\n"
        try:
            # send_nowait has no checkpoint, which saves a scheduler pass per token.
            self._send.send_nowait(part)
        except trio.WouldBlock:
            await self._send.send(part)

    def end_stream(self, finish: Finish, tokens: int) -> None:
        """Send the last event of a complete stream."""
        self._end_with_event("done", finish, tokens=tokens)

    def _end_with_event(self, kind: str, finish: Finish, **more: int) -> None:
        data = msgspec.json.encode(
            {
                "code": int(finish.code),
                "outcome": finish.outcome.value,
                "text": finish.text,
                "upstream": finish.upstream,
                "attempts": finish.attempts,
                **more,
            }
        )
        frame = b"event: " + kind.encode() + b"\ndata: " + data + b"\n\n"
        self._close_with(frame)

    def _close_with(self, data: bytes) -> None:
        """Store the last part and close the queue, without waiting for room in it."""
        self._final_part = data
        self._send.close()

    def _prepare_head(
        self, status: int, finish: Finish, headers: Headers, length: int | None
    ) -> None:
        self.started = True
        added = [
            ("x-request-id", self._request_id),
            ("x-result-code", str(int(finish.code))),
            ("x-outcome", finish.outcome.value),
        ]
        if finish.upstream:
            added.append(("x-upstream", finish.upstream))
        if length is not None:
            added.append(("content-length", str(length)))
        if self._closing():
            added.append(("connection", "close"))
        skipped = {"content-length", "transfer-encoding", "connection", "date"}
        forwarded = [pair for pair in headers if pair[0].lower() not in skipped]
        encoded = [
            (name.lower().encode("latin-1"), value.encode("latin-1"))
            for name, value in (*forwarded, *added)
        ]
        self._head = {
            "type": "http.response.start",
            "status": status,
            "headers": encoded,
        }


def _body_message(data: bytes, *, more: bool) -> dict[str, Any]:
    return {"type": "http.response.body", "body": data, "more_body": more}
