"""Receive new tickets from the key-value service through a few watchers per place."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Final

import trio

from mustardfront import events
from mustardfront.codes import Code
from mustardfront.coordination.config import _records as records
from mustardfront.coordination.config._kv import Kv
from mustardfront.coordination.config._lost import write_lost_tickets
from mustardfront.coordination.config._push import TicketLog
from mustardfront.coordination.config._store import ConfigStore
from mustardfront.coordination.hosts import HostList
from mustardfront.coordination.peers import backoff_s, rendezvous_hash
from mustardfront.protocol import Identity
from mustardfront.results import Err, Ok, Result
from mustardfront.state import apply_ticket

WATCHERS_PER_PLACE: Final = 2
# A watch whose connection died without a reset delivers nothing, so each watcher also
# reads the head at this interval. Of the 12 s in which a change is to be in force
# everywhere, this leaves 6 s for its distribution to all processes.
REREAD_INTERVAL_S: Final = 6.0
# A process without any peer, for instance while the host list is down, reads the head
# itself at this interval.
POLL_INTERVAL_S: Final = 6.0
# Combined rate of head reads by all processes that don't watch, whatever their number.
# The host list lags, so all watchers of a fleet may be dead or frozen; with these reads
# some process still reads the head within the 6 s.
FLEET_READS_PER_S: Final = 2.0


class HeadWatcher:
    """Watch the head while this process is one of its place's watchers."""

    def __init__(
        self,
        store: ConfigStore,
        log: TicketLog,
        kv: Kv,
        hosts: HostList,
        identity: Identity,
        rng: random.Random,
        is_isolated: Callable[[], bool],
    ) -> None:
        self._store = store
        self._log = log
        self._kv = kv
        self._hosts = hosts
        self._identity = identity
        self._rng = rng
        self._is_isolated = is_isolated
        self._failures = 0
        self._watched_revision = 0
        self.is_watching = False

    def is_elected(self) -> bool:
        """Return whether this process has one of its place's highest scores."""
        identity = self._identity
        own_score = rendezvous_hash("watcher", f"{identity.role}/{identity.host}")
        higher_count = sum(
            rendezvous_hash("watcher", f"{entry.role}/{entry.name}") > own_score
            for entry in self._hosts.current
            if entry.place == identity.place and entry.state == "live"
        )
        return self._hosts.has_loaded and higher_count < WATCHERS_PER_PLACE

    async def run(self) -> None:
        """Watch the head while elected and poll it otherwise, until cancelled."""
        while True:
            if not self.is_elected():
                await self._poll()
                continue
            self._set_watching(True)
            try:
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(self._run_watch)
                    while self.is_elected():
                        await self._hosts.wait_changed()
                    nursery.cancel_scope.cancel()
            finally:
                self._set_watching(False)

    async def _poll(self) -> None:
        """Wait for one poll interval or a change of the host list.

        After a full interval, read the head with the probability that keeps the fleet
        at ``FLEET_READS_PER_S``; an isolated process always reads it.
        """
        with trio.move_on_after(POLL_INTERVAL_S * self._rng.uniform(0.8, 1.2)):
            await self._hosts.wait_changed()
            return
        probability = (
            POLL_INTERVAL_S * FLEET_READS_PER_S / max(len(self._hosts.current), 1)
        )
        if self._is_isolated() or self._rng.random() < probability:
            await self.refresh()

    def _set_watching(self, watching: bool) -> None:
        self.is_watching = watching
        events.log(events.Event.WATCHER_CHANGED, watching=watching)

    async def refresh(self) -> Result[int]:
        """Read the head, put a newer version in force and return the head's revision.

        Logs when the service becomes unavailable and when it returns.
        """
        result = await self._refresh()
        if isinstance(result, Err):
            self._failures += 1
            if self._failures == 1:
                events.log(
                    events.Event.STORE_UNAVAILABLE,
                    code=int(result.code),
                    text=result.text,
                )
        elif self._failures:
            self._failures = 0
            events.log(events.Event.STORE_RETURNED)
        return result

    async def _refresh(self) -> Result[int]:
        read = await records.read_head(self._kv)
        if isinstance(read, Err):
            return read
        head, revision = read.value
        cfg = self._store.current
        if head.version < cfg.version:
            done = await write_lost_tickets(self._kv, cfg, self._log, head, revision)
        else:
            done = await self._apply_version(head.version)
        return done if isinstance(done, Err) else Ok(revision)

    async def _apply_version(self, version: int) -> Result[None]:
        """Put ``version`` in force, using its ticket or else the snapshot."""
        cfg = self._store.current
        if version <= cfg.version:
            return Ok(None)
        if version == cfg.version + 1 and cfg.version > 0:
            ticket = await records.read_ticket(self._kv, version)
            if isinstance(ticket, Err):
                return ticket
            result = apply_ticket(cfg, ticket.value)
            if isinstance(result, Ok) and self._store.update_if_newer(
                result.value, "service"
            ):
                self._log.add(ticket.value)
                return Ok(None)
        snapshot = await records.read_snapshot(self._kv)
        if isinstance(snapshot, Err):
            return snapshot
        self._store.update_if_newer(snapshot.value, "service")
        return Ok(None)

    async def _run_watch(self) -> None:
        while True:
            revision = await self.refresh()
            if isinstance(revision, Ok):
                self._watched_revision = revision.value
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(self._check_missed_changes, nursery.cancel_scope)
                    await self._apply_changes(revision.value + 1)
                    nursery.cancel_scope.cancel()
            await trio.sleep(backoff_s(max(self._failures, 1), self._rng))

    async def _apply_changes(self, revision: int) -> None:
        """Apply the version of each new head until the watch or a read fails."""
        async with self._kv.watch(records.HEAD_KEY, revision) as changes:
            async for change in changes:
                self._watched_revision = change.mod_revision
                if change.value is None:
                    continue
                head = records.decode_head_bytes(change.value)
                if isinstance(head, Err):
                    events.log(
                        events.Event.STORE_UNAVAILABLE,
                        code=int(Code.BAD_MESSAGE),
                        text=head.text,
                    )
                    return
                if head.value.version < self._store.current.version:
                    # The service was restored; the next refresh writes the rest again.
                    return
                if isinstance(await self._apply_version(head.value.version), Err):
                    return

    async def _check_missed_changes(self, watch_scope: trio.CancelScope) -> None:
        """Cancel the watch once it missed a change or the service is unavailable."""
        while True:
            await trio.sleep(REREAD_INTERVAL_S * self._rng.uniform(0.8, 1.0))
            revision = await self.refresh()
            # A change that the watch is about to deliver also counts as missed; this
            # costs only a new watch. A lower revision is that of a restored service,
            # whose changes the watch does not deliver.
            if isinstance(revision, Err) or revision.value != self._watched_revision:
                watch_scope.cancel()
