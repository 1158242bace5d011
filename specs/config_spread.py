"""Spread of the configuration: a restart during an outage restores no old version.

``head`` is the last accepted version, and ``down`` is true while the store that has it
cannot be reached. ``v0`` to ``v4`` are the versions in force in five processes; only
those that are ``ready`` report theirs to peers. ``floor`` is a version that all ready
processes but at most two have reached; those two may be cut off, for instance. Sources:
``coordination/config/_spread.py``.

Property: no running process returns to an older version, and no starting process puts
a version in force that is older than the floor. ``bad`` records a violation.

Defects: ``one-peer`` (a starting process asks one peer, not three),
``starting-peers-count`` (peers that have a version but are not ready count too) and
``stale-push`` (a version of a peer is accepted even if it is older).
"""

from __future__ import annotations

from functools import partial
from itertools import combinations
from typing import Any, Final, Literal, TypeAlias

import z3

from specs._bmc import Action, Formula, Model, State, unchanged_except

Defect: TypeAlias = Literal["", "one-peer", "starting-peers-count", "stale-push"]

PROCESSES: Final = 5
# Number of ready processes that may have a version below the floor.
BEHIND_MAX: Final = 2
_SORT: Final = z3.BitVecSort(3)
_VERSION_MAX: Final = 6
_INDEXES: Final = range(PROCESSES)


def make_model(defect: Defect = "") -> Model:
    """Return the specification, with a deliberate defect when one is named."""
    variables: dict[str, Any] = {"head": _SORT, "floor": _SORT}
    variables |= {"down": z3.BoolSort(), "bad": z3.BoolSort()}
    actions: dict[str, Action] = {
        "accept": _accept,
        "outage": _outage,
        "settle": _raise_floor,
    }
    for index in _INDEXES:
        variables |= {f"v{index}": _SORT, f"ready{index}": z3.BoolSort()}
        actions |= {
            f"restart{index}": partial(_restart, index),
            f"read{index}": partial(_read, index),
            f"start_from_peers{index}": partial(_start_from_peers, index, defect),
            f"pull{index}": partial(_pull, index, defect),
        }
    return Model(
        "configuration spread", variables, _initial, actions, _invariant, "QF_BV"
    )


def _initial(state: State) -> Formula:
    parts = [state["head"] == 1, state["floor"] == 1, z3.Not(state["down"])]
    parts.append(z3.Not(state["bad"]))
    for index in _INDEXES:
        parts += [state[f"v{index}"] == 1, state[f"ready{index}"]]
    return z3.And(*parts)


def _accept(now: State, after: State) -> Formula:
    return z3.And(
        z3.Not(now["down"]),
        z3.ULT(now["head"], _VERSION_MAX),
        after["head"] == now["head"] + 1,
        unchanged_except(now, after, "head"),
    )


def _outage(now: State, after: State) -> Formula:
    return z3.And(after["down"] != now["down"], unchanged_except(now, after, "down"))


def _count_behind(state: State, floor: Formula) -> Formula:
    """Return the number of ready processes whose version is below ``floor``."""
    one, zero = z3.BitVecVal(1, 3), z3.BitVecVal(0, 3)
    count: Formula = zero
    for index in _INDEXES:
        below = z3.And(state[f"ready{index}"], z3.ULT(state[f"v{index}"], floor))
        count = count + z3.If(below, one, zero)
    return count


def _raise_floor(now: State, after: State) -> Formula:
    """Raise the floor to a version that all ready processes but two have reached."""
    floor = after["floor"]
    return z3.And(
        z3.UGE(floor, now["floor"]),
        z3.ULE(floor, now["head"]),
        z3.ULE(_count_behind(now, floor), BEHIND_MAX),
        unchanged_except(now, after, "floor"),
    )


def _restart(index: int, now: State, after: State) -> Formula:
    return z3.And(
        after[f"v{index}"] == 0,
        z3.Not(after[f"ready{index}"]),
        unchanged_except(now, after, f"v{index}", f"ready{index}"),
    )


def _become_ready(index: int, now: State, after: State, version: Formula) -> Formula:
    """Make process ``index`` ready with ``version``.

    Set ``bad`` if the version is older than its current one, or older than the floor at
    a start.
    """
    was_ready = now[f"ready{index}"]
    is_older = z3.Or(
        z3.And(z3.Not(was_ready), z3.ULT(version, now["floor"])),
        z3.ULT(version, now[f"v{index}"]),
    )
    return z3.And(
        after[f"v{index}"] == version,
        after[f"ready{index}"],
        after["bad"] == z3.Or(now["bad"], is_older),
        unchanged_except(now, after, f"v{index}", f"ready{index}", "bad"),
    )


def _read(index: int, now: State, after: State) -> Formula:
    return z3.And(z3.Not(now["down"]), _become_ready(index, now, after, now["head"]))


def _start_from_peers(index: int, defect: Defect, now: State, after: State) -> Formula:
    """Start with the newest version that three ready peers report."""
    others = [other for other in _INDEXES if other != index]
    peer_sets = combinations(others, 1 if defect == "one-peer" else 3)
    alternatives = []
    for peers in peer_sets:
        newest: Formula = now[f"v{index}"]
        for peer in peers:
            version = now[f"v{peer}"]
            newest = z3.If(z3.UGT(version, newest), version, newest)
        have_version = [
            now[f"v{peer}"] != 0
            if defect == "starting-peers-count"
            else now[f"ready{peer}"]
            for peer in peers
        ]
        alternatives.append(
            z3.And(*have_version, _become_ready(index, now, after, newest))
        )
    return z3.And(now["down"], z3.Not(now[f"ready{index}"]), z3.Or(*alternatives))


def _pull(index: int, defect: Defect, now: State, after: State) -> Formula:
    """Pull a newer version from a ready peer, also while the process is starting."""
    current, received = now[f"v{index}"], after[f"v{index}"]
    offers = [
        z3.And(now[f"ready{peer}"], received == now[f"v{peer}"])
        for peer in _INDEXES
        if peer != index
    ]
    newer = z3.BoolVal(True) if defect == "stale-push" else z3.UGT(received, current)
    is_older = z3.ULT(received, current)
    return z3.And(
        z3.Or(*offers),
        newer,
        after["bad"] == z3.Or(now["bad"], is_older),
        unchanged_except(now, after, f"v{index}", "bad"),
    )


def _invariant(state: State) -> Formula:
    parts = [
        z3.Not(state["bad"]),
        z3.ULE(state["floor"], state["head"]),
        z3.ULE(state["head"], _VERSION_MAX),
        z3.ULE(_count_behind(state, state["floor"]), BEHIND_MAX),
    ]
    parts += [z3.ULE(state[f"v{index}"], state["head"]) for index in _INDEXES]
    return z3.And(*parts)
