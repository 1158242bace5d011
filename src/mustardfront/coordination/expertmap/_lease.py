"""Election of the sidecar that coordinates a group.

Candidates campaign for the group's key in the key-value service. The one that creates
it, with a lease, coordinates the group for one term, which ends with the lease.
"""

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
# Short enough that a lease survives two lost answers in a row.
RENEW_INTERVAL_S: Final = 3.0
CAMPAIGN_INTERVAL_S: Final = 5.0
# Only the sidecars of a group's first ranks campaign, because each candidate costs
# the key-value service one read per campaign interval.
CANDIDATES_MAX: Final = 3
KEY_PREFIX: Final = "/mustardfront/coordinator/"
FENCE_PREFIX: Final = "/mustardfront/fence/"


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
        """Write if each key in ``compare`` has the given mod revision."""

    async def lease_grant(self, ttl_s: int) -> Result[int]:
        """Return a new lease."""

    async def lease_keepalive(self, lease: int) -> Result[int]:
        """Renew a lease."""

    async def lease_revoke(self, lease: int) -> Result[None]:
        """End a lease."""


@dataclass(slots=True)
class Term:
    """A coordinator's lease and its fence: the revision of the write of its key.

    ``raise_fence`` gives it a higher one if ranks know that revision from before.
    ``renewed_at`` is trio's time just before the last call that is known to have
    granted or renewed the lease.
    """

    lease: int
    fence: int
    renewed_at: float

    def is_lease_valid(self) -> bool:
        """Return whether the lease cannot have expired yet."""
        return trio.current_time() - self.renewed_at < LEASE_TTL_S


async def _do_nothing() -> None:
    return


async def campaign(
    kv: LeaseStore,
    group: str,
    name: str,
    on_outage: Callable[[], Awaitable[None]] = _do_nothing,
) -> Term:
    """Return a term once the group's key could be created; retry until cancelled.

    ``on_outage`` runs after each try on which the service did not return the key.

    The fence is the revision of the write that created the key, so a later term has
    a higher one, unless the service lost its last writes. After a write whose answer
    was lost, the key is read to see whether the write took effect.
    """
    key = KEY_PREFIX + group
    while True:
        found = await kv.get(key)
        if isinstance(found, Err):
            await on_outage()
        elif found.value is None:
            term = await _try_campaign(kv, key, name)
            if term is not None:
                return term
        await trio.sleep(CAMPAIGN_INTERVAL_S)


async def _try_campaign(kv: LeaseStore, key: str, name: str) -> Term | None:
    called_at = trio.current_time()
    lease = await kv.lease_grant(LEASE_TTL_S)
    if isinstance(lease, Err):
        return None
    # With the lease's number in it, the value cannot stem from another campaign.
    value = f"{name}/{lease.value}".encode()
    written = await kv.txn({key: 0}, {key: value}, lease=lease.value)
    if isinstance(written, Ok) and written.value.succeeded:
        return Term(lease.value, written.value.revision, called_at)
    if isinstance(written, Err) and written.code is Code.WRITE_UNKNOWN:
        found = await kv.get(key)
        if isinstance(found, Ok) and found.value and found.value.value == value:
            return Term(lease.value, found.value.mod_revision, called_at)
    await kv.lease_revoke(lease.value)
    return None


async def raise_fence(
    kv: LeaseStore, group: str, term: Term, newest: int
) -> Result[None]:
    """Give a term a fence above ``newest``, the newest one that a rank has seen.

    A service that comes back from an older copy of its data gives revisions out again
    that were fences before. Fences above the revision are kept under a key, so that no
    two terms get the same.
    """
    key = FENCE_PREFIX + group
    found = await kv.get(key)
    if isinstance(found, Err):
        return found
    kept = found.value
    newest = max(newest, int(kept.value) if kept else 0)
    if term.fence > newest:
        return Ok(None)
    fence = newest + 1
    revision = kept.mod_revision if kept else 0
    written = await kv.txn({key: revision}, {key: str(fence).encode()})
    if isinstance(written, Err):
        return written
    if not written.value.succeeded:
        return Err(Code.STORE_CONFLICT, f"another term of {group} took a fence")
    term.fence = fence
    return Ok(None)


async def run_term(
    kv: LeaseStore, term: Term, lead: Callable[[], Awaitable[None]]
) -> None:
    """Run ``lead`` while renewing the lease; cancel it when the lease is lost.

    While the service does not answer, ``lead`` goes on. Its safety does not depend on
    the lease, and without a coordinator, ranks with an open vote would wait until the
    service is back.
    """
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_renew_lease, kv, term, nursery.cancel_scope)
        await lead()
        nursery.cancel_scope.cancel()
    with trio.move_on_after(1.0, shield=True):
        await kv.lease_revoke(term.lease)


async def _renew_lease(kv: LeaseStore, term: Term, scope: trio.CancelScope) -> None:
    while True:
        await trio.sleep(RENEW_INTERVAL_S)
        called_at = trio.current_time()
        renewed = await kv.lease_keepalive(term.lease)
        if isinstance(renewed, Ok):
            term.renewed_at = called_at
        elif renewed.code is Code.LEASE_LOST:
            events.log(events.Event.COORDINATOR_CHANGED, held=False, text=renewed.text)
            scope.cancel()
            return
