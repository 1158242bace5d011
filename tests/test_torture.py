"""The fault soak: its proxy, and a short seeded run of the real programs."""

import subprocess
import sys
from contextlib import asynccontextmanager, suppress

import pytest
import trio

from mustardfront_standins.torture._proxy import open_links

# The start of all processes, the run itself and the time for them to settle.
RUN_LIMIT_S = 120


@asynccontextmanager
async def echo():
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
async def linked():
    """Yield a link to an echo, and a stream through it."""
    async with (
        echo() as address,
        open_links({"echo": address}) as links,
        await connect(links["echo"]) as stream,
    ):
        assert await answer(stream, b"a", 2) == b"a"
        yield links["echo"], stream


async def connect(link) -> trio.SocketStream:
    host, _, port = link.address.rpartition(":")
    return await trio.open_tcp_stream(host, int(port))


async def answer(stream, text: bytes, limit_s: float) -> bytes:
    await stream.send_all(text)
    with trio.move_on_after(limit_s):
        return await stream.receive_some()
    return b"no answer"


async def test_a_link_passes_bytes_on_and_delays_them():
    async with linked() as (link, stream):
        link.delay_s = 0.2
        assert await answer(stream, b"b", 0.1) == b"no answer"
        with trio.fail_after(2):
            assert await stream.receive_some() == b"b"


@pytest.mark.parametrize("directions", [("up",), ("down",), ("up", "down")])
async def test_a_cut_link_holds_bytes_back_until_it_is_restored(directions):
    """Guards against a cut that loses bytes of a connection that goes on."""
    async with linked() as (link, stream):
        link.cut(*directions)
        assert await answer(stream, b"b", 0.2) == b"no answer"
        link.restore()
        with trio.fail_after(2):
            assert await stream.receive_some() == b"b"


async def test_a_reset_ends_connections_and_lets_new_ones_be_made():
    async with linked() as (link, stream):
        link.reset()
        with pytest.raises(trio.BrokenResourceError), trio.fail_after(2):
            await stream.receive_some()
        async with await connect(link) as again:
            assert await answer(again, b"c", 2) == b"c"


@pytest.mark.parametrize(("broken", "code"), [((), 0), (("--break", "tokens"), 1)])
def test_a_short_run_of_the_soak(broken, code):
    """Guards the promises under a few seconds of faults, and the soak's own checks."""
    args = ("--seed", "1", "--seconds", "8", "--callers", "8", *broken)
    done = subprocess.run(
        [sys.executable, "-m", "mustardfront_standins.torture", *args],
        capture_output=True,
        text=True,
        timeout=RUN_LIMIT_S,
        check=False,
    )
    assert done.returncode == code, done.stdout + done.stderr
