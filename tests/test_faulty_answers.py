"""Answers of upstreams in trouble that are no answer, at every reader."""

from __future__ import annotations

import socket

import pytest
import trio

from answer_readers import (
    RESET,
    call_key_value_service,
    call_rank,
    call_sidecar_upstream,
    call_store,
    check_health,
    cutting_server,
    read_hosts,
)
from gateway_fakes import FakeUpstream, encode_events, gateway, send_request
from mustardfront.http_calls import CALL_ERRORS, CallLimits, call_http
from mustardfront.http_streams import HEAD_MAX_BYTES, HeadScanner, open_pool
from mustardfront.programs.sidecar._upstream import UpstreamCall, UpstreamClient
from mustardfront.results import Err, Ok

# What each reader takes as an answer, if nothing is wrong with its head.
SOUND_BODIES = {
    call_sidecar_upstream: b"{}",
    check_health: b'{"instance": "i1"}',
    call_rank: b'{"size": 2, "step": 1, "map": 0, "group": {"name": "g", "epoch": 1,'
    b' "rank": 0, "state": "open"}}',
    call_store: b'{"asOf": 1, "revision": 1, "lease": 1}',
    call_key_value_service: b'{"header": {"revision": "1"}, "succeeded": true}',
    read_hosts: b'{"hosts": []}',
}
readers = pytest.mark.parametrize("call", SOUND_BODIES)


def answer(body: bytes, status: bytes = b"200", line: bytes = b"x-a: 1\r\n") -> bytes:
    length = b"content-length: %d\r\n" % len(body)
    return b"HTTP/1.1 " + status + b" X\r\n" + length + line + b"\r\n" + body


async def is_refused(call, response: bytes) -> bool:
    async with cutting_server(response, by_reset=False) as address:
        with trio.fail_after(5):
            return await call(address[:2])


@readers
async def test_sound_answer_is_taken(call):
    """Guards against tests below that pass since the reader takes no answer at all."""
    assert not await is_refused(call, answer(SOUND_BODIES[call]))


NO_STATUSES = [b"000", b"099", b"101", b"600", b"999"]


@pytest.mark.parametrize("status", NO_STATUSES)
@readers
async def test_status_without_a_meaning_is_no_answer(call, status):
    """Guards against an answer whose status is no status, as 000 or 600."""
    assert await is_refused(call, answer(SOUND_BODIES[call], status))


# A field whose name has a blank or a control byte somewhere.
FAULTY_LINES = [
    name + b": 1\r\n"
    for byte in (*range(0x21), 0x7F)
    for name in (bytes([byte]) + b"x-a", b"x" + bytes([byte]) + b"-a", b"x-a%c" % byte)
]
# A parser may join them to the field before.
FOLDED_LINES = [b"x-b: 1\r\n x-a: 1\r\n", b"x-b: 1\r\n\tcontent-length: 1\r\n"]
FAULTY_LINES += FOLDED_LINES


@readers
async def test_field_name_with_a_blank_or_control_byte_is_no_answer(call):
    """Guards against a head that is passed on or read otherwise than it was sent."""
    for line in FAULTY_LINES:
        response = answer(SOUND_BODIES[call], line=line)
        assert await is_refused(call, response), line


def fail_with(response: bytes):
    async def send(request, conn):
        echo = b"x-request-id: " + request.headers["x-request-id"].encode() + b"\r\n"
        first, _, rest = response.partition(b"\r\n")
        await conn.send_all(first + b"\r\nx-answer-seal: s1\r\n" + echo + rest)

    return send


GATEWAY_TARGETS = ["/get/x", "/book/x", "/draft/x", "/once/x"]


async def status_for(target: str, response: bytes) -> int:
    """Return the status that a caller gets for an upstream's response."""
    svc = FakeUpstream([fail_with(response)])
    async with gateway({"u1": svc}) as gw:
        with trio.fail_after(5):
            # A retry finds no other upstream, and waits a part of this time.
            headers = {"x-deadline-ms": "150"}
            found = await send_request(gw, target, headers=headers)
    assert svc.requests
    return found.status


EVENT = encode_events(1, 2)
CONTROL_LINES = [b"x-a\x00: 1\r\n", b"\x01x-a: 1\r\n", b"x-a\x7f: 1\r\n"]
BLANK_LINES = [b" x-a: 1\r\n", b"x a: 1\r\n", b"x-a : 1\r\n", b"\nx-a: 1\r\n"]
NO_ANSWERS = [answer(EVENT, status) for status in NO_STATUSES]
NO_ANSWERS += [
    answer(EVENT, line=line) for line in CONTROL_LINES + BLANK_LINES + FOLDED_LINES
]


@pytest.mark.parametrize("target", GATEWAY_TARGETS)
async def test_caller_gets_no_answer_that_is_none(target):
    """Guards against a faulty head that reaches a caller as an answer."""
    assert await status_for(target, answer(EVENT)) == 200
    for response in NO_ANSWERS:
        assert await status_for(target, response) in (502, 503, 504), response


UPLOAD = b"x" * (2 * 1024 * 1024)
RECEIVE_WINDOW_BYTES = 4096
# The answer has arrived by then, and the upload is still being written.
RESET_DELAY_S = 0.05


async def answer_early_and_reset(conn: trio.SocketStream, response: bytes) -> None:
    await conn.send_all(response)
    await trio.sleep(RESET_DELAY_S)
    conn.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)


class SlowReader(FakeUpstream):
    """Answers a request before it has read its body, and then resets."""

    def __init__(self, body: bytes) -> None:
        super().__init__([])
        self.body = body
        self.is_upload_cut = False

    async def run(self, *, task_status=trio.TASK_STATUS_IGNORED) -> None:
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        for listener in listeners:
            listener.socket.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_WINDOW_BYTES
            )
        self.address = listeners[0].socket.getsockname()
        task_status.started()
        await trio.serve_listeners(self._serve, listeners)

    async def _serve(self, conn: trio.SocketStream) -> None:
        async with conn:
            head = b""
            while b"\r\n\r\n" not in head:
                head += await conn.receive_some(RECEIVE_WINDOW_BYTES)
            if head.startswith(b"POST"):
                self.is_upload_cut = True
                await answer_early_and_reset(conn, self.response(head))
                return
            # What it says of itself stays sound.
            await conn.send_all(b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}")

    def response(self, head: bytes) -> bytes:
        lines = dict(
            line.split(b": ", 1) for line in head.split(b"\r\n") if b": " in line
        )
        request_id = lines.get(b"x-request-id", b"r1")
        return (
            b"HTTP/1.1 200 OK\r\nx-answer-seal: s1\r\nx-request-id: "
            + request_id
            + b"\r\n\r\n"
            + self.body
        )


@pytest.mark.parametrize("target", GATEWAY_TARGETS)
async def test_answer_cut_short_during_an_upload_is_not_complete(target):
    """Guards against a part of an answer that a caller takes as the whole.

    The write of the request takes the reset with it, and the read finds an orderly end.
    """
    svc = SlowReader(encode_events(1, 4))
    async with gateway({"u1": svc}) as gw:
        with trio.fail_after(5):
            headers = {"x-deadline-ms": "700"}
            response = await send_request(gw, target, headers=headers, body=UPLOAD)
    assert svc.is_upload_cut
    assert response.status in (502, 503, 504) or not response.complete


async def test_sidecar_takes_no_answer_that_is_cut_short_during_an_upload():
    """Guards against a truncated answer that a sidecar relays as complete."""
    svc = SlowReader(b"part")
    async with trio.open_nursery() as nursery:
        await nursery.start(svc.run)
        client = UpstreamClient(f"http://127.0.0.1:{svc.address[1]}")
        call = UpstreamCall("POST", "/x", body=UPLOAD)
        async with client.exchange(call) as exchanged:
            result = exchanged
            while isinstance(exchanged, Ok) and isinstance(result, Ok):
                result = await exchanged.value.receive()
                if result == Ok(b""):
                    break
        nursery.cancel_scope.cancel()
    assert svc.is_upload_cut and isinstance(result, Err)


async def test_call_gets_no_response_that_is_cut_short_during_its_request():
    """Guards against a truncated reply of a rank or of the store."""
    svc = SlowReader(b"{}")
    limits = CallLimits(2.0, 2.0, 3.0, 1024)
    async with trio.open_nursery() as nursery:
        await nursery.start(svc.run)
        url = f"http://127.0.0.1:{svc.address[1]}/x"
        async with open_pool() as pool:
            with pytest.raises(CALL_ERRORS):
                await call_http(pool, "POST", url, limits, content=UPLOAD)
        nursery.cancel_scope.cancel()
    assert svc.is_upload_cut


def test_head_of_many_pieces_is_found():
    """Guards against a limit on heads that counts the bytes of bodies."""
    scanner = HeadScanner()
    for byte in b"HTTP/1.1 103 Early\r\nlink: x\r\n\r\n" + answer(b""):
        assert not scanner.is_complete
        scanner.feed(bytes([byte]))
    assert scanner.is_complete
    HeadScanner().feed(answer(b"x" * (2 * HEAD_MAX_BYTES)))
