"""Connections of callers that fail, beside others of the same server."""

from __future__ import annotations

from contextlib import asynccontextmanager, suppress

import pytest
import trio

from mustardfront import events
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
        with suppress(trio.BrokenResourceError), trio.move_on_after(2):
            await conn.send_all(data)
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


UPGRADE = b"connection: Upgrade, HTTP2-Settings\r\nupgrade: h2c\r\n"
HTTP2_REQUESTS = {
    "unreadable settings": REQUEST[:-2] + UPGRADE + b"http2-settings: AAA\r\n\r\n",
    "readable settings": REQUEST[:-2] + UPGRADE + b"http2-settings: \r\n\r\n",
    "prior knowledge": b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n" + b"\0\0\0\4\0\0\0\0\0",
}


@pytest.mark.parametrize("request_bytes", HTTP2_REQUESTS.values(), ids=HTTP2_REQUESTS)
async def test_request_for_http2_changes_no_protocol_and_ends_nothing(request_bytes):
    """Guards against one request for HTTP/2 that ends the entry of all callers."""

    async def app(scope, receive, send):
        assert scope["http_version"].startswith(("1", "2"))
        await send_two(send)

    async with serving(app) as address:
        answer = await exchange(address, request_bytes, until=b"0\r\n\r\n")
        assert b"101" not in answer.split(b"\r\n")[0]
        answer = await exchange(address, REQUEST, until=b"0\r\n\r\n")
        assert b"whole" in answer


async def test_error_of_one_connection_ends_no_other(monkeypatch):
    """Guards against an exception of the HTTP library that ends the process."""

    async def fail(_server) -> None:
        raise ValueError("of one connection")

    monkeypatch.setattr("hypercorn.trio.tcp_server.TCPServer.run", fail)

    async def app(scope, receive, send):
        raise AssertionError("no request gets here")

    async with serving(app) as address:
        for _ in range(2):
            assert await exchange(address, REQUEST, until=b"\r\n\r\n") == b""


async def test_error_beside_a_cancellation_is_contained():
    """Guards against an error that ends a process as it comes in a group."""

    async def fail_in_the_end() -> None:
        try:
            await trio.sleep_forever()
        finally:
            raise ValueError("beside a cancellation")

    with trio.move_on_after(0.05) as scope, events.log_exceptions("connection"):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(trio.sleep_forever)
            nursery.start_soon(fail_in_the_end)
    assert scope.cancelled_caught
