"""HTTP client for the upstream of this sidecar."""

from __future__ import annotations

from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass
from typing import Any, Final

import httpcore
import trio

from mustardfront.codes import Code
from mustardfront.http_streams import CheckedBackend
from mustardfront.programs.sidecar._network import NoTimeoutBackend
from mustardfront.protocol import Headers
from mustardfront.results import Err, Ok, Result

_CONNECTION_ERRORS = (
    httpcore.NetworkError,
    httpcore.ProtocolError,
    httpcore.TimeoutException,
)
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


class UpstreamResponse:
    """Response of the upstream: status, headers and a body that is read in chunks."""

    def __init__(self, response: httpcore.Response, method: str) -> None:
        self.status = response.status
        pairs = [
            (name.decode("latin-1").lower(), value.decode("latin-1"))
            for name, value in response.headers
        ]
        self.headers = tuple(pair for pair in pairs if pair[0] not in _HOP_BY_HOP)
        by_name = dict(pairs)
        self.is_event_stream = by_name.get("content-type", "").startswith(
            "text/event-stream"
        )
        # Without a length or chunked encoding, a truncated body looks complete.
        self.length_known = (
            "content-length" in by_name
            or "chunked" in by_name.get("transfer-encoding", "")
            or method == "HEAD"
            or response.status in (204, 304)
        )
        self._chunks = response.stream.__aiter__()  # type: ignore[union-attr]

    async def receive(self) -> Result[bytes]:
        """Return the next chunk, ``b""`` at the end, or Err(STREAM_CUT)."""
        try:
            return Ok(await self._chunks.__anext__())
        except StopAsyncIteration:
            return Ok(b"")
        except _CONNECTION_ERRORS as exc:
            return Err(Code.STREAM_CUT, f"the upstream's answer was truncated: {exc}")


class UpstreamClient:
    """Client of one upstream at ``http://IP:PORT``; each request has a connection.

    On a connection that was used before, an answer that the upstream writes twice would
    answer the next request, and it is unknown whether a request ran that crosses the
    upstream's close.
    """

    def __init__(self, url: str) -> None:
        parsed = httpcore.URL(url)
        self._origin = parsed.origin
        self._host = url.removeprefix("http://").rstrip("/").encode()
        self._network = CheckedBackend(NoTimeoutBackend())

    @asynccontextmanager
    async def exchange(
        self,
        call: UpstreamCall,
        before_write: Callable[[], Awaitable[None]] | None = None,
    ) -> AsyncIterator[Result[UpstreamResponse]]:
        """Send a request and yield its response, or the error.

        ``before_write`` runs immediately before the first byte is written. If it did
        not run, the upstream has received nothing of the request.
        """
        conn = httpcore.AsyncHTTPConnection(self._origin, network_backend=self._network)
        response: httpcore.Response | None = None
        result: Result[UpstreamResponse]
        try:
            try:
                response = await conn.handle_async_request(
                    self._build_request(call, before_write)
                )
                result = Ok(UpstreamResponse(response, call.method))
            except (httpcore.ConnectError, httpcore.ConnectTimeout) as exc:
                result = Err(
                    Code.UPSTREAM_DOWN, f"cannot connect to the upstream: {exc}"
                )
            except _CONNECTION_ERRORS as exc:
                text = f"the upstream connection was lost before a response: {exc}"
                result = Err(Code.STREAM_CUT, text)
            yield result
        finally:
            with trio.CancelScope(shield=True, deadline=trio.current_time() + 1.0):
                if response is not None:
                    await response.aclose()
                await conn.aclose()

    def _build_request(
        self,
        call: UpstreamCall,
        before_write: Callable[[], Awaitable[None]] | None,
    ) -> httpcore.Request:
        headers = [(b"Host", self._host), (b"Connection", b"close")]
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
