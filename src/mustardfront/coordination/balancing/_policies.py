"""Registry of balancing policies, and the simple policies used as baselines."""

from __future__ import annotations

import heapq
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass
from types import MappingProxyType
from typing import Final, TypeAlias

from mustardfront.state import ExpertMap, LayerMap, Loads, rank_loads


@dataclass(frozen=True, slots=True)
class BalanceSettings:
    """Settings of a policy for one model group.

    ``store_rate`` is in bytes a second; only the ratio of the weights matters.
    """

    ranks: int
    slots: int
    expert_bytes: int
    store_rate: float
    step_s: float
    skew_weight: float = 1.0
    cost_weight: float = 1.0

    @property
    def move_s(self) -> float:
        """Return the seconds to load one expert from the weight store."""
        return self.expert_bytes / self.store_rate


# Called for each load record with the time in seconds, the tokens, the map in force and
# whether a move is in progress. Returns a new map or None; always None during a move.
Policy: TypeAlias = Callable[[float, Loads, ExpertMap, bool], ExpertMap | None]

PERIODIC_INTERVAL_S: Final = 60.0


def make_policy(name: str, settings: BalanceSettings) -> Policy:
    """Return a new policy with its own state; KeyError for an unknown name."""
    return POLICIES[name](settings)


def _static(settings: BalanceSettings) -> Policy:
    def plan(
        now: float, loads: Loads, current: ExpertMap, busy: bool
    ) -> ExpertMap | None:
        return None

    return plan


def _periodic(settings: BalanceSettings) -> Policy:
    """Return a policy that makes a full plan from the loads of each interval."""
    sums: list[list[float]] = []
    planned_at: float | None = None

    def plan(
        now: float, loads: Loads, current: ExpertMap, busy: bool
    ) -> ExpertMap | None:
        nonlocal sums, planned_at
        sums = add_loads(sums, loads)
        if planned_at is None:
            planned_at = now
        if busy or now - planned_at < PERIODIC_INTERVAL_S:
            return None
        planned_at = now
        layers = tuple(full_plan(tokens, settings) for tokens in sums)
        sums = []
        return ExpertMap(current.version + 1, layers)

    return plan


def add_loads(sums: list[list[float]], loads: Loads) -> list[list[float]]:
    """Return the sums with the tokens added; empty sums become the tokens."""
    if not sums:
        return [list(tokens) for tokens in loads]
    return [
        [total + count for total, count in zip(row, tokens, strict=True)]
        for row, tokens in zip(sums, loads, strict=True)
    ]


def full_plan(tokens: Sequence[float], settings: BalanceSettings) -> LayerMap:
    """Return a layer planned without regard to the current placement.

    Each spare slot replicates the expert with the most tokens per replica; then the
    replicas are assigned, largest first, to the rank with the fewest tokens.
    """
    experts = range(len(tokens))
    counts = [1] * len(tokens)
    heap = [(-tokens[expert], expert) for expert in experts]
    heapq.heapify(heap)
    for _ in range(settings.ranks * settings.slots - len(tokens)):
        while heap and counts[heap[0][1]] >= settings.ranks:
            heapq.heappop(heap)
        if not heap:
            break
        expert = heap[0][1]
        counts[expert] += 1
        heapq.heapreplace(heap, (-tokens[expert] / counts[expert], expert))
    share = [tokens[expert] / counts[expert] for expert in experts]
    order = sorted(
        (expert for expert in experts for _ in range(counts[expert])),
        key=lambda expert: -share[expert],
    )
    held: list[list[int]] = [[] for _ in range(settings.ranks)]
    ranks_by_load = [(0.0, rank) for rank in range(settings.ranks)]
    for expert in order:
        _assign_to_least_loaded(
            expert, share[expert], held, ranks_by_load, settings.slots
        )
    return tuple(tuple(sorted(experts_of)) for experts_of in held)


def _assign_to_least_loaded(
    expert: int,
    share: float,
    held: list[list[int]],
    ranks_by_load: list[tuple[float, int]],
    slots: int,
) -> None:
    skipped: list[tuple[float, int]] = []
    while ranks_by_load:
        load, rank = heapq.heappop(ranks_by_load)
        if expert in held[rank]:
            skipped.append((load, rank))
            continue
        held[rank].append(expert)
        if len(held[rank]) < slots:
            heapq.heappush(ranks_by_load, (load + share, rank))
        break
    for entry in skipped:
        heapq.heappush(ranks_by_load, entry)


def _greedy(settings: BalanceSettings) -> Policy:
    """Return a policy that moves one hot expert in each layer at every step."""

    def plan(
        now: float, loads: Loads, current: ExpertMap, busy: bool
    ) -> ExpertMap | None:
        if busy:
            return None
        layers = tuple(
            _move_hottest_expert(layer, tokens, settings.slots)
            for layer, tokens in zip(current.layers, loads, strict=True)
        )
        if layers == current.layers:
            return None
        return ExpertMap(current.version + 1, layers)

    return plan


def _move_hottest_expert(
    layer: LayerMap, tokens: Sequence[float], slots: int
) -> LayerMap:
    by_rank = rank_loads(layer, tokens)
    hot = max(range(len(layer)), key=by_rank.__getitem__)
    cool = min(range(len(layer)), key=by_rank.__getitem__)
    movable = [expert for expert in layer[hot] if expert not in layer[cool]]
    if hot == cool or not movable:
        return layer
    expert = max(movable, key=tokens.__getitem__)
    source = [other for other in layer[hot] if other != expert]
    target = [*layer[cool], expert]
    if len(target) > slots:
        victim = min(layer[cool], key=tokens.__getitem__)
        target.remove(victim)
        if victim not in source:
            source.append(victim)
    changed = list(layer)
    changed[hot], changed[cool] = tuple(sorted(source)), tuple(sorted(target))
    return tuple(changed)


def _default(settings: BalanceSettings) -> Policy:
    from mustardfront.coordination.balancing._default import default_policy

    return default_policy(settings)


POLICIES: Final[Mapping[str, Callable[[BalanceSettings], Policy]]] = MappingProxyType(
    {
        "static": _static,
        "periodic": _periodic,
        "greedy": _greedy,
        "default": _default,
    }
)
