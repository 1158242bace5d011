"""Expert maps: which rank of a group holds which experts, frozen data."""

from __future__ import annotations

import itertools
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from typing import Any, TypeAlias

import msgspec

from mustardfront.codes import Code
from mustardfront.results import Err, Ok, Result

# The experts that each rank holds for one layer, in rank order.
LayerMap: TypeAlias = tuple[tuple[int, ...], ...]
# The tokens of each expert in each layer.
Loads: TypeAlias = Sequence[Sequence[float]]


@dataclass(frozen=True, slots=True)
class ExpertMap:
    """The placement of every layer's experts; ``version`` identifies its proposal."""

    version: int
    layers: tuple[LayerMap, ...]


def first_map(layers: int, experts: int, ranks: int, slots: int) -> Result[ExpertMap]:
    """Return the map with each expert once, in order, and the spare slots empty.

    Err(MAP_INVALID) when the ranks' slots cannot hold all experts.
    """
    if min(layers, experts, ranks, slots) < 1 or ranks * slots < experts:
        text = f"{ranks} ranks with {slots} slots cannot hold {experts} experts"
        return Err(Code.MAP_INVALID, text)
    bounds = [rank * experts // ranks for rank in range(ranks + 1)]
    layer = tuple(tuple(range(low, high)) for low, high in itertools.pairwise(bounds))
    return Ok(ExpertMap(0, (layer,) * layers))


def check_map(
    layers: Sequence[LayerMap], experts: int, ranks: int, slots: int
) -> Result[None]:
    """Return Err(MAP_INVALID) unless every layer holds every expert within its slots.

    A rank holds an expert at most once.
    """
    for index, layer in enumerate(layers):
        if len(layer) != ranks:
            return Err(Code.MAP_INVALID, f"layer {index}: {len(layer)} ranks")
        for rank, held in enumerate(layer):
            if len(held) > slots or len(set(held)) != len(held):
                text = f"layer {index}, rank {rank}: {len(held)} experts, {slots} slots"
                return Err(Code.MAP_INVALID, text)
        if {expert for held in layer for expert in held} != set(range(experts)):
            return Err(Code.MAP_INVALID, f"layer {index}: not all experts, or others")
    return Ok(None)


def count_moves(old: LayerMap, new: LayerMap) -> int:
    """Return how many experts ranks have to load for the new map of one layer."""
    return sum(
        len(set(after).difference(before))
        for before, after in zip(old, new, strict=True)
        if before != after
    )


def rank_loads(layer: LayerMap, loads: Sequence[float]) -> list[float]:
    """Return the tokens of each rank; replicas of an expert share evenly."""
    replicas = [0] * len(loads)
    for held in layer:
        for expert in held:
            replicas[expert] += 1
    share = [load / count for load, count in zip(loads, replicas, strict=True)]
    return [sum([share[expert] for expert in held]) for held in layer]


def map_to_data(expert_map: ExpertMap) -> dict[str, Any]:
    """Return a map as plain JSON data."""
    return {
        "version": expert_map.version,
        "layers": [[list(held) for held in layer] for layer in expert_map.layers],
    }


def map_from_data(data: Mapping[str, Any]) -> Result[ExpertMap]:
    """Return the map in plain data; Err(MAP_INVALID) when it is not one."""
    try:
        version = msgspec.convert(data["version"], int)
        layers = msgspec.convert(data["layers"], tuple[LayerMap, ...])
    except (msgspec.ValidationError, KeyError, TypeError) as exc:
        return Err(Code.MAP_INVALID, f"malformed expert map: {exc}")
    return Ok(ExpertMap(version, layers))
