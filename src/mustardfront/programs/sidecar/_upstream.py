"""HTTP calls to the upstream of this sidecar."""

from __future__ import annotations

from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass
from typing import Any, Final

import httpcore
import trio

from mustardfront.codes import Code
from mustardfront.programs.sidecar._network import PlainNetwork
from mustardfront.protocol import Headers
from mustardfront.results import Err, Ok, Result

# Shorter than what usual servers keep idle connections for, so that a request rarely
# meets a connection that the upstream is closing, which would make it unknown.
KEEP_IDLE_S: Final = 2.0
IDLE_CONNECTIONS_MAX: Final = 64

_LOST = (httpcore.NetworkError, httpcore.ProtocolError, httpcore.TimeoutException)
_HOP_BY_HOP: Final = frozenset(
    {
        "connection",
        "content-length",
        "host",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)


@dataclass(frozen=True, slots=True)
class UpstreamCall:
    """One HTTP request to the upstream."""

    method: str
    path: str
    headers: Headers = ()
    body: bytes = b""


class Answer:
    """The upstream's answer: its head, and its body piece by piece."""

    def __init__(self, response: httpcore.Response, method: str) -> None:
        self.status = response.status
        pairs = [
            (name.decode("latin-1").lower(), value.decode("latin-1"))
            for name, value in response.headers
        ]
        self.headers = tuple(pair for pair in pairs if pair[0] not in _HOP_BY_HOP)
        named = dict(pairs)
        self.event_stream = named.get("content-type", "").startswith(
            "text/event-stream"
        )
        # Without a length or chunks, a cut body looks like a whole one.
        self.length_known = (
            "content-length" in named
            or "chunked" in named.get("transfer-encoding", "")
            or method == "HEAD"
            or response.status in (204, 304)
        )
        self._parts = response.stream.__aiter__()  # type: ignore[union-attr]

    async def receive(self) -> Result[bytes]:
        """Return the next piece, empty at the end; Err(STREAM_CUT) when it is cut."""
        try:
            return Ok(await self._parts.__anext__())
        except StopAsyncIteration:
            return Ok(b"")
        except _LOST as exc:
            return Err(Code.STREAM_CUT, f"the upstream's answer was cut: {exc}")


class UpstreamClient:
    """Connections to one upstream at ``http://IP:PORT``, reused when idle."""

    def __init__(self, url: str) -> None:
        parsed = httpcore.URL(url)
        self._origin = parsed.origin
        self._host = url.removeprefix("http://").rstrip("/").encode()
        self._network = PlainNetwork()
        self._idle: list[httpcore.AsyncHTTPConnection] = []

    async def aclose(self) -> None:
        """Close the idle connections."""
        while self._idle:
            await self._idle.pop().aclose()

    @asynccontextmanager
    async def exchange(
        self,
        call: UpstreamCall,
        before_write: Callable[[], Awaitable[None]] | None = None,
        *,
        reuse: bool = True,
    ) -> AsyncIterator[Result[Answer]]:
        """Send a request and yield its answer, or why there is none.

        ``before_write`` runs immediately before the first byte is written. When it
        did not run, the upstream has seen nothing of the request. Without ``reuse``
        the connection is a new one: an idle one may be closed by the upstream while
        the request is written, and then nobody knows whether it ran.
        """
        conn = await self._take() if reuse else self._new()
        response: httpcore.Response | None = None
        result: Result[Answer]
        try:
            try:
                response = await conn.handle_async_request(
                    self._request(call, before_write)
                )
                result = Ok(Answer(response, call.method))
            except (httpcore.ConnectError, httpcore.ConnectTimeout) as exc:
                result = Err(Code.UPSTREAM_DOWN, f"no connection: {exc}")
            except _LOST as exc:
                text = f"the connection was lost before an answer: {exc}"
                result = Err(Code.STREAM_CUT, text)
            yield result
        finally:
            with trio.CancelScope(shield=True, deadline=trio.current_time() + 1.0):
                if response is not None:
                    await response.aclose()
                await self._give_back(conn)

    async def _take(self) -> httpcore.AsyncHTTPConnection:
        while self._idle:
            conn = self._idle.pop()
            # Also true when the upstream has closed the connection.
            if conn.is_available() and not conn.has_expired():
                return conn
            await conn.aclose()
        return self._new()

    def _new(self) -> httpcore.AsyncHTTPConnection:
        return httpcore.AsyncHTTPConnection(
            self._origin, keepalive_expiry=KEEP_IDLE_S, network_backend=self._network
        )

    async def _give_back(self, conn: httpcore.AsyncHTTPConnection) -> None:
        if conn.is_available() and len(self._idle) < IDLE_CONNECTIONS_MAX:
            self._idle.append(conn)
        else:
            await conn.aclose()

    def _request(
        self,
        call: UpstreamCall,
        before_write: Callable[[], Awaitable[None]] | None,
    ) -> httpcore.Request:
        headers = [(b"Host", self._host)]
        headers += [
            (name.encode("latin-1"), value.encode("latin-1"))
            for name, value in call.headers
            if name.lower() not in _HOP_BY_HOP
        ]
        if call.body or call.method not in ("GET", "HEAD", "DELETE"):
            headers.append((b"Content-Length", str(len(call.body)).encode()))

        async def trace(name: str, _info: Any) -> None:
            if name.endswith("send_request_headers.started") and before_write:
                await before_write()

        extensions = {"trace": trace} if before_write else {}
        url = httpcore.URL(
            scheme=self._origin.scheme,
            host=self._origin.host,
            port=self._origin.port,
            target=call.path.encode("ascii"),
        )
        return httpcore.Request(
            call.method, url, headers=headers, content=call.body, extensions=extensions
        )
