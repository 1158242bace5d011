"""Inductive invariant that proves that ``timed_switch`` keeps one map in force."""

from __future__ import annotations

import z3

from specs._bmc import Formula, State
from specs.timed_switch import (
    HOLDERS,
    RANKS,
    STEPS,
    VERSIONS,
    all_armed,
    is_held,
    is_new,
    is_superseded,
    never_sent,
    one_map,
)


def inductive_invariant(state: State) -> Formula:
    """Return ``one_map`` with the conditions that make it inductive."""
    return z3.And(
        one_map(state),
        *[
            z3.Or(state[f"held{one}"] == 0, z3.UGT(state[f"held{one}"], state["step"]))
            for one in HOLDERS
        ],
        *[_rank_invariant(state, rank) for rank in RANKS],
        *[_version_invariant(state, version) for version in VERSIONS],
        *[
            _release_invariant(state, holder, step)
            for holder in HOLDERS
            for step in STEPS
        ],
    )


def _rank_invariant(state: State, rank: int) -> Formula:
    """Return whether a rank is armed as ordered, for its prepared version, in time."""
    arm, at, prep = state[f"arm{rank}"], state[f"at{rank}"], state[f"prep{rank}"]
    ordered = z3.Or(
        [
            z3.And(arm == version, at == step, state[f"a{version}{step}"])
            for version in VERSIONS
            for step in STEPS
        ]
    )
    in_time = z3.And(arm == prep, z3.UGT(at, state["step"]), ordered)
    return z3.And(
        z3.ULE(state[f"map{rank}"], prep),
        z3.Or(arm == 0, z3.And(in_time, arm != state[f"map{rank}"])),
    )


def _version_invariant(state: State, version: int) -> Formula:
    """Return the conditions that the orders about a version imply.

    An order to arm was sent only once all ranks had prepared the version, and for one
    step only. The group stays held at that step until the version is in force, armed on
    all ranks, or superseded on all ranks.
    """
    steps = [state[f"a{version}{step}"] for step in STEPS]
    sent = z3.Or(steps)
    all_prepared_it = z3.And([z3.UGE(state[f"prep{rank}"], version) for rank in RANKS])
    superseded_everywhere = z3.And(
        [z3.UGT(state[f"prep{rank}"], version) for rank in RANKS]
    )
    in_force = z3.Not(is_new(state, version))
    held_or_armed = z3.Or(
        [
            z3.And(
                state[f"a{version}{step}"],
                z3.UGT(step, state["step"]),
                z3.Or(is_held(state, step), all_armed(state, version, step)),
            )
            for step in STEPS
        ]
    )
    noted_before_direct = [
        z3.Implies(state[f"b{version}{step}"], state[f"a{version}{step}"])
        for step in STEPS
    ]
    return z3.And(
        *noted_before_direct,
        z3.Implies(state[f"d{version}"], is_superseded(state, version)),
        z3.Implies(sent, z3.And(all_prepared_it, z3.AtMost(*steps, 1))),
        z3.Implies(sent, z3.Or(superseded_everywhere, in_force, held_or_armed)),
        z3.Implies(in_force, sent),
    )


def _release_invariant(state: State, holder: int, step: int) -> Formula:
    """Return whether a released step has begun, or nothing mixed can happen at it.

    All ranks switch at it or later, or no rank can ever be armed for it.
    """
    armed_in_time = [
        all_armed(state, version, one)
        for version in VERSIONS
        for one in STEPS
        if one >= step
    ]
    return z3.Implies(
        state[f"r{holder}{step}"],
        z3.Or(
            z3.UGE(state["step"], step),
            z3.And(state[f"x{step}"], never_sent(state, step)),
            *armed_in_time,
        ),
    )
