"""Reports of a rank, the orders it accepts, and their outcomes."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import Protocol, TypeAlias

from mustardfront.results import Result
from mustardfront.state import LayerMap, RankPosition

# Experts that one rank holds, by layer.
RankExperts: TypeAlias = tuple[tuple[int, ...], ...]
# How often each expert was selected since the rank started, layer by layer.
Counts: TypeAlias = tuple[int, ...]


@dataclass(frozen=True, slots=True)
class ArmedSwitch:
    """The map version that a rank switches to at the beginning of ``step``."""

    version: int
    step: int


@dataclass(frozen=True, slots=True)
class RankReport:
    """The state that a rank reports.

    ``step`` is the last step that began, ``version`` the version of the map in force,
    ``prepared`` the version of a map whose experts are loaded, and ``held`` a step that
    does not begin until it is released. ``queued`` and ``active`` count requests.
    ``slowness`` is how much longer than usual the rank takes for the same work.
    """

    seat: RankPosition
    born_ms: int
    step: int
    version: int
    prepared: int | None
    armed: ArmedSwitch | None
    held: int | None
    queued: int
    active: int
    slowness: float = 1.0


@dataclass(frozen=True, slots=True)
class RankMaps:
    """One rank's rows of the map in force and of the prepared map.

    ``prepared`` is the prepared version, None if no map is prepared.
    """

    version: int
    rows: RankExperts
    prepared: int | None
    prepared_rows: RankExperts


class OrderKind(StrEnum):
    """Kinds of orders to a rank."""

    PREPARE = "prepare"
    ARM = "arm"
    DISARM = "disarm"
    HOLD = "hold"
    RELEASE = "release"


@dataclass(frozen=True, slots=True)
class RankOrder:
    """An order to a rank, which refuses it in any other epoch.

    ``layers`` are the layers of a map, each with the experts of every rank.
    """

    kind: OrderKind
    epoch: int
    version: int = 0
    step: int = 0
    layers: tuple[tuple[tuple[int, ...], ...], ...] = ()


@dataclass(frozen=True, slots=True)
class MapChanges:
    """A map, given by its differences from the map of version ``base``.

    Each of ``rows`` is a layer, a rank and the experts that the rank holds there.
    """

    base: int
    rows: tuple[tuple[int, int, tuple[int, ...]], ...]


def find_changes(
    base: int, old: tuple[LayerMap, ...], new: tuple[LayerMap, ...]
) -> MapChanges:
    """Return the rows of ``new`` that differ from ``old``, the map ``base``."""
    return MapChanges(
        base,
        tuple(
            (layer, rank, experts)
            for layer, (old_layer, new_layer) in enumerate(zip(old, new, strict=True))
            for rank, experts in enumerate(new_layer)
            if experts != old_layer[rank]
        ),
    )


def apply_changes(
    layers: tuple[LayerMap, ...], changes: MapChanges
) -> tuple[LayerMap, ...]:
    """Return the map that results from changes to ``layers``."""
    result = [list(layer) for layer in layers]
    for layer, rank, experts in changes.rows:
        result[layer][rank] = experts
    return tuple(tuple(layer) for layer in result)


class OrderOutcome(StrEnum):
    """Outcome of an order; one with an unknown outcome may still be executed.

    ``MAP_UNKNOWN``: not sent to the rank, as its agent lacks the map that the order's
    changes refer to.
    """

    DONE = "done"
    REFUSED = "refused"
    UNKNOWN = "unknown"
    MAP_UNKNOWN = "map-unknown"


class RankClient(Protocol):
    """Client of one rank; an Err means that the rank gave no usable answer."""

    async def report(self) -> Result[RankReport]:
        """Read the rank's state."""

    async def counts(self) -> Result[Counts]:
        """Read how often each expert was selected."""

    async def maps(self) -> Result[RankMaps]:
        """Read the rank's rows of the map in force and of the prepared map."""

    async def send_order(self, order: RankOrder) -> OrderOutcome:
        """Send an order and return its outcome."""
