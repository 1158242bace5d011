"""Hand-over of one non-idempotent request by a sidecar that may freeze or leave.

The entry sends the request; it waits in the sidecar's socket, then in its queue, then
runs. The sidecar may freeze at any point, the connection may be lost while the bytes
stay in the frozen process's socket, the caller may cancel, and the sidecar may leave.
Sources: ``programs/sidecar/_relay.py``, ``programs/entry/_attempt.py``.
"""

from __future__ import annotations

from functools import partial
from typing import Any, Final, Literal, TypeAlias

import z3

from specs._bmc import Action, Formula, Model, State, only

Defect: TypeAlias = Literal[
    "",
    "lost-is-not-run",
    "timeout-is-refusal",
    "cancel-unconfirmed",
    "accepts-while-leaving",
    "exits-early",
]

# Where the request is.
NONE, SOCKET, QUEUED, RUNNING, FINISHED, DROPPED = range(6)
# What the entry knows.
IDLE, WAITING, SAID_ANSWERED, SAID_NOT_RUN, SAID_UNKNOWN = range(5)
# A reply on its way.
NO_REPLY, REFUSED, CANCELLED_BEFORE, CANCELLED_AFTER, ENDED = range(5)
_SORT: Final = z3.BitVecSort(3)
_BITS: Final = (
    "frozen",
    "lost",
    "leaving",
    "exited",
    "ran",
    "cancel",
    "late",
    "cut_off",
)


def make_model(defect: Defect = "") -> Model:
    """Return the specification, with a deliberate defect when one is named."""
    variables: dict[str, Any] = dict.fromkeys(("at", "entry", "reply"), _SORT)
    variables |= dict.fromkeys(_BITS, z3.BoolSort())
    actions: dict[str, Action] = {
        "send": _send,
        "freeze": _freeze,
        "thaw": _thaw,
        "read": partial(_read, defect=defect),
        "hand_over": partial(_hand_over, defect=defect),
        "finish": _finish,
        "deadline": partial(_deadline, defect=defect),
        "lose": partial(_lose, defect=defect),
        "cancel": partial(_cancel, defect=defect),
        "take_cancel": _take_cancel,
        "receive": _receive,
        "leave": _leave,
        "exit": partial(_exit, defect=defect),
    }
    return Model("hand-over", variables, _initial, actions, _safe, "QF_BV")


def _initial(state: State) -> Formula:
    return z3.And(
        *(state[name] == 0 for name in ("at", "entry", "reply")),
        *(z3.Not(state[name]) for name in _BITS),
    )


def _acts(now: State) -> Formula:
    return z3.And(z3.Not(now["frozen"]), z3.Not(now["exited"]))


def _send(now: State, after: State) -> Formula:
    return z3.And(
        now["entry"] == IDLE,
        z3.Not(now["exited"]),
        after["entry"] == WAITING,
        after["at"] == SOCKET,
        only(now, after, "entry", "at"),
    )


def _freeze(now: State, after: State) -> Formula:
    return z3.And(_acts(now), after["frozen"], only(now, after, "frozen"))


def _thaw(now: State, after: State) -> Formula:
    return z3.And(now["frozen"], z3.Not(after["frozen"]), only(now, after, "frozen"))


def _read(now: State, after: State, defect: Defect) -> Formula:
    """Read the request: queue it, or refuse it when leaving."""
    refuse = now["leaving"]
    if defect == "accepts-while-leaving":
        refuse = z3.BoolVal(False)
    return z3.And(
        _acts(now),
        now["at"] == SOCKET,
        after["at"] == z3.If(refuse, _value(DROPPED), _value(QUEUED)),
        after["reply"] == z3.If(refuse, _value(REFUSED), now["reply"]),
        after["late"] == z3.And(now["leaving"], z3.Not(refuse)),
        only(now, after, "at", "reply", "late"),
    )


def _hand_over(now: State, after: State, defect: Defect) -> Formula:
    return z3.And(
        _acts(now),
        now["at"] == QUEUED,
        after["at"] == RUNNING,
        after["ran"],
        only(now, after, "at", "ran"),
    )


def _finish(now: State, after: State) -> Formula:
    """Let the upstream answer; its sidecar passes that on."""
    return z3.And(
        _acts(now),
        now["at"] == RUNNING,
        after["at"] == FINISHED,
        after["reply"] == z3.If(now["reply"] == NO_REPLY, _value(ENDED), now["reply"]),
        only(now, after, "at", "reply"),
    )


def _deadline(now: State, after: State, defect: Defect) -> Formula:
    """Give up at the deadline: refuse what waits; the entry says unknown for others."""
    refuses = now["at"] == QUEUED
    if defect == "timeout-is-refusal":
        refuses = z3.Or(refuses, now["at"] == RUNNING)
    waits = now["at"] == QUEUED
    return z3.And(
        _acts(now),
        refuses,
        now["reply"] == NO_REPLY,
        after["at"] == z3.If(waits, _value(DROPPED), now["at"]),
        after["reply"] == REFUSED,
        only(now, after, "at", "reply"),
    )


def _lose(now: State, after: State, defect: Defect) -> Formula:
    """Lose the connection; bytes that were sent may still be read and run."""
    said = SAID_NOT_RUN if defect == "lost-is-not-run" else SAID_UNKNOWN
    return z3.And(
        now["entry"] == WAITING,
        after["lost"],
        after["entry"] == said,
        after["reply"] == NO_REPLY,
        only(now, after, "lost", "entry", "reply"),
    )


def _cancel(now: State, after: State, defect: Defect) -> Formula:
    said = SAID_NOT_RUN if defect == "cancel-unconfirmed" else WAITING
    return z3.And(
        now["entry"] == WAITING,
        z3.Not(now["cancel"]),
        after["cancel"],
        after["entry"] == said,
        only(now, after, "cancel", "entry"),
    )


def _take_cancel(now: State, after: State) -> Formula:
    """Confirm a cancel: before hand-over the request is dropped, after it runs on."""
    waits = now["at"] == QUEUED
    reply = z3.If(waits, _value(CANCELLED_BEFORE), _value(CANCELLED_AFTER))
    return z3.And(
        _acts(now),
        now["cancel"],
        z3.Not(now["lost"]),
        z3.Or(waits, now["at"] == RUNNING),
        now["reply"] == NO_REPLY,
        after["at"] == z3.If(waits, _value(DROPPED), now["at"]),
        after["reply"] == reply,
        only(now, after, "at", "reply"),
    )


def _receive(now: State, after: State) -> Formula:
    reply = now["reply"]
    not_run = z3.Or(reply == REFUSED, reply == CANCELLED_BEFORE)
    unknown = z3.If(reply == ENDED, _value(SAID_ANSWERED), _value(SAID_UNKNOWN))
    return z3.And(
        now["entry"] == WAITING,
        reply != NO_REPLY,
        after["entry"] == z3.If(not_run, _value(SAID_NOT_RUN), unknown),
        only(now, after, "entry"),
    )


def _leave(now: State, after: State) -> Formula:
    return z3.And(_acts(now), after["leaving"], only(now, after, "leaving"))


def _exit(now: State, after: State, defect: Defect) -> Formula:
    """End an orderly shutdown, once nothing waits or runs."""
    in_flight = z3.Or(now["at"] == QUEUED, now["at"] == RUNNING)
    may = z3.BoolVal(True) if defect == "exits-early" else z3.Not(in_flight)
    return z3.And(
        _acts(now),
        now["leaving"],
        may,
        after["exited"],
        after["cut_off"] == in_flight,
        only(now, after, "exited", "cut_off"),
    )


def _value(number: int) -> Formula:
    return z3.BitVecVal(number, _SORT.size())


def _safe(state: State) -> Formula:
    """Not run is true, no new work while leaving, and no request is cut off."""
    return z3.And(
        z3.Implies(state["entry"] == SAID_NOT_RUN, z3.Not(state["ran"])),
        z3.Implies(state["entry"] == SAID_ANSWERED, state["ran"]),
        z3.Not(state["late"]),
        z3.Not(state["cut_off"]),
    )


def supporting(state: State) -> Formula:
    """Return what makes the invariant inductive: where a request is tells if it ran."""
    ran = z3.Or(state["at"] == RUNNING, state["at"] == FINISHED)
    refused = z3.Or(state["reply"] == REFUSED, state["reply"] == CANCELLED_BEFORE)
    told = z3.Or(refused, state["entry"] == SAID_NOT_RUN)
    return z3.And(
        state["ran"] == ran,
        z3.Implies(told, state["at"] == DROPPED),
        z3.Implies(state["reply"] == ENDED, state["ran"]),
        z3.Implies(state["entry"] == SAID_ANSWERED, state["ran"]),
        z3.Implies(state["entry"] == IDLE, state["at"] == NONE),
        z3.Implies(state["at"] == NONE, state["reply"] == NO_REPLY),
        z3.ULE(state["at"], DROPPED),
        z3.ULE(state["entry"], SAID_UNKNOWN),
        z3.ULE(state["reply"], ENDED),
    )
