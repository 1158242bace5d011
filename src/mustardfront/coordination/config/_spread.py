"""Spread of the configuration: offers and pulls between peers, and the start."""

from __future__ import annotations

import random
from typing import Final

import trio

from mustardfront import events
from mustardfront.coordination.config import _records as records
from mustardfront.coordination.config._kv import Kv
from mustardfront.coordination.config._push import TicketLog, apply_push
from mustardfront.coordination.config._store import ConfigStore
from mustardfront.coordination.config._watch import HeadWatcher
from mustardfront.coordination.hosts import HostList
from mustardfront.coordination.peers import (
    Connect,
    Heartbeat,
    PeerDialler,
    PeerHub,
    backoff_s,
)
from mustardfront.protocol import (
    ConfigOffer,
    ConfigPull,
    ConfigPush,
    Identity,
    Message,
    PeerConnection,
    connect_peer,
)
from mustardfront.results import Err, Ok

DIALLED_PEERS: Final = 3
# More peers are asked at a start during an outage, because some may be starting too.
EXTRA_PEERS: Final = 5
PULL_TIMEOUT_S: Final = 1.0
OFFER_REPEAT_S: Final = 1.0


class ConfigSpread:
    """Brings new configurations to ``store`` and passes them on to the peers.

    ``synced`` is set once the configuration was read from the key-value service, or
    during an outage from three peers; a program is not ready before.
    """

    def __init__(
        self,
        store: ConfigStore,
        hub: PeerHub,
        kv: Kv,
        identity: Identity,
        hosts: HostList,
        key: bytes,
        *,
        connect: Connect = connect_peer,
        rng: random.Random | None = None,
    ) -> None:
        self._store = store
        self._hub = hub
        self._kv = kv
        self._hosts = hosts
        self._rng = rng or random.Random()
        self._log = TicketLog()
        self._dialler = PeerDialler(hub, hosts, identity, key, connect, self._rng)
        self._watcher = HeadWatcher(
            store, self._log, kv, hosts, identity, self._rng, self._is_isolated
        )
        # The version that each peer told last, and the one it was told.
        self._heard: dict[PeerConnection, int] = {}
        self._told: dict[PeerConnection, int] = {}
        self._wake = trio.Event()
        self._heard_more = trio.Event()
        self._heartbeat = Heartbeat(hub, self._version_to_tell, self._note_version)
        self.synced = trio.Event()
        hub.add_greeting(self._greet)
        hub.add_handler(self._handle)

    @property
    def is_watching(self) -> bool:
        """Say whether this process watches the key-value service."""
        return self._watcher.watching

    async def run(
        self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Dial peers, watch and spread until cancelled; started once tasks run."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._heartbeat.run)
            nursery.start_soon(self._tell)
            nursery.start_soon(self._pull)
            for slot in range(DIALLED_PEERS):
                nursery.start_soon(self._keep_peer, slot == 0)
            nursery.start_soon(self._start)
            nursery.start_soon(self._watcher.run)
            task_status.started()

    async def _keep_peer(self, other_place: bool) -> None:
        await self._dialler.keep(other_place=other_place)

    def _is_isolated(self) -> bool:
        return not self._hub.connections

    # Start.

    async def _start(self) -> None:
        """Read the service; while it is down, take the newest of three peers."""
        failures = 0
        async with trio.open_nursery() as nursery:
            while True:
                snapshot = await records.read_snapshot(self._kv)
                if isinstance(snapshot, Ok):
                    self._store.offer(snapshot.value, "service")
                    break
                failures += 1
                if failures == 1:
                    events.log(
                        events.Event.CONFIG_MISSING,
                        code=int(snapshot.code),
                        text=snapshot.text,
                    )
                    nursery.start_soon(self._sync_from_peers, nursery.cancel_scope)
                    for index in range(EXTRA_PEERS):
                        nursery.start_soon(self._keep_peer, index % 2 == 0)
                await trio.sleep(backoff_s(failures, self._rng))
            nursery.cancel_scope.cancel()
        self.synced.set()
        self._tell_all()

    async def _sync_from_peers(self, start: trio.CancelScope) -> None:
        while not self._has_peers_version():
            await self._heard_more.wait()
            self._heard_more = trio.Event()
        start.cancel()

    def _has_peers_version(self) -> bool:
        """Say whether enough peers told a version and the newest is in force.

        Peers without a version do not count. Fewer than three are enough only when
        the host list has fewer other live processes.
        """
        told = {
            conn.remote.instance: version
            for conn, version in self._heard.items()
            if version > 0 and conn.closed is None
        }
        if not told or not self._hosts.is_read:
            return False
        needed = min(DIALLED_PEERS, len(self._dialler.others()))
        return len(told) >= needed and self._store.current.version >= max(told.values())

    # Offers and pulls.

    async def _greet(self, conn: PeerConnection) -> None:
        self._offer_to(conn)

    def _version_to_tell(self) -> int:
        """Return the version in force, or 0 before the start is complete.

        A starting process may hold an old version; if it told that one, others that
        start during the same outage could take it for one of three.
        """
        return self._store.current.version if self.synced.is_set() else 0

    def _offer_to(self, conn: PeerConnection) -> None:
        version = self._version_to_tell()
        if conn.send_nowait(ConfigOffer(version)):
            self._told[conn] = version

    async def _tell(self) -> None:
        """Offer each new version to every peer that may not have it."""
        while True:
            version = self._store.current.version
            self._tell_all()
            # A full queue refuses an offer, so the round is repeated without a change.
            with trio.move_on_after(OFFER_REPEAT_S):
                await self._store.wait_newer(version)

    def _tell_all(self) -> None:
        """Offer the version to each peer that may not have it."""
        self._wake.set()
        self._heard_more.set()
        live = self._hub.connections
        for known in (self._heard, self._told):
            for conn in known.keys() - set(live):
                del known[conn]
        for conn in live:
            told = max(self._told.get(conn, -1), self._heard.get(conn, -1))
            if told < self._version_to_tell():
                self._offer_to(conn)

    def _note_version(self, conn: PeerConnection, version: int) -> None:
        self._heard[conn] = version
        self._heard_more.set()
        if version > self._store.current.version:
            self._wake.set()

    async def _handle(self, conn: PeerConnection, message: Message) -> bool:
        if isinstance(message, ConfigOffer):
            self._note_version(conn, message.version)
        elif isinstance(message, ConfigPull):
            cfg = self._store.current
            if cfg.version > message.version:
                data = self._log.push_data(cfg, message.version)
                conn.send_nowait(ConfigPush(cfg.version, data))
        elif isinstance(message, ConfigPush):
            self._take(conn, message)
        else:
            return False
        return True

    def _take(self, conn: PeerConnection, message: ConfigPush) -> None:
        self._note_version(conn, message.version)
        if message.version <= self._store.current.version:
            return
        pushed = apply_push(self._store.current, message.data)
        if isinstance(pushed, Err):
            events.log(
                events.Event.PEER_BAD_MESSAGE,
                peer=conn.remote.instance,
                code=int(pushed.code),
                text=pushed.text,
            )
            return
        cfg, tickets = pushed.value
        if self._store.offer(cfg, f"peer {conn.remote.host}"):
            for ticket in tickets:
                self._log.add(ticket)

    async def _pull(self) -> None:
        """Pull from one peer at a time while any has a newer version."""
        while True:
            await self._wake.wait()
            self._wake = trio.Event()
            while True:
                version = self._store.current.version
                newer = [
                    conn
                    for conn, heard in self._heard.items()
                    if heard > version and conn.closed is None
                ]
                if not newer:
                    break
                conn = self._rng.choice(newer)
                conn.send_nowait(ConfigPull(version))
                # A peer that does not answer in time may be frozen; another is drawn.
                with trio.move_on_after(PULL_TIMEOUT_S):
                    await self._store.wait_newer(version)
