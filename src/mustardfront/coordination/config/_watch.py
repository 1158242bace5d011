"""Learn of new tickets from the key-value service: a few watchers in each place."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Final

import trio

from mustardfront import events
from mustardfront.codes import Code
from mustardfront.coordination.config import _records as records
from mustardfront.coordination.config._kv import Kv
from mustardfront.coordination.config._push import TicketLog
from mustardfront.coordination.config._store import ConfigStore
from mustardfront.coordination.hosts import HostList
from mustardfront.coordination.peers import backoff_s, score
from mustardfront.protocol import Identity
from mustardfront.results import Err, Ok, Result
from mustardfront.state import apply_ticket

WATCHERS_PER_PLACE: Final = 2
# A watch on a connection that died silently delivers nothing, so each watcher also
# reads the head; with the 12 s target this leaves 6 s for the way to all processes.
REREAD_S: Final = 6.0
# A process without any peer, for instance while the host list is down, reads itself.
ISOLATED_POLL_S: Final = 6.0
# Reads by all other processes together, whatever their number: the host list lags, so
# all watchers of a fleet may be dead or frozen, and still some process reads the head
# within the 6 s.
FLEET_READS_PER_S: Final = 2.0


class HeadWatcher:
    """Watches the head while this process is one of its place's watchers."""

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
        self.watching = False

    def is_elected(self) -> bool:
        """Say whether this process has one of its place's highest scores."""
        me = self._identity
        mine = score("watcher", f"{me.role}/{me.host}")
        better = sum(
            score("watcher", f"{entry.role}/{entry.name}") > mine
            for entry in self._hosts.current
            if entry.place == me.place and entry.state == "live"
        )
        return self._hosts.is_read and better < WATCHERS_PER_PLACE

    async def run(self) -> None:
        """Watch while elected, read now and then otherwise; until cancelled."""
        while True:
            if not self.is_elected():
                await self._read_now_and_then()
                continue
            self._set_watching(True)
            try:
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(self._watch)
                    while self.is_elected():
                        await self._hosts.wait_changed()
                    nursery.cancel_scope.cancel()
            finally:
                self._set_watching(False)

    async def _read_now_and_then(self) -> None:
        """Wait for a change of the host list, or read as its share of the fleet."""
        with trio.move_on_after(ISOLATED_POLL_S * self._rng.uniform(0.8, 1.2)):
            await self._hosts.wait_changed()
            return
        share = ISOLATED_POLL_S * FLEET_READS_PER_S / max(len(self._hosts.current), 1)
        if self._is_isolated() or self._rng.random() < share:
            await self.read()

    def _set_watching(self, watching: bool) -> None:
        self.watching = watching
        events.log(events.Event.WATCHER_CHANGED, watching=watching)

    async def read(self) -> Result[int]:
        """Read the head and take what is new; return the head's revision."""
        result = await self._read()
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

    async def _read(self) -> Result[int]:
        head = await records.read_head(self._kv)
        if isinstance(head, Err):
            return head
        taken = await self._take(head.value[0].version)
        return taken if isinstance(taken, Err) else Ok(head.value[1])

    async def _take(self, version: int) -> Result[None]:
        """Put ``version`` in force, by its ticket or else by the snapshot."""
        cfg = self._store.current
        if version <= cfg.version:
            return Ok(None)
        if version == cfg.version + 1 and cfg.version > 0:
            ticket = await records.read_ticket(self._kv, version)
            if isinstance(ticket, Err):
                return ticket
            merged = apply_ticket(cfg, ticket.value)
            if isinstance(merged, Ok) and self._store.offer(merged.value, "service"):
                self._log.add(ticket.value)
                return Ok(None)
        snapshot = await records.read_snapshot(self._kv)
        if isinstance(snapshot, Err):
            return snapshot
        self._store.offer(snapshot.value, "service")
        return Ok(None)

    async def _watch(self) -> None:
        while True:
            revision = await self.read()
            if isinstance(revision, Ok):
                self._watched_revision = revision.value
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(self._reread, nursery.cancel_scope)
                    await self._follow(revision.value + 1)
                    nursery.cancel_scope.cancel()
            await trio.sleep(backoff_s(max(self._failures, 1), self._rng))

    async def _follow(self, revision: int) -> None:
        """Take each new head until the watch or a read fails."""
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
                if isinstance(await self._take(head.value.version), Err):
                    return

    async def _reread(self, watch: trio.CancelScope) -> None:
        """End the watch when it missed a change or the service went away."""
        while True:
            await trio.sleep(REREAD_S * self._rng.uniform(0.8, 1.0))
            revision = await self.read()
            # A change that is on its way at this moment only costs a new watch.
            if isinstance(revision, Err) or revision.value > self._watched_revision:
                watch.cancel()
