"""The torture run: its fault proxy and a short seeded run of real programs."""

import subprocess
import sys
from contextlib import asynccontextmanager, suppress

import pytest
import trio

from mustardfront_standins.torture._proxy import open_links

# Covers process startup, the fault phase and the final wait for the configuration.
RUN_TIMEOUT_S = 120


@asynccontextmanager
async def echo_server():
    async def handle(stream):
        async with stream:
            with suppress(trio.BrokenResourceError):
                while data := await stream.receive_some():
                    await stream.send_all(data)

    (listener,) = await trio.open_tcp_listeners(0, host="127.0.0.1")
    async with trio.open_nursery() as nursery:
        nursery.start_soon(trio.serve_listeners, handle, [listener])
        yield "{}:{}".format(*listener.socket.getsockname())
        nursery.cancel_scope.cancel()


@asynccontextmanager
async def open_test_link():
    """Yield a link to an echo server and a stream through it."""
    async with (
        echo_server() as address,
        open_links({"echo": address}) as links,
        await connect(links["echo"]) as stream,
    ):
        assert await send_and_receive(stream, b"a", 2) == b"a"
        yield links["echo"], stream


async def connect(link) -> trio.SocketStream:
    host, _, port = link.address.rpartition(":")
    return await trio.open_tcp_stream(host, int(port))


async def send_and_receive(stream, data: bytes, timeout_s: float) -> bytes:
    await stream.send_all(data)
    with trio.move_on_after(timeout_s):
        return await stream.receive_some()
    return b"no answer"


async def test_link_forwards_and_delays_bytes():
    async with open_test_link() as (link, stream):
        link.delay_s = 0.2
        assert await send_and_receive(stream, b"b", 0.1) == b"no answer"
        with trio.fail_after(2):
            assert await stream.receive_some() == b"b"


@pytest.mark.parametrize("directions", [("up",), ("down",), ("up", "down")])
async def test_blocked_link_holds_bytes_until_restored(directions):
    """Guards against losing bytes of a blocked connection that stays open."""
    async with open_test_link() as (link, stream):
        link.block(*directions)
        assert await send_and_receive(stream, b"b", 0.2) == b"no answer"
        link.restore()
        with trio.fail_after(2):
            assert await stream.receive_some() == b"b"


async def test_reset_closes_connections_and_accepts_new_ones():
    async with open_test_link() as (link, stream):
        link.reset()
        with pytest.raises(trio.BrokenResourceError), trio.fail_after(2):
            await stream.receive_some()
        async with await connect(link) as new_stream:
            assert await send_and_receive(new_stream, b"c", 2) == b"c"


@pytest.mark.parametrize(("broken", "code"), [((), 0), (("--break", "tokens"), 1)])
def test_short_torture_run(broken, code):
    """Guards the guarantees under random faults, and the detection of a violation.

    The second case drops tokens on purpose, so the run must fail.
    """
    args = ("--seed", "1", "--seconds", "8", "--callers", "8", *broken)
    result = subprocess.run(
        [sys.executable, "-m", "mustardfront_standins.torture", *args],
        capture_output=True,
        text=True,
        timeout=RUN_TIMEOUT_S,
        check=False,
    )
    assert result.returncode == code, result.stdout + result.stderr
