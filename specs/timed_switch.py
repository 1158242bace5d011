"""Switch of a group to a new map by timed orders: hold, arm, check, release.

Ranks run each step together and do not compare maps. Orders stay in the network once
they are sent and arrive late, repeatedly or never. A coordinator may end at any time;
the next one acts on what the ranks report. The model assumes that locks let one
coordinator act at a time, that each proposal has its own version, and that a
coordinator reads all ranks at once.

A version is superseded once a rank has prepared a higher one: no rank loads an older
version, so that not all ranks can be armed for it any more. Ranks are disarmed only for
a superseded version, and a held step is released only when all ranks are armed for the
same version and step.

``prep``: the prepared version, 0 none. ``arm``: the version that a rank is armed for,
0 none, and ``at`` its step. ``map``: the version in force. ``held``: the step that a
rank holds, 0 none; two of the ranks accept hold orders. Orders that were sent: ``p``
prepare, ``h`` hold, ``a`` arm, ``d`` disarm, ``r`` release. ``x``: a step for which no
order to arm is sent any more; the agents have promised that. A held step is released
for a revoked step too, if no order to arm for it was ever sent. ``b``: an order to arm
that was sent to a rank directly, past its agent. No agent notes it or refuses it for a
revoked step, so it is sent only after an agent has noted an order ``a`` for the step.
A promise may be lifted again until the step is released, and afterwards if an order to
arm was sent, since it was then released because all ranks were armed.
Sources: ``coordination/rankmaps/_switch.py``, ``_guard.py``, ``_revocations.py``,
``tests/rank_fakes.py``.

Defects: ``no-hold`` (ranks are armed for a step that is not held),
``unchecked-release`` (a step is released whether or not the ranks are armed),
``idle-release`` (a step is also released if no rank is armed and no version is left to
arm), ``late-release`` (a step is also released if all ranks are armed for an earlier
one), ``live-disarm`` (ranks are disarmed for a version that is not superseded),
``unrevoked-release`` (a step is also released while no order to arm for it was sent),
``unnoted-arm`` (a rank is armed directly for a held step, whatever agents have noted)
and ``late-lift`` (a promise is lifted after the step was released on account of it).
"""

from __future__ import annotations

from functools import partial
from typing import Any, Final, Literal, TypeAlias

import z3

from specs._bmc import Action, Formula, Model, State, unchanged_except

Defect: TypeAlias = Literal[
    "",
    "no-hold",
    "unchecked-release",
    "idle-release",
    "late-release",
    "live-disarm",
    "unrevoked-release",
    "unnoted-arm",
    "late-lift",
]
DEFECTS: Final[tuple[Defect, ...]] = (
    "no-hold",
    "unchecked-release",
    "idle-release",
    "late-release",
    "live-disarm",
    "unrevoked-release",
    "unnoted-arm",
    "late-lift",
)

RANKS: Final = (0, 1, 2)
HOLDERS: Final = (0, 1)
VERSIONS: Final = (1, 2, 3)
STEPS: Final = (1, 2, 3)
_SORT: Final = z3.BitVecSort(2)


def make_model(defect: Defect = "") -> Model:
    """Return the specification, with a deliberate defect when one is named."""
    variables: dict[str, Any] = {"step": _SORT}
    actions: dict[str, Action] = {"begin": _begin_step}
    for rank in RANKS:
        variables |= {f"{name}{rank}": _SORT for name in ("prep", "arm", "at", "map")}
    for step in STEPS:
        variables[f"x{step}"] = z3.BoolSort()
        actions[f"revoke{step}"] = partial(_revoke, step)
        actions[f"lift{step}"] = partial(_lift, step, defect)
    for version in VERSIONS:
        variables |= {f"p{version}": z3.BoolSort(), f"d{version}": z3.BoolSort()}
        actions[f"propose{version}"] = partial(_propose, version)
        actions[f"ask-disarm{version}"] = partial(_order_disarm, version, defect)
        for rank in RANKS:
            actions[f"load{rank}{version}"] = partial(_load, rank, version)
            actions[f"disarm{rank}{version}"] = partial(_disarm, rank, version)
    for holder in HOLDERS:
        variables[f"held{holder}"] = _SORT
        for step in STEPS:
            sent = {f"h{holder}{step}", f"r{holder}{step}"}
            variables |= dict.fromkeys(sorted(sent), z3.BoolSort())
            actions[f"ask-hold{holder}{step}"] = partial(_order_hold, holder, step)
            actions[f"hold{holder}{step}"] = partial(_hold, holder, step)
            actions[f"ask-release{holder}{step}"] = partial(
                _order_release, holder, step, defect
            )
            actions[f"release{holder}{step}"] = partial(_release, holder, step)
    for version in VERSIONS:
        for step in STEPS:
            sent = {f"a{version}{step}", f"b{version}{step}"}
            variables |= dict.fromkeys(sorted(sent), z3.BoolSort())
            actions[f"ask-arm{version}{step}"] = partial(
                _order_arm, version, step, defect
            )
            actions[f"ask-arm-directly{version}{step}"] = partial(
                _order_directly, version, step, defect
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


def is_new(now: State, version: int) -> Formula:
    """Return whether a version is in force at no rank."""
    return z3.And([now[f"map{rank}"] != version for rank in RANKS])


def is_superseded(now: State, version: int) -> Formula:
    """Return whether a rank has prepared a higher version."""
    return z3.Or([z3.UGT(now[f"prep{rank}"], version) for rank in RANKS])


def _none_armed(now: State) -> Formula:
    return z3.And([now[f"arm{rank}"] == 0 for rank in RANKS])


def all_armed(now: State, version: int, step: int) -> Formula:
    """Return whether all ranks are armed for a version and a step."""
    return z3.And(
        [
            z3.And(now[f"arm{rank}"] == version, now[f"at{rank}"] == step)
            for rank in RANKS
        ]
    )


def is_held(now: State, step: int) -> Formula:
    """Return whether a rank is held at a step."""
    return z3.Or([now[f"held{holder}"] == step for holder in HOLDERS])


def _propose(version: int, now: State, after: State) -> Formula:
    """Order the ranks to load a version, whatever their state."""
    sent = f"p{version}"
    return z3.And(after[sent], unchanged_except(now, after, sent))


def _load(rank: int, version: int, now: State, after: State) -> Formula:
    """Load a version higher than the prepared one, unless the rank is armed."""
    prep = f"prep{rank}"
    return z3.And(
        now[f"p{version}"],
        now[f"arm{rank}"] == 0,
        z3.ULT(now[prep], version),
        after[prep] == version,
        unchanged_except(now, after, prep),
    )


def _order_hold(holder: int, step: int, now: State, after: State) -> Formula:
    """Order a rank to hold a step; this is allowed at any time."""
    sent = f"h{holder}{step}"
    return z3.And(after[sent], unchanged_except(now, after, sent))


def _hold(holder: int, step: int, now: State, after: State) -> Formula:
    held = f"held{holder}"
    return z3.And(
        now[f"h{holder}{step}"],
        now[held] == 0,
        z3.UGT(step, now["step"]),
        after[held] == step,
        unchanged_except(now, after, held),
    )


def _order_arm(
    version: int, step: int, defect: Defect, now: State, after: State
) -> Formula:
    """Order the ranks to arm while the group is held at the step.

    A version may be armed for one step only: that of the ranks that are armed already.
    If none is, it is the only step that is held, or any held step if the coordinator
    proposed the version itself and so knows that no order to arm it was sent.
    """
    sent = f"a{version}{step}"
    may_be_armed = is_held(now, step)
    if defect == "no-hold":
        may_be_armed = z3.UGT(step, now["step"])
    none_differs = [
        z3.Or(
            now[f"arm{rank}"] == 0,
            z3.And(now[f"arm{rank}"] == version, now[f"at{rank}"] == step),
        )
        for rank in RANKS
    ]
    others = [one for one in STEPS if one != step]
    no_other_held = z3.And([z3.Not(is_held(now, one)) for one in others])
    none_sent = z3.And([z3.Not(now[f"a{version}{one}"]) for one in STEPS])
    return z3.And(
        z3.Not(now[f"x{step}"]),
        may_be_armed,
        _all_prepared(now, version),
        is_new(now, version),
        *none_differs,
        z3.Or(z3.Not(_none_armed(now)), no_other_held, none_sent),
        after[sent],
        unchanged_except(now, after, sent),
    )


def _order_directly(
    version: int, step: int, defect: Defect, now: State, after: State
) -> Formula:
    """Order a rank past its agent to arm, once an agent has noted such an order."""
    sent = f"b{version}{step}"
    allowed = now[f"a{version}{step}"]
    if defect == "unnoted-arm":
        allowed = z3.And(is_held(now, step), _all_prepared(now, version))
    return z3.And(allowed, after[sent], unchanged_except(now, after, sent))


def _arm(rank: int, version: int, step: int, now: State, after: State) -> Formula:
    arm, at = f"arm{rank}", f"at{rank}"
    return z3.And(
        z3.Or(now[f"a{version}{step}"], now[f"b{version}{step}"]),
        now[f"prep{rank}"] == version,
        now[f"map{rank}"] != version,
        z3.UGT(step, now["step"]),
        after[arm] == version,
        after[at] == step,
        unchanged_except(now, after, arm, at),
    )


def _revoke(step: int, now: State, after: State) -> Formula:
    """Let no order to arm for a step be sent any more; allowed at any time."""
    return z3.And(after[f"x{step}"], unchanged_except(now, after, f"x{step}"))


def _lift(step: int, defect: Defect, now: State, after: State) -> Formula:
    """Let orders to arm for a step be sent again, unless it was given up."""
    is_released = z3.Or([now[f"r{holder}{step}"] for holder in HOLDERS])
    is_given_up = z3.And(is_released, never_sent(now, step))
    if defect == "late-lift":
        is_given_up = z3.BoolVal(False)
    return z3.And(
        z3.Not(is_given_up),
        z3.Not(after[f"x{step}"]),
        unchanged_except(now, after, f"x{step}"),
    )


def never_sent(now: State, step: int) -> Formula:
    """Return whether no agent has noted an order to arm for a step."""
    return z3.Not(z3.Or([now[f"a{version}{step}"] for version in VERSIONS]))


def _order_disarm(version: int, defect: Defect, now: State, after: State) -> Formula:
    """Order the ranks to disarm a superseded version."""
    sent = f"d{version}"
    allowed = is_superseded(now, version)
    if defect == "live-disarm":
        allowed = z3.BoolVal(True)
    return z3.And(allowed, after[sent], unchanged_except(now, after, sent))


def _disarm(rank: int, version: int, now: State, after: State) -> Formula:
    arm = f"arm{rank}"
    return z3.And(
        now[f"d{version}"],
        now[arm] == version,
        after[arm] == 0,
        unchanged_except(now, after, arm),
    )


def _order_release(
    holder: int, step: int, defect: Defect, now: State, after: State
) -> Formula:
    """Order the release of a held step if all ranks switch at that step or later."""
    sent = f"r{holder}{step}"
    allowed_steps = [one for one in STEPS if one >= step]
    if defect == "late-release":
        allowed_steps = list(STEPS)
    allowed = z3.Or(
        [all_armed(now, version, one) for version in VERSIONS for one in allowed_steps]
    )
    if defect == "unchecked-release":
        allowed = z3.BoolVal(True)
    if defect == "idle-release":
        # No version that all ranks have prepared remains to be armed.
        armable = z3.Or(
            [z3.And(_all_prepared(now, one), is_new(now, one)) for one in VERSIONS]
        )
        allowed = z3.Or(allowed, z3.And(_none_armed(now), z3.Not(armable)))
    is_revoked = z3.Or(now[f"x{step}"], defect == "unrevoked-release")
    allowed = z3.Or(allowed, z3.And(is_revoked, never_sent(now, step)))
    held = now[f"held{holder}"] == step
    return z3.And(held, allowed, after[sent], unchanged_except(now, after, sent))


def _release(holder: int, step: int, now: State, after: State) -> Formula:
    held = f"held{holder}"
    return z3.And(
        now[f"r{holder}{step}"],
        now[held] == step,
        after[held] == 0,
        unchanged_except(now, after, held),
    )


def _begin_step(now: State, after: State) -> Formula:
    """Begin the next step on all ranks; those that are armed for it switch maps."""
    next_step = now["step"] + 1
    changes = []
    changed = ["step"]
    for rank in RANKS:
        arm, at, active = f"arm{rank}", f"at{rank}", f"map{rank}"
        due = z3.And(now[arm] != 0, now[at] == next_step)
        changes += [
            after[active] == z3.If(due, now[arm], now[active]),
            after[arm] == z3.If(due, z3.BitVecVal(0, 2), now[arm]),
        ]
        changed += [arm, active]
    return z3.And(
        now["step"] != STEPS[-1],
        *[now[f"held{holder}"] != next_step for holder in HOLDERS],
        after["step"] == next_step,
        *changes,
        unchanged_except(now, after, *changed),
    )


def one_map(state: State) -> Formula:
    """Return whether all ranks have the same map in force."""
    return z3.And([state[f"map{rank}"] == state["map0"] for rank in RANKS])
