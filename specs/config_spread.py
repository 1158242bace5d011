"""Spread of the configuration: restarts during outages never bring back old versions.

``head`` is the last accepted version, ``v0`` to ``v4`` the versions in force in five
processes, of which those with ``ready`` tell theirs. ``floor`` is a version that all
ready processes except at most two have: it was in force "everywhere" but for two that
are behind, for instance cut off. Sources: ``coordination/config/_spread.py``.

No process shall go back while it runs, and none that starts shall put a version in
force that is older than the floor.
"""

from __future__ import annotations

from functools import partial
from itertools import combinations
from typing import Any, Final, Literal, TypeAlias

import z3

from specs._bmc import Action, Formula, Model, State, only

Defect: TypeAlias = Literal["", "one-peer", "starting-peers-count", "stale-push"]

PROCESSES: Final = 5
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
        "settle": _settle,
    }
    for index in _INDEXES:
        variables |= {f"v{index}": _SORT, f"ready{index}": z3.BoolSort()}
        actions |= {
            f"restart{index}": partial(_restart, index),
            f"read{index}": partial(_read, index),
            f"start_from_peers{index}": partial(_start_from_peers, index, defect),
            f"pull{index}": partial(_pull, index, defect),
        }
    return Model("configuration spread", variables, _initial, actions, _safe, "QF_BV")


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
        only(now, after, "head"),
    )


def _outage(now: State, after: State) -> Formula:
    return z3.And(after["down"] != now["down"], only(now, after, "down"))


def _behind(state: State, floor: Formula) -> Formula:
    """Return how many ready processes are below ``floor``."""
    one, zero = z3.BitVecVal(1, 3), z3.BitVecVal(0, 3)
    count: Formula = zero
    for index in _INDEXES:
        below = z3.And(state[f"ready{index}"], z3.ULT(state[f"v{index}"], floor))
        count = count + z3.If(below, one, zero)
    return count


def _settle(now: State, after: State) -> Formula:
    """Raise the floor once all ready processes but two have a version."""
    floor = after["floor"]
    return z3.And(
        z3.UGE(floor, now["floor"]),
        z3.ULE(floor, now["head"]),
        z3.ULE(_behind(now, floor), BEHIND_MAX),
        only(now, after, "floor"),
    )


def _restart(index: int, now: State, after: State) -> Formula:
    return z3.And(
        after[f"v{index}"] == 0,
        z3.Not(after[f"ready{index}"]),
        only(now, after, f"v{index}", f"ready{index}"),
    )


def _enter(index: int, now: State, after: State, version: Formula) -> Formula:
    """Return that process ``index`` gets ready with ``version``, noting an old one."""
    running = now[f"ready{index}"]
    old = z3.Or(
        z3.And(z3.Not(running), z3.ULT(version, now["floor"])),
        z3.ULT(version, now[f"v{index}"]),
    )
    return z3.And(
        after[f"v{index}"] == version,
        after[f"ready{index}"],
        after["bad"] == z3.Or(now["bad"], old),
        only(now, after, f"v{index}", f"ready{index}", "bad"),
    )


def _read(index: int, now: State, after: State) -> Formula:
    return z3.And(z3.Not(now["down"]), _enter(index, now, after, now["head"]))


def _start_from_peers(index: int, defect: Defect, now: State, after: State) -> Formula:
    """Take the newest version of three peers that tell one."""
    others = [other for other in _INDEXES if other != index]
    asked = combinations(others, 1 if defect == "one-peer" else 3)
    choices = []
    for peers in asked:
        newest: Formula = now[f"v{index}"]
        for peer in peers:
            version = now[f"v{peer}"]
            newest = z3.If(z3.UGT(version, newest), version, newest)
        tell = [
            now[f"v{peer}"] != 0
            if defect == "starting-peers-count"
            else now[f"ready{peer}"]
            for peer in peers
        ]
        choices.append(z3.And(*tell, _enter(index, now, after, newest)))
    return z3.And(now["down"], z3.Not(now[f"ready{index}"]), z3.Or(*choices))


def _pull(index: int, defect: Defect, now: State, after: State) -> Formula:
    """Take a newer version from a ready peer; a starting process may do so too."""
    mine, got = now[f"v{index}"], after[f"v{index}"]
    offers = [
        z3.And(now[f"ready{peer}"], got == now[f"v{peer}"])
        for peer in _INDEXES
        if peer != index
    ]
    newer = z3.BoolVal(True) if defect == "stale-push" else z3.UGT(got, mine)
    back = z3.ULT(got, mine)
    return z3.And(
        z3.Or(*offers),
        newer,
        after["bad"] == z3.Or(now["bad"], back),
        only(now, after, f"v{index}", "bad"),
    )


def _safe(state: State) -> Formula:
    parts = [
        z3.Not(state["bad"]),
        z3.ULE(state["floor"], state["head"]),
        z3.ULE(state["head"], _VERSION_MAX),
        z3.ULE(_behind(state, state["floor"]), BEHIND_MAX),
    ]
    parts += [z3.ULE(state[f"v{index}"], state["head"]) for index in _INDEXES]
    return z3.And(*parts)
