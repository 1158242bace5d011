"""Specification of at-most-once execution: claims by compare-and-swap.

The model has one key: keys share only the revision of their record, and the action
``other_write`` stands for the writes of other keys. There are three owner instances.
Each may be paused (any action may come at any time), duplicated (all may own the
partition at once) or killed; a restarted process counts as another instance. There are
three attempts with the key, a first one and resends, each sent to any owner. The write
of a claim may arrive late, more than once or after the death of its sender, and its
answer may be lost.

Guarantees: the key runs at most once; an attempt that was told "not run" has not run
and never runs.

The guarantees are proved by induction (``idempotency_proof``, 1.6 s) for paths of any
length with at most 255 writes to the record, and by bounded checking for all paths of
12 steps (112 s; the test checks 8 steps, 1.4 s). The shortest counterexamples of the
defects have 10 steps (``no_fence``, 2.9 s) and 6 steps (``early_start``, 0.5 s). Not
modelled: expiry, segments, and requests that the upstream itself reports as not run.

Defects: ``no_fence`` (the record accepts a claim without comparing its revision) and
``early_start`` (an owner starts the request before its claim is durable).
"""

from __future__ import annotations

from typing import Any, Final

import z3

from specs._bmc import Action, Formula, Model, State, unchanged_except

OWNERS: Final = 3
ATTEMPTS: Final = 3
_REVISION_BITS: Final = 8
_REVISION_MAX: Final = 2**_REVISION_BITS - 1

# State of the key in the record, and in an owner's copy of it (``knows``).
FREE, OPEN, DONE = 0, 1, 2
# Phase of an owner. REFUSED: the attempt was told "not run" although the outcome of the
# claim's write is still unknown.
IDLE, CLAIMING, CLAIMED, RUNNING, REFUSED = 0, 1, 2, 3, 4
# Outcome that the caller of an attempt was told.
WAITING, NOT_RUN, ANSWERED, UNKNOWN = 0, 1, 2, 3


def make_model(*, no_fence: bool = False, early_start: bool = False) -> Model:
    """Return the specification, with the deliberate defects that are named."""
    revision = z3.BitVecSort(_REVISION_BITS)
    small_int, flag = z3.BitVecSort(3), z3.BoolSort()
    variables: dict[str, Any] = {
        "revision": revision,
        "record": small_int,
        # The writer and the base revision of the last claim write serve as its nonce:
        # an owner sends at most one content for each base revision.
        "last_writer": small_int,
        "runs": small_int,
    }
    for owner in range(OWNERS):
        variables |= {
            f"alive{owner}": flag,
            # Revision of the record as the owner knows it; 0 if it owns nothing.
            f"base{owner}": revision,
            f"knows{owner}": small_int,
            f"phase{owner}": small_int,
            f"attempt{owner}": small_int,
            # Write of the claim: whether sent, its base, whether it took effect.
            f"sent{owner}": flag,
            f"sent_base{owner}": revision,
            f"applied{owner}": flag,
        }
    for attempt in range(ATTEMPTS):
        variables |= {
            f"taken{attempt}": flag,
            f"told{attempt}": small_int,
            f"ran{attempt}": flag,
        }
    actions: dict[str, Action] = {"other_write": _other_write}
    for owner in range(OWNERS):
        actions |= _owner_actions(owner, no_fence, early_start)
    name = "idempotency" + ", no fence" * no_fence + ", early start" * early_start
    return Model(name, variables, _initial, actions, guarantee, logic="QF_BV")


def guarantee(state: State) -> Formula:
    """Return the formula that the key ran at most once and each "not run" is true."""
    false_reports = [
        z3.And(state[f"told{attempt}"] == NOT_RUN, state[f"ran{attempt}"])
        for attempt in range(ATTEMPTS)
    ]
    return z3.And(z3.ULE(state["runs"], 1), z3.Not(z3.Or(false_reports)))


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


def _write_record(now: State, after: State, writer: Any) -> Formula:
    """Advance the revision of the record by one write."""
    return z3.And(
        z3.ULT(now["revision"], _REVISION_MAX),
        after["revision"] == now["revision"] + 1,
        after["last_writer"] == writer,
    )


def _other_write(now: State, after: State) -> Formula:
    """Write another key's claim, or a takeover whose answer was lost."""
    return z3.And(
        _write_record(now, after, OWNERS),
        unchanged_except(now, after, "revision", "last_writer"),
    )


def _report_to_attempt(now: State, after: State, owner: int, outcome: int) -> Formula:
    """Tell ``outcome`` to the owner's attempt, and nothing to the other attempts."""
    current_attempt = now[f"attempt{owner}"]
    return z3.And(
        [
            after[f"told{attempt}"]
            == z3.If(current_attempt == attempt, outcome, now[f"told{attempt}"])
            for attempt in range(ATTEMPTS)
        ]
    )


def _told_names() -> list[str]:
    return [f"told{attempt}" for attempt in range(ATTEMPTS)]


def _owner_actions(owner: int, no_fence: bool, early_start: bool) -> dict[str, Action]:
    alive, base, knows = f"alive{owner}", f"base{owner}", f"knows{owner}"
    phase, current_attempt = f"phase{owner}", f"attempt{owner}"
    sent, sent_base, applied = f"sent{owner}", f"sent_base{owner}", f"applied{owner}"

    no_revision = z3.BitVecVal(0, _REVISION_BITS)

    def finds_own_claim(now: State) -> Formula:
        """Return whether the last write to the record is this owner's claim."""
        newest = now["revision"] == now[sent_base] + 1
        return z3.And(now["last_writer"] == owner, newest, now[applied])

    def take_over(now: State, after: State) -> Formula:
        """Read the record and take it over; the takeover is itself a write."""
        return z3.And(
            now[alive],
            now[phase] == IDLE,
            _write_record(now, after, OWNERS),
            after[base] == now["revision"] + 1,
            after[knows] == now["record"],
            unchanged_except(now, after, "revision", "last_writer", base, knows),
        )

    def accept(attempt: int) -> Action:
        def action(now: State, after: State) -> Formula:
            """Claim a free key, or answer from the record."""
            taken, told = f"taken{attempt}", f"told{attempt}"
            answers = [z3.BitVecVal(outcome, 3) for outcome in (ANSWERED, UNKNOWN)]
            answer = z3.If(now[knows] == DONE, *answers)
            is_free = now[knows] == FREE
            claim = z3.And(
                after[phase] == CLAIMING,
                after[current_attempt] == attempt,
                after[sent],
                after[sent_base] == now[base],
                z3.Not(after[applied]),
                unchanged_except(
                    now, after, taken, phase, current_attempt, sent, sent_base, applied
                ),
            )
            reply = z3.And(
                after[told] == answer, unchanged_except(now, after, taken, told)
            )
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
        """Let the write of the claim reach the record, even if its sender has ended."""
        base_matches = now[sent_base] == now["revision"]
        return z3.And(
            now[sent],
            z3.BoolVal(True) if no_fence else base_matches,
            _write_record(now, after, owner),
            after["record"] == OPEN,
            after[applied],
            unchanged_except(now, after, "revision", "last_writer", "record", applied),
        )

    def learn_claimed(now: State, after: State) -> Formula:
        """Learn that the claim was written, by the answer or the record's nonce."""
        return z3.And(
            now[alive],
            now[phase] == CLAIMING,
            now[applied],
            after[phase] == CLAIMED,
            after[knows] == OPEN,
            after[base] == now[sent_base] + 1,
            unchanged_except(now, after, phase, knows, base),
        )

    def learn_fenced(now: State, after: State) -> Formula:
        """Find another write in the record: refuse and release the partition."""
        return z3.And(
            now[alive],
            now[phase] == CLAIMING,
            now["revision"] != now[sent_base],
            z3.Not(finds_own_claim(now)),
            _report_to_attempt(now, after, owner, NOT_RUN),
            after[phase] == IDLE,
            after[base] == 0,
            unchanged_except(now, after, phase, base, *_told_names()),
        )

    def refuse(now: State, after: State) -> Formula:
        """Refuse during an outage, before the write's outcome is known."""
        return z3.And(
            now[alive],
            now[phase] == CLAIMING,
            _report_to_attempt(now, after, owner, NOT_RUN),
            after[phase] == REFUSED,
            unchanged_except(now, after, phase, *_told_names()),
        )

    def resolve(now: State, after: State) -> Formula:
        """Learn the outcome of a refused claim: void it, or release the partition."""
        return z3.And(
            now[alive],
            now[phase] == REFUSED,
            now["revision"] != now[sent_base],
            after[phase] == IDLE,
            after[base] == z3.If(finds_own_claim(now), now["revision"], no_revision),
            unchanged_except(now, after, phase, base),
        )

    def withdraw(now: State, after: State) -> Formula:
        """Drop a claimed request whose deadline passed or whose caller disconnected."""
        return z3.And(
            now[alive],
            now[phase] == CLAIMED,
            _report_to_attempt(now, after, owner, NOT_RUN),
            after[phase] == IDLE,
            after[knows] == FREE,
            unchanged_except(now, after, phase, knows, *_told_names()),
        )

    def start(now: State, after: State) -> Formula:
        """Send the request to the upstream."""
        ready = now[phase] == CLAIMED
        if early_start:
            ready = z3.Or(ready, now[phase] == CLAIMING)
        ran = [
            after[f"ran{attempt}"]
            == z3.Or(now[f"ran{attempt}"], now[current_attempt] == attempt)
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
            unchanged_except(now, after, "runs", phase, *names),
        )

    def finish(now: State, after: State) -> Formula:
        """Answer the caller; the owner keeps the result in ``knows``."""
        return z3.And(
            now[alive],
            now[phase] == RUNNING,
            _report_to_attempt(now, after, owner, ANSWERED),
            after[phase] == IDLE,
            after[knows] == DONE,
            unchanged_except(now, after, phase, knows, *_told_names()),
        )

    def write_back(now: State, after: State) -> Formula:
        """Write the owner's state of the key: a result, or that a claim is void."""
        return z3.And(
            now[alive],
            now[phase] == IDLE,
            now[base] == now["revision"],
            _write_record(now, after, OWNERS),
            after["record"] == now[knows],
            after[base] == now["revision"] + 1,
            unchanged_except(now, after, "revision", "last_writer", "record", base),
        )

    def kill(now: State, after: State) -> Formula:
        """End the process; its write may still be in transit."""
        return z3.And(
            now[alive], z3.Not(after[alive]), unchanged_except(now, after, alive)
        )

    actions: dict[str, Action] = {
        "take": take_over,
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
    actions |= {f"accept{attempt}": accept(attempt) for attempt in range(ATTEMPTS)}
    return {f"{name}({owner})": action for name, action in actions.items()}
