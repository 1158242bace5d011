"""Chunks a second over one peer connection, with one or several in a message."""

from __future__ import annotations

import socket
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Final

import trio

from bench import Plot, Report, Row, Series, Table
from mustardfront.constants import CHUNKS_VERSION, PROTOCOL_VERSION
from mustardfront.protocol import (
    Call,
    Calls,
    Chunk,
    Credit,
    End,
    Identity,
    PeerConnection,
    Request,
    open_peer,
)
from mustardfront.results import Err, Ok

NAME = "chunks"
STREAMS: Final = (1, 8, 64, 256)
TOKENS: Final = 24_000
ROUNDS: Final = 3
KEY: Final = b"key-of-the-measurement"
TOKEN: Final = b'{"index":7,"choices":[{"index":0,"text":" token"}]}'
# Needed at a node: 12 million tokens a second divided by 400 nodes.
TARGET_PER_S: Final = 30_000


@asynccontextmanager
async def _connect_pair(
    version: int,
) -> AsyncIterator[tuple[PeerConnection, PeerConnection]]:
    """Yield the entry's and the sidecar's end of a connection over a socket pair."""
    entry_end, sidecar_end = (
        trio.SocketStream(trio.socket.from_stdlib_socket(end))
        for end in socket.socketpair()
    )
    entry = Identity("entry", "host-a", "place-a", "entry-1")
    sidecar = Identity("sidecar", "host-b", "place-b", "sidecar-1", "group-1")
    accepted: list[PeerConnection] = []
    opened, done = trio.Event(), trio.Event()

    async def accept() -> None:
        async with open_peer(sidecar_end, sidecar, KEY, dialled=False) as conn:
            assert isinstance(conn, Ok)
            accepted.append(conn.value)
            opened.set()
            await done.wait()

    async with trio.open_nursery() as nursery:
        nursery.start_soon(accept)
        async with open_peer(
            entry_end, entry, KEY, dialled=True, version=version
        ) as conn:
            assert isinstance(conn, Ok)
            await opened.wait()
            yield conn.value, accepted[0]
            done.set()


async def _produce(conn: PeerConnection, streams: int) -> None:
    """Serve all requests like a sidecar, with a token of each stream in turn."""
    credit: dict[int, int] = {}
    ready = trio.Event()

    async def listen() -> None:
        while True:
            message = await conn.receive()
            if isinstance(message, Err):
                return
            if isinstance(message.value, Request):
                credit[message.value.stream] = message.value.credit
            if isinstance(message.value, Credit):
                credit[message.value.stream] += message.value.chunks
            if len(credit) == streams:
                ready.set()

    async def relay(stream: int) -> None:
        for index in range(TOKENS // streams):
            while credit[stream] <= 0:
                await trio.lowlevel.checkpoint()
            credit[stream] -= 1
            await conn.send(Chunk(stream, index, TOKEN))
        await conn.send(End(stream, 1000, "answered", TOKENS // streams))

    async with trio.open_nursery() as nursery:
        nursery.start_soon(listen)
        await ready.wait()
        async with trio.open_nursery() as relays:
            for stream in list(credit):
                relays.start_soon(relay, stream)
        nursery.cancel_scope.cancel()


async def _consume(calls: Calls, call: Call) -> None:
    """Read one answer like an entry, and check that no chunk is missing."""
    count = 0
    while True:
        reply = await call.next_reply()
        assert not isinstance(reply, Err)
        if isinstance(reply, Chunk):
            assert reply.index == count
            count += 1
            await call.acknowledge()
        if isinstance(reply, End):
            assert reply.chunks == count
            return


async def _transfer(streams: int, version: int) -> float:
    """Return the processor seconds of both ends to transfer ``TOKENS`` tokens."""
    async with (
        _connect_pair(version) as (entry_end, sidecar_end),
        trio.open_nursery() as nursery,
    ):
        calls = Calls(entry_end)

        async def dispatch() -> None:
            while True:
                message = await entry_end.receive()
                if isinstance(message, Err):
                    return
                assert calls.dispatch(message.value) is None

        async def make_request() -> None:
            req = Request(
                0, "r", 1, "t", "s", "POST", "/", (), b"", 9_000, 1, streamed=True
            )
            with calls.open() as call:
                await calls.start(call, req)
                await _consume(calls, call)

        nursery.start_soon(dispatch)
        nursery.start_soon(_produce, sidecar_end, streams)
        started_s = time.process_time()
        async with trio.open_nursery() as callers:
            for _ in range(streams):
                callers.start_soon(make_request)
        cpu_s = time.process_time() - started_s
        nursery.cancel_scope.cancel()
    return cpu_s


def _tokens_per_s(streams: int, version: int) -> float:
    """Return the tokens per second of processor time in the best round."""
    cpu_s = min(trio.run(_transfer, streams, version) for _ in range(ROUNDS))
    return TOKENS // streams * streams / cpu_s


def run(seed: int) -> Report:
    """Measure both protocol versions; nothing is random, so the seed is not used."""
    del seed
    figures = [
        (
            _tokens_per_s(streams, CHUNKS_VERSION - 1),
            _tokens_per_s(streams, PROTOCOL_VERSION),
        )
        for streams in STREAMS
    ]
    rows = tuple(
        Row(
            f"tokens a second of processor time, {streams} streams, over one by one",
            "-",
            f"{after / before:.2f}",
            f"{after:.0f} against {before:.0f} a second; a node needs {TARGET_PER_S}",
            "no target",
        )
        for streams, (before, after) in zip(STREAMS, figures, strict=True)
    )
    cells = tuple(
        (
            str(streams),
            f"{before:.0f}",
            f"{after:.0f}",
            f"{1e6 / before:.1f}",
            f"{1e6 / after:.1f}",
        )
        for streams, (before, after) in zip(STREAMS, figures, strict=True)
    )
    return Report(
        "Chunks over a peer connection",
        "Both ends in one process over a pair of sockets, with calls, credits and a "
        f"task for each stream; {TOKENS} tokens of {len(TOKEN)} bytes, best of {ROUNDS}"
        " rounds. The older protocol version sends one chunk in each message, the "
        "newer one sends those that wait together as one message.",
        rows,
        (
            Table(
                "Tokens a second and processor time of a token, both ends together",
                (
                    "streams",
                    "one by one /s",
                    "together /s",
                    "one by one µs",
                    "together µs",
                ),
                cells,
            ),
        ),
        (
            Plot(
                "chunks",
                "Tokens over one peer connection",
                "streams",
                "tokens a second of processor time",
                (
                    Series("one by one", STREAMS, tuple(f[0] for f in figures)),
                    Series("together", STREAMS, tuple(f[1] for f in figures)),
                ),
            ),
        ),
    )
