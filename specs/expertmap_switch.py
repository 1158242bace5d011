"""Switch of a group to another expert map: all ranks use the same map in a step.

A formation is a joint start of all ranks on one map. There are two proposals
(``prop``), each of a map for the same step of one formation. Either of two coordinators
may decide either proposal. Coordinators may be paused, duplicated or replaced at any
time, so that their only state is the votes that they have read, one rank at a time.
Messages stay in the network and arrive late, repeatedly or never. A rank may restart,
which loses its votes, or join another formation; either ends its membership in this
one. Fences are not modelled: the property must hold for ranks that ignore them.

``in``: whether the rank is a member of the formation. ``vote``: 0 none, 1 yes, 2 no.
``saw``: the vote that a coordinator has read. ``sent``: whether an outcome was sent.
``told``: the outcome that a rank received, 0 none, 1 commit, 2 abort. ``used``: the map
of the step, 0 not begun, 1 the old one, 2 and 3 the proposed maps. Sources:
``coordination/expertmap/_coordinator.py``, ``mustardfront_standins/rank/_votes.py``.

Defects: ``skipped-vote`` (a commit needs no vote of rank 0), ``coordinator-decides``
(an abort is sent without a no vote), ``restart-keeps-seat`` (a rank that restarts loses
its votes but stays a member) and ``no-wait`` (a rank begins the step while a yes vote
awaits its outcome).
"""

from __future__ import annotations

from functools import partial
from typing import Any, Final, Literal, TypeAlias

import z3

from specs._bmc import Action, Formula, Model, State, unchanged_except

Defect: TypeAlias = Literal[
    "", "skipped-vote", "coordinator-decides", "restart-keeps-seat", "no-wait"
]

RANKS: Final = (0, 1, 2)
PROPOSALS: Final = (0, 1)
COORDINATORS: Final = (0, 1)
NONE, YES, NO = range(3)
COMMIT, ABORT = 1, 2
OLD_MAP: Final = 1
_SORT: Final = z3.BitVecSort(2)


def make_model(defect: Defect = "") -> Model:
    """Return the specification, with a deliberate defect when one is named."""
    variables: dict[str, Any] = {}
    actions: dict[str, Action] = {}
    for rank in RANKS:
        variables |= {f"in{rank}": z3.BoolSort(), f"used{rank}": _SORT}
        actions[f"restart{rank}"] = partial(_restart, rank, defect)
        actions[f"begin{rank}"] = partial(_begin_step, rank, defect)
        for prop in PROPOSALS:
            variables |= {f"vote{rank}{prop}": _SORT, f"told{rank}{prop}": _SORT}
            actions[f"yes{rank}{prop}"] = partial(_vote_yes, rank, prop)
            actions[f"no{rank}{prop}"] = partial(_vote_no, rank, prop)
            for outcome in (COMMIT, ABORT):
                name = f"tell{rank}{prop}{outcome}"
                actions[name] = partial(_deliver_outcome, rank, prop, outcome)
            for who in COORDINATORS:
                variables[f"saw{who}{rank}{prop}"] = _SORT
                actions[f"read{who}{rank}{prop}"] = partial(_read, who, rank, prop)
    for prop in PROPOSALS:
        variables |= {f"sent{prop}{outcome}": z3.BoolSort() for outcome in (1, 2)}
        for who in COORDINATORS:
            for outcome in (COMMIT, ABORT):
                name = f"decide{who}{prop}{outcome}"
                actions[name] = partial(_send_outcome, who, prop, outcome, defect)
    return Model("map switch", variables, _initial, actions, _invariant, "QF_BV")


def _initial(state: State) -> Formula:
    return z3.And(
        *[value == 0 for value in state.values() if z3.is_bv(value)],
        *[state[f"in{rank}"] for rank in RANKS],
        *[z3.Not(state[f"sent{prop}{out}"]) for prop in PROPOSALS for out in (1, 2)],
    )


def _vote_yes(rank: int, prop: int, now: State, after: State) -> Formula:
    """Vote yes: before the step, and while no other yes vote awaits its outcome."""
    vote, other = f"vote{rank}{prop}", 1 - prop
    return z3.And(
        now[f"in{rank}"],
        now[vote] == NONE,
        now[f"used{rank}"] == 0,
        z3.Or(now[f"vote{rank}{other}"] != YES, now[f"told{rank}{other}"] != 0),
        # A rank that has voted on a version votes no on older ones.
        z3.BoolVal(True) if prop else now[f"vote{rank}{other}"] == NONE,
        after[vote] == YES,
        unchanged_except(now, after, vote),
    )


def _vote_no(rank: int, prop: int, now: State, after: State) -> Formula:
    """Vote no, on the rank's own account or at the request of a coordinator."""
    vote = f"vote{rank}{prop}"
    return z3.And(
        now[f"in{rank}"],
        now[vote] == NONE,
        after[vote] == NO,
        unchanged_except(now, after, vote),
    )


def _begin_step(rank: int, defect: Defect, now: State, after: State) -> Formula:
    """Begin the step with the newest map whose commit the rank has received."""
    used = f"used{rank}"
    decided = [
        z3.Or(now[f"vote{rank}{prop}"] != YES, now[f"told{rank}{prop}"] != 0)
        for prop in PROPOSALS
    ]
    chosen = z3.If(
        now[f"told{rank}1"] == COMMIT,
        z3.BitVecVal(3, 2),
        z3.If(
            now[f"told{rank}0"] == COMMIT, z3.BitVecVal(2, 2), z3.BitVecVal(OLD_MAP, 2)
        ),
    )
    return z3.And(
        now[f"in{rank}"],
        now[used] == 0,
        z3.BoolVal(True) if defect == "no-wait" else z3.And(decided),
        after[used] == chosen,
        unchanged_except(now, after, used),
    )


def _restart(rank: int, defect: Defect, now: State, after: State) -> Formula:
    """Restart: lose the votes and the membership; keep ``used`` for the property."""
    member = f"in{rank}"
    if defect != "restart-keeps-seat":
        return z3.And(
            now[member], z3.Not(after[member]), unchanged_except(now, after, member)
        )
    lost = [f"{name}{rank}{prop}" for name in ("vote", "told") for prop in PROPOSALS]
    return z3.And(
        now[member],
        *[after[name] == 0 for name in lost],
        unchanged_except(now, after, *lost),
    )


def _read(who: int, rank: int, prop: int, now: State, after: State) -> Formula:
    """Let a coordinator read the vote of a rank that is still a member."""
    seen = f"saw{who}{rank}{prop}"
    vote = now[f"vote{rank}{prop}"]
    return z3.And(
        now[f"in{rank}"], after[seen] == vote, unchanged_except(now, after, seen)
    )


def _send_outcome(
    who: int, prop: int, outcome: int, defect: Defect, now: State, after: State
) -> Formula:
    """Send the outcome that the read votes allow; it stays in the network."""
    seen = [now[f"saw{who}{rank}{prop}"] for rank in RANKS]
    if outcome == COMMIT:
        required = RANKS[1:] if defect == "skipped-vote" else RANKS
        allowed = z3.And([seen[rank] == YES for rank in required])
    elif defect == "coordinator-decides":
        allowed = z3.BoolVal(True)
    else:
        allowed = z3.Or([vote == NO for vote in seen])
    sent = f"sent{prop}{outcome}"
    return z3.And(allowed, after[sent], unchanged_except(now, after, sent))


def _deliver_outcome(
    rank: int, prop: int, outcome: int, now: State, after: State
) -> Formula:
    """Deliver an outcome to a rank that voted yes and has not restarted since."""
    told = f"told{rank}{prop}"
    return z3.And(
        now[f"in{rank}"],
        now[f"sent{prop}{outcome}"],
        now[f"vote{rank}{prop}"] == YES,
        now[told] == 0,
        after[told] == outcome,
        unchanged_except(now, after, told),
    )


def one_map(state: State) -> Formula:
    """Return the formula that no two ranks use different maps in the step."""
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


def _invariant(state: State) -> Formula:
    return one_map(state)


def with_inductive_invariant(model: Model) -> Model:
    """Return the model with an invariant that is strong enough for induction."""

    def invariant(state: State) -> Formula:
        return z3.And(
            one_map(state), *[_agrees_with_votes(state, p) for p in PROPOSALS]
        )

    return Model(
        "map switch, inductive",
        model.variables,
        model.initial,
        model.actions,
        invariant,
        model.logic,
    )


def _agrees_with_votes(state: State, prop: int) -> Formula:
    """Return whether ``saw``, ``sent``, ``told`` and ``used`` agree with the votes."""
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
            seen = state[f"saw{who}{rank}{prop}"]
            parts.append(z3.Implies(seen != NONE, seen == votes[rank]))
    return z3.And(parts)
