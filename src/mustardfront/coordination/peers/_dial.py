"""Outgoing connections to a few peers, selected by rendezvous hashing."""

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
# A connection that lasted this long resets the failure count of its peer.
_STABLE_S: Final = 10.0


def backoff_s(failures: int, rng: random.Random) -> float:
    """Return the jittered wait in seconds after ``failures`` failures in a row."""
    max_wait_s = min(BACKOFF_FIRST_S * 2.0 ** min(failures - 1, 8), BACKOFF_MAX_S)
    return max_wait_s * rng.uniform(0.5, 1.0)


def rendezvous_hash(key: str, node: str) -> int:
    """Return the rendezvous hash of a pair of names."""
    return xxhash.xxh3_64_intdigest(f"{key}\0{node}".encode())


class PeerDialler:
    """Keeps connections to the reachable live peers with the highest hashes."""

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
        self._addresses_in_use: set[str] = set()
        self._failures: dict[str, int] = {}
        self._retry_at_s: dict[str, float] = {}

    def live_peers(self) -> list[HostEntry]:
        """Return the live entries of the host list except this process's own."""
        own = self._identity
        return [
            entry
            for entry in self._hosts.current
            if entry.state == "live"
            and not (entry.name == own.host and entry.role == own.role)
        ]

    async def keep_connected(self, *, other_place: bool) -> None:
        """Keep one connection open until cancelled.

        Peers of other places are preferred if ``other_place`` is true, peers of the
        own place otherwise.
        """
        while True:
            entry = self._best_candidate(other_place)
            if entry is None:
                with trio.move_on_after(self._rng.uniform(0.5, 1.0)):
                    await self._hosts.wait_changed()
                continue
            self._addresses_in_use.add(entry.address)
            started_s = trio.current_time()
            try:
                with events.log_exceptions(f"peer {entry.address}"):
                    await self._connect_and_serve(entry)
            finally:
                self._addresses_in_use.discard(entry.address)
            if trio.current_time() - started_s >= _STABLE_S:
                self._failures.pop(entry.address, None)
            failures = self._failures.get(entry.address, 0) + 1
            self._failures[entry.address] = failures
            self._retry_at_s[entry.address] = trio.current_time() + backoff_s(
                failures, self._rng
            )

    async def _connect_and_serve(self, entry: HostEntry) -> None:
        address = check_address(entry.address)
        if isinstance(address, Err):
            return
        async with self._connect(address.value, self._identity, self._key) as conn:
            if isinstance(conn, Err):
                return
            if conn.value.remote.instance == self._identity.instance:
                # The address is this process's own: back off as long as possible.
                self._failures[entry.address] = 99
                return
            await self._hub.serve(conn.value)

    def _best_candidate(self, other_place: bool) -> HostEntry | None:
        now = trio.current_time()
        candidates = [
            entry
            for entry in self.live_peers()
            if entry.address not in self._addresses_in_use
            and self._retry_at_s.get(entry.address, 0.0) <= now
        ]
        if len(self._retry_at_s) > 64:
            self._prune_backoff(now)
        own_name = f"{self._identity.role}/{self._identity.host}"
        return max(
            candidates,
            key=lambda entry: (
                (entry.place != self._identity.place) == other_place,
                rendezvous_hash(own_name, entry.address),
            ),
            default=None,
        )

    def _prune_backoff(self, now: float) -> None:
        """Drop the backoff state of peers whose backoff ended over 60 s ago."""
        for address, retry_at_s in list(self._retry_at_s.items()):
            if retry_at_s + 60.0 < now:
                del self._retry_at_s[address]
                self._failures.pop(address, None)
