"""The messages between processes, as frozen dataclasses."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TypeAlias

Headers: TypeAlias = tuple[tuple[str, str], ...]


@dataclass(frozen=True, slots=True)
class Hello:
    """First message of each side: its identity and supported protocol versions."""

    version: int
    min_version: int
    instance: str
    role: str
    host: str
    place: str
    nonce: bytes
    config_version: int = 0
    upstream: str = ""


@dataclass(frozen=True, slots=True)
class Proof:
    """HMAC-SHA256 over both nonces and roles; proves possession of the shared key."""

    mac: bytes


@dataclass(frozen=True, slots=True)
class Request:
    """One attempt at a caller's request; ``stream`` is unique on its connection."""

    stream: int
    request_id: str
    attempt: int
    team: str
    service: str
    method: str
    path: str
    headers: Headers
    body: bytes
    deadline_ms: int
    priority: int
    idempotency_key: str = ""
    idempotent: bool = True
    fingerprint: bytes = b""
    streamed: bool = False
    resume_from: int = 0
    resume_text: str = ""
    suspect: bool = False
    credit: int = 0
    config_version: int = 0
    # Identifies the start of the prompt, which other requests may share.
    part: bytes = b""


@dataclass(frozen=True, slots=True)
class Refused:
    """The sidecar refused an attempt; ``not_run`` is true only if that is certain."""

    stream: int
    code: int
    not_run: bool
    retry_after_ms: int = 0
    text: str = ""


@dataclass(frozen=True, slots=True)
class Started:
    """The attempt was passed to the upstream."""

    stream: int


@dataclass(frozen=True, slots=True)
class Head:
    """Status and headers of the upstream's response."""

    stream: int
    status: int
    headers: Headers = ()


@dataclass(frozen=True, slots=True)
class Chunk:
    """Part ``index`` of the response body: a stream's token or a piece of the body."""

    stream: int
    index: int
    data: bytes


@dataclass(frozen=True, slots=True)
class End:
    """The attempt ended after ``chunks`` parts, counted from the response's start.

    The fields from ``state`` on are the upstream's load after the attempt, as in a
    ``LoadReport``; ``state`` is empty if the sender reports no load.
    """

    stream: int
    code: int
    outcome: str
    chunks: int
    text: str = ""
    state: str = ""
    in_flight: int = 0
    queued: int = 0
    limit: int = 0
    latency_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class Cancel:
    """The caller no longer waits for this attempt."""

    stream: int


@dataclass(frozen=True, slots=True)
class Cancelled:
    """The attempt was cancelled; ``started`` is false if the upstream never got it."""

    stream: int
    started: bool


@dataclass(frozen=True, slots=True)
class Credit:
    """The peer may send ``chunks`` more parts of this stream."""

    stream: int
    chunks: int


@dataclass(frozen=True, slots=True)
class LoadReport:
    """Current load of an upstream: counts, limit, state and smoothed latency in ms."""

    upstream: str
    in_flight: int
    queued: int
    limit: int
    state: str
    latency_ms: float


@dataclass(frozen=True, slots=True)
class Leaving:
    """The named upstream, or the whole peer if empty, takes no new requests."""

    upstream: str = ""


@dataclass(frozen=True, slots=True)
class CrashReport:
    """An upstream instance crashed while it ran requests with these fingerprints.

    ``suspects`` are the fingerprints of the requests that had no output yet, and
    ``suspect_parts`` the part of each one's prompt. ``sound_parts`` are those that had
    produced output since the crash before. ``unsuspected`` are the ``fingerprints``
    that no earlier crash was known of.
    """

    upstream: str
    instance: str
    fingerprints: tuple[bytes, ...]
    suspects: tuple[bytes, ...] = ()
    suspect_parts: tuple[bytes, ...] = ()
    sound_parts: tuple[bytes, ...] = ()
    unsuspected: tuple[bytes, ...] = ()


@dataclass(frozen=True, slots=True)
class ConfigOffer:
    """The sender has this configuration version in force."""

    version: int


@dataclass(frozen=True, slots=True)
class ConfigPull:
    """The sender has ``version`` and asks for a newer one."""

    version: int


@dataclass(frozen=True, slots=True)
class ConfigPush:
    """A complete configuration, as compressed JSON."""

    version: int
    data: bytes


@dataclass(frozen=True, slots=True)
class Ping:
    """Heartbeat, with the sender's configuration version."""

    nonce: int
    config_version: int


@dataclass(frozen=True, slots=True)
class Pong:
    """Reply to a heartbeat, with the sender's configuration version."""

    nonce: int
    config_version: int


@dataclass(frozen=True, slots=True)
class Fault:
    """The reason why the sender closes this connection."""

    code: int
    text: str


@dataclass(frozen=True, slots=True)
class Order:
    """A coordinator's order to a rank, sent to its sidecar; ``data`` is JSON."""

    id: int
    group: str
    kind: str
    fence: int
    data: bytes


@dataclass(frozen=True, slots=True)
class OrderReply:
    """The result of an order: a result code and JSON data."""

    id: int
    code: int
    data: bytes


Message: TypeAlias = (
    Hello
    | Proof
    | Request
    | Refused
    | Started
    | Head
    | Chunk
    | End
    | Cancel
    | Cancelled
    | Credit
    | LoadReport
    | Leaving
    | CrashReport
    | ConfigOffer
    | ConfigPull
    | ConfigPush
    | Ping
    | Pong
    | Fault
    | Order
    | OrderReply
)
