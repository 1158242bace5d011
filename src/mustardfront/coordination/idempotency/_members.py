"""Membership of a service's live sidecars: one leased key for each.

Membership only decides which sidecar should own a partition. Safety does not depend on
it: an owner's writes are fenced by compare-and-swap.
"""

from __future__ import annotations

from typing import Any, Final

import msgspec
import trio

from mustardfront import events
from mustardfront.codes import Code
from mustardfront.constants import KV_RETRY_DELAY_S, OWNER_KEEPALIVE_S, OWNER_LEASE_S
from mustardfront.coordination.idempotency._key import owner_order
from mustardfront.coordination.kv import KvClient
from mustardfront.decoding import decode_json
from mustardfront.results import Err, Ok, Result

MEMBERS_PREFIX: Final = "/mustardfront/idem-members"


class Member(msgspec.Struct, frozen=True):
    """A live sidecar's instance; ``leaving`` excludes it from owning partitions."""

    instance: str
    leaving: bool = False


class Members:
    """This sidecar's membership, and the last members read, by upstream name."""

    def __init__(
        self, kv: KvClient, service: str, upstream: str, instance: str
    ) -> None:
        self.view: dict[str, Member] = {}
        self._kv = kv
        self._service = service
        self._upstream = upstream
        self._member = Member(instance)
        self._lease = 0
        self._registered = False
        self._deregistered = False

    @property
    def leaving(self) -> bool:
        """Return whether this sidecar is releasing its partitions."""
        return self._member.leaving

    def preferred_owner(self, partition: int) -> str:
        """Return the upstream that should own a partition, or ``""`` if none."""
        active = [
            name
            for name, member in self.view.items()
            if not member.leaving and not (self.leaving and name == self._upstream)
        ]
        return next(iter(owner_order(self._service, partition, active)), "")

    def upstream_of(self, instance: str) -> str:
        """Return the upstream of a live instance, or ``""`` if it is not a member."""
        return next(
            (name for name, member in self.view.items() if member.instance == instance),
            "",
        )

    async def keep_registered(self) -> None:
        """Register and renew the lease until cancelled or deregistered."""
        while not self._deregistered:
            succeeded = (
                await self._renew() if self._registered else await self.register()
            )
            await trio.sleep(OWNER_KEEPALIVE_S if succeeded else KV_RETRY_DELAY_S)

    async def refresh(self) -> Result[None]:
        """Read the members from the key-value service."""
        prefix = f"{MEMBERS_PREFIX}/{self._service}/"
        values = await self._kv.get_prefix(prefix)
        if isinstance(values, Err):
            return values
        view = {}
        for key, value in values.value.items():
            name = key.removeprefix(prefix)
            try:
                view[name] = decode_json(value.value, Member)
            except msgspec.DecodeError as exc:
                # A member that cannot be decoded owns no partition; keep the others.
                text = f"cannot decode member {name}: {exc}"
                events.log(events.Event.TASK_FAILED, task="members", text=text)
        self.view = view
        return Ok(None)

    def set_leaving(self) -> None:
        """Stop owning partitions; ``register`` publishes it to the other members."""
        self._member = Member(self._member.instance, leaving=True)
        self._registered = False

    async def register(self) -> bool:
        """Write this sidecar's leased key; return whether the write succeeded."""
        if not self._lease:
            lease = await self._kv.lease_grant(OWNER_LEASE_S)
            if isinstance(lease, Err):
                return False
            self._lease = lease.value
        key = f"{MEMBERS_PREFIX}/{self._service}/{self._upstream}"
        value = msgspec.json.encode(self._member)
        put = await self._kv.txn({}, {key: value}, lease=self._lease)
        self._clear_lost_lease(put)
        self._registered = isinstance(put, Ok)
        return self._registered

    async def deregister(self) -> None:
        """Revoke the lease, so that no other member waits for it to expire."""
        self._deregistered = True
        if self._lease:
            await self._kv.lease_revoke(self._lease)

    async def _renew(self) -> bool:
        renewed = await self._kv.lease_keepalive(self._lease)
        self._clear_lost_lease(renewed)
        return isinstance(renewed, Ok)

    def _clear_lost_lease(self, result: Result[Any]) -> None:
        if isinstance(result, Err) and result.code is Code.LEASE_LOST:
            self._lease = 0
            self._registered = False
