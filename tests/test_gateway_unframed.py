"""Responses without a length or chunks, which end with their connection."""

from __future__ import annotations

import socket
import struct
from dataclasses import replace

import pytest
import trio

from crashing_upstream import CrashingUpstream
from gateway_fakes import (
    SEAL,
    FakeUpstream,
    encode_events,
    gateway,
    instance,
    send_request,
)
from mustardfront.programs.gateway._header_names import HeaderNames

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


class RestartingUpstream(FakeUpstream):
    """Ends its unframed answer inside, and is another process from then on."""

    def __init__(self, name: str, born_ms: int) -> None:
        super().__init__([self.end_inside])
        self.next_name, self.next_born_ms = name, born_ms

    async def end_inside(self, request, conn):
        await conn.send_all(head(request) + encode_events(1, 3))
        self.name, self.born_ms = self.next_name, self.next_born_ms


@pytest.mark.parametrize("target", ["/once/x", "/book/x"])
@pytest.mark.parametrize(("name", "born_ms"), [("u1b", 0), ("u1", 9)])
async def test_unframed_response_is_not_complete_if_a_successor_runs(
    target, name, born_ms
):
    """Guards against a crash that a paused entry sees after the upstream's restart."""
    svc = RestartingUpstream(name, born_ms)
    async with gateway({"u1": svc}) as gw:
        known = instance("u1", svc.address, "svc")
        gw.state.apply(replace(known, born_ms=5), keep_missing=False)
        response = await send_request(gw, target)
        assert response.status == 502 or not response.complete


class DyingUpstream(FakeUpstream):
    """Accepts connections, but no process answers on them any more."""

    async def tell_identity(self, request, conn) -> bool:
        return request.target == HeaderNames().identity_path.decode()


async def test_unframed_response_is_not_complete_while_the_upstream_dies():
    """Guards against a process whose listener is open after its connections closed."""
    svc = DyingUpstream([unframed(encode_events(1, 3))])
    async with gateway({"u1": svc}) as gw:
        response = await send_request(gw, "/once/x")
        assert not response.complete
