"""The entries that run, and the configuration version that each was announced with."""

from __future__ import annotations

from collections.abc import Mapping

from mustardfront.coordination.traffic._feed import EntryChange


class KnownEntries:
    """The announced entries; those that the store lost are kept for a while."""

    def __init__(self) -> None:
        self.names: frozenset[str] = frozenset()
        # The highest version that an entry was announced with.
        self.version = 0
        self._versions: dict[str, int] = {}
        # Those that the store does not list after an outage.
        self._lapsed: frozenset[str] = frozenset()

    def replace(self, versions: Mapping[str, int], *, keep_missing: bool) -> None:
        """Apply a complete list; ``keep_missing`` keeps those that are not listed."""
        missing = self.names - versions.keys()
        self._lapsed = missing if keep_missing else frozenset()
        self._set({name: self._versions[name] for name in self._lapsed} | {**versions})

    def apply(self, change: EntryChange) -> None:
        """Apply one change."""
        versions = dict(self._versions)
        versions.pop(change.name, None)
        if not change.is_gone:
            versions[change.name] = change.config_version
        self._lapsed -= {change.name}
        self._set(versions)

    def drop_lapsed(self) -> None:
        """Remove the entries that were not announced again."""
        kept = self._versions.keys() - self._lapsed
        self._set({name: self._versions[name] for name in kept})
        self._lapsed = frozenset()

    def _set(self, versions: dict[str, int]) -> None:
        self._versions = versions
        self.version = max(versions.values(), default=0)
        self.names = frozenset(versions)
