"""What this package needs of the key-value client."""

from __future__ import annotations

from collections.abc import AsyncIterator, Iterable, Mapping
from contextlib import AbstractAsyncContextManager
from typing import Protocol

from mustardfront.coordination.kv import KvEvent, KvValue, TxnResult
from mustardfront.results import Result


class Kv(Protocol):
    """The calls of ``KvClient`` that are used, so that tests need no service."""

    async def get(self, key: str) -> Result[KvValue | None]:
        """Return the value of a key."""

    async def get_prefix(self, prefix: str) -> Result[dict[str, KvValue]]:
        """Return all keys under a prefix, as of one revision."""

    async def txn(
        self,
        compare: Mapping[str, int],
        puts: Mapping[str, bytes],
        deletes: Iterable[str] = (),
    ) -> Result[TxnResult]:
        """Write all or nothing, if each key has the given revision."""

    def watch(
        self, key: str, from_revision: int
    ) -> AbstractAsyncContextManager[AsyncIterator[KvEvent]]:
        """Yield the changes of a key from a revision on."""
