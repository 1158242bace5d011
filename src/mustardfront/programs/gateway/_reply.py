"""Responses to callers over ASGI."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Mapping
from types import MappingProxyType
from typing import Any, Final

import msgspec

from mustardfront.codes import Code, Outcome
from mustardfront.programs.gateway._request import HOP_BY_HOP_HEADERS, RawHeaders

AsgiSend = Callable[[dict[str, Any]], Awaitable[None]]

# Statuses of refusals that the request itself caused; it did not run. Any other refusal
# without a run is a 503, which callers may retry.
_NOT_RUN_STATUSES: Final[Mapping[Code, int]] = MappingProxyType(
    {
        Code.NO_ROUTE: 404,
        Code.WRONG_KEY: 401,
        Code.BODY_TOO_LARGE: 413,
        Code.MALFORMED_REQUEST: 400,
    }
)


class ResponseWriter:
    """Sends one response; it is started and ended at most once."""

    def __init__(self, send: AsgiSend, is_draining: Callable[[], bool]) -> None:
        self.started = False
        self.ended = False
        self._send = send
        self._is_draining = is_draining

    async def send_response(
        self, status: int, headers: RawHeaders, body: bytes
    ) -> None:
        """Send a complete response with its content length."""
        length = (b"content-length", str(len(body)).encode())
        await self._start(status, (*headers, length))
        self.ended = True
        await self._send({"type": "http.response.body", "body": body})

    async def start_stream(self, status: int, headers: RawHeaders) -> None:
        """Start a response of unknown length."""
        await self._start(status, headers)

    async def send_chunk(self, data: bytes) -> None:
        """Send a part of the body of a started response."""
        await self._send(
            {"type": "http.response.body", "body": data, "more_body": True}
        )

    async def end_stream(self) -> None:
        """End a started response as complete."""
        self.ended = True
        await self._send({"type": "http.response.body", "body": b""})

    async def send_error(
        self, code: Code, outcome: Outcome, text: str, retry_after_s: float | None
    ) -> int:
        """Send an error response of this entry and return its status.

        If a response was already started, send nothing and return 0: the response then
        ends early, which the caller detects as incomplete.
        """
        if self.started:
            return 0
        status = error_status(code, outcome)
        headers = [
            (b"content-type", b"application/json"),
            (b"x-result-code", str(int(code)).encode()),
        ]
        if status == 503 and retry_after_s is not None:
            headers.append((b"retry-after", f"{retry_after_s:.3f}".encode()))
        body = msgspec.json.encode({"error": text, "code": int(code)})
        await self.send_response(status, tuple(headers), body)
        return status

    async def _start(self, status: int, headers: RawHeaders) -> None:
        self.started = True
        if self._is_draining():
            headers = (*headers, (b"connection", b"close"))
        await self._send(
            {
                "type": "http.response.start",
                "status": status,
                "headers": list(headers),
            }
        )


def error_status(code: Code, outcome: Outcome) -> int:
    """Return the HTTP status of an error; 503 means that the request did not run."""
    if outcome is Outcome.NOT_RUN:
        return _NOT_RUN_STATUSES.get(code, 503)
    return 504 if code in (Code.DEADLINE_PASSED, Code.UPSTREAM_TIMEOUT) else 502


def end_to_end_headers(headers: RawHeaders) -> RawHeaders:
    """Return the headers of an upstream's response without the hop-by-hop headers."""
    return tuple(
        (name, value)
        for name, value in headers
        if name.lower() not in HOP_BY_HOP_HEADERS
    )
