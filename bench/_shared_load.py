"""What is asked of a fleet in ``_shared_fleet``, how it decides, and the outcome."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class KindLoad:
    """Requests of one kind; tokens are means, times in seconds.

    ``bursts`` are (start, end, factor on ``per_s``).
    """

    name: str
    per_s: float
    priority: int
    objective_s: float
    abandon_s: float
    prompt_tokens: float
    output_tokens: float
    bursts: tuple[tuple[float, float, float], ...] = ()


@dataclass(frozen=True, slots=True)
class FleetLoad:
    """A fleet and what is asked of it.

    A step takes ``step_s``, plus ``per_request_s`` for each request that the busiest
    rank of the group writes. ``stalls`` are (start, end, group). ``frozen`` entries are
    (start, end, entry) in which they neither send nor report. ``slow`` gives factors
    on the pace of groups, by a slow rank.
    """

    kinds: tuple[KindLoad, ...]
    entries: int = 14
    upstreams: int = 64
    slots: int = 5
    group_size: int = 32
    step_s: float = 0.0085
    per_request_s: float = 0.0012
    read_tokens_per_s: float = 61_200.0
    duration_s: float = 20.0
    busy_entry_ratio: float = 1.0
    stalls: tuple[tuple[float, float, int], ...] = ()
    frozen: tuple[tuple[float, float, int], ...] = ()
    joins_at_s: float | None = None
    slow: Mapping[int, float] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Decision:
    """How entries decide.

    ``name`` is one of ``assigned`` (own requests, and an estimate of the others'),
    ``two-choices`` and ``spare-shares`` (at random by spare room), both from own
    requests, and ``reports`` (what all entries report).
    """

    name: str
    has_admission: bool = False
    has_urgency: bool = False


@dataclass(slots=True)
class KindResult:
    """Outcome of the requests of one kind, and the times to their first event."""

    asked: int = 0
    in_objective: int = 0
    late: int = 0
    unserved: int = 0
    first_event_s: list[float] = field(default_factory=list)


@dataclass(slots=True)
class FleetResult:
    """Outcome of a run; ``idle_beside_overrun`` is a share of the upstreams' time."""

    kinds: dict[str, KindResult]
    arrivals: dict[str, int]
    rejected: int = 0
    rejected_beside_room: int = 0
    uneven_ratio: float = 0.0
    idle_beside_overrun: float = 0.0
    reports: int = 0

    @property
    def busiest_ratio(self) -> float:
        """Return the arrivals at the busiest upstream over the mean."""
        counts = self.arrivals.values()
        return max(counts) * len(counts) / max(1, sum(counts))
