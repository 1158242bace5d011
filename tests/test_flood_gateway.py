"""An entry on the users' platform under callers that nobody controls.

Each test checks that the process lives, that its memory and descriptors stay under the
bounds of its settings, and that an ordinary request is answered.
"""

from __future__ import annotations

import pytest
import trio

from caller_flood import (
    DESCRIPTORS,
    FORMS,
    HANG_S,
    MEMORY_MB,
    Flooded,
    Form,
    crowd,
    settle,
    start_program,
)
from gateway_fakes import encode_chunk, encode_events
from mustardfront_standins.fleet import free_port
from platform_fakes import FakeStore, operator_config, running_store, worker_record
from test_platform import http_get, wait_ready

SETTINGS = """
nodeName = "edge-1"
ip = "127.0.0.1"
zone = "zone-a"
internalPortRange = [{peer}, {peer}]
[limits]
memoryMb = {memory_mb}
fileDescriptors = {descriptors}
[listen]
frontend = "127.0.0.1:{front}"
ready = "127.0.0.1:{ready}"
[bounds]
graceS = 5
[platform]
address = "{store}"
"""
SEAL = b"x-mustardfront-response-seal: s\r\nconnection: close\r\n"
LARGE_BYTES = 2 * 1024 * 1024
ORDINARY_TRIES = 20


async def answer(conn: trio.SocketStream) -> None:
    """Answer one request as an upstream: plainly, at length, or with a long stream."""
    async with conn:
        data = b""
        while b"\r\n\r\n" not in data:
            part = await conn.receive_some()
            if not part:
                return
            data += part
        path = data.split()[1]
        try:
            if path.startswith(b"/draft/"):
                start = b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n"
                await conn.send_all(
                    start + SEAL + b"transfer-encoding: chunked\r\n\r\n"
                )
                for number in range(1, 4_000):
                    piece = encode_events(number, number + 1)
                    await conn.send_all(encode_chunk(piece + b":" + b"p" * 500 + b"\n"))
                await conn.send_all(b"0\r\n\r\n")
                return
            body = b"l" * LARGE_BYTES if path == b"/get/large" else b"quote"
            length = b"content-length: %d\r\n\r\n" % len(body)
            await conn.send_all(b"HTTP/1.1 200 OK\r\n" + SEAL + length + body)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            return


async def ask_as_a_client(port: int) -> bytes:
    """Send one ordinary request, with the repeats that the platform's clients make."""
    for _ in range(ORDINARY_TRIES):
        try:
            status, body = await http_get(port, "/get/x", wait_ms=4000)
        except (OSError, trio.BrokenResourceError, ValueError, IndexError):
            status, body = 0, b""
        if status == 200:
            return body
        await trio.sleep(0.3)
    return b""


@pytest.mark.parametrize("form", FORMS, ids=lambda form: form.__name__)
async def test_entry_bears_a_crowd(tmp_path, form: Form):
    """Guards against callers that end an entry, or take it from all others."""
    store = FakeStore()
    store.put("op/config", operator_config())
    ports = {name: free_port() for name in ("front", "ready", "peer")}
    async with running_store(store), trio.open_nursery() as nursery:
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1", backlog=1024)
        nursery.start_soon(trio.serve_listeners, answer, listeners)
        port = listeners[0].socket.getsockname()[1]
        record = worker_record(f"127.0.0.1:{port}", slots=4000)
        store.put("servers/i-1", record)
        settings = SETTINGS.format(
            store=store.address,
            memory_mb=MEMORY_MB,
            descriptors=DESCRIPTORS,
            **ports,
        )
        with trio.fail_after(3 * HANG_S):
            process = await start_program(nursery, "entry", settings, tmp_path)
            await wait_ready(ports["ready"])
            assert await ask_as_a_client(ports["front"]) == b"quote"
            flooded = Flooded(process)
            nursery.start_soon(flooded.watch)
            async with crowd(form, ports["front"]):
                await settle(flooded)
                assert flooded.is_running
                beside_crowd = await ask_as_a_client(ports["front"])
            after_crowd = await ask_as_a_client(ports["front"])
            assert flooded.is_running
            print(
                f"{form.__name__}: {flooded.memory_mb():.0f} MB, "
                f"{flooded.descriptors} descriptors"
            )
            assert flooded.memory_mb() <= MEMORY_MB
            assert flooded.descriptors <= DESCRIPTORS - 200
            assert beside_crowd == b"quote"
            assert after_crowd == b"quote"
        nursery.cancel_scope.cancel()
        process.kill()
