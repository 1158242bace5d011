"""Submission of tickets: two operators, lost answers, one compare-and-swap.

Operators ``a`` and ``b`` submit one ticket each; other operators' tickets may be
accepted at any moment. A sent transaction stays in the network and may take effect at
any later time, more than once. ``t1`` to ``t3`` are the accepted tickets: 0 none, 1 of
``a``, 2 of ``b``, 3 of others. Sources: ``coordination/config/_submit.py``.

What is reported shall be true in all later states: "accepted" means that the ticket is
in the history, "refused" that it is not and never will be.
"""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
from typing import Any, Final, Literal, TypeAlias

import z3

from specs._bmc import Action, Formula, Model, State, only, same

Defect: TypeAlias = Literal["", "no-compare", "lost-is-accepted", "absent-is-refused"]

TICKETS: Final = 3
IDLE, PLANNED, SENT, DOUBT, ACCEPTED, REFUSED, UNKNOWN, FAILED = range(8)
_CODES: Final = {"a": 1, "b": 2}
_SORT: Final = z3.BitVecSort(3)


def make_model(defect: Defect = "") -> Model:
    """Return the specification, with a deliberate defect when one is named."""
    variables: dict[str, Any] = {"head": _SORT, "reverted": z3.BoolSort()}
    variables |= {f"t{number}": _SORT for number in range(1, TICKETS + 1)}
    actions: dict[str, Action] = {"other_ticket": _other_ticket}
    for who in _CODES:
        variables |= {f"{who}_pc": _SORT, f"{who}_base": _SORT}
        variables[f"{who}_sent"] = z3.BoolSort()
        named: dict[str, Callable[..., Formula]] = {
            "plan": _plan,
            "send": _send,
            "effect": partial(_effect, defect=defect),
            "lose": partial(_lose, defect=defect),
            "read_back": partial(_read_back, defect=defect),
            "give_up": _give_up,
            "submit_again": _submit_again,
        }
        for name, step in named.items():
            actions[f"{who}_{name}"] = partial(_bind, step, who)
    return Model("ticket submission", variables, _initial, actions, _safe, "QF_BV")


def _bind(step: Callable[..., Formula], who: str, now: State, after: State) -> Formula:
    return step(now, after, who)


def _initial(state: State) -> Formula:
    zero = [state[name] == 0 for name in state if z3.is_bv(state[name])]
    false = [z3.Not(state[name]) for name in state if z3.is_bool(state[name])]
    return z3.And(*zero, *false)


def _value(number: int) -> Formula:
    return z3.BitVecVal(number, _SORT.size())


def _if(condition: Formula, yes: int, no: int) -> Formula:
    return z3.If(condition, _value(yes), _value(no))


def _ticket(state: State, number: Formula) -> Formula:
    """Return the ticket ``number``, 0 when there is none."""
    value: Formula = _value(0)
    for index in range(1, TICKETS + 1):
        value = z3.If(number == index, state[f"t{index}"], value)
    return value


def _write(now: State, after: State, number: Formula, code: int) -> Formula:
    """Return that ticket ``number`` becomes ``code``, and whether one was replaced."""
    parts = [
        after[f"t{index}"] == z3.If(number == index, _value(code), now[f"t{index}"])
        for index in range(1, TICKETS + 1)
    ]
    old = _ticket(now, number)
    replaced = z3.And(old != 0, old != code)
    back = z3.ULT(number, now["head"])
    changed = after["reverted"] == z3.Or(now["reverted"], replaced, back)
    return z3.And(*parts, changed, after["head"] == number)


def _other_ticket(now: State, after: State) -> Formula:
    written = [f"t{index}" for index in range(1, TICKETS + 1)]
    return z3.And(
        z3.ULT(now["head"], TICKETS),
        _write(now, after, now["head"] + 1, 3),
        only(now, after, "head", "reverted", *written),
    )


def _plan(now: State, after: State, who: str) -> Formula:
    return z3.And(
        now[f"{who}_pc"] == IDLE,
        z3.ULT(now["head"], TICKETS),
        after[f"{who}_pc"] == PLANNED,
        after[f"{who}_base"] == now["head"],
        only(now, after, f"{who}_pc", f"{who}_base"),
    )


def _send(now: State, after: State, who: str) -> Formula:
    pc = now[f"{who}_pc"]
    return z3.And(
        z3.Or(pc == PLANNED, pc == DOUBT),
        after[f"{who}_pc"] == SENT,
        after[f"{who}_sent"],
        only(now, after, f"{who}_pc", f"{who}_sent"),
    )


def _effect(now: State, after: State, who: str, defect: Defect) -> Formula:
    """Let a transaction arrive; its answer may come back, or arrive at nobody."""
    number = now[f"{who}_base"] + 1
    pc, pc_after = now[f"{who}_pc"], after[f"{who}_pc"]
    holds = now["head"] == now[f"{who}_base"]
    if defect == "no-compare":
        holds = z3.BoolVal(True)
    written = [f"t{index}" for index in range(1, TICKETS + 1)]
    unchanged = same(now, after, "head", "reverted", *written)
    answered = pc_after == _if(holds, ACCEPTED, FAILED)
    return z3.And(
        now[f"{who}_sent"],
        z3.If(holds, _write(now, after, number, _CODES[who]), unchanged),
        z3.Or(pc_after == pc, z3.And(pc == SENT, answered)),
        only(now, after, "head", "reverted", f"{who}_pc", *written),
    )


def _lose(now: State, after: State, who: str, defect: Defect) -> Formula:
    believed = ACCEPTED if defect == "lost-is-accepted" else DOUBT
    return z3.And(
        now[f"{who}_pc"] == SENT,
        after[f"{who}_pc"] == believed,
        only(now, after, f"{who}_pc"),
    )


def _read_back(now: State, after: State, who: str, defect: Defect) -> Formula:
    """Look for the ticket; an absent one leaves the doubt, to send the same again."""
    pc, found = now[f"{who}_pc"], _ticket(now, now[f"{who}_base"] + 1)
    absent = REFUSED if defect == "absent-is-refused" else DOUBT
    other = _if(found == 0, absent, REFUSED)
    result = z3.If(found == _CODES[who], _value(ACCEPTED), other)
    return z3.And(
        z3.Or(pc == DOUBT, pc == FAILED),
        after[f"{who}_pc"] == result,
        only(now, after, f"{who}_pc"),
    )


def _give_up(now: State, after: State, who: str) -> Formula:
    return z3.And(
        now[f"{who}_pc"] == DOUBT,
        after[f"{who}_pc"] == UNKNOWN,
        only(now, after, f"{who}_pc"),
    )


def _submit_again(now: State, after: State, who: str) -> Formula:
    """Submit the same file again after an unknown outcome."""
    found = _ticket(now, now[f"{who}_base"] + 1)
    other = _if(found == 0, PLANNED, REFUSED)
    result = z3.If(found == _CODES[who], _value(ACCEPTED), other)
    return z3.And(
        now[f"{who}_pc"] == UNKNOWN,
        after[f"{who}_pc"] == result,
        only(now, after, f"{who}_pc"),
    )


def _safe(state: State) -> Formula:
    parts = [z3.Not(state["reverted"]), z3.ULE(state["head"], TICKETS)]
    for index in range(1, TICKETS + 1):
        exists = z3.UGE(state["head"], index)
        parts.append(exists == (state[f"t{index}"] != 0))
    for who, code in _CODES.items():
        found = _ticket(state, state[f"{who}_base"] + 1)
        pc = state[f"{who}_pc"]
        parts += [
            z3.Implies(pc == ACCEPTED, found == code),
            z3.Implies(pc == REFUSED, z3.And(found != code, found != 0)),
            # The rest is what makes the property inductive.
            z3.ULE(state[f"{who}_base"], state["head"]),
            z3.Implies(state[f"{who}_sent"], z3.ULT(state[f"{who}_base"], TICKETS)),
            z3.Implies(pc != IDLE, z3.ULT(state[f"{who}_base"], TICKETS)),
            z3.Implies(pc == FAILED, found != 0),
            z3.Implies(pc == IDLE, z3.Not(state[f"{who}_sent"])),
        ]
        # Nobody else writes an operator's code, and only once at its own number.
        for index in range(1, TICKETS + 1):
            parts.append(
                z3.Implies(
                    state[f"t{index}"] == code,
                    z3.And(state[f"{who}_sent"], state[f"{who}_base"] + 1 == index),
                )
            )
    return z3.And(*parts)
