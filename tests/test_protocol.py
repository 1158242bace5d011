"""Peer connections: handshake, malformed input, calls and message encoding."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import pytest
import trio
import trio.testing
from hypothesis import given, settings
from hypothesis import strategies as st

from mustardfront.codes import Code
from mustardfront.constants import (
    CHUNKS_MAX_BYTES,
    FRAME_MAX_BYTES,
    PROTOCOL_VERSION,
    PROTOCOL_VERSION_MIN,
    STREAM_CREDIT_CHUNKS,
)
from mustardfront.protocol import (
    Calls,
    Chunk,
    CrashReport,
    End,
    Identity,
    Order,
    OrderReply,
    PeerConnection,
    Ping,
    Request,
    Started,
    connect_peer,
    decode,
    encode,
    open_peer,
    serve_peers,
)
from mustardfront.protocol._codec import decode_all, encode_chunks
from mustardfront.results import Err, Ok, Result

KEY = b"a-shared-test-key"
ENTRY = Identity("entry", "host-a", "place-a", "instance-1")
SIDECAR = Identity("sidecar", "host-b", "place-b", "instance-2", "upstream-1")


def make_request(stream: int = 1) -> Request:
    return Request(
        stream=stream,
        request_id="r-1",
        attempt=1,
        team="lofts",
        service="ledger",
        method="GET",
        path="/quotes/7",
        headers=(("accept", "application/json"),),
        body=b"",
        deadline_ms=1_000,
        priority=1,
    )


@asynccontextmanager
async def pair(
    keys: tuple[bytes, bytes] = (KEY, KEY),
    version: int = PROTOCOL_VERSION,
) -> AsyncIterator[tuple[Result[PeerConnection], Result[PeerConnection]]]:
    """Yield the dialled and the accepted end of a connection in memory."""
    left, right = trio.testing.memory_stream_pair()
    ends: dict[str, Result[PeerConnection]] = {}
    accepted, done = trio.Event(), trio.Event()

    async def accept() -> None:
        async with open_peer(right, SIDECAR, keys[1], dialled=False) as conn:
            ends["accepted"] = conn
            accepted.set()
            await done.wait()

    async with trio.open_nursery() as nursery:
        nursery.start_soon(accept)
        async with open_peer(
            left, ENTRY, keys[0], dialled=True, version=version
        ) as conn:
            await accepted.wait()
            yield conn, ends["accepted"]
            done.set()


@pytest.mark.parametrize(
    "message",
    [
        make_request(),
        Started(3),
        Chunk(2**40, 7, b"\x00\xff"),
        End(1, 1000, "answered", 8),
        CrashReport("u", "i", (b"\x01" * 16, b"")),
        CrashReport("u", "i", (), (b"f", b"g"), (b"p", b"q"), (b"p",)),
        CrashReport("u", "i", (b"f", b"g"), unsuspected=(b"g",)),
        Ping(1, 2),
    ],
)
def test_message_round_trip(message):
    assert decode(encode(message)) == Ok(message)


@given(st.binary(max_size=200))
def test_random_bytes_are_an_error_or_a_message(data):
    # Guards against an exception that decode does not catch: it would end
    # more than one connection.
    assert isinstance(decode(data), Ok | Err)


async def test_handshake_tells_each_side_who_the_other_is(autojump_clock):
    async with pair() as (near, far):
        assert isinstance(near, Ok) and isinstance(far, Ok)
        assert near.value.remote.upstream == "upstream-1"
        assert far.value.remote.instance == "instance-1"


async def test_wrong_key_is_refused_on_both_sides(autojump_clock):
    async with pair((KEY, b"another-key-entirely")) as (near, far):
        assert isinstance(near, Err) and isinstance(far, Err)
        assert Code.BAD_PROOF in (near.code, far.code)


@pytest.mark.parametrize(
    ("data", "code"),
    [
        ((FRAME_MAX_BYTES + 1).to_bytes(4, "big"), Code.FRAME_TOO_LARGE),
        (b"\x00\x00\x00\x03abc", Code.BAD_MESSAGE),
        (b"GET / HTTP/1.1\r\n\r\n", Code.FRAME_TOO_LARGE),
    ],
)
async def test_malformed_input_ends_the_handshake(autojump_clock, data, code):
    left, right = trio.testing.memory_stream_pair()
    await left.send_all(data)
    async with open_peer(right, SIDECAR, KEY, dialled=False) as conn:
        assert isinstance(conn, Err)
        assert conn.code is code


async def test_silent_peer_times_out(autojump_clock):
    _left, right = trio.testing.memory_stream_pair()
    async with open_peer(right, SIDECAR, KEY, dialled=False) as conn:
        assert isinstance(conn, Err)
        assert conn.code is Code.HANDSHAKE_TIMEOUT


async def test_late_reply_reaches_no_other_call(autojump_clock):
    async with pair() as (near, far):
        assert isinstance(near, Ok) and isinstance(far, Ok)
        calls = Calls(near.value)
        with calls.open() as first:
            pass
        with calls.open() as second:
            assert second.stream != first.stream
            assert calls.dispatch(Chunk(first.stream, 0, b"late")) is None
            calls.dispatch(End(second.stream, 1000, "answered", 0))
            assert await second.next_reply() == End(second.stream, 1000, "answered", 0)


async def test_lost_connection_is_an_error_for_open_calls():
    async with pair() as (near, _far):
        assert isinstance(near, Ok)
        calls = Calls(near.value)
        with calls.open() as call:
            calls.close()
            reply = await call.next_reply()
            assert isinstance(reply, Err) and reply.code is Code.PEER_LOST


async def test_exceeded_credit_is_reported(autojump_clock):
    async with pair() as (near, _far):
        assert isinstance(near, Ok)
        calls = Calls(near.value)
        with calls.open() as call:
            results = [
                calls.dispatch(Chunk(call.stream, index, b"x"))
                for index in range(STREAM_CREDIT_CHUNKS * 2)
            ]
            assert any(isinstance(result, Err) for result in results)


MESSAGES = st.lists(
    st.one_of(
        st.builds(
            Chunk,
            st.integers(1, 3),
            st.integers(0, 9),
            st.sampled_from([b"", b"token", b"x" * (CHUNKS_MAX_BYTES - 2)]),
        ),
        st.builds(Started, st.integers(1, 3)),
        st.builds(End, st.integers(1, 3), st.just(1000), st.just("a"), st.just(1)),
    ),
    max_size=20,
)


@pytest.mark.parametrize("version", [PROTOCOL_VERSION_MIN, PROTOCOL_VERSION])
@settings(derandomize=True, deadline=None, max_examples=40)
@given(messages=MESSAGES)
def test_messages_arrive_whole_and_in_order(version, messages):
    # Guards against an end that overtakes chunks which are sent together, and
    # against an older peer that gets a message it does not know.
    async def main() -> None:
        async with pair(version=version) as (near, far):
            assert isinstance(near, Ok) and isinstance(far, Ok)
            assert near.value.version == far.value.version == version
            for message in messages:
                assert far.value.send_nowait(message)
            for message in messages:
                assert await near.value.receive() == Ok(message)

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


def test_chunks_with_lists_of_different_lengths_are_refused():
    # Guards against data of one stream that is delivered to another.
    encoded = encode_chunks([Chunk(1, 0, b"a"), Chunk(2, 0, b"b")])
    assert decode_all(encoded) == Ok([Chunk(1, 0, b"a"), Chunk(2, 0, b"b")])
    assert isinstance(decode(encoded), Err)
    # Shortens the list of stream numbers from two 8-byte elements to one.
    truncated = encode_chunks([Chunk(1, 0, b"a"), Chunk(2, 0, b"b")]).replace(
        (2 << 3 | 5).to_bytes(4, "little"), (1 << 3 | 5).to_bytes(4, "little"), 1
    )
    assert truncated != encoded
    assert isinstance(decode_all(truncated), Err)


async def test_unencodable_message_does_not_end_the_connection(autojump_clock):
    async with pair() as (near, far):
        assert isinstance(near, Ok) and isinstance(far, Ok)
        for message in (Ping(-1, 0), End(1, 1, "x", 0, text="\ud83d"), Ping(7, 0)):
            await near.value.send(message)
        assert await far.value.receive() == Ok(Ping(7, 0))


async def test_exception_in_a_handler_ends_only_its_connection():
    # Guards against a handler's exception that ends the process and all connections.
    served = []

    async def handler(conn: PeerConnection) -> None:
        served.append(conn.remote.instance)
        raise RuntimeError("handler failed")

    with trio.fail_after(20):
        async with trio.open_nursery() as nursery:
            address = await nursery.start(
                serve_peers, ("127.0.0.1", 0), SIDECAR, KEY, handler
            )
            for _ in range(2):
                async with connect_peer(address, ENTRY, KEY) as conn:
                    assert isinstance(conn, Ok)
                    assert isinstance(await conn.value.receive(), Err)
            nursery.cancel_scope.cancel()
    assert served == ["instance-1"] * 2


@pytest.mark.parametrize("data", [b"", b"[1]", bytes(range(256)) * 40])
def test_order_data_round_trip(data):
    for message in (Order(1, "g", "state", 2, data), OrderReply(1, 200, data)):
        assert decode(encode(message)) == Ok(message)


def test_long_order_data_is_compressed():
    """Guards against maps and counts that saturate the slow link of a small host."""
    counts = b"[" + b",".join(b"%d" % (index % 7) for index in range(1536)) + b"]"
    assert len(encode(OrderReply(1, 200, counts))) < len(counts) / 4


def test_older_peers_get_uncompressed_orders():
    """Guards against an upgrade that breaks groups with agents of both versions."""
    data = b"[" + b"1," * 800 + b"1]"
    assert data in encode(Order(1, "g", "order", 2, data), PROTOCOL_VERSION - 1)


def test_decompressed_size_is_limited():
    """Guards against a small message that exhausts memory when decompressed."""
    message = decode(encode(Order(1, "g", "state", 2, bytes(5_000_000))))
    assert isinstance(message, Err)
    assert message.code is Code.BAD_MESSAGE
