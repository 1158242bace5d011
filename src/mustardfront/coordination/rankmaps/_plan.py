"""Plans which experts to replicate, within what ranks can load in a short time.

All ranks wait for the most loaded one in each layer, so the cost of a map is the sum
over layers of the largest rank load. Popularity shifts within seconds, and loading an
expert takes a large part of a second, so a plan makes only the few changes that save
most.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Final

from mustardfront.state import LayerMap

# Only the experts that contribute most to the most loaded rank are tried, and for each
# only the least loaded ranks as targets of a new replica.
_CANDIDATE_EXPERTS: Final = 4
_CANDIDATE_TARGETS: Final = 6
# Layers whose largest rank load is this close to the mean are not changed.
_SKEW_TOLERANCE: Final = 0.02
# A change, even one that loads no expert, must lower the largest rank load by at least
# this share of the mean.
_GAIN_MIN: Final = 0.005
_CHANGES_MAX: Final = 400


@dataclass(frozen=True, slots=True)
class PlanLimits:
    """Limits on what one change of the map may require of a rank.

    A rank has ``slots`` experts per layer. It may load ``new_experts_max`` experts over
    all layers and ``layer_new_experts_max`` in one layer. Loading an expert must lower
    the largest rank load of its layer by at least ``new_expert_gain_min`` of the mean.
    """

    slots: int
    new_experts_max: int
    layer_new_experts_max: int
    new_expert_gain_min: float = 0.0


@dataclass(frozen=True, slots=True)
class Plan:
    """A new map's layers, and the cost of both maps relative to a balanced one.

    ``new_experts`` counts the experts that all ranks load, ``rank_new_experts_max``
    those of the rank that loads most.
    """

    layers: tuple[LayerMap, ...]
    cost_before: float
    cost_after: float
    new_experts: int
    rank_new_experts_max: int


@dataclass(frozen=True, slots=True)
class _Change:
    """Add ``expert`` to rank ``target``, replacing ``evicted`` (-1: a free slot).

    A ``target`` of -1 adds no replica. ``source`` is a rank that drops its replica of
    the expert (-1: none). ``gain`` is the decrease of the largest rank load.
    """

    gain: float
    expert: int
    target: int
    evicted: int
    source: int


class _Layer:
    """A layer while it is planned; loads are scaled to a mean of 1 per rank.

    ``slowness`` is how much longer than usual each rank takes for the same tokens; the
    load of a rank is multiplied by it.
    """

    def __init__(
        self, layer: LayerMap, tokens: Sequence[float], slowness: Sequence[float]
    ) -> None:
        ranks = len(layer)
        self.slowness = slowness
        scale = ranks / (sum(tokens) or 1.0)
        self.expert_loads = [count * scale for count in tokens]
        self.experts_by_rank = [set(experts) for experts in layer]
        self.initial_experts = [frozenset(experts) for experts in layer]
        self.ranks_by_expert: list[set[int]] = [set() for _ in tokens]
        for rank, experts in enumerate(layer):
            for expert in experts:
                self.ranks_by_expert[expert].add(rank)
        self.rank_loads = [
            slowness[rank] * sum([self.load_per_replica(expert) for expert in experts])
            for rank, experts in enumerate(self.experts_by_rank)
        ]

    def load_per_replica(self, expert: int) -> float:
        """Return the load of each replica of an expert."""
        return self.expert_loads[expert] / len(self.ranks_by_expert[expert])

    def new_expert_count(self, rank: int) -> int:
        """Return how many experts the planned changes make a rank load."""
        return len(self.experts_by_rank[rank] - self.initial_experts[rank])

    def loads_expert(self, change: _Change) -> bool:
        """Return whether a change makes a rank load an expert."""
        target = change.target
        return target >= 0 and change.expert not in self.initial_experts[target]

    def apply(self, change: _Change) -> None:
        """Apply a change to the layer's placement and loads."""
        if change.evicted >= 0:
            self._drop(change.target, change.evicted)
        if change.target >= 0:
            self._add(change.target, change.expert)
        if change.source >= 0:
            self._drop(change.source, change.expert)

    def _add(self, rank: int, expert: int) -> None:
        self._change_replicas(expert, {rank}, set())

    def _drop(self, rank: int, expert: int) -> None:
        self._change_replicas(expert, set(), {rank})

    def _change_replicas(self, expert: int, added: set[int], removed: set[int]) -> None:
        holding_ranks = self.ranks_by_expert[expert]
        old = self.load_per_replica(expert)
        for rank in holding_ranks:
            self.rank_loads[rank] -= old * self.slowness[rank]
        holding_ranks |= added
        holding_ranks -= removed
        for rank in added:
            self.experts_by_rank[rank].add(expert)
        for rank in removed:
            self.experts_by_rank[rank].discard(expert)
        new = self.load_per_replica(expert)
        for rank in holding_ranks:
            self.rank_loads[rank] += new * self.slowness[rank]

    def best_change(
        self, limits: PlanLimits, new_experts_left: Sequence[int]
    ) -> _Change | None:
        """Return the change that lowers the load of the most loaded rank most.

        ``new_experts_left`` is how many more experts each rank may load.
        """
        hot = max(range(len(self.rank_loads)), key=self.rank_loads.__getitem__)
        if self.rank_loads[hot] <= 1.0 + _SKEW_TOLERANCE:
            return None
        coolest = sorted(range(len(self.rank_loads)), key=self.rank_loads.__getitem__)
        hottest = sorted(
            self.experts_by_rank[hot], key=self.load_per_replica, reverse=True
        )
        best: _Change | None = None
        for expert in hottest[:_CANDIDATE_EXPERTS]:
            replica_count = len(self.ranks_by_expert[expert])
            if replica_count > 1:
                best = _better_change(best, self._drop_change(hot, expert))
            tried = 0
            for target in coolest:
                if target == hot or expert in self.experts_by_rank[target]:
                    continue
                is_new = expert not in self.initial_experts[target]
                if is_new and (
                    new_experts_left[target] < 1
                    or self.new_expert_count(target) >= limits.layer_new_experts_max
                ):
                    continue
                best = _better_change(
                    best, self._replicate_change(hot, expert, target, limits)
                )
                tried += 1
                if tried == _CANDIDATE_TARGETS:
                    break
        return best

    def _drop_change(self, hot: int, expert: int) -> _Change | None:
        remaining = len(self.ranks_by_expert[expert]) - 1
        old, new = self.load_per_replica(expert), self.expert_loads[expert] / remaining
        highest = max(
            self.rank_loads[rank] + (new - old) * self.slowness[rank]
            for rank in self.ranks_by_expert[expert]
            if rank != hot
        )
        if highest >= self.rank_loads[hot]:
            return None
        after = max(highest, self.rank_loads[hot] - old * self.slowness[hot])
        return _Change(self.rank_loads[hot] - after, expert, -1, -1, hot)

    def _replicate_change(
        self, hot: int, expert: int, target: int, limits: PlanLimits
    ) -> _Change | None:
        count = len(self.ranks_by_expert[expert])
        old, new = (
            self.load_per_replica(expert),
            self.expert_loads[expert] / (count + 1),
        )
        evicted = -1
        freed = 0.0
        if len(self.experts_by_rank[target]) >= limits.slots:
            evicted = self._cheapest_eviction(target, expert)
            if evicted < 0:
                return None
            freed = self.load_per_replica(evicted)
            spread = (
                self.expert_loads[evicted] / (len(self.ranks_by_expert[evicted]) - 1)
                - freed
            )
            # The other replicas of the evicted expert take over its load.
            others = [
                self.rank_loads[rank] + spread * self.slowness[rank]
                for rank in self.ranks_by_expert[evicted]
                if rank != target
            ]
            if max(others) >= self.rank_loads[hot]:
                return None
        at_target = self.rank_loads[target] + (new - freed) * self.slowness[target]
        if at_target >= self.rank_loads[hot]:
            return None
        saved = (old - new) * self.slowness[hot]
        after = max(at_target, self.rank_loads[hot] - saved)
        return _Change(self.rank_loads[hot] - after, expert, target, evicted, -1)

    def _cheapest_eviction(self, target: int, expert: int) -> int:
        """Return the replica whose eviction from the target costs least, or -1."""
        best, lowest_cost = -1, float("inf")
        for other in self.experts_by_rank[target]:
            count = len(self.ranks_by_expert[other])
            if other == expert or count < 2:
                continue
            cost = self.expert_loads[other] / (count * (count - 1))
            if cost < lowest_cost:
                best, lowest_cost = other, cost
        return best

    def placement(self) -> LayerMap:
        """Return the planned placement of the layer."""
        return tuple(tuple(sorted(experts)) for experts in self.experts_by_rank)


def _better_change(best: _Change | None, other: _Change | None) -> _Change | None:
    if other is None or (best is not None and best.gain >= other.gain):
        return best
    return other


def layer_cost(layer: LayerMap, tokens: Sequence[float]) -> float:
    """Return the largest rank load relative to the mean, 1 without tokens."""
    slowness = [1.0] * len(layer)
    return max(_Layer(layer, tokens, slowness).rank_loads) if sum(tokens) else 1.0


def plan_layers(
    layers: Sequence[LayerMap],
    loads: Sequence[Sequence[float]],
    limits: PlanLimits,
    slowness: Sequence[float] | None = None,
) -> Plan:
    """Plan the changes that lower the sum of the layers' largest rank loads most.

    ``loads`` are the tokens of each expert by layer, ``slowness`` is how much longer
    than usual each rank takes for the same tokens (None: no rank is slow).
    """
    by_rank = slowness or [1.0] * len(layers[0])
    states = [
        _Layer(layer, tokens, by_rank)
        for layer, tokens in zip(layers, loads, strict=True)
    ]
    cost_before = sum(max(state.rank_loads) for state in states) / len(states)
    new_experts_left = [limits.new_experts_max] * len(layers[0])
    open_layers = set(range(len(states)))
    for _ in range(_CHANGES_MAX):
        if not open_layers:
            break
        # The layer with the largest rank load is changed first.
        index = max(open_layers, key=lambda i: max(states[i].rank_loads))
        state = states[index]
        change = state.best_change(limits, new_experts_left)
        loads_expert = change is not None and state.loads_expert(change)
        gain_min = limits.new_expert_gain_min if loads_expert else _GAIN_MIN
        if change is None or change.gain < max(gain_min, _GAIN_MIN):
            open_layers.discard(index)
            continue
        state.apply(change)
        for rank in (change.target, change.source):
            # A planned expert that is dropped again need not be loaded.
            if rank >= 0:
                loaded = sum(layer.new_expert_count(rank) for layer in states)
                new_experts_left[rank] = limits.new_experts_max - loaded
    cost_after = sum(max(state.rank_loads) for state in states) / len(states)
    new = [limits.new_experts_max - left for left in new_experts_left]
    return Plan(
        tuple(state.placement() for state in states),
        cost_before,
        cost_after,
        sum(new),
        max(new),
    )
