"""Clients of an entry, as the pages describe them."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

from third_http1 import Message, read_message
from third_record import Record

HOST = "ficu95.example"
KEY = "n2ctnfzs989anu6wsjnb"


@dataclass(frozen=True)
class Result:
    """What became of a request; ``status`` is 0 if no answer began."""

    request_id: str
    status: int
    is_complete: bool
    body: bytes = b""


def request_bytes(
    method: str,
    path: str,
    request_id: str,
    deadline_ms: int,
    body: bytes = b"",
    extra: str = "",
) -> bytes:
    """Return the bytes of a request."""
    lines = [
        f"{method} {path} HTTP/1.1",
        f"Host: {HOST}",
        f"X-Mustardfront-Attempt-Id: {request_id}",
        f"X-Mustardfront-Deadline-Ms: {deadline_ms}",
        f"Authorization: Bearer {KEY}",
    ]
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    head = "\r\n".join(lines) + "\r\n" + extra + "\r\n"
    return head.encode() + body


async def send_request(
    record: Record,
    address: tuple[str, int],
    method: str,
    path: str,
    request_id: str,
    deadline_ms: int = 2_500,
    body: bytes = b"",
) -> Result:
    """Send a request on a new connection, and wait for its answer."""
    record.write("sent", request=request_id, method=method, path=path)
    message: Message | None = None
    try:
        async with asyncio.timeout(deadline_ms / 1000 + 0.5):
            reader, writer = await asyncio.open_connection(*address, limit=2**22)
            try:
                raw = request_bytes(method, path, request_id, deadline_ms, body)
                writer.write(raw)
                await writer.drain()
                message = await read_message(reader)
            finally:
                writer.close()
    except (OSError, TimeoutError):
        message = None
    if message is None:
        result = Result(request_id, 0, False)
    else:
        is_whole = message.is_complete
        result = Result(request_id, message.status, is_whole, message.body)
    record.write(
        "answered",
        request=request_id,
        status=result.status,
        is_complete=result.is_complete,
    )
    return result
