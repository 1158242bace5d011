"""Submission of tickets by compare-and-swap: two operators, lost answers.

Operators ``a`` and ``b`` submit one ticket each; tickets of other operators may be
accepted at any time. A transaction that was sent stays in the network and may take
effect at any later time, more than once. ``t1`` to ``t3`` are the accepted tickets:
0 none, 1 of ``a``, 2 of ``b``, 3 of others. Sources:
``coordination/config/_submit.py``.

Property: a reported outcome is true in all later states. "Accepted" means that the
ticket is in the history, "refused" that it is not and never will be. ``reverted``
records that an accepted ticket was replaced or that ``head`` was set back.

Defects: ``no-compare`` (the store writes a ticket without comparing ``head``),
``lost-is-accepted`` (a lost answer is reported as accepted) and ``absent-is-refused``
(a ticket that is not found yet is reported as refused).
"""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
from typing import Any, Final, Literal, TypeAlias

import z3

from specs._bmc import Action, Formula, Model, State, unchanged, unchanged_except

Defect: TypeAlias = Literal["", "no-compare", "lost-is-accepted", "absent-is-refused"]

TICKETS: Final = 3
IDLE, PLANNED, SENT, IN_DOUBT, ACCEPTED, REFUSED, UNKNOWN, FAILED = range(8)
_TICKET_CODES: Final = {"a": 1, "b": 2}
_SORT: Final = z3.BitVecSort(3)


def make_model(defect: Defect = "") -> Model:
    """Return the specification, with a deliberate defect when one is named."""
    variables: dict[str, Any] = {"head": _SORT, "reverted": z3.BoolSort()}
    variables |= {f"t{number}": _SORT for number in range(1, TICKETS + 1)}
    actions: dict[str, Action] = {"other_ticket": _other_ticket}
    for who in _TICKET_CODES:
        variables |= {f"{who}_pc": _SORT, f"{who}_base": _SORT}
        variables[f"{who}_sent"] = z3.BoolSort()
        operator_actions: dict[str, Callable[..., Formula]] = {
            "plan": _plan,
            "send": _send,
            "effect": partial(_apply_write, defect=defect),
            "lose": partial(_lose_answer, defect=defect),
            "read_back": partial(_read_back, defect=defect),
            "give_up": _give_up,
            "submit_again": _submit_again,
        }
        for name, step in operator_actions.items():
            actions[f"{who}_{name}"] = partial(_operator_action, step, who)
    return Model("ticket submission", variables, _initial, actions, _invariant, "QF_BV")


def _operator_action(
    step: Callable[..., Formula], who: str, now: State, after: State
) -> Formula:
    return step(now, after, who)


def _initial(state: State) -> Formula:
    zero = [state[name] == 0 for name in state if z3.is_bv(state[name])]
    false = [z3.Not(state[name]) for name in state if z3.is_bool(state[name])]
    return z3.And(*zero, *false)


def _bv(number: int) -> Formula:
    return z3.BitVecVal(number, _SORT.size())


def _if_else(condition: Formula, yes: int, no: int) -> Formula:
    return z3.If(condition, _bv(yes), _bv(no))


def _ticket_at(state: State, number: Formula) -> Formula:
    """Return the code of ticket ``number``, 0 if there is none."""
    value: Formula = _bv(0)
    for index in range(1, TICKETS + 1):
        value = z3.If(number == index, state[f"t{index}"], value)
    return value


def _write_ticket(now: State, after: State, number: Formula, code: int) -> Formula:
    """Write ``code`` as ticket ``number``.

    Set ``reverted`` if this replaces another ticket or sets ``head`` back.
    """
    parts = [
        after[f"t{index}"] == z3.If(number == index, _bv(code), now[f"t{index}"])
        for index in range(1, TICKETS + 1)
    ]
    old = _ticket_at(now, number)
    replaced = z3.And(old != 0, old != code)
    out_of_order = z3.ULT(number, now["head"])
    changed = after["reverted"] == z3.Or(now["reverted"], replaced, out_of_order)
    return z3.And(*parts, changed, after["head"] == number)


def _other_ticket(now: State, after: State) -> Formula:
    written = [f"t{index}" for index in range(1, TICKETS + 1)]
    return z3.And(
        z3.ULT(now["head"], TICKETS),
        _write_ticket(now, after, now["head"] + 1, 3),
        unchanged_except(now, after, "head", "reverted", *written),
    )


def _plan(now: State, after: State, who: str) -> Formula:
    return z3.And(
        now[f"{who}_pc"] == IDLE,
        z3.ULT(now["head"], TICKETS),
        after[f"{who}_pc"] == PLANNED,
        after[f"{who}_base"] == now["head"],
        unchanged_except(now, after, f"{who}_pc", f"{who}_base"),
    )


def _send(now: State, after: State, who: str) -> Formula:
    pc = now[f"{who}_pc"]
    return z3.And(
        z3.Or(pc == PLANNED, pc == IN_DOUBT),
        after[f"{who}_pc"] == SENT,
        after[f"{who}_sent"],
        unchanged_except(now, after, f"{who}_pc", f"{who}_sent"),
    )


def _apply_write(now: State, after: State, who: str, defect: Defect) -> Formula:
    """Let a sent transaction reach the store; its answer may be lost."""
    number = now[f"{who}_base"] + 1
    pc, pc_after = now[f"{who}_pc"], after[f"{who}_pc"]
    matches = now["head"] == now[f"{who}_base"]
    if defect == "no-compare":
        matches = z3.BoolVal(True)
    written = [f"t{index}" for index in range(1, TICKETS + 1)]
    not_written = unchanged(now, after, "head", "reverted", *written)
    answered = pc_after == _if_else(matches, ACCEPTED, FAILED)
    return z3.And(
        now[f"{who}_sent"],
        z3.If(
            matches, _write_ticket(now, after, number, _TICKET_CODES[who]), not_written
        ),
        z3.Or(pc_after == pc, z3.And(pc == SENT, answered)),
        unchanged_except(now, after, "head", "reverted", f"{who}_pc", *written),
    )


def _lose_answer(now: State, after: State, who: str, defect: Defect) -> Formula:
    result = ACCEPTED if defect == "lost-is-accepted" else IN_DOUBT
    return z3.And(
        now[f"{who}_pc"] == SENT,
        after[f"{who}_pc"] == result,
        unchanged_except(now, after, f"{who}_pc"),
    )


def _read_back(now: State, after: State, who: str, defect: Defect) -> Formula:
    """Look for the ticket; if it is absent, stay in doubt and send the same again."""
    pc, found = now[f"{who}_pc"], _ticket_at(now, now[f"{who}_base"] + 1)
    absent = REFUSED if defect == "absent-is-refused" else IN_DOUBT
    otherwise = _if_else(found == 0, absent, REFUSED)
    result = z3.If(found == _TICKET_CODES[who], _bv(ACCEPTED), otherwise)
    return z3.And(
        z3.Or(pc == IN_DOUBT, pc == FAILED),
        after[f"{who}_pc"] == result,
        unchanged_except(now, after, f"{who}_pc"),
    )


def _give_up(now: State, after: State, who: str) -> Formula:
    return z3.And(
        now[f"{who}_pc"] == IN_DOUBT,
        after[f"{who}_pc"] == UNKNOWN,
        unchanged_except(now, after, f"{who}_pc"),
    )


def _submit_again(now: State, after: State, who: str) -> Formula:
    """Submit the same ticket file again after an unknown outcome."""
    found = _ticket_at(now, now[f"{who}_base"] + 1)
    otherwise = _if_else(found == 0, PLANNED, REFUSED)
    result = z3.If(found == _TICKET_CODES[who], _bv(ACCEPTED), otherwise)
    return z3.And(
        now[f"{who}_pc"] == UNKNOWN,
        after[f"{who}_pc"] == result,
        unchanged_except(now, after, f"{who}_pc"),
    )


def _invariant(state: State) -> Formula:
    parts = [z3.Not(state["reverted"]), z3.ULE(state["head"], TICKETS)]
    for index in range(1, TICKETS + 1):
        exists = z3.UGE(state["head"], index)
        parts.append(exists == (state[f"t{index}"] != 0))
    for who, code in _TICKET_CODES.items():
        found = _ticket_at(state, state[f"{who}_base"] + 1)
        pc = state[f"{who}_pc"]
        parts += [
            z3.Implies(pc == ACCEPTED, found == code),
            z3.Implies(pc == REFUSED, z3.And(found != code, found != 0)),
            # The other conditions make the property inductive.
            z3.ULE(state[f"{who}_base"], state["head"]),
            z3.Implies(state[f"{who}_sent"], z3.ULT(state[f"{who}_base"], TICKETS)),
            z3.Implies(pc != IDLE, z3.ULT(state[f"{who}_base"], TICKETS)),
            z3.Implies(pc == FAILED, found != 0),
            z3.Implies(pc == IDLE, z3.Not(state[f"{who}_sent"])),
        ]
        # Only the operator writes its code, and only as the ticket after its base.
        for index in range(1, TICKETS + 1):
            parts.append(
                z3.Implies(
                    state[f"t{index}"] == code,
                    z3.And(state[f"{who}_sent"], state[f"{who}_base"] + 1 == index),
                )
            )
    return z3.And(*parts)
