"""HTTP server of the stand-in, based on h11 so that it can abort connections."""

from __future__ import annotations

from typing import Any, Final

import h11
import msgspec
import trio

from mustardfront_standins.kv._copies import StoreCopies
from mustardfront_standins.kv._faults import Faults
from mustardfront_standins.kv._gateway import (
    HTTP_STATUS,
    INVALID_ARGUMENT,
    RESOURCE_EXHAUSTED,
    UNAVAILABLE,
    Gateway,
    GatewayError,
    Json,
    decode_field,
)
from mustardfront_standins.kv._store import Store

CALL_KINDS: Final = {
    "/v3/kv/range": "range",
    "/v3/kv/put": "put",
    "/v3/kv/txn": "txn",
    "/v3/lease/grant": "lease_grant",
    "/v3/lease/keepalive": "lease_keepalive",
    "/v3/lease/revoke": "lease_revoke",
    "/v3/watch": "watch",
}
READ_BYTES: Final = 65_536
BODY_MAX_BYTES: Final = 8 * 1024 * 1024


class _ConnectionAbortedError(Exception):
    """The connection must be closed without a response."""


async def serve_kv(
    address: tuple[str, int],
    store: Store | None = None,
    *,
    task_status: trio.TaskStatus[tuple[str, int]] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serve the gateway and ``/control`` at (IP, port); report the bound address."""
    store = store or Store()
    faults = Faults()
    copies = StoreCopies(store)

    async def accept(stream: trio.SocketStream) -> None:
        async with stream:
            await _Connection(stream, Gateway(store), faults, copies).run()

    listeners = await trio.open_tcp_listeners(address[1], host=address[0])
    bound = listeners[0].socket.getsockname()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(store.run_leases)
        nursery.start_soon(copies.run)
        task_status.started((bound[0], bound[1]))
        await trio.serve_listeners(accept, listeners)


class _Connection:
    """Client connection that handles one request at a time."""

    def __init__(
        self,
        stream: trio.SocketStream,
        gateway: Gateway,
        faults: Faults,
        copies: StoreCopies,
    ) -> None:
        self._stream = stream
        self._copies = copies
        self._gateway = gateway
        self._faults = faults
        self._http = h11.Connection(h11.SERVER)

    async def run(self) -> None:
        """Handle requests until either side closes the connection."""
        try:
            while True:
                request = await self._read_request()
                if request is None:
                    return
                await self._handle_request(*request)
                if self._http.our_state is not h11.DONE:
                    return
                self._http.start_next_cycle()
        except (trio.BrokenResourceError, h11.ProtocolError, _ConnectionAbortedError):
            return

    async def _next_event(self) -> Any:
        while True:
            event = self._http.next_event()
            if event is not h11.NEED_DATA:
                return event
            self._http.receive_data(await self._stream.receive_some(READ_BYTES))

    async def _read_request(self) -> tuple[str, str, bytes] | None:
        request, body = None, bytearray()
        while True:
            event = await self._next_event()
            if isinstance(event, h11.Request):
                request = event
            elif isinstance(event, h11.Data):
                body += event.data
                if len(body) > BODY_MAX_BYTES:
                    raise _ConnectionAbortedError
            elif isinstance(event, h11.EndOfMessage) and request is not None:
                path = request.target.decode("ascii")
                return request.method.decode("ascii"), path, bytes(body)
            else:
                return None

    async def _handle_request(self, method: str, path: str, body: bytes) -> None:
        answer: Json | None
        try:
            if path.startswith("/control/"):
                status, answer = 200, self._handle_control(method, path, body)
            elif path in CALL_KINDS:
                status, answer = (
                    200,
                    await self._handle_call(CALL_KINDS[path], _parse_json(body)),
                )
            else:
                status, answer = 404, {"code": 5, "message": "Not Found"}
        except GatewayError as exc:
            status = HTTP_STATUS[exc.code]
            answer = _error_body(exc.code, str(exc))
        except (ValueError, TypeError, AttributeError, KeyError) as exc:
            # A field is missing or has the wrong type; the store is still unchanged.
            status, answer = 400, _error_body(INVALID_ARGUMENT, f"bad request: {exc!r}")
        if answer is not None:
            await self._send_json(status, answer)

    def _handle_control(self, method: str, path: str, body: bytes) -> Json:
        if path == "/control/faults":
            try:
                if method == "POST":
                    self._faults.update(_parse_json(body))
            except ValueError as exc:
                raise GatewayError(INVALID_ARGUMENT, str(exc)) from exc
            settings: Json = msgspec.to_builtins(self._faults.settings)
            return settings
        if path == "/control/restore":
            age_s = self._copies.restore(float(_parse_json(body)["age_s"]))
            return {"age_s": age_s}
        if path == "/control/calls":
            return dict(self._faults.calls)
        raise GatewayError(INVALID_ARGUMENT, f"unknown control path {path}")

    async def _handle_call(self, kind: str, body: Json) -> Json | None:
        faults = self._faults
        faults.calls[kind] += 1
        await self._apply_outage()
        if faults.exceeds_rate(kind):
            raise GatewayError(RESOURCE_EXHAUSTED, "etcdserver: too many requests")
        if kind == "watch":
            await self._handle_watch(body.get("create_request", {}))
            return None
        self._gateway.value_limit_bytes = faults.settings.value_limit_bytes
        answer = self._gateway.call(kind, body)
        if faults.settings.delay_ms:
            await trio.sleep(faults.settings.delay_ms / 1_000)
        if faults.drops_response(kind):
            raise _ConnectionAbortedError
        return answer

    async def _apply_outage(self) -> None:
        while self._faults.settings.outage:
            if self._faults.settings.outage == "unavailable":
                raise GatewayError(UNAVAILABLE, "etcdserver: no leader")
            if self._faults.settings.outage == "cut":
                raise _ConnectionAbortedError
            # A call received during a hang takes no effect, even after the outage.
            await self._faults.changed.wait()
            if not self._faults.settings.outage:
                raise _ConnectionAbortedError

    async def _handle_watch(self, request: Json) -> None:
        key = decode_field(request, "key")
        end = decode_field(request, "range_end")
        store = self._gateway.store
        start = int(request.get("start_revision", 0)) or store.revision + 1
        headers = [
            ("Content-Type", "application/json"),
            ("Transfer-Encoding", "chunked"),
        ]
        await self._send_event(h11.Response(status_code=200, headers=headers))
        created = {"header": self._gateway.header(), "created": True}
        oldest = store.oldest_revision()
        if start < oldest:
            lost = {"canceled": True, "compact_revision": str(oldest)}
            await self._send_line({"result": created | lost})
            raise _ConnectionAbortedError
        await self._send_line({"result": created})
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._cancel_on_outage, nursery.cancel_scope)
            nursery.start_soon(self._cancel_on_close, nursery.cancel_scope)
            while True:
                changes = await store.wait_changes(key, end, start)
                start = changes[-1].revision + 1
                try:
                    await self._send_line(self._gateway.watch_response(changes))
                except trio.BrokenResourceError:
                    break
            nursery.cancel_scope.cancel()
        raise _ConnectionAbortedError

    async def _cancel_on_outage(self, scope: trio.CancelScope) -> None:
        await self._faults.wait_for_outage()
        scope.cancel()

    async def _cancel_on_close(self, scope: trio.CancelScope) -> None:
        try:
            while await self._stream.receive_some(READ_BYTES):
                pass
        except trio.BrokenResourceError:
            pass
        scope.cancel()

    async def _send_line(self, message: Json) -> None:
        await self._send_event(h11.Data(data=msgspec.json.encode(message) + b"\n"))

    async def _send_json(self, status: int, answer: Json) -> None:
        data = msgspec.json.encode(answer)
        headers = [
            ("Content-Type", "application/json"),
            ("Content-Length", str(len(data))),
        ]
        response = h11.Response(status_code=status, headers=headers)
        parts = [self._http.send(response), self._http.send(h11.Data(data=data))]
        parts.append(self._http.send(h11.EndOfMessage()))
        await self._stream.send_all(b"".join(part for part in parts if part))

    async def _send_event(self, event: Any) -> None:
        data = self._http.send(event)
        if data:
            await self._stream.send_all(data)


def _error_body(code: int, text: str) -> Json:
    return {"code": code, "message": text, "error": text}


def _parse_json(body: bytes) -> Json:
    try:
        return msgspec.json.decode(body or b"{}", type=dict[str, Any])
    except msgspec.DecodeError as exc:
        raise GatewayError(INVALID_ARGUMENT, f"bad JSON: {exc}") from exc
