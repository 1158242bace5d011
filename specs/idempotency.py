"""Specification of at-most-once execution: claims by compare-and-swap.

One key, since keys share nothing but their record's revision, and other keys' writes
are the ``other_write`` action. Three owner instances, each of which may be paused (any
action may come at any time), duplicated (all may hold the partition at once) or killed;
a restarted process is one of the others. Three attempts with the key: a first one and
resends, sent to any owners. A claim's write may arrive late, more than once, or after
its sender's death, and its answer may be lost.

Guarantees: the key runs at most once; an attempt that was told "not run" has not run
and never runs.

The guarantees are proved by induction (``idempotency_proof``, 1.6 s) for paths of any
length with at most 255 writes on the record, and by bounded checking for all paths of
12 steps (112 s; the test takes 8 steps, 1.4 s). The defects' shortest counterexamples
have 10 steps (``no_fence``, 2.9 s) and 6 steps (``early_start``, 0.5 s). Not modelled:
expiry, segments, and requests that the upstream itself reports as not run.

Defects: ``no_fence`` (the record takes a claim without comparing its revision) and
``early_start`` (an owner runs the request before its claim is durable).
"""

from __future__ import annotations

from typing import Any, Final

import z3

from specs._bmc import Action, Formula, Model, State, only

OWNERS: Final = 3
ATTEMPTS: Final = 3
_REVISION_BITS: Final = 8
_REVISION_MAX: Final = 2**_REVISION_BITS - 1

# What the record says of the key.
FREE, OPEN, DONE = 0, 1, 2
# An owner's phase. REFUSED: told "not run" while its claim's write is unresolved.
IDLE, CLAIMING, CLAIMED, RUNNING, REFUSED = 0, 1, 2, 3, 4
# What an attempt's caller was told.
WAITING, NOT_RUN, ANSWERED, UNKNOWN = 0, 1, 2, 3


def make_model(*, no_fence: bool = False, early_start: bool = False) -> Model:
    """Return the protocol, or one of its defects."""
    revision = z3.BitVecSort(_REVISION_BITS)
    small, flag = z3.BitVecSort(3), z3.BoolSort()
    variables: dict[str, Any] = {
        "revision": revision,
        "record": small,
        # The writer and the base revision of the record's last claim write are its
        # nonce: an owner sends one content at most for each base revision.
        "last_writer": small,
        "runs": small,
    }
    for owner in range(OWNERS):
        variables |= {
            f"alive{owner}": flag,
            # The revision that the owner believes the record has; 0: not an owner.
            f"base{owner}": revision,
            f"knows{owner}": small,
            f"phase{owner}": small,
            f"attempt{owner}": small,
            # The claim's write: sent with this base, and whether it took effect.
            f"sent{owner}": flag,
            f"sent_base{owner}": revision,
            f"applied{owner}": flag,
        }
    for attempt in range(ATTEMPTS):
        variables |= {
            f"taken{attempt}": flag,
            f"told{attempt}": small,
            f"ran{attempt}": flag,
        }
    actions: dict[str, Action] = {"other_write": _other_write}
    for owner in range(OWNERS):
        actions |= _owner_actions(owner, no_fence, early_start)
    name = "idempotency" + ", no fence" * no_fence + ", early start" * early_start
    return Model(name, variables, _initial, actions, guarantee, logic="QF_BV")


def guarantee(state: State) -> Formula:
    """Return that the key ran at most once and that each "not run" is true."""
    lies = [
        z3.And(state[f"told{attempt}"] == NOT_RUN, state[f"ran{attempt}"])
        for attempt in range(ATTEMPTS)
    ]
    return z3.And(z3.ULE(state["runs"], 1), z3.Not(z3.Or(lies)))


def _initial(state: State) -> Formula:
    start = [state["revision"] == 1, state["record"] == FREE, state["runs"] == 0]
    start.append(state["last_writer"] == OWNERS)
    for owner in range(OWNERS):
        start += [
            state[f"alive{owner}"],
            state[f"base{owner}"] == 0,
            state[f"knows{owner}"] == FREE,
            state[f"phase{owner}"] == IDLE,
            state[f"attempt{owner}"] == 0,
            z3.Not(state[f"sent{owner}"]),
            state[f"sent_base{owner}"] == 0,
            z3.Not(state[f"applied{owner}"]),
        ]
    for attempt in range(ATTEMPTS):
        start += [
            z3.Not(state[f"taken{attempt}"]),
            state[f"told{attempt}"] == WAITING,
            z3.Not(state[f"ran{attempt}"]),
        ]
    return z3.And(start)


def _bump(now: State, after: State, writer: Any) -> Formula:
    """Return that one write moves the record's revision."""
    return z3.And(
        z3.ULT(now["revision"], _REVISION_MAX),
        after["revision"] == now["revision"] + 1,
        after["last_writer"] == writer,
    )


def _other_write(now: State, after: State) -> Formula:
    """Write something else: another key's claim, or a takeover that got no answer."""
    return z3.And(
        _bump(now, after, OWNERS), only(now, after, "revision", "last_writer")
    )


def _tell(now: State, after: State, owner: int, what: int) -> Formula:
    """Return that the owner's attempt is told something, and no other attempt."""
    mine = now[f"attempt{owner}"]
    return z3.And(
        [
            after[f"told{attempt}"]
            == z3.If(mine == attempt, what, now[f"told{attempt}"])
            for attempt in range(ATTEMPTS)
        ]
    )


def _told() -> list[str]:
    return [f"told{attempt}" for attempt in range(ATTEMPTS)]


def _owner_actions(owner: int, no_fence: bool, early_start: bool) -> dict[str, Action]:
    alive, base, knows = f"alive{owner}", f"base{owner}", f"knows{owner}"
    phase, mine = f"phase{owner}", f"attempt{owner}"
    sent, sent_base, applied = f"sent{owner}", f"sent_base{owner}", f"applied{owner}"

    nothing = z3.BitVecVal(0, _REVISION_BITS)

    def found_nonce(now: State) -> Formula:
        """Return that the head, read now, is this owner's claim write."""
        newest = now["revision"] == now[sent_base] + 1
        return z3.And(now["last_writer"] == owner, newest, now[applied])

    def take(now: State, after: State) -> Formula:
        """Read the record and take it over; a takeover has its own revision."""
        return z3.And(
            now[alive],
            now[phase] == IDLE,
            _bump(now, after, OWNERS),
            after[base] == now["revision"] + 1,
            after[knows] == now["record"],
            only(now, after, "revision", "last_writer", base, knows),
        )

    def accept(attempt: int) -> Action:
        def action(now: State, after: State) -> Formula:
            """Claim a free key; answer from the record otherwise."""
            taken, told = f"taken{attempt}", f"told{attempt}"
            answers = [z3.BitVecVal(what, 3) for what in (ANSWERED, UNKNOWN)]
            answer = z3.If(now[knows] == DONE, *answers)
            is_free = now[knows] == FREE
            claim = z3.And(
                after[phase] == CLAIMING,
                after[mine] == attempt,
                after[sent],
                after[sent_base] == now[base],
                z3.Not(after[applied]),
                only(now, after, taken, phase, mine, sent, sent_base, applied),
            )
            reply = z3.And(after[told] == answer, only(now, after, taken, told))
            return z3.And(
                now[alive],
                now[base] != 0,
                now[phase] == IDLE,
                z3.Not(now[taken]),
                after[taken],
                z3.If(is_free, claim, reply),
            )

        return action

    def arrive(now: State, after: State) -> Formula:
        """Let the claim's write reach the record, even after its sender's death."""
        fence = now[sent_base] == now["revision"]
        return z3.And(
            now[sent],
            z3.BoolVal(True) if no_fence else fence,
            _bump(now, after, owner),
            after["record"] == OPEN,
            after[applied],
            only(now, after, "revision", "last_writer", "record", applied),
        )

    def learn_claimed(now: State, after: State) -> Formula:
        """Get the answer, or find the write's nonce in the head."""
        return z3.And(
            now[alive],
            now[phase] == CLAIMING,
            now[applied],
            after[phase] == CLAIMED,
            after[knows] == OPEN,
            after[base] == now[sent_base] + 1,
            only(now, after, phase, knows, base),
        )

    def learn_fenced(now: State, after: State) -> Formula:
        """Find another write in the head: refuse, and give the partition up."""
        return z3.And(
            now[alive],
            now[phase] == CLAIMING,
            now["revision"] != now[sent_base],
            z3.Not(found_nonce(now)),
            _tell(now, after, owner, NOT_RUN),
            after[phase] == IDLE,
            after[base] == 0,
            only(now, after, phase, base, *_told()),
        )

    def refuse(now: State, after: State) -> Formula:
        """Refuse during an outage, before the write's outcome is known."""
        return z3.And(
            now[alive],
            now[phase] == CLAIMING,
            _tell(now, after, owner, NOT_RUN),
            after[phase] == REFUSED,
            only(now, after, phase, *_told()),
        )

    def resolve(now: State, after: State) -> Formula:
        """Learn the refused claim's outcome: void it, or give the partition up."""
        return z3.And(
            now[alive],
            now[phase] == REFUSED,
            now["revision"] != now[sent_base],
            after[phase] == IDLE,
            after[base] == z3.If(found_nonce(now), now["revision"], nothing),
            only(now, after, phase, base),
        )

    def withdraw(now: State, after: State) -> Formula:
        """Do not start a claimed request: its deadline passed or its caller left."""
        return z3.And(
            now[alive],
            now[phase] == CLAIMED,
            _tell(now, after, owner, NOT_RUN),
            after[phase] == IDLE,
            after[knows] == FREE,
            only(now, after, phase, knows, *_told()),
        )

    def start(now: State, after: State) -> Formula:
        """Hand the request to the upstream."""
        ready = now[phase] == CLAIMED
        if early_start:
            ready = z3.Or(ready, now[phase] == CLAIMING)
        ran = [
            after[f"ran{attempt}"] == z3.Or(now[f"ran{attempt}"], now[mine] == attempt)
            for attempt in range(ATTEMPTS)
        ]
        names = [f"ran{attempt}" for attempt in range(ATTEMPTS)]
        return z3.And(
            now[alive],
            ready,
            z3.ULT(now["runs"], 2),
            after["runs"] == now["runs"] + 1,
            after[phase] == RUNNING,
            *ran,
            only(now, after, "runs", phase, *names),
        )

    def finish(now: State, after: State) -> Formula:
        """Answer the caller; the owner knows the result from now on."""
        return z3.And(
            now[alive],
            now[phase] == RUNNING,
            _tell(now, after, owner, ANSWERED),
            after[phase] == IDLE,
            after[knows] == DONE,
            only(now, after, phase, knows, *_told()),
        )

    def write_back(now: State, after: State) -> Formula:
        """Record what the owner knows: a result, or that a claim is void."""
        return z3.And(
            now[alive],
            now[phase] == IDLE,
            now[base] == now["revision"],
            _bump(now, after, OWNERS),
            after["record"] == now[knows],
            after[base] == now["revision"] + 1,
            only(now, after, "revision", "last_writer", "record", base),
        )

    def kill(now: State, after: State) -> Formula:
        """End the process; its write may still be on the way."""
        return z3.And(now[alive], z3.Not(after[alive]), only(now, after, alive))

    named: dict[str, Action] = {
        "take": take,
        "arrive": arrive,
        "learn_claimed": learn_claimed,
        "learn_fenced": learn_fenced,
        "refuse": refuse,
        "resolve": resolve,
        "withdraw": withdraw,
        "start": start,
        "finish": finish,
        "write_back": write_back,
        "kill": kill,
    }
    named |= {f"accept{attempt}": accept(attempt) for attempt in range(ATTEMPTS)}
    return {f"{name}({owner})": action for name, action in named.items()}
