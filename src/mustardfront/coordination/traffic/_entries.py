"""The entries that run, as they announced themselves."""

from __future__ import annotations

from collections.abc import Mapping

from mustardfront.coordination.traffic._feed import EntryChange


class KnownEntries:
    """The announced entries; those that the store lost are kept for a while."""

    def __init__(self) -> None:
        self.names: frozenset[str] = frozenset()
        # The highest configuration version that an entry was announced with.
        self.version = 0
        self._known: dict[str, EntryChange] = {}
        # Those that the store does not list after an outage.
        self._lapsed: frozenset[str] = frozenset()

    def address(self, name: str) -> tuple[str, int] | None:
        """Return where an entry takes reports of others; None if nowhere."""
        known = self._known.get(name)
        return known.address if known is not None else None

    def replace(
        self, entries: Mapping[str, EntryChange], *, keep_missing: bool
    ) -> None:
        """Apply a complete list; ``keep_missing`` keeps those that are not listed."""
        missing = self.names - entries.keys()
        self._lapsed = missing if keep_missing else frozenset()
        self._set({name: self._known[name] for name in self._lapsed} | {**entries})

    def apply(self, change: EntryChange) -> None:
        """Apply one change."""
        known = dict(self._known)
        known.pop(change.name, None)
        if not change.is_gone:
            known[change.name] = change
        self._lapsed -= {change.name}
        self._set(known)

    def drop_lapsed(self) -> None:
        """Remove the entries that were not announced again."""
        kept = self._known.keys() - self._lapsed
        self._set({name: self._known[name] for name in kept})
        self._lapsed = frozenset()

    def _set(self, known: dict[str, EntryChange]) -> None:
        self._known = known
        self.version = max((one.config_version for one in known.values()), default=0)
        self.names = frozenset(known)
