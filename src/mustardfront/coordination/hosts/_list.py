"""Poll the host list; keep the last one read while its service is unavailable."""

from __future__ import annotations

import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any, Final, TypeAlias

import msgspec
import trio

from mustardfront import events
from mustardfront.codes import Code
from mustardfront.decoding import decode_json
from mustardfront.results import Err, Ok, Result

POLL_MIN_S: Final = 2.0
# A list of 3,200 hosts is about 300 KB. Polling is limited to this rate on average, so
# that the list takes only a small part of a process's 6 KB/s of control traffic.
POLL_BYTES_PER_S: Final = 2_000
RETRY_MAX_S: Final = 10.0
REQUEST_TIMEOUT_S: Final = 3.0
RESPONSE_MAX_BYTES: Final = 4 * 1024 * 1024
_ROLES: Final = frozenset({"entry", "sidecar", "admin"})
_STATES: Final = frozenset({"live", "leaving"})


@dataclass(frozen=True, slots=True)
class HostEntry:
    """One process in the host list; ``address`` is its peer address."""

    name: str
    place: str
    role: str
    address: str
    state: str = "live"


@dataclass(frozen=True, slots=True)
class HostListResponse:
    """A response with the host list: entries, body size in bytes and entity tag."""

    entries: tuple[HostEntry, ...]
    size: int
    etag: bytes = b""


# Returns the response, or None if the list still has the given entity tag.
Fetch: TypeAlias = Callable[[bytes], Awaitable[Result[HostListResponse | None]]]


def parse_hosts(body: bytes) -> Result[tuple[HostEntry, ...]]:
    """Return the entries of ``{"hosts": [...]}``, or Err(UPSTREAM_BAD_ANSWER)."""
    try:
        raw: dict[str, Any] = decode_json(body, dict[str, Any])
        entries = msgspec.convert(raw["hosts"], tuple[HostEntry, ...])
    except (msgspec.MsgspecError, KeyError) as exc:
        return Err(Code.UPSTREAM_BAD_ANSWER, f"malformed host list: {exc}")
    for entry in entries:
        if entry.role not in _ROLES or entry.state not in _STATES:
            text = (
                f"malformed host list: {entry.name} has role {entry.role} and "
                f"state {entry.state}"
            )
            return Err(Code.UPSTREAM_BAD_ANSWER, text)
    return Ok(entries)


class HostList:
    """The last host list that was read; empty before the first successful read."""

    def __init__(
        self, url: str, *, fetch: Fetch | None = None, rng: random.Random | None = None
    ) -> None:
        self._url = url
        self._fetch = fetch
        self._rng = rng or random.Random()
        self._entries: tuple[HostEntry, ...] = ()
        self._states: dict[str, str] = {}
        self._changed = trio.Event()
        self.has_loaded = False
        self.bytes_read = 0

    @property
    def current(self) -> tuple[HostEntry, ...]:
        """Return the entries of the last list read."""
        return self._entries

    def state_of(self, host: str) -> str:
        """Return ``live`` or ``leaving``, or ``""`` for a host that is not listed."""
        return self._states.get(host, "")

    async def wait_changed(self) -> None:
        """Wait until a list is read that differs from the current one."""
        await self._changed.wait()

    def update(self, entries: tuple[HostEntry, ...]) -> None:
        """Replace the current list and wake waiters if it differs or is the first."""
        first_read, self.has_loaded = not self.has_loaded, True
        if entries == self._entries and not first_read:
            return
        self._entries = entries
        states: dict[str, str] = {}
        for entry in entries:
            # A host may run several processes; it is leaving if any of them is.
            if states.get(entry.name) != "leaving":
                states[entry.name] = entry.state
        self._states = states
        leaving = sum(entry.state == "leaving" for entry in entries)
        events.log(events.Event.HOSTS_CHANGED, hosts=len(entries), leaving=leaving)
        changed, self._changed = self._changed, trio.Event()
        changed.set()

    async def run(
        self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Poll until cancelled; reports started after the first attempt."""
        if self._fetch is not None:
            await self._poll(self._fetch, task_status)
            return
        from mustardfront.http_streams import open_pool

        async with open_pool(max_connections=1) as pool:
            await self._poll(_http_fetch(pool, self._url), task_status)

    async def _poll(self, fetch: Fetch, task_status: trio.TaskStatus[None]) -> None:
        tag, failures = b"", 0
        while True:
            response = await fetch(tag)
            delay_s = POLL_MIN_S
            if isinstance(response, Err):
                failures += 1
                if failures == 1:
                    events.log(
                        events.Event.HOSTS_UNAVAILABLE,
                        code=int(response.code),
                        text=response.text,
                    )
                delay_s = min(POLL_MIN_S * 2 ** min(failures - 1, 8), RETRY_MAX_S)
            else:
                failures = 0
                if response.value is not None:
                    tag = response.value.etag
                    self.bytes_read += response.value.size
                    self.update(response.value.entries)
                    delay_s = max(POLL_MIN_S, response.value.size / POLL_BYTES_PER_S)
            task_status.started()
            task_status = trio.TASK_STATUS_IGNORED
            await trio.sleep(delay_s * self._rng.uniform(0.8, 1.2))


def _http_fetch(pool: Any, url: str) -> Fetch:
    from mustardfront.http_calls import CALL_ERRORS, CallLimits, call_http

    limits = CallLimits(
        REQUEST_TIMEOUT_S, REQUEST_TIMEOUT_S, REQUEST_TIMEOUT_S, RESPONSE_MAX_BYTES
    )

    async def fetch(tag: bytes) -> Result[HostListResponse | None]:
        headers = [("If-None-Match", tag.decode("latin-1"))] if tag else []
        try:
            response = await call_http(
                pool, "GET", f"{url}/v1/hosts", limits, headers=headers
            )
        except CALL_ERRORS as exc:
            return Err(Code.UPSTREAM_DOWN, f"host list: {type(exc).__name__}: {exc}")
        if response.status == 304:
            return Ok(None)
        if response.status != 200:
            return Err(Code.UPSTREAM_DOWN, f"host list: status {response.status}")
        body = response.body
        entries = parse_hosts(body)
        if isinstance(entries, Err):
            return entries
        etag = dict(response.headers).get(b"etag", b"")
        return Ok(HostListResponse(entries.value, len(body), etag))

    return fetch
