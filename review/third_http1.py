"""HTTP/1.1 over asyncio streams, as far as the stand-ins need it."""

from __future__ import annotations

import asyncio
import json
from dataclasses import dataclass
from typing import Any
from urllib.parse import parse_qsl, urlsplit

REASONS = {200: "OK", 202: "Accepted", 404: "Not Found", 412: "Precondition Failed"}


@dataclass
class Message:
    """A request or a response; header names are in lower case.

    ``start`` is the first line's words. ``is_complete`` is False if the body ended
    early.
    """

    start: list[str]
    headers: dict[str, str]
    body: bytes = b""
    is_complete: bool = True

    @property
    def status(self) -> int:
        """Return the status of a response."""
        return int(self.start[1])

    @property
    def method(self) -> str:
        """Return the method of a request."""
        return self.start[0]

    @property
    def path(self) -> str:
        """Return the path of a request, without its query."""
        return urlsplit(self.start[1]).path

    @property
    def query(self) -> dict[str, str]:
        """Return the query of a request."""
        return dict(parse_qsl(urlsplit(self.start[1]).query, keep_blank_values=True))


async def read_head(reader: asyncio.StreamReader) -> Message | None:
    """Return a message without its body; None if the connection ends before it."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = raw[:-4].decode("latin-1").split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return Message(first.split(" ", 2), headers)


async def read_body(reader: asyncio.StreamReader, message: Message) -> None:
    """Read the body of a message into it."""
    try:
        if "chunked" in message.headers.get("transfer-encoding", ""):
            while True:
                size = int((await reader.readline()).split(b";")[0] or b"x", 16)
                message.body += await reader.readexactly(size)
                await reader.readline()
                if not size:
                    return
        message.body = await reader.readexactly(
            int(message.headers.get("content-length", "0"))
        )
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        message.is_complete = False


async def read_message(reader: asyncio.StreamReader) -> Message | None:
    """Return a message; None if the connection ends before its head."""
    message = await read_head(reader)
    if message is not None:
        await read_body(reader, message)
    return message


def encode_response(
    status: int, body: bytes, headers: dict[str, str] | None = None
) -> bytes:
    """Return a response with a length."""
    fields = {"Content-Length": str(len(body))} | (headers or {})
    lines = [f"HTTP/1.1 {status} {REASONS.get(status, 'Other')}"]
    lines += [f"{name}: {value}" for name, value in fields.items()]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def encode_json(status: int, data: Any) -> bytes:
    """Return a response with a JSON body."""
    headers = {"Content-Type": "application/json"}
    return encode_response(status, json.dumps(data).encode(), headers)
