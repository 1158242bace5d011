"""A fake upstream that crashes and comes back at its address."""

from __future__ import annotations

import trio

from gateway_fakes import FakeUpstream, read_request, stream_events


class CrashingUpstream(FakeUpstream):
    """Crashes on each request whose prompt has ``deadly_part``, before its answer.

    A crash closes all connections and the listener; the upstream listens again at the
    same address after ``restart_s``.
    """

    def __init__(self, deadly_part: str, restart_s: float = 0.4) -> None:
        super().__init__([stream_events(3)])
        self.crashes = 0
        self._deadly_part = deadly_part
        self._restart_s = restart_s
        self._scope = trio.CancelScope()

    async def run(self, *, task_status=trio.TASK_STATUS_IGNORED) -> None:
        port = 0
        while True:
            listeners = await trio.open_tcp_listeners(port, host="127.0.0.1")
            self.address = listeners[0].socket.getsockname()
            if not port:
                task_status.started()
            self.announce(self.crashes)
            port = self.address[1]
            with trio.CancelScope() as self._scope:
                await trio.serve_listeners(self._serve_or_crash, listeners)
            self.crashes += 1
            await trio.sleep(self._restart_s)

    async def _serve_or_crash(self, conn: trio.SocketStream) -> None:
        async with conn:
            request = await read_request(conn)
            if request is None or await self.tell_identity(request, conn):
                return
            self.requests.append(request)
            if self._deadly_part in request.headers.get("x-prompt-parts", ""):
                self.crash()
                await trio.sleep_forever()
            await self.scripts[0](request, conn)

    def crash(self) -> None:
        self._scope.cancel()

    def requests_with(self, part: str) -> int:
        return sum(
            part in request.headers.get("x-prompt-parts", "")
            for request in self.requests
        )
