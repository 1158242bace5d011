"""HTTP client that sends requests to entries and records the responses."""

from __future__ import annotations

import json
from collections.abc import AsyncIterator, Mapping
from dataclasses import dataclass, field
from typing import Any

import httpcore
import trio

from mustardfront_standins.deployments import bearer, completion


@dataclass(slots=True)
class CallerAnswer:
    """Response that a caller received; ``code`` is 0 if it is missing or incomplete."""

    status: int = 0
    code: int = 0
    outcome: str = ""
    upstream: str = ""
    request_id: str = ""
    text: str = ""
    tokens: list[str] = field(default_factory=list)
    indexes: list[int] = field(default_factory=list)
    body: Any = None
    elapsed_s: float = 0.0
    first_token_s: float = 0.0
    attempts: int = 0
    entry: str = ""
    began_s: float = 0.0

    @property
    def answer_text(self) -> str:
        """Return the concatenated tokens of a stream."""
        return "".join(self.tokens)


class Caller:
    """Sends requests of teams to entries; use it as an async context manager."""

    def __init__(self, connections: int = 100) -> None:
        self._pool = httpcore.AsyncConnectionPool(
            max_connections=connections, keepalive_expiry=5.0
        )

    async def __aenter__(self) -> Caller:
        await self._pool.__aenter__()
        return self

    async def __aexit__(self, *args: Any) -> None:
        await self._pool.__aexit__(*args)

    async def call(
        self,
        url: str,
        method: str,
        path: str,
        team: str,
        body: bytes = b"",
        headers: Mapping[str, str] | None = None,
        progress: CallerAnswer | None = None,
    ) -> CallerAnswer:
        """Send one request; fill ``progress``, if given, while the response arrives."""
        answer = progress if progress is not None else CallerAnswer()
        began_s = answer.began_s = trio.current_time()
        answer.entry = url
        request_headers = {"authorization": bearer(team), **(headers or {})}
        try:
            async with self._pool.stream(
                method,
                url + path,
                headers=list(request_headers.items()),
                content=body or None,
                extensions={"timeout": {"connect": 5.0, "read": 60.0}},
            ) as response:
                _parse_headers(answer, response)
                if _is_stream(response):
                    await _read_stream(answer, response, began_s)
                else:
                    _parse_body(answer, await response.aread())
        except (httpcore.NetworkError, httpcore.RemoteProtocolError) as exc:
            answer.code, answer.outcome, answer.text = 0, "", f"connection: {exc!r}"
        except httpcore.TimeoutException as exc:
            answer.code, answer.outcome, answer.text = 0, "", f"timeout: {exc!r}"
        answer.elapsed_s = trio.current_time() - began_s
        return answer

    async def complete(
        self,
        url: str,
        team: str,
        model: str,
        prompt: str,
        tokens: int,
        headers: Mapping[str, str] | None = None,
        progress: CallerAnswer | None = None,
    ) -> CallerAnswer:
        """Request a streamed completion from a model."""
        return await self.call(
            url,
            "POST",
            "/v1/completions",
            team,
            completion(model, prompt, tokens),
            headers,
            progress,
        )

    async def get(self, url: str, path: str) -> tuple[int, bytes]:
        """Return the status and the body of a GET request without credentials."""
        response = await self._pool.request("GET", url + path)
        return response.status, response.content


def _is_stream(response: httpcore.Response) -> bool:
    return dict(response.headers).get(b"content-type") == b"text/event-stream"


def _parse_headers(answer: CallerAnswer, response: httpcore.Response) -> None:
    headers = {
        name.decode().lower(): value.decode() for name, value in response.headers
    }
    answer.status = response.status
    answer.upstream = headers.get("x-upstream", "")
    answer.request_id = headers.get("x-request-id", "")
    if not _is_stream(response):
        answer.code = int(headers.get("x-result-code", "0"))
        answer.outcome = headers.get("x-outcome", "")


def _parse_body(answer: CallerAnswer, body: bytes) -> None:
    try:
        answer.body = json.loads(body) if body else None
    except ValueError:
        answer.body = body
    if isinstance(answer.body, dict):
        answer.text = str(answer.body.get("text", ""))


async def _read_stream(
    answer: CallerAnswer, response: httpcore.Response, began_s: float
) -> None:
    """Read the events of a stream; only the last one has the code and the outcome."""
    async for event_type, data in _iter_events(response):
        if event_type == "message":
            if not answer.tokens:
                answer.first_token_s = trio.current_time() - began_s
            answer.indexes.append(data["index"])
            answer.tokens.append(data["choices"][0]["text"])
            continue
        answer.code = data["code"]
        answer.outcome = data["outcome"]
        answer.text = data["text"]
        answer.upstream = data["upstream"] or answer.upstream
        answer.attempts = data["attempts"]


async def _iter_events(response: httpcore.Response) -> AsyncIterator[tuple[str, Any]]:
    buffer = b""
    async for chunk in response.aiter_stream():
        *frames, buffer = (buffer + chunk).split(b"\n\n")
        for frame in frames:
            event_type, data = "message", ""
            for line in frame.decode().split("\n"):
                name, _, value = line.partition(": ")
                event_type = value if name == "event" else event_type
                data = value if name == "data" else data
            yield event_type, json.loads(data)
