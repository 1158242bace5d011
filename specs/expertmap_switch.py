"""The switch of a group to another expert map: every rank uses one map in a step.

Two coordinators each propose a map for the same step of one formation, and each may
settle both proposals; they may be paused, doubled or replaced at any moment, so they
keep only what they have read so far, from one rank at a time. Orders stay in the
network and arrive late, again or never. A rank may restart, which loses its votes, or
leave for another formation; both end its part in this one. Fences are left out: the
property shall hold for ranks that ignore them.

``vote``: 0 none, 1 yes, 2 no. ``told``: 0 nothing, 1 commit, 2 abort. ``used``: the map
of the step, 0 not begun, 1 the old one, 2 and 3 the proposals' maps. Sources:
``coordination/expertmap/_coordinator.py``, ``mustardfront_standins/rank/_votes.py``.
"""

from __future__ import annotations

from functools import partial
from typing import Any, Final, Literal, TypeAlias

import z3

from specs._bmc import Action, Formula, Model, State, only

Defect: TypeAlias = Literal[
    "", "skipped-vote", "coordinator-decides", "restart-keeps-seat", "no-wait"
]

RANKS: Final = (0, 1, 2)
PROPOSALS: Final = (0, 1)
COORDINATORS: Final = (0, 1)
NONE, YES, NO = range(3)
COMMIT, ABORT = 1, 2
OLD: Final = 1
_SORT: Final = z3.BitVecSort(2)


def make_model(defect: Defect = "") -> Model:
    """Return the specification, with a deliberate defect when one is named."""
    variables: dict[str, Any] = {}
    actions: dict[str, Action] = {}
    for rank in RANKS:
        variables |= {f"in{rank}": z3.BoolSort(), f"used{rank}": _SORT}
        actions[f"restart{rank}"] = partial(_restart, rank, defect)
        actions[f"begin{rank}"] = partial(_begin, rank, defect)
        for prop in PROPOSALS:
            variables |= {f"vote{rank}{prop}": _SORT, f"told{rank}{prop}": _SORT}
            actions[f"yes{rank}{prop}"] = partial(_yes, rank, prop)
            actions[f"no{rank}{prop}"] = partial(_no, rank, prop)
            for outcome in (COMMIT, ABORT):
                name = f"tell{rank}{prop}{outcome}"
                actions[name] = partial(_tell, rank, prop, outcome)
            for who in COORDINATORS:
                variables[f"saw{who}{rank}{prop}"] = _SORT
                actions[f"read{who}{rank}{prop}"] = partial(_read, who, rank, prop)
    for prop in PROPOSALS:
        variables |= {f"sent{prop}{outcome}": z3.BoolSort() for outcome in (1, 2)}
        for who in COORDINATORS:
            for outcome in (COMMIT, ABORT):
                name = f"decide{who}{prop}{outcome}"
                actions[name] = partial(_decide, who, prop, outcome, defect)
    return Model("map switch", variables, _initial, actions, _safe, "QF_BV")


def _initial(state: State) -> Formula:
    return z3.And(
        *[value == 0 for value in state.values() if z3.is_bv(value)],
        *[state[f"in{rank}"] for rank in RANKS],
        *[z3.Not(state[f"sent{prop}{out}"]) for prop in PROPOSALS for out in (1, 2)],
    )


def _yes(rank: int, prop: int, now: State, after: State) -> Formula:
    """Vote yes: before the step, and while no other vote is open."""
    vote, other = f"vote{rank}{prop}", 1 - prop
    return z3.And(
        now[f"in{rank}"],
        now[vote] == NONE,
        now[f"used{rank}"] == 0,
        z3.Or(now[f"vote{rank}{other}"] != YES, now[f"told{rank}{other}"] != 0),
        # Versions that are older than one voted on get a no.
        z3.BoolVal(True) if prop else now[f"vote{rank}{other}"] == NONE,
        after[vote] == YES,
        only(now, after, vote),
    )


def _no(rank: int, prop: int, now: State, after: State) -> Formula:
    """Vote no, for a reason of the rank's own or because a coordinator asks to."""
    vote = f"vote{rank}{prop}"
    return z3.And(
        now[f"in{rank}"], now[vote] == NONE, after[vote] == NO, only(now, after, vote)
    )


def _begin(rank: int, defect: Defect, now: State, after: State) -> Formula:
    """Begin the step, with the newest map that is known to be committed."""
    used = f"used{rank}"
    closed = [
        z3.Or(now[f"vote{rank}{prop}"] != YES, now[f"told{rank}{prop}"] != 0)
        for prop in PROPOSALS
    ]
    chosen = z3.If(
        now[f"told{rank}1"] == COMMIT,
        z3.BitVecVal(3, 2),
        z3.If(now[f"told{rank}0"] == COMMIT, z3.BitVecVal(2, 2), z3.BitVecVal(OLD, 2)),
    )
    return z3.And(
        now[f"in{rank}"],
        now[used] == 0,
        z3.BoolVal(True) if defect == "no-wait" else z3.And(closed),
        after[used] == chosen,
        only(now, after, used),
    )


def _restart(rank: int, defect: Defect, now: State, after: State) -> Formula:
    """Lose the votes and the seat; what was used stays for the property."""
    seat = f"in{rank}"
    if defect != "restart-keeps-seat":
        return z3.And(now[seat], z3.Not(after[seat]), only(now, after, seat))
    lost = [f"{name}{rank}{prop}" for name in ("vote", "told") for prop in PROPOSALS]
    return z3.And(
        now[seat], *[after[name] == 0 for name in lost], only(now, after, *lost)
    )


def _read(who: int, rank: int, prop: int, now: State, after: State) -> Formula:
    """Read a vote of a rank that is still in the formation."""
    saw = f"saw{who}{rank}{prop}"
    vote = now[f"vote{rank}{prop}"]
    return z3.And(now[f"in{rank}"], after[saw] == vote, only(now, after, saw))


def _decide(
    who: int, prop: int, outcome: int, defect: Defect, now: State, after: State
) -> Formula:
    """Send what the votes say; the message stays in the network."""
    saw = [now[f"saw{who}{rank}{prop}"] for rank in RANKS]
    if outcome == COMMIT:
        needed = RANKS[1:] if defect == "skipped-vote" else RANKS
        allowed = z3.And([saw[rank] == YES for rank in needed])
    elif defect == "coordinator-decides":
        allowed = z3.BoolVal(True)
    else:
        allowed = z3.Or([vote == NO for vote in saw])
    sent = f"sent{prop}{outcome}"
    return z3.And(allowed, after[sent], only(now, after, sent))


def _tell(rank: int, prop: int, outcome: int, now: State, after: State) -> Formula:
    """Deliver an outcome to the start of the rank that it is addressed to."""
    told = f"told{rank}{prop}"
    return z3.And(
        now[f"in{rank}"],
        now[f"sent{prop}{outcome}"],
        now[f"vote{rank}{prop}"] == YES,
        now[told] == 0,
        after[told] == outcome,
        only(now, after, told),
    )


def one_map(state: State) -> Formula:
    """Return that no two ranks used different maps in the step."""
    pairs = [(a, b) for a in RANKS for b in RANKS if a < b]
    return z3.And(
        [
            z3.Or(
                state[f"used{a}"] == 0,
                state[f"used{b}"] == 0,
                state[f"used{a}"] == state[f"used{b}"],
            )
            for a, b in pairs
        ]
    )


def _safe(state: State) -> Formula:
    return one_map(state)


def strengthen(model: Model) -> Model:
    """Return the model with an invariant that is inductive."""

    def invariant(state: State) -> Formula:
        return z3.And(one_map(state), *[_votes_rule(state, p) for p in PROPOSALS])

    return Model(
        "map switch, inductive",
        model.variables,
        model.initial,
        model.actions,
        invariant,
        model.logic,
    )


def _votes_rule(state: State, prop: int) -> Formula:
    """Return that what was read, sent, told and used agrees with the votes."""
    votes = [state[f"vote{rank}{prop}"] for rank in RANKS]
    parts = [
        z3.Implies(state[f"sent{prop}1"], z3.And([vote == YES for vote in votes])),
        z3.Implies(state[f"sent{prop}2"], z3.Or([vote == NO for vote in votes])),
    ]
    for rank in RANKS:
        told, used = state[f"told{rank}{prop}"], state[f"used{rank}"]
        new_map = 2 + prop
        newest = z3.And(told == COMMIT, state[f"told{rank}1"] != COMMIT)
        if prop:
            newest = told == COMMIT
        parts += [
            votes[rank] != 3,
            told != 3,
            z3.Implies(told == COMMIT, state[f"sent{prop}1"]),
            z3.Implies(told == ABORT, state[f"sent{prop}2"]),
            z3.Implies(told != 0, votes[rank] == YES),
            z3.Implies(z3.And(used != 0, votes[rank] == YES), told != 0),
            z3.Implies(used != 0, (used == new_map) == newest),
        ]
        for who in COORDINATORS:
            saw = state[f"saw{who}{rank}{prop}"]
            parts.append(z3.Implies(saw != NONE, saw == votes[rank]))
    return z3.And(parts)
