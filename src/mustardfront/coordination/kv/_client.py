"""Client of the etcd v3 JSON gateway over HTTP; calls return a ``Result``."""

from __future__ import annotations

from base64 import b64decode, b64encode
from collections import Counter
from collections.abc import AsyncGenerator, AsyncIterator, Iterable, Mapping
from contextlib import AsyncExitStack, aclosing, asynccontextmanager
from dataclasses import dataclass
from types import TracebackType
from typing import Any, Final

import httpcore
import msgspec
import trio

from mustardfront import events
from mustardfront.codes import Code
from mustardfront.constants import (
    CONNECT_TIMEOUT_S,
    KV_CALL_TIMEOUT_S,
    KV_CONNECTIONS,
)
from mustardfront.decoding import decode_json
from mustardfront.http_calls import (
    CallLimits,
    CallResponse,
    call_http,
    check_length,
    close_idle_connections,
)
from mustardfront.http_streams import open_pool
from mustardfront.results import Err, Ok, Result

_PATHS: Final = {
    "range": "/v3/kv/range",
    "txn": "/v3/kv/txn",
    "lease_grant": "/v3/lease/grant",
    "lease_keepalive": "/v3/lease/keepalive",
    "lease_revoke": "/v3/lease/revoke",
    "watch": "/v3/watch",
}
# A repeated or lost lease renewal is harmless, so it does not count as a write here.
_WRITE_KINDS: Final = frozenset({"txn", "lease_grant", "lease_revoke"})
# Responses to calls on leases may have the revision of a member that lags behind.
_LINEARIZABLE_KINDS: Final = frozenset({"range", "txn"})
_HEADERS: Final = [("Content-Type", "application/json")]
# The records of a service's 16 partitions have at most 2 MB each, read one at a time.
RESPONSE_MAX_BYTES: Final = 16 * 1024 * 1024
# One line of a watch has the events of one revision; a write has at most 1 MB.
WATCH_LINE_MAX_BYTES: Final = 4 * 1024 * 1024
# A call waits for the pool, to send its request, and for the response.
_CALL_LIMITS: Final = CallLimits(
    KV_CALL_TIMEOUT_S,
    CONNECT_TIMEOUT_S,
    CONNECT_TIMEOUT_S + 3 * KV_CALL_TIMEOUT_S,
    RESPONSE_MAX_BYTES,
)
# These are raised before any part of the request was sent.
_NOT_SENT: Final = (
    httpcore.ConnectError,
    httpcore.ConnectTimeout,
    httpcore.PoolTimeout,
    httpcore.UnsupportedProtocol,
)


@dataclass(frozen=True, slots=True)
class KvValue:
    """A key's value, the revision of its last write and its lease (0 for none)."""

    value: bytes
    mod_revision: int
    lease: int


@dataclass(frozen=True, slots=True)
class TxnResult:
    """Whether the comparisons succeeded, and the service's revision afterwards."""

    succeeded: bool
    revision: int


@dataclass(frozen=True, slots=True)
class KvEvent:
    """A change of a key; ``value`` is None if it was deleted."""

    key: str
    value: bytes | None
    mod_revision: int


class KvClient:
    """Key-value client; ``calls`` counts the calls by kind.

    A failed call returns ``Err(STORE_UNAVAILABLE)`` if it certainly wrote nothing and
    ``Err(WRITE_UNKNOWN)`` if a write may have taken effect. ``restores`` counts how
    often the service was found to be back from an older copy of its data, in which
    revisions are given out again.
    """

    def __init__(self, url: str) -> None:
        self._url = url.rstrip("/")
        self.calls: Counter[str] = Counter()
        self.restores = 0
        # The highest revision that a response had since the last restore.
        self._revision = 0
        self._pool = open_pool(KV_CONNECTIONS, KV_CONNECTIONS)
        # A watch occupies its connection, so watches use a separate, unlimited pool.
        self._watch_pool = open_pool(max_keepalive_connections=0)

    async def __aenter__(self) -> KvClient:
        return self

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        with trio.CancelScope(shield=True, deadline=trio.current_time() + 1.0):
            await self._pool.aclose()
            await self._watch_pool.aclose()

    async def get(self, key: str) -> Result[KvValue | None]:
        """Return the value of a key, or None if it is absent."""
        response = await self._post("range", {"key": _encode_key(key)})
        if isinstance(response, Err):
            return response
        kvs = response.value.get("kvs", [])
        return Ok(_decode_value(kvs[0]) if kvs else None)

    async def get_prefix(self, prefix: str) -> Result[dict[str, KvValue]]:
        """Return the values of all keys that begin with ``prefix``."""
        end = b64encode(_prefix_end(prefix.encode())).decode()
        response = await self._post(
            "range", {"key": _encode_key(prefix), "range_end": end}
        )
        if isinstance(response, Err):
            return response
        kvs = response.value.get("kvs", [])
        return Ok({b64decode(kv["key"]).decode(): _decode_value(kv) for kv in kvs})

    async def txn(
        self,
        compare: Mapping[str, int],
        puts: Mapping[str, bytes],
        deletes: Iterable[str] = (),
        lease: int = 0,
    ) -> Result[TxnResult]:
        """Apply all ``puts`` and ``deletes`` if the comparisons succeed.

        ``compare`` has the expected revision of each key's last write; 0 means that
        the key must be absent. Returns ``Err(LEASE_LOST)`` and writes nothing if the
        lease is gone.
        """
        lease_field = {"lease": str(lease)} if lease else {}
        operations: list[dict[str, Any]] = [
            {
                "request_put": {
                    "key": _encode_key(key),
                    "value": b64encode(value).decode(),
                }
                | lease_field
            }
            for key, value in puts.items()
        ]
        operations += [
            {"request_delete_range": {"key": _encode_key(key)}} for key in deletes
        ]
        comparisons = [
            {
                "key": _encode_key(key),
                "target": "MOD",
                "result": "EQUAL",
                "mod_revision": str(revision),
            }
            for key, revision in compare.items()
        ]
        body = {"compare": comparisons, "success": operations}
        response = await self._post("txn", body)
        if isinstance(response, Err):
            return response
        succeeded = bool(response.value.get("succeeded", False))
        return Ok(TxnResult(succeeded, int(response.value["header"]["revision"])))

    async def lease_grant(self, ttl_s: int) -> Result[int]:
        """Return a new lease that expires ``ttl_s`` seconds after its last renewal."""
        response = await self._post("lease_grant", {"TTL": str(ttl_s), "ID": "0"})
        return response if isinstance(response, Err) else Ok(int(response.value["ID"]))

    async def lease_keepalive(self, lease: int) -> Result[int]:
        """Renew a lease and return its lifetime in seconds, or Err(LEASE_LOST)."""
        response = await self._post("lease_keepalive", {"ID": str(lease)})
        if isinstance(response, Err):
            return response
        ttl_s = int(response.value.get("result", {}).get("TTL", 0))
        if ttl_s <= 0:
            return Err(Code.LEASE_LOST, f"lease {lease} has expired or was revoked")
        return Ok(ttl_s)

    async def lease_revoke(self, lease: int) -> Result[None]:
        """Revoke a lease and delete its keys; Err(LEASE_LOST) if it was gone."""
        response = await self._post("lease_revoke", {"ID": str(lease)})
        return response if isinstance(response, Err) else Ok(None)

    @asynccontextmanager
    async def watch(
        self, key: str, from_revision: int
    ) -> AsyncIterator[AsyncIterator[KvEvent]]:
        """Yield the changes of a key, starting with a revision.

        The iterator ends if the service or the connection fails or if the revision was
        compacted; the caller then reads the key again before the next watch.
        """
        self.calls["watch"] += 1
        request = {"key": _encode_key(key), "start_revision": str(from_revision)}
        body = msgspec.json.encode({"create_request": request})
        timeout = {
            "connect": CONNECT_TIMEOUT_S,
            "write": KV_CALL_TIMEOUT_S,
            "pool": KV_CALL_TIMEOUT_S,
        }
        stream = self._watch_pool.stream(
            "POST",
            self._url + _PATHS["watch"],
            headers=_HEADERS,
            content=body,
            extensions={"timeout": timeout},
        )
        async with AsyncExitStack() as stack:
            try:
                response = await stack.enter_async_context(stream)
            except (
                httpcore.NetworkError,
                httpcore.TimeoutException,
                httpcore.ProtocolError,
            ):
                yield _no_events()
                return
            if response.status != 200:
                yield _no_events()
                return
            async with aclosing(_read_events(response)) as events:
                yield events

    async def _post(self, kind: str, body: dict[str, Any]) -> Result[dict[str, Any]]:
        self.calls[kind] += 1
        ambiguous_code = (
            Code.WRITE_UNKNOWN if kind in _WRITE_KINDS else Code.STORE_UNAVAILABLE
        )
        before = (self.restores, self._revision)
        try:
            response = await call_http(
                self._pool,
                "POST",
                self._url + _PATHS[kind],
                _CALL_LIMITS,
                headers=_HEADERS,
                content=msgspec.json.encode(body),
            )
        except _NOT_SENT as exc:
            return Err(Code.STORE_UNAVAILABLE, f"{kind}: {_describe_exception(exc)}")
        except (
            httpcore.NetworkError,
            httpcore.TimeoutException,
            httpcore.ProtocolError,
        ) as exc:
            # The others may be as silent, and their calls would wait as long.
            await close_idle_connections(self._pool)
            return Err(ambiguous_code, f"{kind}: {_describe_exception(exc)}")
        if response.status >= 400:
            return _error_from_response(kind, response, ambiguous_code)
        try:
            body = decode_json(response.body, dict[str, Any])
        except msgspec.DecodeError as exc:
            return Err(ambiguous_code, f"{kind}: malformed response: {exc}")
        if kind in _LINEARIZABLE_KINDS:
            self._note_revision(body, *before)
        return Ok(body)

    def _note_revision(
        self, body: dict[str, Any], restores: int, revision_before: int
    ) -> None:
        """Compare a response's revision with that before its call.

        The response is linearizable, so only a restore makes it lower.
        """
        revision = int(body.get("header", {}).get("revision", 0))
        if restores != self.restores or not revision:
            return
        if revision >= revision_before:
            self._revision = max(self._revision, revision)
            return
        self.restores += 1
        self._revision = revision
        events.log(
            events.Event.STORE_RESTORED,
            revision=revision,
            previous_revision=revision_before,
        )


def _error_from_response(
    kind: str, response: CallResponse, ambiguous_code: Code
) -> Err:
    text = f"{kind}: {response.status} {response.body[:200].decode(errors='replace')}"
    if kind != "range" and response.status == 404:
        return Err(Code.LEASE_LOST, text)
    # A client error means that the call was rejected before it could take effect. A
    # server error may come from a member that had already forwarded the write.
    return Err(
        Code.STORE_UNAVAILABLE if response.status < 500 else ambiguous_code, text
    )


async def _read_events(response: httpcore.Response) -> AsyncGenerator[KvEvent, None]:
    buffer = b""
    try:
        async for data in response.aiter_stream():
            *lines, buffer = (buffer + data).split(b"\n")
            check_length(len(buffer), WATCH_LINE_MAX_BYTES)
            for line in filter(None, lines):
                message = decode_json(line, dict[str, Any])
                result = message.get("result", {})
                if result.get("canceled"):
                    return
                for event in result.get("events", []):
                    yield _decode_event(event)
    except (httpcore.NetworkError, httpcore.ProtocolError, msgspec.DecodeError):
        return


async def _no_events() -> AsyncIterator[KvEvent]:
    return
    yield


def _decode_event(event: dict[str, Any]) -> KvEvent:
    kv = event["kv"]
    deleted = event.get("type") == "DELETE"
    value = None if deleted else b64decode(kv.get("value", ""))
    return KvEvent(b64decode(kv["key"]).decode(), value, int(kv["mod_revision"]))


def _decode_value(kv: dict[str, Any]) -> KvValue:
    return KvValue(
        b64decode(kv.get("value", "")), int(kv["mod_revision"]), int(kv.get("lease", 0))
    )


def _encode_key(key: str) -> str:
    return b64encode(key.encode()).decode()


def _prefix_end(prefix: bytes) -> bytes:
    """Return the first key after all keys that begin with ``prefix``."""
    stripped = prefix.rstrip(b"\xff")
    if not stripped:
        return b"\0"
    return stripped[:-1] + bytes([stripped[-1] + 1])


def _describe_exception(exc: Exception) -> str:
    return f"{type(exc).__name__} {exc}".strip()
