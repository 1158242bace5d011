"""Responses without a length or chunks, which end with their connection."""

from __future__ import annotations

import socket
import struct

import pytest
import trio

from gateway_fakes import (
    SEAL,
    CrashingUpstream,
    FakeUpstream,
    encode_events,
    gateway,
    send_request,
)

RESET = struct.pack("ii", 1, 0)


def head(request) -> bytes:
    echo = request.headers["x-request-id"].encode()
    return b"HTTP/1.1 200 OK\r\n" + SEAL + b"x-request-id: " + echo + b"\r\n\r\n"


def unframed(body: bytes, *, reset: bool = False):
    async def send(request, conn):
        await conn.send_all(head(request) + body)
        if reset:
            await trio.sleep(0.05)
            conn.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)

    return send


@pytest.mark.parametrize("target", ["/draft/x", "/get/x"])
async def test_unframed_response_is_complete_when_its_connection_ends(target):
    svc = FakeUpstream([unframed(encode_events(1, 4))])
    async with gateway({"u1": svc}) as gw:
        response = await send_request(gw, target)
        assert response.complete and response.body == encode_events(1, 4)


# A plain body has no mark by which an orderly end inside it could be told.
@pytest.mark.parametrize(
    ("target", "reset"), [("/once/x", False), ("/once/x", True), ("/book/x", True)]
)
async def test_unframed_response_that_breaks_off_is_not_complete(target, reset):
    """Guards against a reset, or an end inside an event, that looks complete."""
    cut = unframed(encode_events(1, 4) + (b"" if reset else b"id: 4\n"), reset=reset)
    async with gateway({"u1": FakeUpstream([cut])}) as gw:
        response = await send_request(gw, target)
        assert response.status == 502 or not response.complete


@pytest.mark.parametrize("target", ["/once/x", "/book/x"])
async def test_unframed_response_ended_by_a_crash_is_not_complete(target):
    """Guards against a crash between two events that looks like a complete response."""
    svc = CrashingUpstream("bad")

    async def crash_after_two_events(request, conn):
        await conn.send_all(head(request) + encode_events(1, 3))
        await trio.sleep(0.05)
        svc.crash()
        await trio.sleep_forever()

    svc.scripts = [crash_after_two_events]
    async with gateway({"u1": svc}) as gw:
        response = await send_request(gw, target)
        assert response.status == 502 or not response.complete
