"""Which of a group's sidecars coordinates it."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Final, Protocol

import trio

from mustardfront import events
from mustardfront.codes import Code
from mustardfront.coordination.kv import KvValue, TxnResult
from mustardfront.results import Err, Ok, Result

LEASE_TTL_S: Final = 10
# A lease is renewed often enough that two lost answers do not end it.
RENEW_INTERVAL_S: Final = 3.0
CAMPAIGN_INTERVAL_S: Final = 5.0
# Only the first ranks' sidecars campaign: each one costs a read at each interval.
CANDIDATES: Final = 3
PREFIX: Final = "/mustardfront/coordinator/"


class LeaseStore(Protocol):
    """The calls of the key-value client that a coordinator needs."""

    async def get(self, key: str) -> Result[KvValue | None]:
        """Return the value of a key."""

    async def txn(
        self,
        compare: dict[str, int],
        puts: dict[str, bytes],
        deletes: tuple[str, ...] = (),
        lease: int = 0,
    ) -> Result[TxnResult]:
        """Write if each key has its mod revision."""

    async def lease_grant(self, ttl_s: int) -> Result[int]:
        """Return a new lease."""

    async def lease_keepalive(self, lease: int) -> Result[int]:
        """Renew a lease."""

    async def lease_revoke(self, lease: int) -> Result[None]:
        """End a lease."""


@dataclass(slots=True)
class Term:
    """A coordinator's lease and its fencing number: the revision of its key.

    ``renewed_at`` is trio's time of the last call that surely renewed the lease.
    """

    lease: int
    fence: int
    renewed_at: float

    def is_certain(self) -> bool:
        """Say whether the lease surely still holds."""
        return trio.current_time() - self.renewed_at < LEASE_TTL_S


async def _nothing() -> None:
    return


async def campaign(
    kv: LeaseStore,
    group: str,
    name: str,
    on_outage: Callable[[], Awaitable[None]] = _nothing,
) -> Term:
    """Return a term once the group's key is free; try until cancelled.

    ``on_outage`` runs after each try that the service did not answer.

    The fence is the revision of the write that created the key, so a later term
    always has a higher one. A write whose answer was lost is read back.
    """
    key = PREFIX + group
    while True:
        held = await kv.get(key)
        if isinstance(held, Err):
            await on_outage()
        elif held.value is None:
            term = await _try_campaign(kv, key, name)
            if term is not None:
                return term
        await trio.sleep(CAMPAIGN_INTERVAL_S)


async def _try_campaign(kv: LeaseStore, key: str, name: str) -> Term | None:
    asked_at = trio.current_time()
    lease = await kv.lease_grant(LEASE_TTL_S)
    if isinstance(lease, Err):
        return None
    # The lease's number makes the value this campaign's own.
    value = f"{name}/{lease.value}".encode()
    written = await kv.txn({key: 0}, {key: value}, lease=lease.value)
    if isinstance(written, Ok) and written.value.succeeded:
        return Term(lease.value, written.value.revision, asked_at)
    if isinstance(written, Err) and written.code is Code.WRITE_UNKNOWN:
        found = await kv.get(key)
        if isinstance(found, Ok) and found.value and found.value.value == value:
            return Term(lease.value, found.value.mod_revision, asked_at)
    await kv.lease_revoke(lease.value)
    return None


async def hold(kv: LeaseStore, term: Term, lead: Callable[[], Awaitable[None]]) -> None:
    """Run ``lead`` while the lease is renewed; end it when the lease is lost.

    While the service does not answer, ``lead`` goes on: its safety does not depend on
    the lease, and without a coordinator ranks would wait at an open vote for as long
    as the service is down.
    """
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_renew, kv, term, nursery.cancel_scope)
        await lead()
        nursery.cancel_scope.cancel()
    with trio.move_on_after(1.0, shield=True):
        await kv.lease_revoke(term.lease)


async def _renew(kv: LeaseStore, term: Term, scope: trio.CancelScope) -> None:
    while True:
        await trio.sleep(RENEW_INTERVAL_S)
        asked_at = trio.current_time()
        renewed = await kv.lease_keepalive(term.lease)
        if isinstance(renewed, Ok):
            term.renewed_at = asked_at
        elif renewed.code is Code.LEASE_LOST:
            events.log(events.Event.COORDINATOR_CHANGED, held=False, text=renewed.text)
            scope.cancel()
            return
