"""A proxy whose open connections can go silent without a reset."""

from __future__ import annotations

import trio


class SilencingProxy:
    """Passes bytes on; connections that are open at ``silence`` pass none any more."""

    def __init__(self, target: str) -> None:
        host, _, port = target.rpartition(":")
        self._target = (host, int(port))
        self._silent = trio.Event()
        self.address = ""

    def silence(self) -> None:
        silent, self._silent = self._silent, trio.Event()
        silent.set()

    async def run(self, *, task_status=trio.TASK_STATUS_IGNORED) -> None:
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        host, port = listeners[0].socket.getsockname()[:2]
        self.address = f"{host}:{port}"
        task_status.started()
        await trio.serve_listeners(self._serve, listeners)

    async def _serve(self, near: trio.SocketStream) -> None:
        silent = self._silent
        far = await trio.open_tcp_stream(*self._target)

        async def pump(source, sink) -> None:
            async for data in source:
                if silent.is_set():
                    await trio.sleep_forever()
                await sink.send_all(data)
            nursery.cancel_scope.cancel()

        async with near, far, trio.open_nursery() as nursery:
            nursery.start_soon(pump, near, far)
            nursery.start_soon(pump, far, near)
