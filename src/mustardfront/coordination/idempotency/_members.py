"""Which sidecars of a service are live: one key for each, with a lease.

The lease only decides who should own a partition. Nothing depends on it for safety.
"""

from __future__ import annotations

from typing import Any, Final

import msgspec
import trio

from mustardfront import events
from mustardfront.codes import Code
from mustardfront.constants import KV_RETRY_S, OWNER_KEEPALIVE_S, OWNER_LEASE_S
from mustardfront.coordination.idempotency._key import owner_order
from mustardfront.coordination.kv import KvClient
from mustardfront.results import Err, Ok, Result

PREFIX: Final = "/mustardfront/idem-members"


class Member(msgspec.Struct, frozen=True):
    """A live sidecar's instance; one that is leaving takes no partition."""

    instance: str
    leaving: bool = False


class Members:
    """This sidecar's own key, and the last view of all members by upstream name."""

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
        self._resigned = False

    @property
    def leaving(self) -> bool:
        """Say whether this sidecar is giving its partitions away."""
        return self._member.leaving

    def owner_of(self, partition: int) -> str:
        """Return the upstream that should own a partition, or ``""``."""
        active = [
            name
            for name, member in self.view.items()
            if not member.leaving and not (self.leaving and name == self._upstream)
        ]
        return next(iter(owner_order(self._service, partition, active)), "")

    def upstream_of(self, instance: str) -> str:
        """Return the upstream of a live instance, or ``""``."""
        return next(
            (name for name, member in self.view.items() if member.instance == instance),
            "",
        )

    async def keep(self) -> None:
        """Register and renew the lease, until cancelled."""
        while not self._resigned:
            done = await self._renew() if self._registered else await self.register()
            await trio.sleep(OWNER_KEEPALIVE_S if done else KV_RETRY_S)

    async def refresh(self) -> Result[None]:
        """Read who is live."""
        prefix = f"{PREFIX}/{self._service}/"
        values = await self._kv.get_prefix(prefix)
        if isinstance(values, Err):
            return values
        view = {}
        for key, value in values.value.items():
            name = key.removeprefix(prefix)
            try:
                view[name] = msgspec.json.decode(value.value, type=Member)
            except msgspec.DecodeError as exc:
                # An unreadable member owns nothing, and the others go on.
                text = f"member {name} is damaged: {exc}"
                events.log(events.Event.TASK_FAILED, task="members", text=text)
        self.view = view
        return Ok(None)

    def set_leaving(self) -> None:
        """Own nothing from now on; ``register`` tells the others."""
        self._member = Member(self._member.instance, leaving=True)
        self._registered = False

    async def register(self) -> bool:
        """Write this sidecar's key with a lease; say whether it is written."""
        if not self._lease:
            lease = await self._kv.lease_grant(OWNER_LEASE_S)
            if isinstance(lease, Err):
                return False
            self._lease = lease.value
        key = f"{PREFIX}/{self._service}/{self._upstream}"
        value = msgspec.json.encode(self._member)
        put = await self._kv.txn({}, {key: value}, lease=self._lease)
        self._forget_lost(put)
        self._registered = isinstance(put, Ok)
        return self._registered

    async def resign(self) -> None:
        """Give up the lease, so that nobody waits for this sidecar."""
        self._resigned = True
        if self._lease:
            await self._kv.lease_revoke(self._lease)

    async def _renew(self) -> bool:
        renewed = await self._kv.lease_keepalive(self._lease)
        self._forget_lost(renewed)
        return isinstance(renewed, Ok)

    def _forget_lost(self, result: Result[Any]) -> None:
        if isinstance(result, Err) and result.code is Code.LEASE_LOST:
            self._lease = 0
            self._registered = False
