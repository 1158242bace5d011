"""Quarantine: one request crashes each upstream that runs it, two others do not.

Requests ``p`` (crashes its upstream), ``i`` and ``j`` run on two upstreams, together or
apart, and are sent again after a crash and after completion. Crashes are known at once
to both upstreams; the spread of reports is not part of this model.
Sources: ``coordination/quarantine``, ``programs/sidecar/_relay.py`` (one suspect at a
time on an upstream). A second crashing request, which may blame an innocent suspect
beside it, is not part of this model either.
"""

from __future__ import annotations

from functools import partial
from typing import Any, Final, Literal, TypeAlias

import z3

from specs._bmc import Action, Formula, Model, State, only

Defect: TypeAlias = Literal["", "suspects-together", "never-held"]

REQUESTS: Final = ("p", "i", "j")
HELD_CRASHES: Final = 2
_SORT: Final = z3.BitVecSort(2)


def make_model(defect: Defect = "") -> Model:
    """Return the specification; ``*_on`` is the upstream that runs it, 0 for none."""
    variables: dict[str, Any] = {"crashes": z3.BitVecSort(3)}
    actions: dict[str, Action] = {}
    for name in REQUESTS:
        variables |= {f"{name}_on": _SORT, f"{name}_count": _SORT}
        for upstream in (1, 2):
            actions[f"{name}_start_{upstream}"] = partial(
                _start, name=name, upstream=upstream, defect=defect
            )
        if name != "p":
            actions[f"{name}_complete"] = partial(_complete, name=name)
    actions["crash"] = _crash
    return Model("quarantine", variables, _initial, actions, _safe, "QF_BV")


def _initial(state: State) -> Formula:
    return z3.And(*(state[name] == 0 for name in state))


def _start(
    now: State, after: State, name: str, upstream: int, defect: Defect
) -> Formula:
    """Hand over a request that is not held, next to at most no other suspect."""
    count = now[f"{name}_count"]
    others = [
        z3.Or(now[f"{other}_on"] != upstream, now[f"{other}_count"] == 0)
        for other in REQUESTS
        if other != name
    ]
    alone = z3.Or(count == 0, z3.And(*others))
    if defect == "suspects-together":
        alone = z3.BoolVal(True)
    free = z3.ULT(count, HELD_CRASHES)
    if defect == "never-held":
        free = z3.BoolVal(True)
    return z3.And(
        now[f"{name}_on"] == 0,
        free,
        alone,
        z3.ULT(now["crashes"], 6),
        after[f"{name}_on"] == upstream,
        only(now, after, f"{name}_on"),
    )


def _complete(now: State, after: State, name: str) -> Formula:
    return z3.And(
        now[f"{name}_on"] != 0,
        after[f"{name}_on"] == 0,
        after[f"{name}_count"] == 0,
        only(now, after, f"{name}_on", f"{name}_count"),
    )


def _crash(now: State, after: State) -> Formula:
    """Crash the upstream that runs ``p``, and suspect all that runs there."""
    parts = []
    for name in REQUESTS:
        hit = now[f"{name}_on"] == now["p_on"]
        count = now[f"{name}_count"]
        more = z3.If(count == 3, count, count + 1)
        parts += [
            after[f"{name}_on"] == z3.If(hit, z3.BitVecVal(0, 2), now[f"{name}_on"]),
            after[f"{name}_count"] == z3.If(hit, more, count),
        ]
    return z3.And(now["p_on"] != 0, after["crashes"] == now["crashes"] + 1, *parts)


def _safe(state: State) -> Formula:
    """Let ``p`` crash two upstreams at most, and hold no other request."""
    return z3.And(
        z3.ULE(state["crashes"], HELD_CRASHES),
        *(
            z3.ULT(state[f"{name}_count"], HELD_CRASHES)
            for name in REQUESTS
            if name != "p"
        ),
    )
