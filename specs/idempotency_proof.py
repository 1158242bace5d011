"""Inductive invariant that proves the guarantees of ``idempotency``."""

from __future__ import annotations

import z3

from specs._bmc import Formula, State
from specs.idempotency import (
    ATTEMPTS,
    CLAIMED,
    CLAIMING,
    DONE,
    FREE,
    IDLE,
    OWNERS,
    REFUSED,
    RUNNING,
    WAITING,
    guarantee,
)


def inductive_invariant(state: State) -> Formula:
    """Return the guarantee with the facts that make it inductive.

    An owner holds the key from the arrival of its claim until it refuses or finishes.
    The main fact: once the key has run or is held, no owner can write a claim or free
    the key, since each owner with the newest revision knows that the key is not free.
    """
    owners = range(OWNERS)
    holding = [_holds_key(state, owner) for owner in owners]
    one_may_start = z3.PbLe([(_may_start(state, owner), 1) for owner in owners], 1)
    in_use = z3.Or(state["runs"] != 0, *holding)
    not_claimable = [state["record"] != FREE]
    not_claimable += [
        z3.Implies(
            state[f"base{owner}"] == state["revision"], state[f"knows{owner}"] != FREE
        )
        for owner in owners
    ]
    facts = [
        guarantee(state),
        state["revision"] != 0,
        z3.ULE(state["record"], DONE),
        one_may_start,
        z3.Implies(
            state["runs"] != 0,
            z3.Not(z3.Or([_may_start(state, owner) for owner in owners])),
        ),
        z3.Implies(in_use, z3.And(not_claimable)),
    ]
    facts += [_owner_facts(state, owner, in_use) for owner in owners]
    facts += [_attempt_facts(state, attempt) for attempt in range(ATTEMPTS)]
    facts += [
        z3.Or(
            state[f"phase{one}"] == IDLE,
            state[f"phase{other}"] == IDLE,
            state[f"attempt{one}"] != state[f"attempt{other}"],
        )
        for one in owners
        for other in range(one)
    ]
    return z3.And(facts)


def _may_start(state: State, owner: int) -> Formula:
    phase = state[f"phase{owner}"]
    arrived = z3.And(phase == CLAIMING, state[f"applied{owner}"])
    return z3.Or(phase == CLAIMED, arrived)


def _holds_key(state: State, owner: int) -> Formula:
    return z3.Or(_may_start(state, owner), state[f"phase{owner}"] == RUNNING)


def _owner_facts(state: State, owner: int, in_use: Formula) -> Formula:
    """Return the facts about the variables of one owner."""
    phase, revision = state[f"phase{owner}"], state["revision"]
    base, sent_base = state[f"base{owner}"], state[f"sent_base{owner}"]
    sent, applied = state[f"sent{owner}"], state[f"applied{owner}"]
    unresolved = z3.Or(phase == CLAIMING, phase == REFUSED)
    in_transit = z3.And(sent, z3.Not(applied), sent_base == revision)
    refused_but_newest = z3.And(phase == REFUSED, applied, revision == sent_base + 1)
    consistent = z3.And(sent, base == sent_base, state[f"knows{owner}"] == FREE)
    facts = [
        z3.ULE(phase, REFUSED),
        z3.ULE(state[f"knows{owner}"], DONE),
        z3.ULT(state[f"attempt{owner}"], ATTEMPTS),
        z3.ULE(base, revision),
        z3.ULE(sent_base, revision),
        z3.Implies(applied, z3.And(sent, z3.ULT(sent_base, revision))),
        z3.Implies(unresolved, consistent),
        z3.Implies(in_transit, unresolved),
        z3.Implies(refused_but_newest, z3.Not(in_use)),
        z3.Implies(phase == RUNNING, state["runs"] != 0),
    ]
    for attempt in range(ATTEMPTS):
        is_current = state[f"attempt{owner}"] == attempt
        told, ran = state[f"told{attempt}"], state[f"ran{attempt}"]
        not_run_or_told = z3.And(told == WAITING, z3.Not(ran))
        facts += [
            z3.Implies(z3.And(phase != IDLE, is_current), state[f"taken{attempt}"]),
            z3.Implies(
                z3.And(z3.Or(phase == CLAIMING, phase == CLAIMED), is_current),
                not_run_or_told,
            ),
            z3.Implies(z3.And(phase == RUNNING, is_current), told == WAITING),
        ]
    return z3.And(facts)


def _attempt_facts(state: State, attempt: int) -> Formula:
    untouched = z3.And(
        state[f"told{attempt}"] == WAITING, z3.Not(state[f"ran{attempt}"])
    )
    return z3.Or(state[f"taken{attempt}"], untouched)
