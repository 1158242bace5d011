"""Upstreams that send without end, or break off a stream inside an event."""

from __future__ import annotations

import gc
import time
from functools import partial

import pytest
import trio

from gateway_fakes import (
    SEAL,
    FakeUpstream,
    encode_chunk,
    encode_events,
    gateway,
    respond,
    send_request,
    stream_events,
    stream_head,
)
from mustardfront.programs._held import EVENT_FREE_BYTES, HELD_MAX_BYTES, HeldBytes
from mustardfront.programs.gateway._attempt import EVENT_MAX_BYTES
from mustardfront.programs.gateway._sse import EventSplitter

PIECE = b"x" * 4096


async def wait_for_end(gw):
    """Wait until the gateway has ended all requests."""
    for _ in range(500):
        if not gw.frontend.open_requests:
            return
        await trio.sleep(0.01)
    pytest.fail("a request has not ended")


async def endless_informational_heads(request, conn):
    while True:
        await conn.send_all(b"HTTP/1.1 102 Processing\r\n\r\n" * 100)


async def endless_event(request, conn):
    await conn.send_all(stream_head(request))
    while True:
        await conn.send_all(encode_chunk(PIECE))


async def endless_comments(request, conn):
    await conn.send_all(stream_head(request))
    while True:
        await conn.send_all(encode_chunk(b": still here\n\n"))
        await trio.sleep(0.01)


async def endless_body(request, conn):
    await conn.send_all(
        b"HTTP/1.1 200 OK\r\n" + SEAL + b"x-request-id: r1\r\n"
        b"transfer-encoding: chunked\r\n\r\n"
    )
    while True:
        await conn.send_all(encode_chunk(PIECE))


@pytest.mark.parametrize("endless", [endless_informational_heads, endless_event])
async def test_an_endless_answer_is_left_for_another_upstream(endless):
    """Guards against an attempt that reads until the caller's deadline."""
    scripts = [endless, stream_events(5)]
    one, two = FakeUpstream(scripts), FakeUpstream(scripts)
    async with gateway({"u1": one, "u2": two}) as gw:
        response = await send_request(gw, "/draft/x", headers={"x-deadline-ms": "5000"})
        assert response.complete
        assert response.body == encode_events(1, 6)


@pytest.mark.parametrize(
    ("target", "endless"),
    [("/book/x", endless_informational_heads), ("/once/x", endless_event)],
)
async def test_an_endless_answer_fails_before_the_time_limit(target, endless):
    """Guards against a request that cannot be retried and is read until its limit."""
    async with gateway({"u1": FakeUpstream([endless])}) as gw:
        began_s = trio.current_time()
        response = await send_request(gw, target, headers={"x-deadline-ms": "5000"})
        assert response.status == 502
        # The time limit of these routes is 2 s.
        assert trio.current_time() - began_s < 1.5


async def test_comments_do_not_keep_a_stalled_stream_alive():
    """Guards against a stalled stream that never ends because it sends comments."""
    scripts = [endless_comments, stream_events(5)]
    one, two = FakeUpstream(scripts), FakeUpstream(scripts)
    async with gateway({"u1": one, "u2": two}) as gw:
        response = await send_request(gw, "/draft/x")
        assert response.complete
        assert response.body.endswith(encode_events(1, 6))
        assert len(one.requests) == len(two.requests) == 1


async def test_an_endless_body_fails_before_memory_is_full():
    """Guards against many endless answers that together exceed the memory."""
    upstream = FakeUpstream([endless_body])
    async with gateway({"u1": upstream}) as gw:
        gw.frontend.forwarder.held.limit_bytes = 200_000
        response = await send_request(gw, "/book/x")
        assert response.status == 502
        await wait_for_end(gw)
        assert gw.frontend.forwarder.held.bytes == 0


async def test_answers_fit_again_after_others_were_sent():
    """Guards against held bytes that are counted after they were released."""
    upstream = FakeUpstream([respond(200, b"y" * 60_000)])
    async with gateway({"u1": upstream}) as gw:
        gw.frontend.forwarder.held.limit_bytes = 100_000
        for _ in range(4):
            response = await send_request(gw, "/book/x")
            assert (response.status, len(response.body)) == (200, 60_000)


async def test_a_body_without_room_is_refused_as_not_run():
    """Guards against request bodies that together exceed the memory."""
    upstream = FakeUpstream([respond(200)])
    async with gateway({"u1": upstream}) as gw:
        gw.frontend.forwarder.held.limit_bytes = 1_000
        response = await send_request(gw, "/book/x", body=b"z" * 2_000)
        assert response.status == 503
        assert response.headers["retry-after"]
        assert upstream.requests == []
        await wait_for_end(gw)
        assert gw.frontend.forwarder.held.bytes == 0


async def test_a_caller_that_stops_sending_its_body_is_refused():
    """Guards against callers that hold memory for as long as they like."""
    upstream = FakeUpstream([respond(200)])
    async with (
        gateway({"u1": upstream}) as gw,
        await trio.open_tcp_stream(*gw.address) as conn,
    ):
        await conn.send_all(
            b"POST /book/x HTTP/1.1\r\nhost: shop.example\r\nx-request-id: r1\r\n"
            b"authorization: Bearer k1\r\nx-deadline-ms: 300\r\n"
            b"content-length: 5000\r\n\r\nhalf"
        )
        with trio.fail_after(5):
            head = await conn.receive_some()
            assert head.startswith(b"HTTP/1.1 503 ")
            await wait_for_end(gw)
        assert gw.frontend.forwarder.held.bytes == 0
        assert upstream.requests == []


async def test_a_stream_cut_inside_an_event_is_incomplete():
    """Guards against a broken answer that reaches the caller as a complete success."""

    async def end_inside_event(request, conn):
        await conn.send_all(stream_head(request))
        await conn.send_all(encode_chunk(encode_events(1, 3) + b"id: 3\ndata: ha"))
        await conn.send_all(b"0\r\n\r\n")

    upstream = FakeUpstream([end_inside_event])
    async with gateway({"u1": upstream}) as gw:
        response = await send_request(gw, "/once/x")
        assert response.body == encode_events(1, 3)
        assert not response.complete


def test_splitting_a_long_event_takes_linear_time():
    """Guards against an event loop that stands still while a long event arrives."""

    def seconds(pieces: int) -> float:
        splitter = EventSplitter()
        began = time.process_time()
        for _ in range(pieces):
            splitter.feed(PIECE)
        return time.process_time() - began

    seconds(10)
    assert seconds(2_000) < 40 * seconds(200) + 0.01


def test_a_boundary_split_between_chunks_ends_the_event():
    for boundary in (b"\n\n", b"\r\n\r\n"):
        for cut in range(len(boundary) + 1):
            splitter = EventSplitter()
            first = splitter.feed(b"id: 1\ndata: a" + boundary[:cut])
            second = splitter.feed(boundary[cut:] + b"data: b")
            found = first + second
            assert [event.event_id for event in found] == [b"1"]
            assert splitter.incomplete == b"data: b"


@pytest.mark.parametrize(
    ("block", "has_data"),
    [
        (b"data: x\n\n", True),
        (b": note\ndata: x\n\n", True),
        (b": note\n\n", False),
        (b"\n\n", False),
        (b"id: 4\n\n", False),
    ],
)
def test_only_blocks_with_data_are_progress(block, has_data):
    (event,) = EventSplitter().feed(block)
    assert event.has_data is has_data


def test_held_bytes_are_bounded():
    held = HeldBytes(10)
    assert held.try_hold(6)
    assert not held.try_hold(5)
    held.release(6)
    assert held.try_hold(10)


STREAMS = 40
UNFINISHED_EVENT = b"data: " + b"x" * (EVENT_MAX_BYTES - 100_000)


async def send_unfinished_event(request, conn):
    await conn.send_all(stream_head(request))
    await conn.send_all(encode_chunk(UNFINISHED_EVENT))
    await trio.sleep_forever()


def buffered_event_bytes() -> int:
    splitters = [one for one in gc.get_objects() if isinstance(one, EventSplitter)]
    return sum(one.incomplete_bytes for one in splitters)


async def test_unfinished_events_of_many_streams_are_bounded_together():
    """Guards against a faulty version of upstreams that fills the entry's memory."""
    faulty = FakeUpstream([send_unfinished_event])
    async with gateway({"u1": faulty}) as gw, trio.open_nursery() as nursery:
        headers = {"x-deadline-ms": "1500"}
        send = partial(send_request, gw, "/once/x", headers=headers)
        for _ in range(STREAMS):
            nursery.start_soon(send)
        most = 0
        for _ in range(60):
            await trio.sleep(0.02)
            most = max(most, buffered_event_bytes())
        assert faulty.requests
        nursery.cancel_scope.cancel()
    # The limit on bodies of an entry by default, and what is always held of a stream.
    assert most <= HELD_MAX_BYTES / 4 + STREAMS * EVENT_FREE_BYTES
    assert gw.frontend.forwarder.held.event_bytes == 0
