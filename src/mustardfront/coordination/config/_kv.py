"""What this package needs of the key-value client."""

from __future__ import annotations

from collections.abc import AsyncIterator, Mapping, Sequence
from contextlib import AbstractAsyncContextManager
from typing import Protocol

from mustardfront.results import Result


class StoredValue(Protocol):
    """A value with the revision of its last change."""

    @property
    def value(self) -> bytes:
        """Return the bytes."""

    @property
    def mod_revision(self) -> int:
        """Return the revision of the last change."""


class TxnAnswer(Protocol):
    """What came of a transaction."""

    @property
    def succeeded(self) -> bool:
        """Say whether all comparisons held and the writes took effect."""

    @property
    def revision(self) -> int:
        """Return the service's revision after the transaction."""


class ChangeEvent(Protocol):
    """A change of a watched key; ``value`` is None when it was deleted."""

    @property
    def value(self) -> bytes | None:
        """Return the new bytes."""

    @property
    def mod_revision(self) -> int:
        """Return the revision of the change."""


class Kv(Protocol):
    """The calls on the key-value service that the configuration uses."""

    async def get(self, key: str) -> Result[StoredValue | None]:
        """Return the value of a key."""

    async def get_prefix(self, prefix: str) -> Result[Mapping[str, StoredValue]]:
        """Return all keys under a prefix, as of one revision."""

    async def txn(
        self,
        compare: Mapping[str, int],
        puts: Mapping[str, bytes],
        deletes: Sequence[str] = (),
    ) -> Result[TxnAnswer]:
        """Write all or nothing, if each key has the given revision."""

    def watch(
        self, key: str, from_revision: int
    ) -> AbstractAsyncContextManager[AsyncIterator[ChangeEvent]]:
        """Yield the changes of a key from a revision on."""
