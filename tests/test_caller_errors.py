"""Connections of callers that fail, beside others of the same server."""

from __future__ import annotations

from contextlib import asynccontextmanager

import pytest
import trio

from mustardfront.programs._http import (
    bind_socket,
    serve_asgi,
    server_config,
)
from mustardfront.results import Ok

REQUEST = b"GET /x HTTP/1.1\r\nhost: h\r\n\r\n"
HEAD = {"type": "http.response.start", "status": 200, "headers": []}
BODY = {"type": "http.response.body", "body": b"whole"}


@asynccontextmanager
async def serving(app):
    """Serve an application and yield its address; fail if the server ends early."""
    bound = bind_socket(("127.0.0.1", 0))
    assert isinstance(bound, Ok)
    async with trio.open_nursery() as nursery:
        address = await nursery.start(
            serve_asgi, app, server_config(bound.value, 0), trio.sleep_forever
        )
        host, _, port = address.rpartition(":")
        yield host, int(port)
        nursery.cancel_scope.cancel()


async def exchange(address, data: bytes, *, until: bytes) -> bytes:
    """Send bytes on a new connection; return what comes up to ``until`` or the end."""
    received = b""
    async with await trio.open_tcp_stream(*address) as conn:
        await conn.send_all(data)
        with trio.move_on_after(2):
            while until not in received:
                more = await conn.receive_some()
                if not more:
                    break
                received += more
    return received


async def send_two(send):
    await send(HEAD)
    await send(BODY)


def cancel_all(_message):
    """Cancel before each message."""
    return True


def cancel_body(message):
    """Cancel between the head and the body."""
    return message is BODY


@pytest.mark.parametrize("is_cancelled_before", [cancel_all, cancel_body])
async def test_message_that_is_cancelled_while_it_is_sent_is_sent_whole(
    is_cancelled_before,
):
    """Guards against a process that ends when an answer comes at its time limit.

    The scope of the time limit was cancelled between the parser's note of the head and
    its bytes, and the parser refused the error response that followed.
    """

    async def app(scope, receive, send):
        with trio.CancelScope() as limit:

            async def send_at_the_limit(message):
                if is_cancelled_before(message):
                    limit.cancel()
                await send(message)

            await send_two(send_at_the_limit)

    async with serving(app) as address:
        for _ in range(2):
            answer = await exchange(address, REQUEST, until=b"0\r\n\r\n")
            assert answer.startswith(b"HTTP/1.1 200") and b"whole" in answer


async def test_response_that_is_cancelled_between_its_messages_is_not_complete():
    """Guards against an answer without its end that a caller takes as whole."""

    async def app(scope, receive, send):
        with trio.move_on_after(0.05):
            await send(HEAD)
            await trio.sleep_forever()

    async with serving(app) as address:
        answer = await exchange(address, REQUEST, until=b"0\r\n\r\n")
        assert answer.startswith(b"HTTP/1.1 200")
        assert not answer.endswith(b"0\r\n\r\n")
