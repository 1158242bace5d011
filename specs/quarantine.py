"""Quarantine of a request that crashes each upstream that runs it.

Request ``p`` crashes its upstream, ``i`` and ``j`` do not. They run on two upstreams,
together or apart, and are sent again after a crash and after completion. A request is
a suspect from a crash of the upstream that runs it until it completes. It is held, that
is, no longer started, after ``CRASHES_TO_HOLD`` crashes. Both upstreams learn of a
crash at once; the spread of crash reports is not modelled. Nor is a second crashing
request, which may put blame on a harmless suspect that runs beside it.
Sources: ``coordination/quarantine``, ``programs/sidecar/_relay.py`` (one suspect at a
time on an upstream).

Defects: ``suspects-together`` (a suspect may start beside another one) and
``never-held`` (no request is held).
"""

from __future__ import annotations

from functools import partial
from typing import Any, Final, Literal, TypeAlias

import z3

from specs._bmc import Action, Formula, Model, State, unchanged_except

Defect: TypeAlias = Literal["", "suspects-together", "never-held"]

REQUESTS: Final = ("p", "i", "j")
CRASHES_TO_HOLD: Final = 2
_SORT: Final = z3.BitVecSort(2)


def make_model(defect: Defect = "") -> Model:
    """Return the specification, with a deliberate defect when one is named.

    ``*_on`` is the upstream that runs the request, 0 for none; ``*_count`` is the
    number of crashes counted against the request.
    """
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
    return Model("quarantine", variables, _initial, actions, _invariant, "QF_BV")


def _initial(state: State) -> Formula:
    return z3.And(*(state[name] == 0 for name in state))


def _start(
    now: State, after: State, name: str, upstream: int, defect: Defect
) -> Formula:
    """Start a request that is not held; a suspect only beside no other suspect."""
    count = now[f"{name}_count"]
    others = [
        z3.Or(now[f"{other}_on"] != upstream, now[f"{other}_count"] == 0)
        for other in REQUESTS
        if other != name
    ]
    no_other_suspect = z3.Or(count == 0, z3.And(*others))
    if defect == "suspects-together":
        no_other_suspect = z3.BoolVal(True)
    not_held = z3.ULT(count, CRASHES_TO_HOLD)
    if defect == "never-held":
        not_held = z3.BoolVal(True)
    return z3.And(
        now[f"{name}_on"] == 0,
        not_held,
        no_other_suspect,
        z3.ULT(now["crashes"], 6),
        after[f"{name}_on"] == upstream,
        unchanged_except(now, after, f"{name}_on"),
    )


def _complete(now: State, after: State, name: str) -> Formula:
    return z3.And(
        now[f"{name}_on"] != 0,
        after[f"{name}_on"] == 0,
        after[f"{name}_count"] == 0,
        unchanged_except(now, after, f"{name}_on", f"{name}_count"),
    )


def _crash(now: State, after: State) -> Formula:
    """Crash the upstream that runs ``p``; count it against all requests there."""
    parts = []
    for name in REQUESTS:
        affected = now[f"{name}_on"] == now["p_on"]
        count = now[f"{name}_count"]
        incremented = z3.If(count == 3, count, count + 1)
        parts += [
            after[f"{name}_on"]
            == z3.If(affected, z3.BitVecVal(0, 2), now[f"{name}_on"]),
            after[f"{name}_count"] == z3.If(affected, incremented, count),
        ]
    return z3.And(now["p_on"] != 0, after["crashes"] == now["crashes"] + 1, *parts)


def _invariant(state: State) -> Formula:
    """Return the formula that ``p`` crashes at most twice and only ``p`` is held."""
    return z3.And(
        z3.ULE(state["crashes"], CRASHES_TO_HOLD),
        *(
            z3.ULT(state[f"{name}_count"], CRASHES_TO_HOLD)
            for name in REQUESTS
            if name != "p"
        ),
    )
