"""HTTP/1.1 messages over asyncio streams."""

from __future__ import annotations

import asyncio

# What a peer that leaves raises at the other end.
GONE = (asyncio.IncompleteReadError, ConnectionError)
Head = tuple[list[str], dict[str, str]]


async def read_head(reader: asyncio.StreamReader) -> Head:
    """Return the three words of the first line, and the headers in lower case."""
    data = await reader.readuntil(b"\r\n\r\n")
    first, *lines = data.decode("latin-1").split("\r\n")
    headers = {}
    for line in filter(None, lines):
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return first.split(" ", 2), headers


async def read_body(
    reader: asyncio.StreamReader, headers: dict[str, str], *, to_end: bool = False
) -> bytes:
    """Return a body; with ``to_end`` one without a length ends with its connection."""
    if "chunked" in headers.get("transfer-encoding", ""):
        body = b""
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            chunk = await reader.readexactly(size + 2)
            if size == 0:
                return body
            body += chunk[:-2]
    if "content-length" in headers:
        return await reader.readexactly(int(headers["content-length"]))
    return await reader.read() if to_end else b""


def message(first: str, headers: dict[str, str], body: bytes = b"") -> bytes:
    """Return a message with its content length."""
    lines = [first, *(f"{name}: {value}" for name, value in headers.items())]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + body
