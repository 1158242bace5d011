"""Loopback proxy that delays, resets or blocks connections."""

from __future__ import annotations

import socket
import struct
from collections.abc import AsyncIterator, Mapping
from contextlib import asynccontextmanager
from typing import Final

import trio

_READ_BYTES: Final = 65_536
# SO_LINGER with a timeout of 0 s, which makes a close send a TCP reset.
_LINGER_RESET: Final = struct.pack("ii", 1, 0)


class Link:
    """Connections through one proxy and their injected faults.

    A blocked direction holds its bytes back, as TCP does while packets are lost, and
    forwards them once it is restored.
    """

    def __init__(self, target: tuple[str, int]) -> None:
        self.address = ""
        self.delay_s = 0.0
        self._target = target
        self._unblocked = {name: trio.Event() for name in ("up", "down")}
        self._streams: set[trio.SocketStream] = set()
        self.restore()

    def block(self, *directions: str) -> None:
        """Hold back bytes that go ``"up"`` to the target or ``"down"`` from it."""
        for name in directions:
            self._unblocked[name] = trio.Event()

    def restore(self) -> None:
        """Forward all bytes again, without a delay."""
        self.delay_s = 0.0
        for unblocked in self._unblocked.values():
            unblocked.set()

    def reset(self) -> None:
        """Reset all open connections; new ones are accepted."""
        for stream in list(self._streams):
            stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_RESET)
            stream.socket.close()

    async def serve(self, caller: trio.SocketStream) -> None:
        """Forward bytes between a caller and the target until either side closes."""
        try:
            target = await trio.open_tcp_stream(*self._target)
        except OSError:
            await caller.aclose()
            return
        pair = {caller, target}
        self._streams |= pair
        try:
            async with caller, target, trio.open_nursery() as nursery:
                nursery.start_soon(self._forward, "up", caller, target, nursery)
                nursery.start_soon(self._forward, "down", target, caller, nursery)
        finally:
            self._streams -= pair

    async def _forward(
        self,
        direction: str,
        source: trio.SocketStream,
        sink: trio.SocketStream,
        nursery: trio.Nursery,
    ) -> None:
        try:
            while data := await source.receive_some(_READ_BYTES):
                await self._unblocked[direction].wait()
                await trio.sleep(self.delay_s)
                await sink.send_all(data)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            # One side closed the connection; the cancellation below closes the other.
            pass
        nursery.cancel_scope.cancel()


@asynccontextmanager
async def open_links(targets: Mapping[str, str]) -> AsyncIterator[dict[str, Link]]:
    """Serve a proxy for each named ``"IP:PORT"`` target while in the context."""
    async with trio.open_nursery() as nursery:
        links: dict[str, Link] = {}
        for name, target in targets.items():
            host, _, port = target.rpartition(":")
            links[name] = link = Link((host, int(port)))
            (listener,) = await trio.open_tcp_listeners(0, host="127.0.0.1")
            own_host, own_port, *_ = listener.socket.getsockname()
            link.address = f"{own_host}:{own_port}"
            nursery.start_soon(trio.serve_listeners, link.serve, [listener])
        yield links
        nursery.cancel_scope.cancel()
