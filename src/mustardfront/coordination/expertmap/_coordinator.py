"""The vote on a map: one coordinator's part, which any other can take over.

The outcome depends on the ranks' votes alone, so a coordinator keeps nothing that a
successor needs. Every function only reads states, asks for votes and passes on what
the votes say.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from typing import Any, Final

from mustardfront import events
from mustardfront.codes import Code
from mustardfront.coordination.expertmap._types import (
    VERSION_SHIFT,
    Ask,
    Pause,
    RankState,
    Vote,
    parse_state,
)
from mustardfront.results import Err, Ok, Result
from mustardfront.state import ExpertMap, map_from_data, map_to_data

States = dict[str, RankState]

VOTE_POLL_S: Final = 0.2
# Polls without all votes after which a coordinator gives a map up.
VOTE_POLLS_MAX: Final = 300


@dataclass
class Coordinator:
    """One term of a coordinator: its group's ranks in order and its fence."""

    group: str
    ranks: tuple[str, ...]
    fence: int
    ask: Ask
    pause: Pause
    # Returns the map to form a group with when no rank has one.
    first_map: Callable[[], Result[ExpertMap]]
    vote_polls_max: int = VOTE_POLLS_MAX
    proposals: int = 0
    # Every rank was told the outcome of all versions up to this one.
    settled: int = 0
    # Ranks whose last answer was an error, to log only changes.
    unreachable: set[str] = field(default_factory=set)

    def next_version(self) -> int:
        """Return a map version that no coordinator ever used."""
        self.proposals += 1
        return (self.fence << VERSION_SHIFT) + self.proposals


async def read_states(co: Coordinator) -> Result[States]:
    """Return the state of every rank; the Err of the first one that has none."""
    answers = await co.ask({rank: ("state", {}) for rank in co.ranks})
    states: States = {}
    for rank in co.ranks:
        answer = answers[rank]
        state = answer if isinstance(answer, Err) else parse_state(answer.value)
        if isinstance(state, Err):
            if rank not in co.unreachable:
                co.unreachable.add(rank)
                events.log(
                    events.Event.RANK_ORDER_REFUSED,
                    group=co.group,
                    rank=rank,
                    code=int(state.code),
                    text=state.text,
                )
            return Err(state.code, f"{rank}: {state.text}")
        co.unreachable.discard(rank)
        states[rank] = state.value
    return Ok(states)


def is_formed(states: States) -> bool:
    """Say whether all ranks are in one and the same formation."""
    epochs = {state.epoch for state in states.values()}
    return len(epochs) == 1 and 0 not in epochs


def is_switching(states: States) -> bool:
    """Say whether a rank still waits for the step of a map that was decided."""
    return any(
        vote.decided
        and not vote.form
        and vote.epoch == state.epoch
        and vote.map_version > state.map_version
        for state in states.values()
        for vote in state.votes
    )


def open_votes(states: States, *, form: bool) -> list[Vote]:
    """Return a vote of each version that holds a rank up, oldest version first."""
    found = {
        vote.map_version: vote
        for state in states.values()
        for vote in state.votes
        if vote.decided is None and vote.vote != "no" and vote.form == form
        # A formation closes the votes of the one before it.
        if form or vote.epoch == state.epoch
    }
    return [found[version] for version in sorted(found)]


async def tend(co: Coordinator) -> Result[States | None]:
    """Do one round: settle open votes, form the group, or return its quiet states."""
    read = await read_states(co)
    if isinstance(read, Err):
        return read
    states = read.value
    formed = is_formed(states)
    pending = open_votes(states, form=not formed)
    for vote in pending:
        settled = await settle(co, vote)
        if isinstance(settled, Err):
            return settled
    if pending:
        return Ok(None)
    if not formed:
        done = await form(co, states)
        return done if isinstance(done, Err) else Ok(None)
    if is_switching(states):
        return Ok(None)
    _note_settled(co, states)
    return Ok(states)


async def peek(co: Coordinator, states: States) -> States | None:
    """Return quiet states with the front's new one, or None when all must be read.

    Ranks advance in lock-step: while the front's step grows, no rank has stopped,
    restarted or waits for an outcome. This spares a round one order to each rank.
    """
    front = co.ranks[0]
    answer = (await co.ask({front: ("state", {})}))[front]
    state = answer if isinstance(answer, Err) else parse_state(answer.value)
    if isinstance(state, Err):
        return None
    before, now = states[front], state.value
    same = (before.instance, before.epoch, before.map_version) == (
        now.instance,
        now.epoch,
        now.map_version,
    )
    read = {front: now}
    waits = open_votes(read, form=True) or open_votes(read, form=False)
    if not same or now.step <= before.step or waits or is_switching(read):
        return None
    return states | read


def _note_settled(co: Coordinator, states: States) -> None:
    versions = [{vote.map_version for vote in state.votes} for state in states.values()]
    co.settled = max([co.settled, *set.intersection(*versions)])


async def settle_open(co: Coordinator, states: States) -> Result[None]:
    """Settle all open votes; this proposes nothing, so it needs no fence of its own."""
    for vote in open_votes(states, form=not is_formed(states)):
        settled = await settle(co, vote)
        if isinstance(settled, Err):
            return settled
    return Ok(None)


async def settle(co: Coordinator, vote: Vote) -> Result[bool]:
    """Bring an open vote to its outcome and pass that on; Ok says what it is.

    Ranks that have not voted are made to vote no first. Err when a rank cannot be
    read, or left the formation and took its vote along: the group is formed anew then.
    """
    read = await read_states(co)
    if isinstance(read, Err):
        return read
    waiting = {
        rank: ("refuse", _order(co, vote, state))
        for rank, state in read.value.items()
        if (mine := state.vote_on(vote.map_version)) is None or mine.vote == "loading"
    }
    if waiting:
        refused = _first_err(await co.ask(waiting))
        if refused is not None:
            return refused
        read = await read_states(co)
        if isinstance(read, Err):
            return read
    return await _pass_on(co, vote, read.value)


async def _pass_on(co: Coordinator, vote: Vote, states: States) -> Result[bool]:
    votes = {rank: state.vote_on(vote.map_version) for rank, state in states.items()}
    if any(mine is None or mine.vote == "loading" for mine in votes.values()):
        return Err(Code.VOTE_REFUSED, f"map {vote.map_version}: votes are missing")
    epochs = {state.epoch for state in states.values()}
    if not vote.form and epochs != {vote.epoch}:
        text = f"map {vote.map_version}: a rank left formation {vote.epoch}"
        return Err(Code.VOTE_REFUSED, text)
    commit = all(mine is not None and mine.vote == "yes" for mine in votes.values())
    events.log(
        events.Event.MAP_DECIDED if commit else events.Event.MAP_KEPT,
        group=co.group,
        map_version=vote.map_version,
        step=vote.step,
        form=vote.form,
        no=[rank for rank, mine in votes.items() if mine and mine.vote == "no"],
    )
    orders = {
        rank: ("decide", _order(co, vote, states[rank]) | {"commit": commit})
        for rank, mine in votes.items()
        if mine is not None and mine.decided is None and mine.vote == "yes"
    }
    failed = _first_err(await co.ask(orders)) if orders else None
    return failed or Ok(commit)


def _order(co: Coordinator, vote: Vote, state: RankState) -> dict[str, Any]:
    return {
        "map_version": vote.map_version,
        "step": vote.step,
        "epoch": vote.epoch,
        "form": vote.form,
        "fence": co.fence,
        "instance": state.instance,
    }


def _first_err(answers: Mapping[str, Result[dict[str, Any]]]) -> Err | None:
    """Return an Err among the answers, first of all one that ends the term."""
    errs = [answer for answer in answers.values() if isinstance(answer, Err)]
    fenced = [err for err in errs if err.code is Code.FENCED]
    return next(iter(fenced or errs), None)


async def switch(
    co: Coordinator, states: States, new: ExpertMap, step: int
) -> Result[bool]:
    """Propose a map for a step, wait for the votes, and pass their outcome on."""
    epoch = next(iter(states.values())).epoch
    vote = Vote(co.next_version(), step, "loading", None, epoch, False)
    return await _propose(co, states, new, vote)


async def form(co: Coordinator, states: States) -> Result[bool]:
    """Let all ranks start together on one map, after a restart of any of them."""
    base = await _map_to_form_with(co, states)
    if isinstance(base, Err):
        return base
    step = max(state.step for state in states.values()) + 1
    version = co.next_version()
    vote = Vote(version, step, "loading", None, version, True)
    return await _propose(co, states, base.value, vote)


async def _map_to_form_with(co: Coordinator, states: States) -> Result[ExpertMap]:
    rank = max(states, key=lambda name: states[name].map_version)
    if not states[rank].map_version:
        return co.first_map()
    return await read_map(co, rank)


async def read_map(co: Coordinator, rank: str) -> Result[ExpertMap]:
    """Return the map that a rank has in force."""
    answer = (await co.ask({rank: ("map", {})}))[rank]
    return answer if isinstance(answer, Err) else map_from_data(answer.value)


async def _propose(
    co: Coordinator, states: States, new: ExpertMap, vote: Vote
) -> Result[bool]:
    data = map_to_data(ExpertMap(vote.map_version, new.layers))
    answers = await co.ask(
        {
            rank: (
                "prepare",
                _order(co, vote, states[rank]) | {"map": data, "settled": co.settled},
            )
            for rank in co.ranks
        }
    )
    failed = _first_err(answers)
    if failed is not None and failed.code is Code.FENCED:
        return failed
    for _ in range(0 if failed else co.vote_polls_max):
        read = await read_states(co)
        if isinstance(read, Ok) and not _is_waiting(vote, read.value):
            break
        await co.pause(VOTE_POLL_S)
    return await settle(co, vote)


def _is_waiting(vote: Vote, states: States) -> bool:
    """Say whether all votes so far are yes and some are still to come."""
    votes = [state.vote_on(vote.map_version) for state in states.values()]
    found = [mine.vote if mine else "no" for mine in votes]
    return "no" not in found and "loading" in found
