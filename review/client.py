"""A client: sends one request on a connection of its own and reads the answer."""

from __future__ import annotations

import asyncio
import secrets
import time
from dataclasses import dataclass, field


@dataclass
class Answer:
    """What a client saw of one request.

    ``status`` is 0 without an answer. ``complete`` tells that the answer's framing
    says that it is whole. Times are Unix seconds.
    """

    attempt: str
    sent_at: float
    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    complete: bool = False
    ended_at: float = 0.0
    text: str = ""


async def send(
    address: tuple[str, int],
    method: str,
    host: str,
    path: str,
    key: str,
    deadline_ms: int,
    headers: dict[str, str] | None = None,
    body: bytes = b"",
) -> Answer:
    """Send a request and wait for its answer until the client's deadline."""
    answer = Answer(secrets.token_hex(8), time.time())
    lines = [
        f"{method} {path} HTTP/1.1",
        f"Host: {host}",
        f"X-Mustardfront-Attempt-Id: {answer.attempt}",
        f"X-Mustardfront-Deadline-Ms: {deadline_ms}",
        f"Authorization: Bearer {key}",
        *(f"{name}: {value}" for name, value in (headers or {}).items()),
    ]
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    raw = "\r\n".join(lines).encode() + b"\r\n\r\n" + body
    writer = None
    try:
        async with asyncio.timeout(deadline_ms / 1000):
            reader, writer = await asyncio.open_connection(*address, limit=1 << 20)
            writer.write(raw)
            await _read_answer(reader, answer)
    except TimeoutError:
        answer.text = "deadline"
    except (OSError, asyncio.IncompleteReadError) as exc:
        answer.text = f"cut: {type(exc).__name__}"
    finally:
        answer.ended_at = time.time()
        if writer is not None:
            writer.close()
    return answer


async def _read_answer(reader, answer: Answer) -> None:
    head = await reader.readuntil(b"\r\n\r\n")
    first, *lines = head.decode("latin-1").split("\r\n")
    answer.status = int(first.split(" ")[1])
    for line in lines:
        name, _, value = line.partition(":")
        answer.headers[name.strip().lower()] = value.strip()
    if "chunked" in answer.headers.get("transfer-encoding", ""):
        while size := int(await reader.readuntil(b"\r\n"), 16):
            answer.body += (await reader.readexactly(size + 2))[:-2]
        await reader.readuntil(b"\r\n")
        answer.complete = True
    elif "content-length" in answer.headers:
        size = int(answer.headers["content-length"])
        answer.body = await reader.readexactly(size)
        answer.complete = True
    else:
        answer.body = await reader.read()
        answer.complete = True
