"""Poll the host list and keep the last one while the service is down."""

from __future__ import annotations

import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any, Final, TypeAlias

import msgspec
import trio

from mustardfront import events
from mustardfront.codes import Code
from mustardfront.results import Err, Ok, Result

POLL_MIN_S: Final = 2.0
# A list of 3,200 hosts is about 300 KB. Polling is slowed down to this rate, so that
# the list stays a small part of a process's 6 KB/s of control traffic.
POLL_BYTES_PER_S: Final = 2_000
RETRY_MAX_S: Final = 10.0
REQUEST_TIMEOUT_S: Final = 3.0
_ROLES: Final = frozenset({"entry", "sidecar", "admin"})
_STATES: Final = frozenset({"live", "leaving"})


@dataclass(frozen=True, slots=True)
class HostEntry:
    """One process slot of the host list; ``address`` is its peer address."""

    name: str
    place: str
    role: str
    address: str
    state: str = "live"


@dataclass(frozen=True, slots=True)
class HostPage:
    """One answer of the host list: its entries, size on the wire and entity tag."""

    entries: tuple[HostEntry, ...]
    size: int
    tag: bytes = b""


# Returns the page, or None when it still has the given entity tag.
Fetch: TypeAlias = Callable[[bytes], Awaitable[Result[HostPage | None]]]


def parse_hosts(body: bytes) -> Result[tuple[HostEntry, ...]]:
    """Return the entries of ``{"hosts": [...]}``; Err(UPSTREAM_BAD_ANSWER)."""
    try:
        raw: dict[str, Any] = msgspec.json.decode(body, type=dict[str, Any])
        entries = msgspec.convert(raw["hosts"], tuple[HostEntry, ...])
    except (msgspec.MsgspecError, KeyError) as exc:
        return Err(Code.UPSTREAM_BAD_ANSWER, f"host list: {exc}")
    for entry in entries:
        if entry.role not in _ROLES or entry.state not in _STATES:
            text = f"host list: {entry.name} has role {entry.role}, state {entry.state}"
            return Err(Code.UPSTREAM_BAD_ANSWER, text)
    return Ok(entries)


class HostList:
    """The last host list that could be read; empty until the first one."""

    def __init__(
        self, url: str, *, fetch: Fetch | None = None, rng: random.Random | None = None
    ) -> None:
        self._url = url
        self._fetch = fetch
        self._rng = rng or random.Random()
        self._entries: tuple[HostEntry, ...] = ()
        self._states: dict[str, str] = {}
        self._changed = trio.Event()
        self.is_read = False
        self.bytes_read = 0

    @property
    def current(self) -> tuple[HostEntry, ...]:
        """Return the entries of the last list."""
        return self._entries

    def state_of(self, host: str) -> str:
        """Return ``live`` or ``leaving``, or ``""`` for a host not on the list."""
        return self._states.get(host, "")

    async def wait_changed(self) -> None:
        """Return when the next differing list was read."""
        await self._changed.wait()

    def update(self, entries: tuple[HostEntry, ...]) -> None:
        """Take ``entries`` as the current list."""
        first, self.is_read = not self.is_read, True
        if entries == self._entries and not first:
            return
        self._entries = entries
        states: dict[str, str] = {}
        for entry in entries:
            # A host may hold several processes; it is leaving when one of them is.
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
        """Poll until cancelled; reports started after the first try, good or not."""
        if self._fetch is not None:
            await self._poll(self._fetch, task_status)
            return
        import httpcore

        async with httpcore.AsyncConnectionPool(max_connections=1) as pool:
            await self._poll(_http_fetch(pool, self._url), task_status)

    async def _poll(self, fetch: Fetch, task_status: trio.TaskStatus[None]) -> None:
        tag, failures = b"", 0
        while True:
            page = await fetch(tag)
            wait = POLL_MIN_S
            if isinstance(page, Err):
                failures += 1
                if failures == 1:
                    events.log(
                        events.Event.HOSTS_UNAVAILABLE,
                        code=int(page.code),
                        text=page.text,
                    )
                wait = min(POLL_MIN_S * 2 ** min(failures - 1, 8), RETRY_MAX_S)
            else:
                failures = 0
                if page.value is not None:
                    tag = page.value.tag
                    self.bytes_read += page.value.size
                    self.update(page.value.entries)
                    wait = max(POLL_MIN_S, page.value.size / POLL_BYTES_PER_S)
            task_status.started()
            task_status = trio.TASK_STATUS_IGNORED
            await trio.sleep(wait * self._rng.uniform(0.8, 1.2))


def _http_fetch(pool: Any, url: str) -> Fetch:
    import httpcore

    timeouts = dict.fromkeys(("connect", "read", "write", "pool"), REQUEST_TIMEOUT_S)

    async def fetch(tag: bytes) -> Result[HostPage | None]:
        headers = {"If-None-Match": tag} if tag else {}
        try:
            with trio.fail_after(REQUEST_TIMEOUT_S):
                response = await pool.request(
                    "GET",
                    f"{url}/v1/hosts",
                    headers=headers,
                    extensions={"timeout": timeouts},
                )
        except (
            httpcore.NetworkError,
            httpcore.TimeoutException,
            httpcore.ProtocolError,
            trio.TooSlowError,
        ) as exc:
            return Err(Code.UPSTREAM_DOWN, f"host list: {type(exc).__name__}: {exc}")
        if response.status == 304:
            return Ok(None)
        if response.status != 200:
            return Err(Code.UPSTREAM_DOWN, f"host list: status {response.status}")
        body = response.content
        entries = parse_hosts(body)
        if isinstance(entries, Err):
            return entries
        etag = dict(response.headers).get(b"etag", b"")
        return Ok(HostPage(entries.value, len(body), etag))

    return fetch
