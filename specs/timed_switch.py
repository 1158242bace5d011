"""The switch of a group by timed orders: held, armed, checked, released.

Ranks run each step together and do not compare maps. Orders stay in the network once
they are sent and arrive late, again or never. Coordinators end at any moment; the next
one acts on what the ranks report. Locks let one act at a time and each proposal has a
version of its own; both are taken for granted here, and so is that a coordinator reads
all ranks at once.

A version is dead once a rank has prepared a higher one: no rank loads an older version,
so a dead one is never armed everywhere. Only an order to arm a dead version is taken
back, and only ranks that are all armed alike let a held step go.

``prep``: the prepared version, 0 none. ``arm``: the version a rank is armed for, ``at``
its step. ``map``: the version in force. ``held``: the step that a rank holds, 0 none;
two of the ranks take holds.
Sources: ``coordination/rankmaps/_switch.py``, ``tests/rank_fakes.py``.
"""

from __future__ import annotations

from functools import partial
from typing import Any, Final, Literal, TypeAlias

import z3

from specs._bmc import Action, Formula, Model, State, only

Defect: TypeAlias = Literal[
    "", "no-hold", "unchecked-release", "idle-release", "late-release", "live-disarm"
]
DEFECTS: Final[tuple[Defect, ...]] = (
    "no-hold",
    "unchecked-release",
    "idle-release",
    "late-release",
    "live-disarm",
)

RANKS: Final = (0, 1, 2)
HOLDERS: Final = (0, 1)
VERSIONS: Final = (1, 2, 3)
STEPS: Final = (1, 2, 3)
_SORT: Final = z3.BitVecSort(2)


def make_model(defect: Defect = "") -> Model:
    """Return the specification, with a deliberate defect when one is named."""
    variables: dict[str, Any] = {"step": _SORT}
    actions: dict[str, Action] = {"begin": _begin}
    for rank in RANKS:
        variables |= {f"{name}{rank}": _SORT for name in ("prep", "arm", "at", "map")}
    for version in VERSIONS:
        variables |= {f"p{version}": z3.BoolSort(), f"d{version}": z3.BoolSort()}
        actions[f"propose{version}"] = partial(_propose, version)
        actions[f"ask-disarm{version}"] = partial(_ask_disarm, version, defect)
        for rank in RANKS:
            actions[f"load{rank}{version}"] = partial(_load, rank, version)
            actions[f"disarm{rank}{version}"] = partial(_disarm, rank, version)
    for holder in HOLDERS:
        variables[f"held{holder}"] = _SORT
        for step in STEPS:
            sent = {f"h{holder}{step}", f"r{holder}{step}"}
            variables |= dict.fromkeys(sorted(sent), z3.BoolSort())
            actions[f"ask-hold{holder}{step}"] = partial(_ask_hold, holder, step)
            actions[f"hold{holder}{step}"] = partial(_hold, holder, step)
            actions[f"ask-release{holder}{step}"] = partial(
                _ask_release, holder, step, defect
            )
            actions[f"release{holder}{step}"] = partial(_release, holder, step)
    for version in VERSIONS:
        for step in STEPS:
            variables[f"a{version}{step}"] = z3.BoolSort()
            actions[f"ask-arm{version}{step}"] = partial(
                _ask_arm, version, step, defect
            )
            for rank in RANKS:
                actions[f"arm{rank}{version}{step}"] = partial(
                    _arm, rank, version, step
                )
    return Model("timed switch", variables, _initial, actions, one_map, "QF_BV")


def _initial(state: State) -> Formula:
    zero = [value == 0 for value in state.values() if z3.is_bv(value)]
    unsent = [z3.Not(value) for value in state.values() if z3.is_bool(value)]
    return z3.And(*zero, *unsent)


def _all_prepared(now: State, version: int) -> Formula:
    return z3.And([now[f"prep{rank}"] == version for rank in RANKS])


def _is_new(now: State, version: int) -> Formula:
    return z3.And([now[f"map{rank}"] != version for rank in RANKS])


def _is_dead(now: State, version: int) -> Formula:
    """Return that a rank has prepared a higher version."""
    return z3.Or([z3.UGT(now[f"prep{rank}"], version) for rank in RANKS])


def _none_armed(now: State) -> Formula:
    return z3.And([now[f"arm{rank}"] == 0 for rank in RANKS])


def _all_armed(now: State, version: int, step: int) -> Formula:
    return z3.And(
        [
            z3.And(now[f"arm{rank}"] == version, now[f"at{rank}"] == step)
            for rank in RANKS
        ]
    )


def _is_held(now: State, step: int) -> Formula:
    return z3.Or([now[f"held{holder}"] == step for holder in HOLDERS])


def _propose(version: int, now: State, after: State) -> Formula:
    """Order ranks to load a version, whatever they do."""
    sent = f"p{version}"
    return z3.And(after[sent], only(now, after, sent))


def _load(rank: int, version: int, now: State, after: State) -> Formula:
    """Load a version that is higher than all before, unless the rank is armed."""
    prep = f"prep{rank}"
    return z3.And(
        now[f"p{version}"],
        now[f"arm{rank}"] == 0,
        z3.ULT(now[prep], version),
        after[prep] == version,
        only(now, after, prep),
    )


def _ask_hold(holder: int, step: int, now: State, after: State) -> Formula:
    """Order a hold at any time."""
    sent = f"h{holder}{step}"
    return z3.And(after[sent], only(now, after, sent))


def _hold(holder: int, step: int, now: State, after: State) -> Formula:
    held = f"held{holder}"
    return z3.And(
        now[f"h{holder}{step}"],
        now[held] == 0,
        z3.UGT(step, now["step"]),
        after[held] == step,
        only(now, after, held),
    )


def _ask_arm(
    version: int, step: int, defect: Defect, now: State, after: State
) -> Formula:
    """Order ranks to arm while the group is held at the step.

    A version has one step: that of the ranks that are armed; without one, the only
    step that is held, or any held step if the coordinator proposed the version itself
    and so knows that no order to arm it was sent.
    """
    sent = f"a{version}{step}"
    is_held = _is_held(now, step)
    if defect == "no-hold":
        is_held = z3.UGT(step, now["step"])
    armed_alike = [
        z3.Or(
            now[f"arm{rank}"] == 0,
            z3.And(now[f"arm{rank}"] == version, now[f"at{rank}"] == step),
        )
        for rank in RANKS
    ]
    others = [one for one in STEPS if one != step]
    no_other_held = z3.And([z3.Not(_is_held(now, one)) for one in others])
    none_sent = z3.And([z3.Not(now[f"a{version}{one}"]) for one in STEPS])
    return z3.And(
        is_held,
        _all_prepared(now, version),
        _is_new(now, version),
        *armed_alike,
        z3.Or(z3.Not(_none_armed(now)), no_other_held, none_sent),
        after[sent],
        only(now, after, sent),
    )


def _arm(rank: int, version: int, step: int, now: State, after: State) -> Formula:
    arm, at = f"arm{rank}", f"at{rank}"
    return z3.And(
        now[f"a{version}{step}"],
        now[f"prep{rank}"] == version,
        now[f"map{rank}"] != version,
        z3.UGT(step, now["step"]),
        after[arm] == version,
        after[at] == step,
        only(now, after, arm, at),
    )


def _ask_disarm(version: int, defect: Defect, now: State, after: State) -> Formula:
    """Order ranks to disarm a dead version."""
    sent = f"d{version}"
    allowed = _is_dead(now, version)
    if defect == "live-disarm":
        allowed = z3.BoolVal(True)
    return z3.And(allowed, after[sent], only(now, after, sent))


def _disarm(rank: int, version: int, now: State, after: State) -> Formula:
    arm = f"arm{rank}"
    return z3.And(
        now[f"d{version}"],
        now[arm] == version,
        after[arm] == 0,
        only(now, after, arm),
    )


def _ask_release(
    holder: int, step: int, defect: Defect, now: State, after: State
) -> Formula:
    """Order the release of a step that comes no later than the switch of all ranks."""
    sent = f"r{holder}{step}"
    last = [one for one in STEPS if one >= step]
    if defect == "late-release":
        last = list(STEPS)
    allowed = z3.Or(
        [_all_armed(now, version, one) for version in VERSIONS for one in last]
    )
    if defect == "unchecked-release":
        allowed = z3.BoolVal(True)
    if defect == "idle-release":
        # No version that all ranks prepared is left to arm.
        preparable = z3.Or(
            [z3.And(_all_prepared(now, one), _is_new(now, one)) for one in VERSIONS]
        )
        allowed = z3.Or(allowed, z3.And(_none_armed(now), z3.Not(preparable)))
    held = now[f"held{holder}"] == step
    return z3.And(held, allowed, after[sent], only(now, after, sent))


def _release(holder: int, step: int, now: State, after: State) -> Formula:
    held = f"held{holder}"
    return z3.And(
        now[f"r{holder}{step}"],
        now[held] == step,
        after[held] == 0,
        only(now, after, held),
    )


def _begin(now: State, after: State) -> Formula:
    """Begin the next step on all ranks; those that are armed for it switch."""
    following = now["step"] + 1
    changes = []
    changed = ["step"]
    for rank in RANKS:
        arm, at, used = f"arm{rank}", f"at{rank}", f"map{rank}"
        due = z3.And(now[arm] != 0, now[at] == following)
        changes += [
            after[used] == z3.If(due, now[arm], now[used]),
            after[arm] == z3.If(due, z3.BitVecVal(0, 2), now[arm]),
        ]
        changed += [arm, used]
    return z3.And(
        now["step"] != STEPS[-1],
        *[now[f"held{holder}"] != following for holder in HOLDERS],
        after["step"] == following,
        *changes,
        only(now, after, *changed),
    )


def one_map(state: State) -> Formula:
    """Return that all ranks have the same map in force."""
    return z3.And([state[f"map{rank}"] == state["map0"] for rank in RANKS])


def strengthened(state: State) -> Formula:
    """Return ``one_map`` with what makes it inductive."""
    return z3.And(
        one_map(state),
        *[
            z3.Or(state[f"held{one}"] == 0, z3.UGT(state[f"held{one}"], state["step"]))
            for one in HOLDERS
        ],
        *[_rank_is_sound(state, rank) for rank in RANKS],
        *[_version_is_sound(state, version) for version in VERSIONS],
        *[
            _release_is_sound(state, holder, step)
            for holder in HOLDERS
            for step in STEPS
        ],
    )


def _rank_is_sound(state: State, rank: int) -> Formula:
    """Return that a rank is armed as ordered, for its prepared version, in time."""
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


def _version_is_sound(state: State, version: int) -> Formula:
    """Return what orders about a version imply.

    An order to arm was sent only once all ranks had prepared the version, for one step,
    and the group stays held at it until the version is in force, armed everywhere, or
    dead at every rank.
    """
    steps = [state[f"a{version}{step}"] for step in STEPS]
    sent = z3.Or(steps)
    had_it = z3.And([z3.UGE(state[f"prep{rank}"], version) for rank in RANKS])
    gone = z3.And([z3.UGT(state[f"prep{rank}"], version) for rank in RANKS])
    in_force = z3.Not(_is_new(state, version))
    guarded = z3.Or(
        [
            z3.And(
                state[f"a{version}{step}"],
                z3.UGT(step, state["step"]),
                z3.Or(_is_held(state, step), _all_armed(state, version, step)),
            )
            for step in STEPS
        ]
    )
    return z3.And(
        z3.Implies(state[f"d{version}"], _is_dead(state, version)),
        z3.Implies(sent, z3.And(had_it, z3.AtMost(*steps, 1))),
        z3.Implies(sent, z3.Or(gone, in_force, guarded)),
        z3.Implies(in_force, sent),
    )


def _release_is_sound(state: State, holder: int, step: int) -> Formula:
    """Return that a step whose release was ordered is over, or all are armed by it."""
    by_then = [
        _all_armed(state, version, one)
        for version in VERSIONS
        for one in STEPS
        if one >= step
    ]
    return z3.Implies(
        state[f"r{holder}{step}"], z3.Or(z3.UGE(state["step"], step), *by_then)
    )
