"""A loopback proxy that delays, resets, cuts one way or silences connections."""

from __future__ import annotations

import socket
import struct
from collections.abc import AsyncIterator, Mapping
from contextlib import asynccontextmanager
from typing import Final

import trio

_READ_BYTES: Final = 65_536
# Closing with a linger time of 0 s resets a connection.
_RESET: Final = struct.pack("ii", 1, 0)


class Link:
    """The connections through one proxy, and what is wrong with them.

    A cut direction holds its bytes back, as a network does whose packets get lost; they
    go on when it ends.
    """

    def __init__(self, target: tuple[str, int]) -> None:
        self.address = ""
        self.delay_s = 0.0
        self._target = target
        self._open = {name: trio.Event() for name in ("up", "down")}
        self._streams: set[trio.SocketStream] = set()
        self.restore()

    def cut(self, *directions: str) -> None:
        """Hold back what goes ``"up"`` to the target or ``"down"`` from it."""
        for name in directions:
            self._open[name] = trio.Event()

    def restore(self) -> None:
        """Let all bytes go on without a delay."""
        self.delay_s = 0.0
        for is_open in self._open.values():
            is_open.set()

    def reset(self) -> None:
        """Reset all connections; new ones can be made at once."""
        for stream in list(self._streams):
            stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
            stream.socket.close()

    async def serve(self, caller: trio.SocketStream) -> None:
        """Connect a caller with the target until either side ends."""
        try:
            target = await trio.open_tcp_stream(*self._target)
        except OSError:
            await caller.aclose()
            return
        pair = {caller, target}
        self._streams |= pair
        try:
            async with caller, target, trio.open_nursery() as nursery:
                nursery.start_soon(self._pump, "up", caller, target, nursery)
                nursery.start_soon(self._pump, "down", target, caller, nursery)
        finally:
            self._streams -= pair

    async def _pump(
        self,
        direction: str,
        source: trio.SocketStream,
        sink: trio.SocketStream,
        nursery: trio.Nursery,
    ) -> None:
        try:
            while data := await source.receive_some(_READ_BYTES):
                await self._open[direction].wait()
                await trio.sleep(self.delay_s)
                await sink.send_all(data)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            # Either side ended the connection; the other one is to see that.
            pass
        nursery.cancel_scope.cancel()


@asynccontextmanager
async def open_links(targets: Mapping[str, str]) -> AsyncIterator[dict[str, Link]]:
    """Serve a proxy of each named ``"IP:PORT"`` while in the context."""
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
