"""Streams through a gateway: complete, resumed, or visibly incomplete."""

from __future__ import annotations

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
from mustardfront.programs._held import HeldBytes, Hold
from mustardfront.programs.gateway._attempt import StreamProgress, _forward_stream
from mustardfront.programs.gateway._reply import ResponseWriter

NOT_RUN = b"x-not-run: 1\r\n"


async def test_stream_is_forwarded_completely():
    svc = FakeUpstream([stream_events(5)])
    async with gateway({"u1": svc}) as gw:
        response = await send_request(gw, "/draft/x")
        assert response.complete
        assert response.body == encode_events(1, 6)


@pytest.mark.parametrize("cut_after", [0, 2, 4])
async def test_interrupted_stream_is_resumed_at_another_upstream(cut_after):
    """Guards against a lost, duplicate or partial event where a stream is resumed."""
    interrupted = stream_events(5, cut_after=cut_after, tail=b"id: 9\ndata: half")
    scripts = [interrupted, stream_events(5)]
    one, two = FakeUpstream(scripts), FakeUpstream(scripts)
    async with gateway({"u1": one, "u2": two}) as gw:
        response = await send_request(gw, "/draft/x")
        assert response.complete
        assert response.body == encode_events(1, 6)
        assert len(one.requests) == len(two.requests) == 1
        last_event_ids = {
            request.headers.get("last-event-id")
            for request in one.requests + two.requests
        }
        assert last_event_ids == {None, str(cut_after) if cut_after else None}


JSON_HEAD = SEAL + b"content-type: application/json\r\n"
ERROR_TEXT = b'{"error": "out of memory"}\n\n'


@pytest.mark.parametrize(
    "error",
    [
        respond(500, ERROR_TEXT),
        respond(500, ERROR_TEXT, extra=b""),
        respond(400, ERROR_TEXT),
        respond(404, ERROR_TEXT, extra=b"content-type: text/event-stream\r\n"),
        respond(503, ERROR_TEXT, extra=b"x-not-run: 1\r\n"),
        respond(200, ERROR_TEXT, extra=JSON_HEAD),
        respond(200, ERROR_TEXT, extra=b""),
    ],
)
async def test_error_of_the_next_upstream_is_not_put_into_a_stream(error):
    """Guards against an error's text in a stream, or a stream that ends as complete."""
    scripts = [stream_events(5, cut_after=2), error]
    one, two = FakeUpstream(scripts), FakeUpstream(scripts)
    async with gateway({"u1": one, "u2": two}) as gw:
        response = await send_request(gw, "/draft/x")
        assert len(one.requests) == len(two.requests) == 1
        assert response.status == 200
        assert response.body == encode_events(1, 3)
        assert not response.complete


async def test_stream_starts_after_last_event_id_of_caller():
    svc = FakeUpstream([stream_events(5)])
    async with gateway({"u1": svc}) as gw:
        response = await send_request(gw, "/draft/x", headers={"last-event-id": "3"})
        assert response.body == encode_events(4, 6)


async def test_interrupted_stream_that_cannot_resume_is_incomplete():
    cut = stream_events(5, cut_after=2)
    one, two = FakeUpstream([cut]), FakeUpstream([cut])
    async with gateway({"u1": one, "u2": two}) as gw:
        response = await send_request(gw, "/once/x")
        assert response.body == encode_events(1, 3)
        assert not response.complete
        assert len(one.requests) + len(two.requests) == 1


async def test_events_are_forwarded_as_they_arrive():
    finish = trio.Event()

    async def slow(request, conn):
        await conn.send_all(stream_head(request))
        await conn.send_all(encode_chunk(encode_events(1, 2)))
        await finish.wait()
        await conn.send_all(b"0\r\n\r\n")

    svc = FakeUpstream([slow])
    async with gateway({"u1": svc}) as gw, trio.open_nursery() as nursery:
        with trio.fail_after(5):
            conn = await trio.open_tcp_stream(*gw.address)
            await conn.send_all(
                b"POST /draft/x HTTP/1.1\r\nhost: shop.example\r\nx-request-id: r1\r\n"
                b"authorization: Bearer k1\r\nx-deadline-ms: 1500\r\n"
                b"content-length: 0\r\n\r\n"
            )
            data = b""
            while b"piece 1" not in data:
                data += await conn.receive_some()
            finish.set()
        nursery.cancel_scope.cancel()


async def test_silent_stream_is_resumed_at_another_upstream():
    async def hang(request, conn):
        await conn.send_all(stream_head(request))
        await conn.send_all(encode_chunk(encode_events(1, 3)))
        await trio.sleep_forever()

    scripts = [hang, stream_events(5)]
    one, two = FakeUpstream(scripts), FakeUpstream(scripts)
    async with gateway({"u1": one, "u2": two}) as gw:
        response = await send_request(gw, "/draft/x")
        assert response.complete
        assert response.body == encode_events(1, 6)


async def test_event_recorded_as_sent_is_sent():
    """Guards against a lost event when an attempt is cancelled as an event arrives.

    Found in run hunt-bacd-7 on belanger-appraise: an attempt was cancelled as silent at
    the moment its first event arrived, and the event was never sent.
    """
    sent = []

    class Response:
        status = 200

        async def aiter_stream(self):
            scope.cancel()
            yield encode_events(1, 3)
            await trio.sleep_forever()

    async def send(message):
        await trio.lowlevel.checkpoint()
        sent.append(message)

    progress = StreamProgress(b"")
    hold = Hold(HeldBytes())
    with trio.CancelScope() as scope:
        await _forward_stream(
            Response(), (), ResponseWriter(send, lambda: False), progress, hold
        )
    assert progress.last_event_id == b"2"
    assert sent[-1]["body"] == encode_events(1, 3)
