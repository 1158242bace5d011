"""Votes and states of ranks, in the form of ``GET /rank/state``."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Mapping
from typing import Any, Final, Literal, TypeAlias

import msgspec

from mustardfront.codes import Code
from mustardfront.results import Err, Ok, Result


class Vote(msgspec.Struct, frozen=True):
    """A rank's vote on a map; it changes only from ``loading`` to yes or no.

    ``epoch`` is the formation that the vote belongs to, ``form`` is true for a vote
    on a new formation, and ``decided`` is the outcome that the rank was sent: true to
    switch to the map, false to drop it, None while the vote is open.
    """

    map_version: int
    step: int
    vote: Literal["yes", "no", "loading"]
    decided: bool | None = None
    epoch: int = 0
    form: bool = False


class RankState(msgspec.Struct, frozen=True):
    """The state that a rank reports; ``step`` is the next step that it will begin.

    ``epoch`` is the map version that its group was formed with, 0 outside a group.
    """

    instance: str
    step: int
    map_version: int
    votes: list[Vote]
    fence: int
    epoch: int = 0

    def find_vote(self, version: int) -> Vote | None:
        """Return the vote on a map version, or None if the rank has none."""
        for vote in self.votes:
            if vote.map_version == version:
                return vote
        return None


# Sends one order, as its kind and data, to each named rank; returns all answers.
SendOrders: TypeAlias = Callable[
    [Mapping[str, tuple[str, dict[str, Any]]]],
    Awaitable[dict[str, Result[dict[str, Any]]]],
]
Sleep: TypeAlias = Callable[[float], Awaitable[None]]

# A map version is the coordinator's fence, shifted left by this many bits, plus a
# count of its proposals, so that no two coordinators propose different maps with the
# same version.
PROPOSAL_COUNT_BITS: Final = 20


def parse_state(data: Mapping[str, Any]) -> Result[RankState]:
    """Return a rank's state; Err(BAD_MESSAGE) when the data is not valid."""
    try:
        return Ok(msgspec.convert(data, RankState))
    except msgspec.ValidationError as exc:
        return Err(Code.BAD_MESSAGE, f"invalid rank state: {exc}")
