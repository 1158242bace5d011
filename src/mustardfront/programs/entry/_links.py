"""Connections of an entry to the sidecars it forwards to."""

from __future__ import annotations

import random
from collections.abc import Mapping

import trio

from mustardfront import events
from mustardfront.codes import Code
from mustardfront.constants import (
    LINK_IDLE_S,
    LINK_RETRY_MAX_S,
    LINK_RETRY_MIN_S,
)
from mustardfront.coordination.peers import PeerHub
from mustardfront.coordination.routing import UpstreamTable
from mustardfront.protocol import (
    Calls,
    Identity,
    PeerConnection,
    connect_peer,
)
from mustardfront.results import Err, Ok, Result
from mustardfront.settings import check_address


class SidecarLink:
    """The connection to one upstream's sidecar, opened on first use."""

    def __init__(self, upstream: str, address: str) -> None:
        self.upstream = upstream
        self.address = address
        self.calls: Calls | None = None
        self.error: Err | None = None
        self.last_used_s = trio.current_time()
        self.ended = False
        self._state_changed = trio.Event()
        self._scope = trio.CancelScope()

    async def wait_ready(self) -> Result[Calls]:
        """Wait until the connection is up or its latest attempt failed."""
        self.last_used_s = trio.current_time()
        while self.calls is None and self.error is None:
            await self._state_changed.wait()
        if self.calls is not None:
            return Ok(self.calls)
        return self.error or Err(
            Code.CONNECT_FAILED, "the link to the sidecar was closed"
        )

    def close(self) -> None:
        """Close the link; requests in flight on it fail with a lost connection."""
        self._scope.cancel()

    async def run(
        self,
        identity: Identity,
        key: bytes,
        hub: PeerHub,
        table: UpstreamTable,
        rng: random.Random,
    ) -> None:
        """Connect, and reconnect with exponential backoff, until closed or idle."""
        pause_s = LINK_RETRY_MIN_S
        with self._scope:
            while not self.ended:
                up = False
                with events.log_exceptions(f"link to {self.upstream}"):
                    up = await self._connect_and_serve(identity, key, hub, table)
                pause_s = LINK_RETRY_MIN_S if up else min(pause_s * 2, LINK_RETRY_MAX_S)
                if not self.ended:
                    await trio.sleep(pause_s * rng.uniform(0.5, 1.0))
        self.ended = True
        self._set_state(
            None, Err(Code.CONNECT_FAILED, "the link to the sidecar was closed")
        )

    async def _connect_and_serve(
        self, identity: Identity, key: bytes, hub: PeerHub, table: UpstreamTable
    ) -> bool:
        address = check_address(self.address)
        if isinstance(address, Err):
            self._set_state(None, address)
            return False
        async with connect_peer(address.value, identity, key) as conn:
            if isinstance(conn, Err):
                self._set_state(None, conn)
                table.set_connected(self.upstream, False)
                return False
            if conn.value.remote.upstream != self.upstream:
                text = (
                    f"the sidecar at {self.address} serves another upstream, "
                    f"{conn.value.remote.upstream!r}"
                )
                self._set_state(None, Err(Code.CONNECT_FAILED, text))
                table.set_connected(self.upstream, False)
                return False
            calls = Calls(conn.value)
            self._set_state(calls, None)
            table.set_connected(self.upstream, True)
            try:
                await self._serve(conn.value, calls, hub)
            finally:
                calls.close()
                lost = Err(Code.CONNECT_FAILED, "reconnecting to the sidecar")
                self._set_state(None, lost)
                table.set_connected(self.upstream, self.ended)
        return True

    async def _serve(self, conn: PeerConnection, calls: Calls, hub: PeerHub) -> None:
        with hub.attached(conn):
            await hub.run_connect_handlers(conn)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._end_when_idle, calls, nursery)
                await _receive(conn, calls, hub)
                nursery.cancel_scope.cancel()

    async def _end_when_idle(self, calls: Calls, nursery: trio.Nursery) -> None:
        while True:
            idle_s = trio.current_time() - self.last_used_s
            if not len(calls) and idle_s >= LINK_IDLE_S:
                break
            await trio.sleep(LINK_IDLE_S / 4)
        self.ended = True
        nursery.cancel_scope.cancel()

    def _set_state(self, calls: Calls | None, error: Err | None) -> None:
        self.calls, self.error = calls, error
        changed, self._state_changed = self._state_changed, trio.Event()
        changed.set()


async def _receive(conn: PeerConnection, calls: Calls, hub: PeerHub) -> None:
    while True:
        message = await conn.receive()
        if isinstance(message, Err):
            return
        if await hub.handle(conn, message.value):
            continue
        dispatch_error = calls.dispatch(message.value)
        if dispatch_error is not None:
            events.log(
                events.Event.PEER_BAD_MESSAGE,
                peer=conn.remote.instance,
                code=int(dispatch_error.code),
                text=dispatch_error.text,
            )
            return


class SidecarLinks:
    """All links of an entry, one for each front upstream in use."""

    def __init__(
        self,
        nursery: trio.Nursery,
        identity: Identity,
        key: bytes,
        hub: PeerHub,
        table: UpstreamTable,
        rng: random.Random,
    ) -> None:
        self._nursery = nursery
        self._identity = identity
        self._key = key
        self._hub = hub
        self._table = table
        self._rng = rng
        self._links: dict[str, SidecarLink] = {}

    async def calls(self, upstream: str, address: str) -> Result[Calls]:
        """Return the calls on the connection to a sidecar at ``"IP:PORT"``.

        Err(CONNECT_FAILED) means that nothing was sent.
        """
        return await self._link(upstream, address).wait_ready()

    def close_stale(self, addresses: Mapping[str, str]) -> None:
        """Close the links to upstreams that were removed or have a new address."""
        for upstream, link in list(self._links.items()):
            if addresses.get(upstream) != link.address:
                link.close()
                del self._links[upstream]

    def _link(self, upstream: str, address: str) -> SidecarLink:
        link = self._links.get(upstream)
        if link is not None and link.address == address and not link.ended:
            return link
        if link is not None:
            link.close()
        link = SidecarLink(upstream, address)
        self._links[upstream] = link
        self._nursery.start_soon(
            link.run, self._identity, self._key, self._hub, self._table, self._rng
        )
        return link
