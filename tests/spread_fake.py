"""A fleet of processes that share a fake service, over in-memory streams."""

from __future__ import annotations

import random
from contextlib import asynccontextmanager

import trio
import trio.testing

from kv_fake import FakeKv
from mustardfront.codes import Code
from mustardfront.coordination.config import ConfigSpread, ConfigStore
from mustardfront.coordination.hosts import HostEntry, HostList
from mustardfront.coordination.peers import PeerHub
from mustardfront.protocol import Identity, open_peer
from mustardfront.results import Err, Ok

KEY = b"a-shared-test-key"
PLACES = ("pa", "pb", "pc")


class Member:
    """One process: its spread, and a scope that stands for its life."""

    def __init__(self, fleet: Fleet, index: int, start: int) -> None:
        self.fleet, self.index = fleet, index
        self.identity = Identity(
            "sidecar", f"h{index}", PLACES[index % 3], f"i{index}-{start}"
        )
        rng = random.Random(fleet.seed * 1000 + index * 10 + start)
        self.store, self.hub = ConfigStore(), PeerHub()
        self.hosts = HostList("", fetch=None, rng=rng)
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
        if self.fleet.hosts_known:
            self.hosts.update(self.fleet.entries)
        with self.scope:
            async with trio.open_nursery() as self.nursery:
                self.nursery.start_soon(self.spread.run)
        self.nursery = None

    async def accept(self, stream: trio.abc.Stream) -> None:
        async with open_peer(stream, self.identity, KEY, dialled=False) as conn:
            if isinstance(conn, Ok):
                await self.hub.serve(conn.value)


class Fleet:
    """Members in three places; ``cut`` holds indexes that nobody can reach."""

    def __init__(self, size: int, seed: int = 1) -> None:
        self.kv, self.seed = FakeKv(), seed
        self.entries = tuple(
            HostEntry(f"h{i}", PLACES[i % 3], "sidecar", f"127.0.0.1:{i + 1}")
            for i in range(size)
        )
        self.members: dict[int, Member] = {}
        self.starts = 0
        self.hosts_known = True
        self.cut: set[int] = set()

    @asynccontextmanager
    async def connect(self, address, identity, key):
        target = self.members.get(address[1] - 1)
        caller = int(identity.host[1:])
        if (
            target is None
            or target.nursery is None
            or {caller, target.index} & self.cut
        ):
            yield Err(Code.CONNECT_FAILED, "refused")
            return
        near, far = trio.testing.memory_stream_pair()
        target.nursery.start_soon(target.accept, far)
        async with open_peer(near, identity, key, dialled=True) as conn:
            yield conn

    def start(self, nursery: trio.Nursery, index: int) -> Member:
        self.starts += 1
        member = self.members[index] = Member(self, index, self.starts)
        nursery.start_soon(member.run)
        return member

    def stop(self, index: int) -> None:
        self.members.pop(index).scope.cancel()

    @asynccontextmanager
    async def running(self):
        async with trio.open_nursery() as nursery:
            for index in range(len(self.entries)):
                self.start(nursery, index)
            yield nursery
            nursery.cancel_scope.cancel()

    def versions(self) -> list[int]:
        return [member.store.current.version for member in self.members.values()]
