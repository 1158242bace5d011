"""The HTTP client of the sidecar against a server that sends given bytes."""

from contextlib import asynccontextmanager
from dataclasses import replace

import h11
import pytest
import trio

from mustardfront.codes import Code
from mustardfront.programs.sidecar._upstream import UpstreamCall, UpstreamClient
from mustardfront.results import Err, Ok

WITH_LENGTH = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody"
CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n"
CALL = UpstreamCall("POST", "/", body=b"{}")


@asynccontextmanager
async def serve_responses(*responses: bytes):
    """Send the responses to the requests of each connection in order, then close it."""

    async def serve(stream) -> None:
        for response in responses:
            data = b""
            while not data.endswith(b"{}"):
                chunk = await stream.receive_some()
                if not chunk:
                    return
                data += chunk
            await stream.send_all(response)

    async with trio.open_nursery() as nursery:
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        nursery.start_soon(trio.serve_listeners, serve, listeners)
        port = listeners[0].socket.getsockname()[1]
        with trio.fail_after(20):
            yield UpstreamClient(f"http://127.0.0.1:{port}")
        nursery.cancel_scope.cancel()


async def fetch_body(client: UpstreamClient, sent: bytes = CALL.body):
    """Return the body or the Err, and how often ``before_write`` ran.

    The body is None if its length is unknown.
    """
    written = []

    async def before_write() -> None:
        written.append(True)

    call = replace(CALL, body=sent)
    async with client.exchange(call, before_write) as result:
        if isinstance(result, Err):
            return result, len(written)
        body = b""
        while isinstance(chunk := await result.value.receive(), Ok) and chunk.value:
            body += chunk.value
        if isinstance(chunk, Err):
            return chunk, len(written)
        return (body if result.value.length_known else None), len(written)


@pytest.mark.parametrize(
    ("raw", "expected"),
    [
        (WITH_LENGTH, b"body"),
        (CHUNKED + b"0\r\n\r\n", b"body"),
        # A truncated response must not look like a short one.
        (WITH_LENGTH[:-1], Code.STREAM_CUT),
        (CHUNKED, Code.STREAM_CUT),
        (CHUNKED + b"9\r\nx", Code.STREAM_CUT),
        (WITH_LENGTH[:20], Code.STREAM_CUT),
        (b"", Code.STREAM_CUT),
        (b"not HTTP at all\r\n\r\n", Code.STREAM_CUT),
        # Its end cannot be distinguished from a truncation.
        (b"HTTP/1.0 200 OK\r\n\r\nbody", None),
    ],
)
async def test_response_is_complete_or_an_error_after_the_write(raw, expected):
    async with serve_responses(raw) as client:
        result, written = await fetch_body(client)
        assert (result.code if isinstance(result, Err) else result) == expected
        assert written == 1


async def test_nothing_is_written_to_a_refused_connection():
    result, written = await fetch_body(UpstreamClient("http://127.0.0.1:1"))
    assert isinstance(result, Err) and result.code == Code.UPSTREAM_DOWN
    assert written == 0


async def test_closed_idle_connection_does_not_lose_the_next_request():
    # The server closes after each response; the client must notice before it writes.
    async with serve_responses(WITH_LENGTH) as client:
        for _ in range(5):
            assert (await fetch_body(client))[0] == b"body"
            await trio.sleep(0.01)


@asynccontextmanager
async def serve_answers_twice():
    """Answer with the request's body; write the last answer again before the next."""

    async def serve(stream) -> None:
        last_answer, parser = b"", h11.Connection(h11.SERVER)
        body = b""
        while True:
            event = parser.next_event()
            if event is h11.NEED_DATA:
                parser.receive_data(await stream.receive_some())
            elif isinstance(event, h11.Data):
                body += bytes(event.data)
            elif isinstance(event, h11.EndOfMessage):
                head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body)
                await stream.send_all(last_answer + head + body)
                last_answer, body = head + body, b""
                parser.send(h11.Response(status_code=200, headers=[]))
                parser.send(h11.EndOfMessage())
                if parser.our_state is not h11.DONE:
                    await stream.aclose()
                    return
                parser.start_next_cycle()
            elif isinstance(event, h11.ConnectionClosed):
                return

    async with trio.open_nursery() as nursery:
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        nursery.start_soon(trio.serve_listeners, serve, listeners)
        port = listeners[0].socket.getsockname()[1]
        with trio.fail_after(20):
            yield UpstreamClient(f"http://127.0.0.1:{port}")
        nursery.cancel_scope.cancel()


async def test_answer_that_is_written_twice_does_not_answer_the_next_request():
    """Guards against a caller that gets the answer of the caller before."""
    async with serve_answers_twice() as client:
        for number in range(4):
            body = b"%d" % number
            assert (await fetch_body(client, body))[0] == body
