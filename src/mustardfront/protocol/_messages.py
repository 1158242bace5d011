"""The messages between the system's processes, as frozen data."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TypeAlias

Headers: TypeAlias = tuple[tuple[str, str], ...]


@dataclass(frozen=True, slots=True)
class Hello:
    """First message of each side: who it is and which versions it speaks."""

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
    """HMAC-SHA256 over both nonces and roles: the sender holds the shared key."""

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


@dataclass(frozen=True, slots=True)
class Refused:
    """The sidecar refused an attempt; ``not_run`` is true only when that is proved."""

    stream: int
    code: int
    not_run: bool
    retry_after_ms: int = 0
    text: str = ""


@dataclass(frozen=True, slots=True)
class Started:
    """The attempt was handed to the upstream."""

    stream: int


@dataclass(frozen=True, slots=True)
class Head:
    """Status and headers of the upstream's answer."""

    stream: int
    status: int
    headers: Headers = ()


@dataclass(frozen=True, slots=True)
class Chunk:
    """Part ``index`` of the answer's body: a token of a stream, or a piece."""

    stream: int
    index: int
    data: bytes


@dataclass(frozen=True, slots=True)
class End:
    """The attempt ended after ``chunks`` parts, counted from the answer's start.

    The other fields are the upstream's load after the attempt, as in a
    ``LoadReport``; ``state`` is empty when the sender tells no load.
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
    """A cancel took effect; ``started`` is false when the upstream never saw it."""

    stream: int
    started: bool


@dataclass(frozen=True, slots=True)
class Credit:
    """The receiver can take ``chunks`` more parts of this stream."""

    stream: int
    chunks: int


@dataclass(frozen=True, slots=True)
class LoadReport:
    """Fresh load of an upstream: counts, limit, state and smoothed latency in ms."""

    upstream: str
    in_flight: int
    queued: int
    limit: int
    state: str
    latency_ms: float


@dataclass(frozen=True, slots=True)
class Leaving:
    """The named upstream, or the whole peer when empty, takes no new work."""

    upstream: str = ""


@dataclass(frozen=True, slots=True)
class CrashReport:
    """An upstream instance crashed while it ran these request fingerprints."""

    upstream: str
    instance: str
    fingerprints: tuple[bytes, ...]


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
    """A whole configuration: compressed JSON."""

    version: int
    data: bytes


@dataclass(frozen=True, slots=True)
class Ping:
    """Heartbeat, with the sender's configuration version."""

    nonce: int
    config_version: int


@dataclass(frozen=True, slots=True)
class Pong:
    """Answer to a heartbeat."""

    nonce: int
    config_version: int


@dataclass(frozen=True, slots=True)
class Fault:
    """Why the sender closes this connection."""

    code: int
    text: str


@dataclass(frozen=True, slots=True)
class Order:
    """A coordinator's order to a rank, sent to that rank's sidecar; data is JSON."""

    id: int
    group: str
    kind: str
    fence: int
    data: bytes


@dataclass(frozen=True, slots=True)
class OrderReply:
    """What came of an order: a result code and JSON data."""

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
