"""HTTP calls to other processes, bounded in the bytes and the time of the response.

A process in trouble may send a response without end, or a byte of it now and then. A
timeout of each read ends neither.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Final

import httpcore
import msgspec
import trio

RawHeaders = Sequence[tuple[bytes, bytes]]

# What a call raises if the other process gives no usable response.
CALL_ERRORS: Final = (
    httpcore.NetworkError,
    httpcore.ProtocolError,
    httpcore.TimeoutException,
    msgspec.MsgspecError,
)


class ResponseTooLongError(httpcore.RemoteProtocolError):
    """A response whose body is longer than its call allows."""


@dataclass(frozen=True, slots=True)
class CallLimits:
    """Limits of a call.

    ``wait_s`` bounds each wait for the pool or for bytes, ``connect_s`` a new
    connection, and ``total_s`` the whole call. The response's body has at most
    ``body_bytes``.
    """

    wait_s: float
    connect_s: float
    total_s: float
    body_bytes: int

    def timeouts(self) -> dict[str, float]:
        """Return the timeouts in the form that httpcore takes."""
        return dict.fromkeys(("read", "write", "pool"), self.wait_s) | {
            "connect": self.connect_s
        }


@dataclass(frozen=True, slots=True)
class CallResponse:
    """A complete response."""

    status: int
    headers: RawHeaders
    body: bytes


async def call_http(
    pool: httpcore.AsyncConnectionPool,
    method: str,
    url: str,
    limits: CallLimits,
    *,
    headers: Sequence[tuple[str, str]] = (),
    content: bytes | None = None,
) -> CallResponse:
    """Send a request and read the response completely.

    Raise ``ResponseTooLongError`` or another of httpcore's errors if there is no
    response within the limits. The connection is then closed.
    """
    with trio.move_on_after(limits.total_s):
        async with pool.stream(
            method,
            url,
            headers=list(headers),
            content=content,
            extensions={"timeout": limits.timeouts()},
        ) as response:
            body = bytearray()
            async for part in response.aiter_stream():
                body += part
                check_length(len(body), limits.body_bytes)
            return CallResponse(response.status, response.headers, bytes(body))
    raise httpcore.ReadTimeout(f"no complete response within {limits.total_s} s")


async def close_idle_connections(pool: httpcore.AsyncConnectionPool) -> None:
    """Close the connections that no call uses, so that the next one opens its own.

    Connections may go silent without a reset. One that has done so shows that the
    others may have too, and each would cost another timeout.
    """
    for conn in pool.connections:
        if conn.is_idle():
            await conn.aclose()


def check_length(size: int, limit_bytes: int) -> None:
    """Raise ``ResponseTooLongError`` if a body exceeds its limit."""
    if size > limit_bytes:
        raise ResponseTooLongError(f"body of the response exceeds {limit_bytes} bytes")
