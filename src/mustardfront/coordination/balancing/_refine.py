"""Incremental improvement of one layer's map, one step at a time."""

from __future__ import annotations

import heapq
from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from typing import Final

from mustardfront.state import LayerMap

# Only the ranks with the fewest tokens are tried as targets, which bounds a step's time.
_TARGETS: Final = 6
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
    layer: LayerMap, tokens: Sequence[float], slots: int, max_steps: int
) -> list[RefineStep]:
    """Return steps that each lower the hottest rank, the best for its cost first.

    Deterministic; the work is bounded by ``max_steps`` times slots squared.
    """
    state = _Layer(layer, tokens, slots)
    steps: list[RefineStep] = []
    while len(steps) < max_steps:
        hot = max(range(len(state.loads)), key=state.loads.__getitem__)
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
            state.loads[rank] ** 2 - load**2 for rank, load in loads.items()
        ) / max(len(change[0]), _DROP_COST)
        if saved > best_score:
            best, best_score = change, saved
    return best


def _changes(state: _Layer, hot: int) -> Iterator[_Change]:
    targets = heapq.nsmallest(
        _TARGETS, range(len(state.loads)), key=state.loads.__getitem__
    )
    for expert in state.held[hot]:
        replicated = len(state.holders[expert]) > 1
        if replicated:
            yield (), ((hot, expert),)
        for target in targets:
            if target == hot or expert in state.held[target]:
                continue
            yield from _changes_to(state, hot, expert, target)


def _changes_to(state: _Layer, hot: int, expert: int, target: int) -> Iterator[_Change]:
    add = (target, expert)
    leave = (hot, expert)
    if len(state.held[target]) < state.slots:
        yield (add,), ()
        yield (add,), (leave,)
        return
    for victim in state.held[target]:
        gone = (target, victim)
        if len(state.holders[victim]) > 1:
            yield (add,), (gone,)
            if victim not in state.held[hot]:
                yield (add,), (gone, leave)
        elif victim not in state.held[hot]:
            yield (add, (hot, victim)), (gone, leave)
