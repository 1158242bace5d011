"""Distribute the configuration between peers by offers, pulls and pushes."""

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
# A process that starts during an outage connects to more peers, because some of them
# may be starting too.
EXTRA_PEERS: Final = 5
PULL_TIMEOUT_S: Final = 1.0
OFFER_REPEAT_S: Final = 1.0


class ConfigSpread:
    """Put new configurations in force in ``store`` and forward them to the peers.

    ``synced`` is set once the configuration was read from the key-value service or,
    during an outage, received from three peers; a program is not ready before.
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
        # The version that each peer offered last, and the one last offered to it.
        self._peer_versions: dict[PeerConnection, int] = {}
        self._offered_versions: dict[PeerConnection, int] = {}
        self._pull_needed = trio.Event()
        self._peer_versions_changed = trio.Event()
        self._heartbeat = Heartbeat(hub, self._version_to_offer, self._note_version)
        self.synced = trio.Event()
        hub.add_connect_handler(self._offer_on_connect)
        hub.add_handler(self._handle_message)

    @property
    def is_watching(self) -> bool:
        """Return whether this process watches the key-value service."""
        return self._watcher.is_watching

    async def run(
        self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Dial peers, watch the head and distribute versions until cancelled.

        Reports started once all tasks are spawned.
        """
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._heartbeat.run)
            nursery.start_soon(self._offer_new_versions)
            nursery.start_soon(self._pull_newer_versions)
            for slot in range(DIALLED_PEERS):
                nursery.start_soon(self._keep_connection, slot == 0)
            nursery.start_soon(self._run_initial_sync)
            nursery.start_soon(self._watcher.run)
            task_status.started()

    async def _keep_connection(self, other_place: bool) -> None:
        await self._dialler.keep_connected(other_place=other_place)

    def _is_isolated(self) -> bool:
        return not self._hub.connections

    # Initial synchronisation.

    async def _run_initial_sync(self) -> None:
        """Read the snapshot or, while the service is down, sync from three peers."""
        failures = 0
        async with trio.open_nursery() as nursery:
            while True:
                snapshot = await records.read_snapshot(self._kv)
                if isinstance(snapshot, Ok):
                    self._store.update_if_newer(snapshot.value, "service")
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
                        nursery.start_soon(self._keep_connection, index % 2 == 0)
                await trio.sleep(backoff_s(failures, self._rng))
            nursery.cancel_scope.cancel()
        self.synced.set()
        self._offer_to_outdated_peers()

    async def _sync_from_peers(self, initial_sync_scope: trio.CancelScope) -> None:
        while not self._has_newest_peer_version():
            await self._peer_versions_changed.wait()
            self._peer_versions_changed = trio.Event()
        initial_sync_scope.cancel()

    def _has_newest_peer_version(self) -> bool:
        """Return whether enough peers offered a version and the newest is in force.

        Peers without a version do not count. Fewer than three are enough only if the
        host list has fewer other live processes.
        """
        offered = {
            conn.remote.instance: version
            for conn, version in self._peer_versions.items()
            if version > 0 and conn.closed is None
        }
        if not offered or not self._hosts.has_loaded:
            return False
        needed = min(DIALLED_PEERS, len(self._dialler.live_peers()))
        return len(offered) >= needed and self._store.current.version >= max(
            offered.values()
        )

    # Offers and pulls.

    async def _offer_on_connect(self, conn: PeerConnection) -> None:
        self._offer_to(conn)

    def _version_to_offer(self) -> int:
        """Return the version in force, or 0 before ``synced`` is set.

        A starting process may hold an old version. If it offered that version, others
        that start during the same outage could count it as one of their three peers.
        """
        return self._store.current.version if self.synced.is_set() else 0

    def _offer_to(self, conn: PeerConnection) -> None:
        version = self._version_to_offer()
        if conn.send_nowait(ConfigOffer(version)):
            self._offered_versions[conn] = version

    async def _offer_new_versions(self) -> None:
        """Offer each new version to the peers that may not have it, until cancelled."""
        while True:
            version = self._store.current.version
            self._offer_to_outdated_peers()
            # A full send queue rejects an offer, so offers are repeated even without
            # a new version.
            with trio.move_on_after(OFFER_REPEAT_S):
                await self._store.wait_for_newer(version)

    def _offer_to_outdated_peers(self) -> None:
        """Offer the version in force to each peer that may not have it."""
        self._pull_needed.set()
        self._peer_versions_changed.set()
        connections = self._hub.connections
        for versions in (self._peer_versions, self._offered_versions):
            for conn in versions.keys() - set(connections):
                del versions[conn]
        for conn in connections:
            known_version = max(
                self._offered_versions.get(conn, -1), self._peer_versions.get(conn, -1)
            )
            if known_version < self._version_to_offer():
                self._offer_to(conn)

    def _note_version(self, conn: PeerConnection, version: int) -> None:
        self._peer_versions[conn] = version
        self._peer_versions_changed.set()
        if version > self._store.current.version:
            self._pull_needed.set()

    async def _handle_message(self, conn: PeerConnection, message: Message) -> bool:
        if isinstance(message, ConfigOffer):
            self._note_version(conn, message.version)
        elif isinstance(message, ConfigPull):
            cfg = self._store.current
            if cfg.version > message.version:
                data = self._log.encode_push(cfg, message.version)
                conn.send_nowait(ConfigPush(cfg.version, data))
        elif isinstance(message, ConfigPush):
            self._apply_push_message(conn, message)
        else:
            return False
        return True

    def _apply_push_message(self, conn: PeerConnection, message: ConfigPush) -> None:
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
        if self._store.update_if_newer(cfg, f"peer {conn.remote.host}"):
            for ticket in tickets:
                self._log.add(ticket)

    async def _pull_newer_versions(self) -> None:
        """Pull from one peer at a time while any has a newer version."""
        while True:
            await self._pull_needed.wait()
            self._pull_needed = trio.Event()
            while True:
                version = self._store.current.version
                newer = [
                    conn
                    for conn, peer_version in self._peer_versions.items()
                    if peer_version > version and conn.closed is None
                ]
                if not newer:
                    break
                conn = self._rng.choice(newer)
                conn.send_nowait(ConfigPull(version))
                # A peer that does not answer in time may be frozen; the next round
                # chooses again at random.
                with trio.move_on_after(PULL_TIMEOUT_S):
                    await self._store.wait_for_newer(version)
