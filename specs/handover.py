"""Hand-over of one non-idempotent request by a sidecar that may freeze or shut down.

The entry sends the request, which waits in the sidecar's socket, then in its queue, and
then runs. The sidecar may freeze at any time. The connection may be lost while the
bytes stay in the socket of the frozen process. The caller may cancel, and the sidecar
may leave: it refuses new requests and exits once none is queued or running. Sources:
``programs/sidecar/_relay.py``, ``programs/entry/_attempt.py``.

``late`` records that a leaving sidecar accepted the request, ``cut_off`` that it exited
while the request was queued or running.

Defects: ``lost-is-not-run`` (the entry reports not run when the connection is lost),
``timeout-is-refusal`` (a running request is refused at its deadline),
``cancel-unconfirmed`` (the entry reports not run before the sidecar confirms the
cancellation), ``accepts-while-leaving`` (a leaving sidecar queues the request) and
``exits-early`` (the sidecar exits while the request is queued or running).
"""

from __future__ import annotations

from functools import partial
from typing import Any, Final, Literal, TypeAlias

import z3

from specs._bmc import Action, Formula, Model, State, unchanged_except

Defect: TypeAlias = Literal[
    "",
    "lost-is-not-run",
    "timeout-is-refusal",
    "cancel-unconfirmed",
    "accepts-while-leaving",
    "exits-early",
]

# Position of the request (``at``).
NONE, SOCKET, QUEUED, RUNNING, FINISHED, DROPPED = range(6)
# State of the entry, or the outcome that it has reported to the caller (``entry``).
IDLE, WAITING, REPORTED_ANSWERED, REPORTED_NOT_RUN, REPORTED_UNKNOWN = range(5)
# Reply of the sidecar that is in transit (``reply``).
NO_REPLY, REFUSED, CANCELLED_BEFORE, CANCELLED_AFTER, ENDED = range(5)
_SORT: Final = z3.BitVecSort(3)
_FLAGS: Final = (
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
    variables |= dict.fromkeys(_FLAGS, z3.BoolSort())
    actions: dict[str, Action] = {
        "send": _send,
        "freeze": _freeze,
        "thaw": _thaw,
        "read": partial(_read_request, defect=defect),
        "hand_over": partial(_hand_over, defect=defect),
        "finish": _finish,
        "deadline": partial(_reach_deadline, defect=defect),
        "lose": partial(_lose_connection, defect=defect),
        "cancel": partial(_request_cancel, defect=defect),
        "take_cancel": _confirm_cancel,
        "receive": _receive_reply,
        "leave": _leave,
        "exit": partial(_exit, defect=defect),
    }
    return Model("hand-over", variables, _initial, actions, _invariant, "QF_BV")


def _initial(state: State) -> Formula:
    return z3.And(
        *(state[name] == 0 for name in ("at", "entry", "reply")),
        *(z3.Not(state[name]) for name in _FLAGS),
    )


def _can_act(now: State) -> Formula:
    return z3.And(z3.Not(now["frozen"]), z3.Not(now["exited"]))


def _send(now: State, after: State) -> Formula:
    return z3.And(
        now["entry"] == IDLE,
        z3.Not(now["exited"]),
        after["entry"] == WAITING,
        after["at"] == SOCKET,
        unchanged_except(now, after, "entry", "at"),
    )


def _freeze(now: State, after: State) -> Formula:
    return z3.And(
        _can_act(now), after["frozen"], unchanged_except(now, after, "frozen")
    )


def _thaw(now: State, after: State) -> Formula:
    return z3.And(
        now["frozen"], z3.Not(after["frozen"]), unchanged_except(now, after, "frozen")
    )


def _read_request(now: State, after: State, defect: Defect) -> Formula:
    """Read the request from the socket: queue it, or refuse it while leaving."""
    refuse = now["leaving"]
    if defect == "accepts-while-leaving":
        refuse = z3.BoolVal(False)
    return z3.And(
        _can_act(now),
        now["at"] == SOCKET,
        after["at"] == z3.If(refuse, _bv(DROPPED), _bv(QUEUED)),
        after["reply"] == z3.If(refuse, _bv(REFUSED), now["reply"]),
        after["late"] == z3.And(now["leaving"], z3.Not(refuse)),
        unchanged_except(now, after, "at", "reply", "late"),
    )


def _hand_over(now: State, after: State, defect: Defect) -> Formula:
    return z3.And(
        _can_act(now),
        now["at"] == QUEUED,
        after["at"] == RUNNING,
        after["ran"],
        unchanged_except(now, after, "at", "ran"),
    )


def _finish(now: State, after: State) -> Formula:
    """Complete the request in the upstream; the sidecar sends the end of its answer."""
    return z3.And(
        _can_act(now),
        now["at"] == RUNNING,
        after["at"] == FINISHED,
        after["reply"] == z3.If(now["reply"] == NO_REPLY, _bv(ENDED), now["reply"]),
        unchanged_except(now, after, "at", "reply"),
    )


def _reach_deadline(now: State, after: State, defect: Defect) -> Formula:
    """Refuse the queued request at its deadline.

    A request that runs gets no refusal: the entry reports its outcome as unknown.
    """
    may_refuse = now["at"] == QUEUED
    if defect == "timeout-is-refusal":
        may_refuse = z3.Or(may_refuse, now["at"] == RUNNING)
    is_queued = now["at"] == QUEUED
    return z3.And(
        _can_act(now),
        may_refuse,
        now["reply"] == NO_REPLY,
        after["at"] == z3.If(is_queued, _bv(DROPPED), now["at"]),
        after["reply"] == REFUSED,
        unchanged_except(now, after, "at", "reply"),
    )


def _lose_connection(now: State, after: State, defect: Defect) -> Formula:
    """Lose the connection; the request may still be read from the socket and run."""
    outcome = REPORTED_NOT_RUN if defect == "lost-is-not-run" else REPORTED_UNKNOWN
    return z3.And(
        now["entry"] == WAITING,
        after["lost"],
        after["entry"] == outcome,
        after["reply"] == NO_REPLY,
        unchanged_except(now, after, "lost", "entry", "reply"),
    )


def _request_cancel(now: State, after: State, defect: Defect) -> Formula:
    outcome = REPORTED_NOT_RUN if defect == "cancel-unconfirmed" else WAITING
    return z3.And(
        now["entry"] == WAITING,
        z3.Not(now["cancel"]),
        after["cancel"],
        after["entry"] == outcome,
        unchanged_except(now, after, "cancel", "entry"),
    )


def _confirm_cancel(now: State, after: State) -> Formula:
    """Confirm a cancellation: drop a queued request, let a running one continue."""
    is_queued = now["at"] == QUEUED
    reply = z3.If(is_queued, _bv(CANCELLED_BEFORE), _bv(CANCELLED_AFTER))
    return z3.And(
        _can_act(now),
        now["cancel"],
        z3.Not(now["lost"]),
        z3.Or(is_queued, now["at"] == RUNNING),
        now["reply"] == NO_REPLY,
        after["at"] == z3.If(is_queued, _bv(DROPPED), now["at"]),
        after["reply"] == reply,
        unchanged_except(now, after, "at", "reply"),
    )


def _receive_reply(now: State, after: State) -> Formula:
    reply = now["reply"]
    not_run = z3.Or(reply == REFUSED, reply == CANCELLED_BEFORE)
    otherwise = z3.If(reply == ENDED, _bv(REPORTED_ANSWERED), _bv(REPORTED_UNKNOWN))
    return z3.And(
        now["entry"] == WAITING,
        reply != NO_REPLY,
        after["entry"] == z3.If(not_run, _bv(REPORTED_NOT_RUN), otherwise),
        unchanged_except(now, after, "entry"),
    )


def _leave(now: State, after: State) -> Formula:
    return z3.And(
        _can_act(now), after["leaving"], unchanged_except(now, after, "leaving")
    )


def _exit(now: State, after: State, defect: Defect) -> Formula:
    """Exit at the end of a shutdown, once the request is neither queued nor running."""
    in_flight = z3.Or(now["at"] == QUEUED, now["at"] == RUNNING)
    allowed = z3.BoolVal(True) if defect == "exits-early" else z3.Not(in_flight)
    return z3.And(
        _can_act(now),
        now["leaving"],
        allowed,
        after["exited"],
        after["cut_off"] == in_flight,
        unchanged_except(now, after, "exited", "cut_off"),
    )


def _bv(number: int) -> Formula:
    return z3.BitVecVal(number, _SORT.size())


def _invariant(state: State) -> Formula:
    """Return the invariant of the hand-over.

    A request reported as not run has not run, one reported as answered has. A leaving
    sidecar accepts no request, and its exit interrupts none.
    """
    return z3.And(
        z3.Implies(state["entry"] == REPORTED_NOT_RUN, z3.Not(state["ran"])),
        z3.Implies(state["entry"] == REPORTED_ANSWERED, state["ran"]),
        z3.Not(state["late"]),
        z3.Not(state["cut_off"]),
    )


def auxiliary_invariant(state: State) -> Formula:
    """Return what makes the invariant inductive: the position shows whether it ran."""
    ran = z3.Or(state["at"] == RUNNING, state["at"] == FINISHED)
    refused = z3.Or(state["reply"] == REFUSED, state["reply"] == CANCELLED_BEFORE)
    reported_not_run = z3.Or(refused, state["entry"] == REPORTED_NOT_RUN)
    return z3.And(
        state["ran"] == ran,
        z3.Implies(reported_not_run, state["at"] == DROPPED),
        z3.Implies(state["reply"] == ENDED, state["ran"]),
        z3.Implies(state["entry"] == REPORTED_ANSWERED, state["ran"]),
        z3.Implies(state["entry"] == IDLE, state["at"] == NONE),
        z3.Implies(state["at"] == NONE, state["reply"] == NO_REPLY),
        z3.ULE(state["at"], DROPPED),
        z3.ULE(state["entry"], REPORTED_UNKNOWN),
        z3.ULE(state["reply"], ENDED),
    )
