"""In-memory keys, revisions, leases and change history of the stand-in."""

from __future__ import annotations

import copy
import itertools
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Final

import trio

MAX_HISTORY_CHANGES: Final = 100_000
LEASE_CHECK_INTERVAL_S: Final = 0.05


@dataclass(frozen=True, slots=True)
class Entry:
    """Value of a key with its revisions, version and lease (0: none)."""

    value: bytes
    create_revision: int
    mod_revision: int
    version: int
    lease: int


@dataclass(frozen=True, slots=True)
class Change:
    """New entry of a key at a revision, or None if the key was deleted."""

    revision: int
    key: bytes
    entry: Entry | None


@dataclass(slots=True)
class Lease:
    """Lease with its lifetime in seconds, expiry in trio time and keys."""

    ttl_s: int
    expires_at: float
    keys: set[bytes] = field(default_factory=set)


class Store:
    """Key-value data in which each write makes one revision, as in etcd."""

    def __init__(self) -> None:
        self.revision = 1
        self.leases: dict[int, Lease] = {}
        self._entries: dict[bytes, Entry] = {}
        self._history: deque[Change] = deque(maxlen=MAX_HISTORY_CHANGES)
        self._lease_ids = itertools.count(7_587_000_001)
        self._changed = trio.Event()

    def copy(self) -> Store:
        """Return a copy of the data for ``restore``."""
        data = Store()
        data._take_data(self)
        return data

    def restore(self, data: Store) -> None:
        """Go back to a copy; its revisions are given out again, lease IDs are not."""
        self._take_data(data)

    def _take_data(self, data: Store) -> None:
        self.revision = data.revision
        self.leases = copy.deepcopy(data.leases)
        self._entries = dict(data._entries)
        self._history = data._history.copy()

    def get(self, key: bytes) -> Entry | None:
        """Return the entry of a key, or None."""
        return self._entries.get(key)

    def get_range(self, key: bytes, end: bytes) -> list[tuple[bytes, Entry]]:
        """Return the entries from ``key`` up to ``end``, or of ``key`` if no end."""
        if not end:
            entry = self._entries.get(key)
            return [] if entry is None else [(key, entry)]
        is_in_range = in_range(key, end)
        return sorted(item for item in self._entries.items() if is_in_range(item[0]))

    def apply(
        self, puts: list[tuple[bytes, bytes, int]], deletes: list[tuple[bytes, bytes]]
    ) -> int:
        """Put (key, value, lease) and delete (key, end) in one revision."""
        revision = self.revision + 1
        changes = []
        for key, value, lease in puts:
            old = self._entries.get(key)
            self._detach_lease(key, old)
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
                self._detach_lease(key, old)
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
        """Create a lease and return its ID."""
        lease = next(self._lease_ids)
        self.leases[lease] = Lease(ttl_s, trio.current_time() + ttl_s)
        return lease

    def keep_alive(self, lease: int) -> int:
        """Renew a lease and return its lifetime in seconds, or 0 if it is gone."""
        self.expire_leases()
        entry = self.leases.get(lease)
        if entry is None:
            return 0
        entry.expires_at = trio.current_time() + entry.ttl_s
        return entry.ttl_s

    def revoke(self, lease: int) -> bool:
        """Revoke a lease, delete its keys and return whether the lease existed."""
        entry = self.leases.get(lease)
        if entry is None:
            return False
        self.apply([], [(key, b"") for key in sorted(entry.keys)])
        del self.leases[lease]
        return True

    def expire_leases(self) -> None:
        """Revoke the leases that were not renewed in time."""
        now = trio.current_time()
        for lease in [
            name for name, entry in self.leases.items() if entry.expires_at <= now
        ]:
            self.revoke(lease)

    async def run_leases(self) -> None:
        """Revoke expired leases periodically until cancelled."""
        while True:
            self.expire_leases()
            await trio.sleep(LEASE_CHECK_INTERVAL_S)

    def oldest_revision(self) -> int:
        """Return the oldest revision from which a watch can start."""
        full = len(self._history) == MAX_HISTORY_CHANGES
        return self._history[0].revision + 1 if full else 0

    async def wait_changes(self, key: bytes, end: bytes, start: int) -> list[Change]:
        """Wait for changes in a range from revision ``start`` on and return them."""
        is_in_range = in_range(key, end)
        seen = start - 1
        while True:
            changed = self._changed
            found = []
            # Newest first, so that an up-to-date watcher scans only a few changes.
            for change in reversed(self._history):
                if change.revision <= seen:
                    break
                if is_in_range(change.key):
                    found.append(change)
            if found:
                return found[::-1]
            seen = max(seen, self.revision)
            await changed.wait()

    def _detach_lease(self, key: bytes, old: Entry | None) -> None:
        if old is not None and old.lease in self.leases:
            self.leases[old.lease].keys.discard(key)


def in_range(key: bytes, end: bytes) -> Callable[[bytes], bool]:
    """Return a predicate for keys in a range; a zero byte as ``end`` is unbounded."""
    if not end:
        return lambda other: other == key
    if end == b"\0":
        return lambda other: other >= key
    return lambda other: key <= other < end
