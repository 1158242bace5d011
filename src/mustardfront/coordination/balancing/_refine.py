"""Incremental improvement of one layer's map, one step at a time."""

from __future__ import annotations

import itertools
from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from typing import Final

from mustardfront.state import LayerMap

# Number of least loaded ranks to try as targets, and of least loaded ranks that can
# take a replica without dropping the only copy of an expert.
_TARGETS: Final = 4
_REPLICA_TARGETS: Final = 8
_REPLICAS_PER_STEP_MAX: Final = 3
# Number of a target's experts to try: those that best even out the two ranks.
_VICTIMS: Final = 2
# Cost of a step that only drops. It transfers no bytes, but too low a cost would
# rank every drop above all moves.
_DROP_COST: Final = 0.25
_EPSILON: Final = 1e-9


@dataclass(frozen=True, slots=True)
class RefineStep:
    """One change of a layer: (rank, expert) pairs to add and to drop.

    ``skew`` is the layer's skew after it, ``moves`` the experts to load for it.
    """

    adds: tuple[tuple[int, int], ...]
    drops: tuple[tuple[int, int], ...]
    skew: float
    moves: int


class _Placement:
    """Mutable placement of a layer; tokens are scaled to a mean rank load of 1."""

    def __init__(self, layer: LayerMap, tokens: Sequence[float], slots: int) -> None:
        self.slots = slots
        self.held = [list(held) for held in layer]
        self.holders: list[list[int]] = [[] for _ in tokens]
        for rank, held in enumerate(layer):
            for expert in held:
                self.holders[expert].append(rank)
        scale = len(layer) / (sum(tokens) or 1.0)
        self.tokens = [count * scale for count in tokens]
        self.loads = [
            sum(self.tokens[expert] / len(self.holders[expert]) for expert in held)
            for held in layer
        ]

    def share(self, expert: int) -> float:
        """Return the load of one replica of the expert."""
        return self.tokens[expert] / len(self.holders[expert])

    def can_take_replica(self, rank: int) -> bool:
        """Return whether the rank has a free slot or an expert with other replicas."""
        held = self.held[rank]
        return len(held) < self.slots or any(
            len(self.holders[expert]) > 1 for expert in held
        )

    def loads_after(
        self, adds: tuple[tuple[int, int], ...], drops: tuple[tuple[int, int], ...]
    ) -> dict[int, float]:
        """Return the new loads of all ranks that the change affects."""
        loads: dict[int, float] = {}
        for expert in {expert for _, expert in (*adds, *drops)}:
            before = self.holders[expert]
            gone = [rank for rank, other in drops if other == expert]
            come = [rank for rank, other in adds if other == expert]
            old = self.tokens[expert] / len(before)
            new = self.tokens[expert] / (len(before) + len(come) - len(gone))
            for rank in before:
                change = -old if rank in gone else new - old
                loads[rank] = loads.get(rank, self.loads[rank]) + change
            for rank in come:
                loads[rank] = loads.get(rank, self.loads[rank]) + new
        return loads

    def apply(
        self, adds: tuple[tuple[int, int], ...], drops: tuple[tuple[int, int], ...]
    ) -> None:
        """Apply a change to the placement and the loads."""
        for rank, load in self.loads_after(adds, drops).items():
            self.loads[rank] = load
        for rank, expert in drops:
            self.held[rank].remove(expert)
            self.holders[expert].remove(rank)
        for rank, expert in adds:
            self.held[rank].append(expert)
            self.holders[expert].append(rank)


def refine(
    layer: LayerMap,
    tokens: Sequence[float],
    slots: int,
    max_steps: int,
    goal: float = 1.0,
) -> list[RefineStep]:
    """Return steps that each lower the hottest rank's load, chosen by saving per cost.

    Stops at the skew ``goal``. Deterministic; a step's work grows with the slots of
    a rank and the logarithm of the ranks.
    """
    state = _Placement(layer, tokens, slots)
    steps: list[RefineStep] = []
    while len(steps) < max_steps:
        hot = max(range(len(state.loads)), key=state.loads.__getitem__)
        if state.loads[hot] <= goal:
            break
        best = _best_change(state, hot)
        if best is None:
            break
        adds, drops = best
        state.apply(adds, drops)
        steps.append(RefineStep(adds, drops, max(state.loads), len(adds)))
    return steps


def apply_steps(layer: LayerMap, steps: Sequence[RefineStep]) -> LayerMap:
    """Return the layer after the steps."""
    held = [set(experts) for experts in layer]
    for step in steps:
        for rank, expert in step.drops:
            held[rank].remove(expert)
        for rank, expert in step.adds:
            held[rank].add(expert)
    return tuple(tuple(sorted(experts)) for experts in held)


_Change = tuple[tuple[tuple[int, int], ...], tuple[tuple[int, int], ...]]


def _best_change(state: _Placement, hot: int) -> _Change | None:
    best: _Change | None = None
    best_score = _EPSILON
    limit = state.loads[hot] - _EPSILON
    for change in _candidate_changes(state, hot):
        loads = state.loads_after(*change)
        if max(loads.values()) >= limit:
            continue
        saved = sum(
            [_excess(state.loads[rank]) - _excess(load) for rank, load in loads.items()]
        ) / max(len(change[0]), _DROP_COST)
        if saved > best_score:
            best, best_score = change, saved
    return best


def _excess(load: float) -> float:
    """Return the squared load above the mean; ranks below it cause no delay."""
    return (load - 1.0) ** 2 if load > 1.0 else 0.0


def _candidate_changes(state: _Placement, hot: int) -> Iterator[_Change]:
    ranks = sorted(range(len(state.loads)), key=state.loads.__getitem__)
    replica_targets = list(
        itertools.islice(filter(state.can_take_replica, ranks), _REPLICA_TARGETS)
    )
    targets = sorted({*ranks[:_TARGETS], *replica_targets})
    for expert in state.held[hot]:
        replicated = len(state.holders[expert]) > 1
        if replicated:
            yield (), ((hot, expert),)
        for target in targets:
            if target == hot or expert in state.held[target]:
                continue
            yield from _target_changes(state, hot, expert, target)
        yield from _multi_replica_changes(state, expert, replica_targets)


def _multi_replica_changes(
    state: _Placement, expert: int, replica_targets: Sequence[int]
) -> Iterator[_Change]:
    """Yield additions of two or three replicas, where one alone would not fit."""
    drops: list[tuple[int, int]] = []
    dropped: set[int] = set()
    adds: list[tuple[int, int]] = []
    for target in replica_targets:
        if expert in state.held[target]:
            continue
        if len(state.held[target]) >= state.slots:
            victims = [
                other
                for other in state.held[target]
                if len(state.holders[other]) > 1 and other not in dropped
            ]
            if not victims:
                continue
            victim = min(victims, key=state.tokens.__getitem__)
            dropped.add(victim)
            drops.append((target, victim))
        adds.append((target, expert))
        if len(adds) > 1:
            yield tuple(adds), tuple(drops)
        if len(adds) == _REPLICAS_PER_STEP_MAX:
            return


def _target_changes(
    state: _Placement, hot: int, expert: int, target: int
) -> Iterator[_Change]:
    add = (target, expert)
    leave = (hot, expert)
    if len(state.held[target]) < state.slots:
        yield (add,), ()
        yield (add,), (leave,)
        return
    share = state.share(expert)
    if len(state.held[hot]) < state.slots:
        # The hot rank keeps its replica and takes an expert from the target to free a
        # slot there.
        victims = [
            other for other in state.held[target] if other not in state.held[hot]
        ]
        if victims:
            victim = max(victims, key=state.share)
            yield (add, (hot, victim)), ((target, victim),)
    ideal = share - (state.loads[hot] - state.loads[target]) / 2
    fitting = sorted(
        state.held[target], key=lambda victim: abs(state.share(victim) - ideal)
    )
    for victim in fitting[:_VICTIMS]:
        gone = (target, victim)
        if len(state.holders[victim]) > 1:
            yield (add,), (gone,)
            if victim not in state.held[hot]:
                yield (add,), (gone, leave)
        elif victim not in state.held[hot]:
            yield (add, (hot, victim)), (gone, leave)
