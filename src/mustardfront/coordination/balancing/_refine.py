"""Incremental improvement of one layer's map, one step at a time."""

from __future__ import annotations

import itertools
from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from typing import Final

from mustardfront.state import LayerMap

# Only so many ranks with the fewest tokens are tried as targets, and so many of those
# that can take a replica without giving up their only copy of an expert.
_TARGETS: Final = 4
_ROOMY_TARGETS: Final = 8
_REPLICAS_AT_ONCE: Final = 3
# Of a target's experts, those that would even out the two ranks best are tried.
_VICTIMS: Final = 2
# A drop costs no bytes, but must not outweigh every move when steps are compared.
_DROP_COST: Final = 0.25
_EPSILON: Final = 1e-9


@dataclass(frozen=True, slots=True)
class RefineStep:
    """One change: experts added to and dropped from ranks, as (rank, expert).

    ``skew`` is the layer's skew after it, ``moves`` the experts to load for it.
    """

    adds: tuple[tuple[int, int], ...]
    drops: tuple[tuple[int, int], ...]
    skew: float
    moves: int


class _Layer:
    """A layer's placement under change; tokens are scaled to a mean rank of 1."""

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

    def is_roomy(self, rank: int) -> bool:
        """Say whether the rank has a free slot or an expert held elsewhere too."""
        held = self.held[rank]
        return len(held) < self.slots or any(
            len(self.holders[expert]) > 1 for expert in held
        )

    def after(
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
        """Change the placement and the loads."""
        for rank, load in self.after(adds, drops).items():
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
    """Return steps that each lower the hottest rank, the best for its cost first.

    Stops at the skew ``goal``. Deterministic; a step's work grows with the slots of
    a rank and the logarithm of the ranks.
    """
    state = _Layer(layer, tokens, slots)
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


def _best_change(state: _Layer, hot: int) -> _Change | None:
    best: _Change | None = None
    best_score = _EPSILON
    limit = state.loads[hot] - _EPSILON
    for change in _changes(state, hot):
        loads = state.after(*change)
        if max(loads.values()) >= limit:
            continue
        saved = sum(
            [_excess(state.loads[rank]) - _excess(load) for rank, load in loads.items()]
        ) / max(len(change[0]), _DROP_COST)
        if saved > best_score:
            best, best_score = change, saved
    return best


def _excess(load: float) -> float:
    """Return how far a rank is over the mean; ranks under it delay nobody."""
    return (load - 1.0) ** 2 if load > 1.0 else 0.0


def _changes(state: _Layer, hot: int) -> Iterator[_Change]:
    ranks = sorted(range(len(state.loads)), key=state.loads.__getitem__)
    roomy = list(itertools.islice(filter(state.is_roomy, ranks), _ROOMY_TARGETS))
    targets = sorted({*ranks[:_TARGETS], *roomy})
    for expert in state.held[hot]:
        replicated = len(state.holders[expert]) > 1
        if replicated:
            yield (), ((hot, expert),)
        for target in targets:
            if target == hot or expert in state.held[target]:
                continue
            yield from _changes_to(state, hot, expert, target)
        yield from _several_replicas(state, expert, roomy)


def _several_replicas(
    state: _Layer, expert: int, roomy: Sequence[int]
) -> Iterator[_Change]:
    """Yield additions of two and three replicas where one alone would not fit."""
    drops: list[tuple[int, int]] = []
    dropped: set[int] = set()
    adds: list[tuple[int, int]] = []
    for target in roomy:
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
        if len(adds) == _REPLICAS_AT_ONCE:
            return


def _changes_to(state: _Layer, hot: int, expert: int, target: int) -> Iterator[_Change]:
    add = (target, expert)
    leave = (hot, expert)
    if len(state.held[target]) < state.slots:
        yield (add,), ()
        yield (add,), (leave,)
        return
    share = state.share(expert)
    if len(state.held[hot]) < state.slots:
        # The hot rank keeps a replica and takes an expert over to make room.
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
