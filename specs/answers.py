"""Answer streams of two callers on a connection: late, reordered, cut and resumed.

Callers ``x`` and ``y`` each get an answer of ``TOKENS`` tokens. If the first attempt is
cut, a second one resumes after the tokens that arrived; if that is cut too, it fails.
The run of the first attempt continues, and its messages may arrive at any later time.
The network holds up to two messages, delivers them in any order and may lose them.
Sources: ``protocol/_calls.py`` (stream numbers) and ``programs/entry/_attempt.py``
(token indexes and the token count in the end message).

The ``old_`` variables of a caller describe the run of its cut attempt. ``owner`` of a
message is the caller whose run sent it, which the receiver cannot see.

Defects: ``match-by-request`` (both callers use the same stream number),
``no-index-check`` (a token is accepted whatever its index) and ``no-count-check`` (an
end message is accepted whatever its token count).
"""

from __future__ import annotations

from functools import partial
from typing import Any, Final, Literal, TypeAlias

import z3

from specs._bmc import Action, Formula, Model, State, unchanged_except

Defect: TypeAlias = Literal["", "match-by-request", "no-index-check", "no-count-check"]

TOKENS: Final = 2
IDLE, OPEN, CUT, ANSWERED, FAILED = range(5)
CALLERS: Final = ("x", "y")
SLOTS: Final = ("m", "n")
_SORT: Final = z3.BitVecSort(3)


def make_model(defect: Defect = "") -> Model:
    """Return the specification, with a deliberate defect when one is named."""
    variables: dict[str, Any] = {"streams": _SORT}
    actions: dict[str, Action] = {}
    for who in CALLERS:
        names = ("pc", "stream", "got", "run", "old_stream", "old_run")
        variables |= {f"{who}_{name}": _SORT for name in names}
        variables |= {f"{who}_wrong": z3.BoolSort(), f"{who}_resumed": z3.BoolSort()}
        actions[f"{who}_start"] = partial(_start, who=who, defect=defect)
        actions[f"{who}_cut"] = partial(_cut, who=who)
        actions[f"{who}_resume"] = partial(_resume, who=who, defect=defect)
        for slot in SLOTS:
            for old in ("", "old_"):
                name = f"{who}_{old}send_{slot}"
                actions[name] = partial(_send_message, who=who, slot=slot, old=old)
    for slot in SLOTS:
        variables[f"{slot}_full"] = z3.BoolSort()
        variables[f"{slot}_end"] = z3.BoolSort()
        variables |= {f"{slot}_{name}": _SORT for name in ("stream", "owner", "index")}
        actions[f"lose_{slot}"] = partial(_lose, slot=slot)
        for who in CALLERS:
            step = partial(_deliver, slot=slot, who=who, defect=defect)
            actions[f"{who}_receive_{slot}"] = step
    return Model("answers", variables, _initial, actions, _invariant, "QF_BV")


def _caller_number(who: str) -> int:
    return CALLERS.index(who) + 1


def _initial(state: State) -> Formula:
    return z3.And(
        *(state[name] == 0 for name in state if z3.is_bv(state[name])),
        *(z3.Not(state[name]) for name in state if z3.is_bool(state[name])),
    )


def _new_stream(now: State, after: State, who: str, defect: Defect) -> Formula:
    """Give the call a new stream number; ``match-by-request`` lets calls share one."""
    if defect == "match-by-request":
        return z3.And(after[f"{who}_stream"] == 7, after["streams"] == now["streams"])
    return z3.And(
        z3.ULT(now["streams"], 6),
        after["streams"] == now["streams"] + 1,
        after[f"{who}_stream"] == after["streams"],
    )


def _start(now: State, after: State, who: str, defect: Defect) -> Formula:
    return z3.And(
        now[f"{who}_pc"] == IDLE,
        after[f"{who}_pc"] == OPEN,
        after[f"{who}_run"] == 0,
        _new_stream(now, after, who, defect),
        unchanged_except(
            now, after, "streams", f"{who}_pc", f"{who}_run", f"{who}_stream"
        ),
    )


def _cut(now: State, after: State, who: str) -> Formula:
    """Cut the attempt; its run continues under the old stream number."""
    may_resume = z3.Not(now[f"{who}_resumed"])
    return z3.And(
        now[f"{who}_pc"] == OPEN,
        after[f"{who}_pc"]
        == z3.If(may_resume, z3.BitVecVal(CUT, 3), z3.BitVecVal(FAILED, 3)),
        after[f"{who}_old_stream"] == now[f"{who}_stream"],
        after[f"{who}_old_run"] == now[f"{who}_run"],
        after[f"{who}_stream"] == 0,
        unchanged_except(
            now,
            after,
            *(f"{who}_{name}" for name in ("pc", "stream", "old_stream", "old_run")),
        ),
    )


def _resume(now: State, after: State, who: str, defect: Defect) -> Formula:
    return z3.And(
        now[f"{who}_pc"] == CUT,
        after[f"{who}_pc"] == OPEN,
        after[f"{who}_resumed"],
        after[f"{who}_run"] == now[f"{who}_got"],
        _new_stream(now, after, who, defect),
        unchanged_except(
            now,
            after,
            "streams",
            *(f"{who}_{name}" for name in ("pc", "run", "stream", "resumed")),
        ),
    )


def _send_message(now: State, after: State, who: str, slot: str, old: str) -> Formula:
    """Send the next token of the run, or the end message with the token count."""
    stream, run = now[f"{who}_{old}stream"], now[f"{who}_{old}run"]
    is_end = run == TOKENS
    return z3.And(
        stream != 0,
        z3.ULE(run, TOKENS),
        z3.Not(now[f"{slot}_full"]),
        after[f"{slot}_full"],
        after[f"{slot}_end"] == is_end,
        after[f"{slot}_stream"] == stream,
        after[f"{slot}_owner"] == _caller_number(who),
        after[f"{slot}_index"] == run,
        after[f"{who}_{old}run"] == run + 1,
        unchanged_except(
            now,
            after,
            f"{who}_{old}run",
            *(f"{slot}_{name}" for name in ("full", "end", "stream", "owner", "index")),
        ),
    )


def _lose(now: State, after: State, slot: str) -> Formula:
    return z3.And(
        now[f"{slot}_full"],
        z3.Not(after[f"{slot}_full"]),
        unchanged_except(now, after, f"{slot}_full"),
    )


def _deliver(now: State, after: State, slot: str, who: str, defect: Defect) -> Formula:
    """Deliver a message to the open call that has its stream number."""
    index, received = now[f"{slot}_index"], now[f"{who}_got"]
    end = now[f"{slot}_end"]
    other_owner = now[f"{slot}_owner"] != _caller_number(who)
    accepted = z3.BoolVal(True) if defect == "no-index-check" else index == received
    gap = z3.And(z3.UGT(index, received), z3.Not(accepted))
    complete = z3.BoolVal(True) if defect == "no-count-check" else index == received
    open_, answered, failed = (z3.BitVecVal(pc, 3) for pc in (OPEN, ANSWERED, FAILED))
    pc_end = z3.If(complete, answered, failed)
    pc_token = z3.If(gap, failed, open_)
    wrong_token = z3.And(z3.Not(end), accepted, z3.Or(other_owner, index != received))
    appended = z3.And(z3.Not(end), accepted)
    return z3.And(
        now[f"{slot}_full"],
        now[f"{who}_pc"] == OPEN,
        now[f"{who}_stream"] == now[f"{slot}_stream"],
        z3.Not(after[f"{slot}_full"]),
        after[f"{who}_pc"] == z3.If(end, pc_end, pc_token),
        after[f"{who}_got"] == z3.If(appended, received + 1, received),
        after[f"{who}_wrong"] == z3.Or(now[f"{who}_wrong"], wrong_token),
        unchanged_except(
            now,
            after,
            f"{slot}_full",
            *(f"{who}_{name}" for name in ("pc", "got", "wrong")),
        ),
    )


def _invariant(state: State) -> Formula:
    """Return the invariant of both callers.

    A caller accepts no token of the other answer or with a wrong index, and a call ends
    as answered only with all its tokens.
    """
    return z3.And(
        *(z3.Not(state[f"{who}_wrong"]) for who in CALLERS),
        *(
            z3.Implies(state[f"{who}_pc"] == ANSWERED, state[f"{who}_got"] == TOKENS)
            for who in CALLERS
        ),
    )
