"""Expert maps: which experts each rank of a group holds in each layer."""

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
# The number of tokens of each expert, by layer.
Loads: TypeAlias = Sequence[Sequence[float]]


@dataclass(frozen=True, slots=True)
class ExpertMap:
    """The experts of each rank in every layer; ``version`` identifies the proposal."""

    version: int
    layers: tuple[LayerMap, ...]


def first_map(layers: int, experts: int, ranks: int, slots: int) -> Result[ExpertMap]:
    """Return the initial map: each expert once, in order, with spare slots left empty.

    Err(MAP_INVALID) if the ranks' slots cannot hold all experts.
    """
    if min(layers, experts, ranks, slots) < 1 or ranks * slots < experts:
        text = f"{ranks} ranks with {slots} slots each cannot hold {experts} experts"
        return Err(Code.MAP_INVALID, text)
    bounds = [rank * experts // ranks for rank in range(ranks + 1)]
    layer = tuple(tuple(range(low, high)) for low, high in itertools.pairwise(bounds))
    return Ok(ExpertMap(0, (layer,) * layers))


def check_map(
    layers: Sequence[LayerMap], experts: int, ranks: int, slots: int
) -> Result[None]:
    """Return Err(MAP_INVALID) unless every layer holds every expert.

    In each layer a rank may use at most its slots and hold an expert at most once.
    """
    for index, layer in enumerate(layers):
        if len(layer) != ranks:
            return Err(
                Code.MAP_INVALID, f"layer {index}: wrong number of ranks: {len(layer)}"
            )
        for rank, rank_experts in enumerate(layer):
            if len(rank_experts) > slots or len(set(rank_experts)) != len(rank_experts):
                text = (
                    f"layer {index}, rank {rank}: "
                    f"{len(rank_experts)} experts exceed {slots} slots or repeat"
                )
                return Err(Code.MAP_INVALID, text)
        if {expert for rank_experts in layer for expert in rank_experts} != set(
            range(experts)
        ):
            return Err(
                Code.MAP_INVALID, f"layer {index}: experts are missing or unknown"
            )
    return Ok(None)


def count_moves(old: LayerMap, new: LayerMap) -> int:
    """Return how many experts the ranks must load to switch one layer to a new map."""
    return sum(
        len(set(after).difference(before))
        for before, after in zip(old, new, strict=True)
        if before != after
    )


def rank_loads(layer: LayerMap, loads: Sequence[float]) -> list[float]:
    """Return the tokens of each rank; an expert's replicas share its tokens evenly."""
    replicas = [0] * len(loads)
    for rank_experts in layer:
        for expert in rank_experts:
            replicas[expert] += 1
    tokens_per_replica = [
        load / count for load, count in zip(loads, replicas, strict=True)
    ]
    return [
        sum([tokens_per_replica[expert] for expert in rank_experts])
        for rank_experts in layer
    ]


def map_to_data(expert_map: ExpertMap) -> dict[str, Any]:
    """Return a map as plain JSON data."""
    return {
        "version": expert_map.version,
        "layers": [
            [list(rank_experts) for rank_experts in layer]
            for layer in expert_map.layers
        ],
    }


def map_from_data(data: Mapping[str, Any]) -> Result[ExpertMap]:
    """Return the map in plain data; Err(MAP_INVALID) if it is malformed."""
    try:
        version = msgspec.convert(data["version"], int)
        layers = msgspec.convert(data["layers"], tuple[LayerMap, ...])
    except (msgspec.ValidationError, KeyError, TypeError) as exc:
        return Err(Code.MAP_INVALID, f"malformed expert map: {exc}")
    return Ok(ExpertMap(version, layers))
