"""Connections that this process opens to a few peers by rendezvous hash."""

from __future__ import annotations

import random
from collections.abc import Callable
from contextlib import AbstractAsyncContextManager
from typing import Final, TypeAlias

import trio
import xxhash

from mustardfront import events
from mustardfront.coordination.hosts import HostEntry, HostList
from mustardfront.coordination.peers._hub import PeerHub
from mustardfront.protocol import Identity, PeerConnection
from mustardfront.results import Err, Result
from mustardfront.settings import check_address

Connect: TypeAlias = Callable[
    [tuple[str, int], Identity, bytes],
    AbstractAsyncContextManager[Result[PeerConnection]],
]

BACKOFF_FIRST_S: Final = 0.2
BACKOFF_MAX_S: Final = 5.0
# A connection that lasted this long shows that its peer works.
_STABLE_S: Final = 10.0


def backoff_s(failures: int, rng: random.Random) -> float:
    """Return the wait after a number of failures in a row, with jitter."""
    longest = min(BACKOFF_FIRST_S * 2.0 ** min(failures - 1, 8), BACKOFF_MAX_S)
    return longest * rng.uniform(0.5, 1.0)


def score(left: str, right: str) -> int:
    """Return the rendezvous score of a pair of names."""
    return xxhash.xxh3_64_intdigest(f"{left}\0{right}".encode())


class PeerDialler:
    """Keeps connections to the best-scoring live peers that can be reached."""

    def __init__(
        self,
        hub: PeerHub,
        hosts: HostList,
        identity: Identity,
        key: bytes,
        connect: Connect,
        rng: random.Random,
    ) -> None:
        self._hub = hub
        self._hosts = hosts
        self._identity = identity
        self._key = key
        self._connect = connect
        self._rng = rng
        self._busy: set[str] = set()
        self._failures: dict[str, int] = {}
        self._not_before: dict[str, float] = {}

    def others(self) -> list[HostEntry]:
        """Return the live entries of the host list without this process."""
        me = self._identity
        return [
            entry
            for entry in self._hosts.current
            if entry.state == "live"
            and not (entry.name == me.host and entry.role == me.role)
        ]

    async def keep(self, *, other_place: bool) -> None:
        """Keep one connection, in another or the own place if any; until cancelled."""
        while True:
            entry = self._candidate(other_place)
            if entry is None:
                with trio.move_on_after(self._rng.uniform(0.5, 1.0)):
                    await self._hosts.wait_changed()
                continue
            self._busy.add(entry.address)
            began = trio.current_time()
            try:
                with events.faults_logged(f"peer {entry.address}"):
                    await self._serve(entry)
            finally:
                self._busy.discard(entry.address)
            if trio.current_time() - began >= _STABLE_S:
                self._failures.pop(entry.address, None)
            failures = self._failures.get(entry.address, 0) + 1
            self._failures[entry.address] = failures
            self._not_before[entry.address] = trio.current_time() + backoff_s(
                failures, self._rng
            )

    async def _serve(self, entry: HostEntry) -> None:
        address = check_address(entry.address)
        if isinstance(address, Err):
            return
        async with self._connect(address.value, self._identity, self._key) as conn:
            if isinstance(conn, Err):
                return
            if conn.value.remote.instance == self._identity.instance:
                self._failures[entry.address] = 99
                return
            await self._hub.serve(conn.value)

    def _candidate(self, other_place: bool) -> HostEntry | None:
        now = trio.current_time()
        free = [
            entry
            for entry in self.others()
            if entry.address not in self._busy
            and self._not_before.get(entry.address, 0.0) <= now
        ]
        if len(self._not_before) > 64:
            self._forget(now)
        me = f"{self._identity.role}/{self._identity.host}"
        return max(
            free,
            key=lambda entry: (
                (entry.place != self._identity.place) == other_place,
                score(me, entry.address),
            ),
            default=None,
        )

    def _forget(self, now: float) -> None:
        """Drop what is known of peers whose backoff is long over."""
        for address, until in list(self._not_before.items()):
            if until + 60.0 < now:
                del self._not_before[address]
                self._failures.pop(address, None)
