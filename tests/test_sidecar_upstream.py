"""The HTTP client against a server that sends exactly the given bytes."""

from contextlib import asynccontextmanager

import pytest
import trio

from mustardfront.codes import Code
from mustardfront.programs.sidecar._upstream import UpstreamCall, UpstreamClient
from mustardfront.results import Err, Ok

WHOLE = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody"
CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n"
CALL = UpstreamCall("POST", "/", body=b"{}")


@asynccontextmanager
async def serving(*answers: bytes):
    """Answer the requests of each connection in turn, then close it."""

    async def serve(stream) -> None:
        for answer in answers:
            data = b""
            while not data.endswith(b"{}"):
                part = await stream.receive_some()
                if not part:
                    return
                data += part
            await stream.send_all(answer)

    async with trio.open_nursery() as nursery:
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        nursery.start_soon(trio.serve_listeners, serve, listeners)
        port = listeners[0].socket.getsockname()[1]
        with trio.fail_after(20):
            yield UpstreamClient(f"http://127.0.0.1:{port}")
        nursery.cancel_scope.cancel()


async def ask(client: UpstreamClient, **options):
    """Return the body, or the Err; and how often the hand-over was announced."""
    written = []

    async def before_write() -> None:
        written.append(True)

    async with client.exchange(CALL, before_write, **options) as answer:
        if isinstance(answer, Err):
            return answer, len(written)
        body = b""
        while isinstance(part := await answer.value.receive(), Ok) and part.value:
            body += part.value
        if isinstance(part, Err):
            return part, len(written)
        return (body if answer.value.length_known else None), len(written)


@pytest.mark.parametrize(
    ("raw", "expected"),
    [
        (WHOLE, b"body"),
        (CHUNKED + b"0\r\n\r\n", b"body"),
        # Cut answers must not look like short ones.
        (WHOLE[:-1], Code.STREAM_CUT),
        (CHUNKED, Code.STREAM_CUT),
        (CHUNKED + b"9\r\nx", Code.STREAM_CUT),
        (WHOLE[:20], Code.STREAM_CUT),
        (b"", Code.STREAM_CUT),
        (b"not HTTP at all\r\n\r\n", Code.STREAM_CUT),
        # Its end cannot be told from a cut.
        (b"HTTP/1.0 200 OK\r\n\r\nbody", None),
    ],
)
async def test_answer_is_whole_or_an_error_after_hand_over(raw, expected):
    async with serving(raw) as client:
        found, written = await ask(client)
        assert (found.code if isinstance(found, Err) else found) == expected
        assert written == 1


async def test_refused_connection_is_no_hand_over():
    found, written = await ask(UpstreamClient("http://127.0.0.1:1"))
    assert isinstance(found, Err) and found.code == Code.UPSTREAM_DOWN
    assert written == 0


async def test_closed_idle_connection_does_not_lose_the_next_request():
    # The server closes after each answer; the client must notice before it writes.
    async with serving(WHOLE) as client:
        for _ in range(5):
            assert (await ask(client))[0] == b"body"
            await trio.sleep(0.01)


async def test_call_that_must_not_be_repeated_gets_a_new_connection():
    # The server closes when it reads the second request of a connection.
    async with serving(WHOLE, b"") as client:
        assert (await ask(client))[0] == b"body"
        assert (await ask(client, reuse=False))[0] == b"body"
        found, written = await ask(client)
        assert isinstance(found, Err) and found.code == Code.STREAM_CUT
        assert written == 1
