"""Which process of an upstream runs at its address now."""

from __future__ import annotations

from typing import Final

import httpcore
import msgspec
import trio

from mustardfront import events
from mustardfront.coordination.traffic import Upstream
from mustardfront.decoding import decode_json
from mustardfront.http_calls import CALL_ERRORS, check_length
from mustardfront.http_streams import CheckedBackend
from mustardfront.programs.gateway._header_names import HeaderNames

# The caller waits for this at the end of a response that nothing else ends.
IDENTITY_TIMEOUT_S: Final = 0.6
# An upstream with all its connections in use resets another one.
RETRY_S: Final = 0.05
REPLY_MAX_BYTES: Final = 64 * 1024


class _Identity(msgspec.Struct, frozen=True):
    # Start time in milliseconds since the Unix epoch.
    born: int = 0


async def still_runs(header_names: HeaderNames, upstream: Upstream) -> bool:
    """Return whether the process that answered runs on; False if that is unknown.

    It asks the process itself. That something listens at the address shows neither that
    it is the same process nor that it lives: a process that is killed closes its
    connections before its listener, and after a pause of this entry a successor may
    listen there.
    """
    runs: bool | None = None
    with trio.move_on_after(IDENTITY_TIMEOUT_S):
        while True:
            runs = await _ask(header_names, upstream)
            if runs is not None:
                break
            await trio.sleep(RETRY_S)
    if not runs:
        events.log(
            events.Event.UPSTREAM_STATE,
            upstream=upstream.instance,
            state="unknown" if runs is None else "replaced",
            source="identity",
        )
    return bool(runs)


async def _ask(header_names: HeaderNames, upstream: Upstream) -> bool | None:
    """Return whether the process runs; None if its answer does not tell."""
    host, port = upstream.announced.address
    origin = httpcore.Origin(b"http", host.encode(), port)
    backend = CheckedBackend()
    req = httpcore.Request(
        b"GET",
        httpcore.URL(
            scheme=b"http",
            host=host.encode(),
            port=port,
            target=header_names.identity_path,
        ),
        headers=[
            (b"host", f"{host}:{port}".encode()),
            (b"connection", b"close"),
            (header_names.expect_instance, upstream.instance.encode()),
        ],
    )
    try:
        conn = httpcore.AsyncHTTPConnection(origin, network_backend=backend)
        async with conn:
            response = await conn.handle_async_request(req)
            headers = {name.lower(): value for name, value in response.headers}
            named = headers.get(header_names.instance, upstream.instance.encode())
            if response.status == 421 or named.decode("latin-1") != upstream.instance:
                return False
            return await _has_same_start(response, upstream.announced.born_ms)
    except httpcore.ConnectError:
        return False
    except CALL_ERRORS:
        return None


async def _has_same_start(response: httpcore.Response, born_ms: int) -> bool:
    """Return whether a reply names no other start; a successor may have the name."""
    body = bytearray()
    async for part in response.aiter_stream():
        body += part
        check_length(len(body), REPLY_MAX_BYTES)
    try:
        born = decode_json(bytes(body), _Identity).born
    except msgspec.MsgspecError:
        # Upstreams that are no engines may have no such report.
        return True
    return born in (0, born_ms) or not born_ms
