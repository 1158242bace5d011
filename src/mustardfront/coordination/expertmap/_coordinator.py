"""The vote of a group's ranks on a map, as one coordinator runs it.

A map is proposed to all ranks, and each votes yes once it has loaded the weights. If
all ranks vote yes, they switch to the map at the proposed step; otherwise they keep
their current one. The outcome depends on the ranks' votes alone, so a coordinator
keeps no state that a successor needs and can be replaced at any time.

Terms:

* A vote is open until its rank votes no or is sent the outcome.
* A formation is a joint start of all ranks on one map, which they also vote on. Its
  epoch is the version of that map.
* A group is quiet when it is formed, has no open votes, and no rank has yet to reach
  the step of a switch.
* The front rank is the first of the group.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from typing import Any, Final

from mustardfront import events
from mustardfront.codes import Code
from mustardfront.coordination.expertmap._types import (
    PROPOSAL_COUNT_BITS,
    RankState,
    SendOrders,
    Sleep,
    Vote,
    parse_state,
)
from mustardfront.results import Err, Ok, Result
from mustardfront.state import ExpertMap, map_from_data, map_to_data

# The states of a group's ranks by rank name.
States = dict[str, RankState]

VOTE_POLL_S: Final = 0.2
# After this many polls, ranks that are still loading a map are made to vote no.
VOTE_POLLS_MAX: Final = 300


@dataclass
class Coordinator:
    """One term of a coordinator: its group's ranks in order and its fence."""

    group: str
    ranks: tuple[str, ...]
    fence: int
    send_orders: SendOrders
    sleep: Sleep
    # Returns the map to form a group with when no rank has one.
    get_first_map: Callable[[], Result[ExpertMap]]
    vote_polls_max: int = VOTE_POLLS_MAX
    proposals: int = 0
    # Every rank was told the outcome of all versions up to this one.
    resolved_version: int = 0
    # Ranks whose last answer was an error, so that only changes are logged.
    failing_ranks: set[str] = field(default_factory=set)

    def next_version(self) -> int:
        """Return a map version that no coordinator has used before."""
        self.proposals += 1
        return (self.fence << PROPOSAL_COUNT_BITS) + self.proposals


async def read_states(co: Coordinator) -> Result[States]:
    """Return the state of every rank, or the Err of the first one without a state."""
    answers = await co.send_orders({rank: ("state", {}) for rank in co.ranks})
    states: States = {}
    for rank in co.ranks:
        answer = answers[rank]
        state = answer if isinstance(answer, Err) else parse_state(answer.value)
        if isinstance(state, Err):
            if rank not in co.failing_ranks:
                co.failing_ranks.add(rank)
                events.log(
                    events.Event.RANK_ORDER_REFUSED,
                    group=co.group,
                    rank=rank,
                    code=int(state.code),
                    text=state.text,
                )
            return Err(state.code, f"{rank}: {state.text}")
        co.failing_ranks.discard(rank)
        states[rank] = state.value
    return Ok(states)


def is_formed(states: States) -> bool:
    """Return whether all ranks are in the same formation."""
    epochs = {state.epoch for state in states.values()}
    return len(epochs) == 1 and 0 not in epochs


def is_switching(states: States) -> bool:
    """Return whether a rank has yet to reach the step of a map that was decided."""
    return any(
        vote.decided
        and not vote.form
        and vote.epoch == state.epoch
        and vote.map_version > state.map_version
        for state in states.values()
        for vote in state.votes
    )


def list_open_votes(states: States, *, form: bool) -> list[Vote]:
    """Return one open vote of each map version, oldest version first.

    ``form`` selects the votes on formations or, if false, those on switches.
    """
    found = {
        vote.map_version: vote
        for state in states.values()
        for vote in state.votes
        if vote.decided is None and vote.vote != "no" and vote.form == form
        # A new formation closes the votes of the previous one.
        if form or vote.epoch == state.epoch
    }
    return [found[version] for version in sorted(found)]


async def reconcile_group(co: Coordinator) -> Result[States | None]:
    """Do one round: resolve open votes or form the group.

    Ok has the ranks' states if the group is quiet, else None.
    """
    read = await read_states(co)
    if isinstance(read, Err):
        return read
    states = read.value
    formed = is_formed(states)
    open_votes = list_open_votes(states, form=not formed)
    for vote in open_votes:
        resolved = await resolve_vote(co, vote)
        if isinstance(resolved, Err):
            return resolved
    if open_votes:
        return Ok(None)
    if not formed:
        done = await form_group(co, states)
        return done if isinstance(done, Err) else Ok(None)
    if is_switching(states):
        return Ok(None)
    _update_resolved_version(co, states)
    return Ok(states)


async def refresh_quiet_states(co: Coordinator, states: States) -> States | None:
    """Return ``states`` with the front rank's current one, or None if not quiet.

    Ranks advance in lock-step: while the front rank's step grows, no rank has stopped,
    restarted or waits for an outcome. This saves one order per rank and round. On None
    the states of all ranks must be read.
    """
    front = co.ranks[0]
    answer = (await co.send_orders({front: ("state", {})}))[front]
    state = answer if isinstance(answer, Err) else parse_state(answer.value)
    if isinstance(state, Err):
        return None
    before, now = states[front], state.value
    unchanged = (before.instance, before.epoch, before.map_version) == (
        now.instance,
        now.epoch,
        now.map_version,
    )
    read = {front: now}
    open_votes = list_open_votes(read, form=True) or list_open_votes(read, form=False)
    if not unchanged or now.step <= before.step or open_votes or is_switching(read):
        return None
    return states | read


def _update_resolved_version(co: Coordinator, states: States) -> None:
    versions = [{vote.map_version for vote in state.votes} for state in states.values()]
    co.resolved_version = max([co.resolved_version, *set.intersection(*versions)])


async def resolve_open_votes(co: Coordinator, states: States) -> Result[None]:
    """Resolve all open votes.

    This proposes no map, so ``co`` needs no fence of its own.
    """
    for vote in list_open_votes(states, form=not is_formed(states)):
        resolved = await resolve_vote(co, vote)
        if isinstance(resolved, Err):
            return resolved
    return Ok(None)


async def resolve_vote(co: Coordinator, vote: Vote) -> Result[bool]:
    """Complete an open vote and send its outcome to the ranks; Ok has the outcome.

    Ranks that have not voted yet are made to vote no first. Err when a rank cannot be
    read, or has left the formation and dropped its vote; in the latter case the group
    is formed anew.
    """
    read = await read_states(co)
    if isinstance(read, Err):
        return read
    refusals = {
        rank: ("refuse", _order_data(co, vote, state))
        for rank, state in read.value.items()
        if (own := state.find_vote(vote.map_version)) is None or own.vote == "loading"
    }
    if refusals:
        failed = _first_err(await co.send_orders(refusals))
        if failed is not None:
            return failed
        read = await read_states(co)
        if isinstance(read, Err):
            return read
    return await _send_outcome(co, vote, read.value)


async def _send_outcome(co: Coordinator, vote: Vote, states: States) -> Result[bool]:
    votes = {rank: state.find_vote(vote.map_version) for rank, state in states.items()}
    if any(own is None or own.vote == "loading" for own in votes.values()):
        return Err(Code.VOTE_REFUSED, f"map {vote.map_version}: a rank has not voted")
    epochs = {state.epoch for state in states.values()}
    if not vote.form and epochs != {vote.epoch}:
        text = f"map {vote.map_version}: a rank is not in formation {vote.epoch}"
        return Err(Code.VOTE_REFUSED, text)
    commit = all(own is not None and own.vote == "yes" for own in votes.values())
    events.log(
        events.Event.MAP_DECIDED if commit else events.Event.MAP_KEPT,
        group=co.group,
        map_version=vote.map_version,
        step=vote.step,
        form=vote.form,
        no=[rank for rank, own in votes.items() if own and own.vote == "no"],
    )
    orders = {
        rank: ("decide", _order_data(co, vote, states[rank]) | {"commit": commit})
        for rank, own in votes.items()
        if own is not None and own.decided is None and own.vote == "yes"
    }
    failed = _first_err(await co.send_orders(orders)) if orders else None
    return failed or Ok(commit)


def _order_data(co: Coordinator, vote: Vote, state: RankState) -> dict[str, Any]:
    return {
        "map_version": vote.map_version,
        "step": vote.step,
        "epoch": vote.epoch,
        "form": vote.form,
        "fence": co.fence,
        "instance": state.instance,
    }


def _first_err(answers: Mapping[str, Result[dict[str, Any]]]) -> Err | None:
    """Return the first Err among the answers; FENCED, which ends the term, comes first.

    None when there is no Err.
    """
    errs = [answer for answer in answers.values() if isinstance(answer, Err)]
    fenced = [err for err in errs if err.code is Code.FENCED]
    return next(iter(fenced or errs), None)


async def switch_map(
    co: Coordinator, states: States, new_map: ExpertMap, step: int
) -> Result[bool]:
    """Propose a switch to a map at a step; Ok has the outcome of the vote."""
    epoch = next(iter(states.values())).epoch
    vote = Vote(co.next_version(), step, "loading", None, epoch, False)
    return await _propose_map(co, states, new_map, vote)


async def form_group(co: Coordinator, states: States) -> Result[bool]:
    """Propose that all ranks start together on one map; Ok has the vote's outcome.

    This is needed at the first start of a group and after a restart of any rank.
    """
    base = await _read_formation_map(co, states)
    if isinstance(base, Err):
        return base
    step = max(state.step for state in states.values()) + 1
    version = co.next_version()
    vote = Vote(version, step, "loading", None, version, True)
    return await _propose_map(co, states, base.value, vote)


async def _read_formation_map(co: Coordinator, states: States) -> Result[ExpertMap]:
    rank = max(states, key=lambda name: states[name].map_version)
    if not states[rank].map_version:
        return co.get_first_map()
    return await read_map(co, rank)


async def read_map(co: Coordinator, rank: str) -> Result[ExpertMap]:
    """Return the map that a rank has in force."""
    answer = (await co.send_orders({rank: ("map", {})}))[rank]
    return answer if isinstance(answer, Err) else map_from_data(answer.value)


async def _propose_map(
    co: Coordinator, states: States, new_map: ExpertMap, vote: Vote
) -> Result[bool]:
    data = map_to_data(ExpertMap(vote.map_version, new_map.layers))
    answers = await co.send_orders(
        {
            rank: (
                "prepare",
                _order_data(co, vote, states[rank])
                | {"map": data, "settled": co.resolved_version},
            )
            for rank in co.ranks
        }
    )
    failed = _first_err(answers)
    if failed is not None and failed.code is Code.FENCED:
        return failed
    for _ in range(0 if failed else co.vote_polls_max):
        read = await read_states(co)
        if isinstance(read, Ok) and not _is_vote_pending(vote, read.value):
            break
        await co.sleep(VOTE_POLL_S)
    return await resolve_vote(co, vote)


def _is_vote_pending(vote: Vote, states: States) -> bool:
    """Return whether some ranks are still loading and none has voted no."""
    votes = [state.find_vote(vote.map_version) for state in states.values()]
    found = [own.vote if own else "no" for own in votes]
    return "no" not in found and "loading" in found
