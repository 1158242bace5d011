"""What other entries have in flight at each upstream, as they report it.

An entry sees only its own requests, so many entries that choose at the same moment
overrun some upstreams while others idle. Entries therefore report their requests in
flight to each other, several times a second. No upstream and no store is asked for it.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass
from typing import Final

import xxhash

# Reports are sent this often; one that is lost is replaced by the next.
REPORT_INTERVAL_S: Final = 0.1
# A report counts for this long: an entry that ends or freezes stops reporting, and its
# requests end with it or cannot be counted any more.
REPORT_MAX_AGE_S: Final = 0.6
# Entries to which one entry reports. In larger fleets these are its neighbours by name,
# whose upstreams an entry compares most often.
PEERS_MAX: Final = 32
# Upstreams in one report, those with the most requests; it then fits in a datagram.
REPORTED_MAX: Final = 160
# More requests at one upstream than any has room for.
_IN_FLIGHT_MAX: Final = 4_096


@dataclass(frozen=True, slots=True)
class LoadReport:
    """The requests that an entry has in flight, by ``upstream_key``.

    A higher ``sequence`` is newer, over restarts of the entry too. ``waiting`` is how
    many requests wait in the entry for a place at an upstream, ``failing`` are the
    upstreams whose answers to the entry are failures.
    """

    entry: str
    sequence: int
    in_flight: Mapping[int, int]
    waiting: int = 0
    failing: tuple[int, ...] = ()


@dataclass(frozen=True, slots=True)
class _Received:
    report: LoadReport
    at_s: float


def upstream_key(instance: str) -> int:
    """Return the short form of an upstream's name in reports, 32 bits."""
    return int(xxhash.xxh32_intdigest(instance.encode()))


class PeerLoads:
    """The latest report of each entry, and their sum; ``clock`` returns seconds."""

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._received: dict[str, _Received] = {}
        self._totals: dict[int, int] = {}
        self._failing: frozenset[int] = frozenset()

    @property
    def reporting_count(self) -> int:
        """Return how many other entries have reported recently."""
        return len(self._received)

    def waiting_count(self) -> int:
        """Return how many requests wait in the other entries."""
        return sum(one.report.waiting for one in self._received.values())

    def record(self, report: LoadReport) -> bool:
        """Take over a report; return False if it is older than the one before."""
        self.drop_old()
        known = self._received.get(report.entry)
        if known is not None:
            if known.report.sequence >= report.sequence:
                return False
            self._add(known.report, -1)
        self._received[report.entry] = _Received(report, self._clock())
        self._add(report, 1)
        self._collect_failing()
        return True

    def is_failing(self, key: int) -> bool:
        """Return whether another entry got failures as answers of an upstream."""
        return key in self._failing

    def in_flight(self, key: int) -> int:
        """Return the requests of all reporting entries at an upstream."""
        return self._totals.get(key, 0)

    def drop_old(self) -> None:
        """Forget the entries that have not reported recently."""
        oldest_s = self._clock() - REPORT_MAX_AGE_S
        ended = [
            name for name, known in self._received.items() if known.at_s < oldest_s
        ]
        for name in ended:
            self._add(self._received.pop(name).report, -1)
        if ended:
            self._collect_failing()

    def _collect_failing(self) -> None:
        named = (one.report.failing for one in self._received.values())
        self._failing = frozenset(key for keys in named for key in keys[:REPORTED_MAX])

    def _add(self, report: LoadReport, sign: int) -> None:
        for key, count in report.in_flight.items():
            total = self._totals.get(key, 0) + sign * max(0, min(_IN_FLIGHT_MAX, count))
            if total:
                self._totals[key] = total
            else:
                self._totals.pop(key, None)


def reported_loads(loads: Iterable[tuple[int, int]]) -> dict[int, int]:
    """Return the loads that a report names, of pairs of key and requests in flight."""
    busy = [pair for pair in loads if pair[1] > 0]
    if len(busy) > REPORTED_MAX:
        busy.sort(key=lambda pair: -pair[1])
    return dict(busy[:REPORTED_MAX])


def report_peers(entries: Sequence[str], own: str) -> list[str]:
    """Return the entries that an entry reports to: its neighbours by name."""
    others = sorted({*entries} - {own})
    if len(others) <= PEERS_MAX:
        return others
    start = sum(one < own for one in others) - PEERS_MAX // 2
    return [others[(start + offset) % len(others)] for offset in range(PEERS_MAX)]
