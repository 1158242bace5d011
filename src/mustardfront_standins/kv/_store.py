"""Keys, revisions, leases and watchers of the stand-in, in memory."""

from __future__ import annotations

import itertools
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Final

import trio

HISTORY_EVENTS: Final = 100_000
LEASE_CHECK_S: Final = 0.05


@dataclass(frozen=True, slots=True)
class Entry:
    """A key's value with its revisions, version and lease (0: none)."""

    value: bytes
    create_revision: int
    mod_revision: int
    version: int
    lease: int


@dataclass(frozen=True, slots=True)
class Change:
    """One key's new entry, or None when it was deleted, at a revision."""

    revision: int
    key: bytes
    entry: Entry | None


@dataclass(slots=True)
class Lease:
    """A lease's lifetime in seconds, its end in trio time, and its keys."""

    ttl_s: int
    expires: float
    keys: set[bytes] = field(default_factory=set)


class Store:
    """The data; every write is one revision, as in the real service."""

    def __init__(self) -> None:
        self.revision = 1
        self.leases: dict[int, Lease] = {}
        self._entries: dict[bytes, Entry] = {}
        self._history: deque[Change] = deque(maxlen=HISTORY_EVENTS)
        self._lease_ids = itertools.count(7_587_000_001)
        self._changed = trio.Event()

    def get(self, key: bytes) -> Entry | None:
        """Return the entry of a key."""
        return self._entries.get(key)

    def get_range(self, key: bytes, end: bytes) -> list[tuple[bytes, Entry]]:
        """Return the entries from ``key`` up to ``end``, or of ``key`` without one."""
        if not end:
            entry = self._entries.get(key)
            return [] if entry is None else [(key, entry)]
        inside = in_range(key, end)
        return sorted(item for item in self._entries.items() if inside(item[0]))

    def apply(
        self, puts: list[tuple[bytes, bytes, int]], deletes: list[tuple[bytes, bytes]]
    ) -> int:
        """Put (key, value, lease) and delete (key, end) in one revision."""
        revision = self.revision + 1
        changes = []
        for key, value, lease in puts:
            old = self._entries.get(key)
            self._detach(key, old)
            entry = Entry(
                value,
                old.create_revision if old else revision,
                revision,
                old.version + 1 if old else 1,
                lease,
            )
            self._entries[key] = entry
            if lease:
                self.leases[lease].keys.add(key)
            changes.append(Change(revision, key, entry))
        for start, end in deletes:
            for key, old in self.get_range(start, end):
                self._detach(key, old)
                del self._entries[key]
                changes.append(Change(revision, key, None))
        if not changes:
            return self.revision
        self.revision = revision
        self._history.extend(changes)
        changed, self._changed = self._changed, trio.Event()
        changed.set()
        return revision

    def grant(self, ttl_s: int) -> int:
        """Return a new lease."""
        lease = next(self._lease_ids)
        self.leases[lease] = Lease(ttl_s, trio.current_time() + ttl_s)
        return lease

    def keep_alive(self, lease: int) -> int:
        """Renew a lease; return its lifetime, or 0 when it is gone."""
        self.expire_leases()
        entry = self.leases.get(lease)
        if entry is None:
            return 0
        entry.expires = trio.current_time() + entry.ttl_s
        return entry.ttl_s

    def revoke(self, lease: int) -> bool:
        """End a lease and delete its keys; say whether it existed."""
        entry = self.leases.get(lease)
        if entry is None:
            return False
        self.apply([], [(key, b"") for key in sorted(entry.keys)])
        del self.leases[lease]
        return True

    def expire_leases(self) -> None:
        """End the leases that were not renewed in time."""
        now = trio.current_time()
        for lease in [
            name for name, entry in self.leases.items() if entry.expires <= now
        ]:
            self.revoke(lease)

    async def run_leases(self) -> None:
        """Keep ending leases, until cancelled."""
        while True:
            self.expire_leases()
            await trio.sleep(LEASE_CHECK_S)

    def oldest_revision(self) -> int:
        """Return the oldest revision that a watch can start from."""
        full = len(self._history) == HISTORY_EVENTS
        return self._history[0].revision + 1 if full else 0

    async def wait_changes(self, key: bytes, end: bytes, start: int) -> list[Change]:
        """Return the changes in a range from revision ``start`` on, once there are."""
        inside = in_range(key, end)
        seen = start - 1
        while True:
            changed = self._changed
            found = []
            # The newest changes are last, so a caught-up watcher looks at few.
            for change in reversed(self._history):
                if change.revision <= seen:
                    break
                if inside(change.key):
                    found.append(change)
            if found:
                return found[::-1]
            seen = max(seen, self.revision)
            await changed.wait()

    def _detach(self, key: bytes, old: Entry | None) -> None:
        if old is not None and old.lease in self.leases:
            self.leases[old.lease].keys.discard(key)


def in_range(key: bytes, end: bytes) -> Callable[[bytes], bool]:
    """Return the test for keys from ``key`` up to ``end``; a zero byte has no end."""
    if not end:
        return lambda other: other == key
    if end == b"\0":
        return lambda other: other >= key
    return lambda other: key <= other < end
