"""Protocol of the key-value client that this package uses."""

from __future__ import annotations

from collections.abc import AsyncIterator, Iterable, Mapping
from contextlib import AbstractAsyncContextManager
from typing import Protocol

from mustardfront.coordination.kv import KvEvent, KvValue, TxnResult
from mustardfront.results import Result


class Kv(Protocol):
    """The methods of ``KvClient`` that this package calls; tests substitute a fake."""

    async def get(self, key: str) -> Result[KvValue | None]:
        """Return the value of a key."""

    async def get_prefix(self, prefix: str) -> Result[dict[str, KvValue]]:
        """Return the values of all keys with a prefix, at a single revision."""

    async def txn(
        self,
        compare: Mapping[str, int],
        puts: Mapping[str, bytes],
        deletes: Iterable[str] = (),
    ) -> Result[TxnResult]:
        """Apply all writes atomically if each key in ``compare`` has its revision."""

    def watch(
        self, key: str, from_revision: int
    ) -> AbstractAsyncContextManager[AsyncIterator[KvEvent]]:
        """Yield the changes of a key, starting with a revision."""
