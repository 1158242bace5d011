"""A TCP proxy whose open connections can go silent for good, while new ones work."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable


class SilencingProxy:
    """Forwards connections; ``on_call`` gets the first line of each request seen."""

    def __init__(self, target: tuple[str, int], on_call: Callable[[str], None]) -> None:
        self.address = ("", 0)
        self._target = target
        self._on_call = on_call
        # Increases when the connections that are open go silent.
        self._age = 0
        self._server: asyncio.Server | None = None
        self._serving: set[asyncio.Task] = set()

    async def start(self, ip: str) -> None:
        self._server = await asyncio.start_server(self._serve, ip, 0)
        self.address = self._server.sockets[0].getsockname()

    def silence(self) -> None:
        """Forward no more bytes on the connections that are open now."""
        self._age += 1

    async def stop(self) -> None:
        """Close all connections."""
        self._server.close()
        for task in self._serving:
            task.cancel()
        await asyncio.gather(*self._serving, return_exceptions=True)

    async def _serve(self, reader, writer) -> None:
        self._serving.add(asyncio.current_task())
        age = self._age
        up_reader, up_writer = await asyncio.open_connection(*self._target)

        async def copy(source, sink, is_request: bool) -> None:
            while data := await source.read(65536):
                if self._age != age:
                    continue
                if is_request:
                    self._on_call(data.split(b"\r\n", 1)[0].decode("latin-1"))
                sink.write(data)
                await sink.drain()

        tasks = [
            asyncio.create_task(copy(reader, up_writer, True)),
            asyncio.create_task(copy(up_reader, writer, False)),
        ]
        try:
            with contextlib.suppress(ConnectionError):
                await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for task in tasks:
                task.cancel()
            up_writer.close()
            writer.close()
            self._serving.discard(asyncio.current_task())
