"""Simulated processes that share a key-value service and spread the configuration.

The service and the streams between the processes are in memory.
"""

from __future__ import annotations

import random
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Final

import trio

from bench._memory_kv import MemoryKv
from mustardfront.codes import Code
from mustardfront.coordination.config import ConfigSpread, ConfigStore
from mustardfront.coordination.hosts import HostEntry, HostList
from mustardfront.coordination.peers import PeerHub
from mustardfront.protocol import Identity, PeerConnection, open_peer
from mustardfront.results import Err, Ok, Result

KEY: Final = b"a-shared-test-key"
PLACES: Final = ("pa", "pb", "pc")
# One-way latency as in the deployments, by whether the ends are in different places.
LATENCY_S: Final = {True: 0.0005, False: 0.0001}


class _MemoryStream(trio.abc.Stream):
    """One end of an in-memory byte stream with latency; counts the sent bytes."""

    def __init__(self, fleet: Fleet, latency_s: float) -> None:
        self._fleet = fleet
        self._latency_s = latency_s
        self._send, self._receive = trio.open_memory_channel[tuple[float, bytes]](10**6)
        self.remote_end: _MemoryStream = self

    async def send_all(self, data: bytes | bytearray | memoryview) -> None:
        await trio.lowlevel.checkpoint()
        self._fleet.peer_bytes += len(data)
        try:
            self.remote_end._send.send_nowait(
                (trio.current_time() + self._latency_s, bytes(data))
            )
        except (trio.BrokenResourceError, trio.ClosedResourceError) as exc:
            raise trio.BrokenResourceError from exc

    async def wait_send_all_might_not_block(self) -> None:
        await trio.lowlevel.checkpoint()

    async def receive_some(self, max_bytes: int | None = None) -> bytes:
        try:
            due_s, data = await self._receive.receive()
        except trio.EndOfChannel:
            return b""
        await trio.sleep_until(due_s)
        return data

    async def aclose(self) -> None:
        self._receive.close()
        self.remote_end._send.close()
        await trio.lowlevel.checkpoint()


class Member:
    """One simulated process; cancelling ``scope`` kills it."""

    def __init__(self, fleet: Fleet, index: int, start: int) -> None:
        self.fleet, self.index = fleet, index
        self.identity = Identity(
            "sidecar", f"h{index}", PLACES[index % 3], f"i{index}-{start}"
        )
        rng = random.Random(fleet.seed * 100_000 + index * 100 + start)
        self.store, self.hub = ConfigStore(), PeerHub()
        self.hosts = HostList("", rng=rng)
        self.spread = ConfigSpread(
            self.store,
            self.hub,
            fleet.kv,
            self.identity,
            self.hosts,
            KEY,
            connect=fleet.connect,
            rng=rng,
        )
        self.scope = trio.CancelScope()
        self.nursery: trio.Nursery | None = None

    async def run(self) -> None:
        """Run until the member's scope is cancelled."""
        if self.fleet.all_watch:
            self.hosts.update((self.fleet.entries[self.index],))
        elif self.fleet.hosts_known:
            self.hosts.update(self.fleet.entries)
        with self.scope:
            async with trio.open_nursery() as self.nursery:
                self.nursery.start_soon(self.spread.run)
        self.nursery = None

    async def accept(self, stream: trio.abc.Stream) -> None:
        """Serve a connection that another member opened."""
        async with open_peer(stream, self.identity, KEY, dialled=False) as conn:
            if isinstance(conn, Ok):
                await self.hub.serve(conn.value)


class Fleet:
    """Simulated processes, called members, in three places.

    Members whose index is in ``cut`` can neither open nor accept new connections. With
    ``all_watch`` each member's host list holds only itself, so that it has no peers and
    watches the service itself.
    """

    def __init__(self, size: int, seed: int = 1, *, all_watch: bool = False) -> None:
        self.kv, self.seed, self.all_watch = MemoryKv(), seed, all_watch
        self.entries = tuple(
            HostEntry(f"h{i}", PLACES[i % 3], "sidecar", f"127.0.0.1:{i + 1}")
            for i in range(size)
        )
        self.members: dict[int, Member] = {}
        self.starts = 0
        self.hosts_known = True
        self.cut: set[int] = set()
        self.peer_bytes = 0

    @asynccontextmanager
    async def connect(
        self, address: tuple[str, int], identity: Identity, key: bytes
    ) -> AsyncIterator[Result[PeerConnection]]:
        """Connect a member to another one; replaces a TCP connection."""
        target = self.members.get(address[1] - 1)
        dialler = int(identity.host[1:])
        await trio.lowlevel.checkpoint()
        if (
            target is None
            or target.nursery is None
            or {dialler, target.index} & self.cut
        ):
            yield Err(
                Code.CONNECT_FAILED,
                "connection refused: the process is stopped or cut off",
            )
            return
        latency_s = LATENCY_S[target.identity.place != identity.place]
        dialling_end, accepting_end = (
            _MemoryStream(self, latency_s),
            _MemoryStream(self, latency_s),
        )
        dialling_end.remote_end, accepting_end.remote_end = accepting_end, dialling_end
        target.nursery.start_soon(target.accept, accepting_end)
        async with open_peer(dialling_end, identity, key, dialled=True) as conn:
            yield conn

    def start(self, nursery: trio.Nursery, index: int) -> Member:
        """Start a member, or start it again after a stop."""
        self.starts += 1
        member = self.members[index] = Member(self, index, self.starts)
        nursery.start_soon(member.run)
        return member

    def stop(self, index: int) -> None:
        """Kill a member without a shutdown."""
        self.members.pop(index).scope.cancel()

    @asynccontextmanager
    async def running(self) -> AsyncIterator[trio.Nursery]:
        """Run all members while in the context."""
        async with trio.open_nursery() as nursery:
            for index in range(len(self.entries)):
                self.start(nursery, index)
            yield nursery
            nursery.cancel_scope.cancel()
