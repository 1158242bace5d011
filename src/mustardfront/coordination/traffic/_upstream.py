"""One upstream as an entry sees it, and several at one address."""

from __future__ import annotations

from collections.abc import Collection, Iterable
from dataclasses import dataclass, field

from mustardfront.coordination.traffic._peer_loads import upstream_key
from mustardfront.state import UpstreamInstance, UpstreamState


@dataclass(slots=True)
class Upstream:
    """An upstream with this entry's view of its load and health.

    ``blocked_until`` is the end of its exclusion after failures, ``refused_until`` of
    the pause after a refusal. ``leaving`` is set once its responses say that it is
    about to end, ``superseded`` while a later incarnation is announced at its address.
    """

    announced: UpstreamInstance
    in_flight: int = 0
    failures_in_row: int = 0
    blocked_until: float = 0.0
    # The end of an exclusion after an answer that was a failure.
    failing_until: float = 0.0
    refused_until: float = 0.0
    lapsed: bool = False
    leaving: bool = False
    superseded: bool = False
    # Its short name in reports between entries.
    key: int = field(init=False)

    def __post_init__(self) -> None:
        self.key = upstream_key(self.announced.instance)

    @property
    def instance(self) -> str:
        """Return the name of the incarnation."""
        return self.announced.instance

    @property
    def incarnation(self) -> str:
        """Return a name that no other process of an upstream ever has."""
        return f"{self.announced.instance}.{self.announced.born_ms}"

    @property
    def takes_work(self) -> bool:
        """Return whether the upstream accepts new requests."""
        seat = self.announced.seat
        is_open = seat is None or seat.is_open
        is_ready = self.announced.state is UpstreamState.READY
        return is_open and is_ready and not self.leaving

    @property
    def group(self) -> str:
        """Return the name of its lock-step group, or ``""``."""
        return self.announced.seat.group if self.announced.seat else ""


def superseded_upstreams(
    upstreams: Iterable[Upstream], services: Collection[str] | None
) -> set[str]:
    """Return the instances at whose address a later one is announced.

    They have ended, most likely. They stay known: the later announcement may be another
    writer's, which names no upstream, and then an answer of the address tells. One of
    another service counts only while it takes requests, since otherwise no answer could
    tell. ``services`` are those of the configuration, None if it is unknown.
    """
    by_address: dict[tuple[str, int], list[Upstream]] = {}
    for one in upstreams:
        by_address.setdefault(one.announced.address, []).append(one)
    return {
        one.instance
        for found in by_address.values()
        if len(found) > 1
        for one in found
        if any(_supersedes(later, one, services) for later in found)
    }


def _supersedes(
    later: Upstream, other: Upstream, services: Collection[str] | None
) -> bool:
    if later.announced.born_ms <= other.announced.born_ms:
        return False
    service = later.announced.service
    if service == other.announced.service:
        return True
    return later.takes_work and (services is None or service in services)
