"""What ranks report, in the form of ``GET /rank/state``."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Mapping
from typing import Any, Final, Literal, TypeAlias

import msgspec

from mustardfront.codes import Code
from mustardfront.results import Err, Ok, Result


class Vote(msgspec.Struct, frozen=True):
    """A rank's vote on a map; it changes only from ``loading`` to yes or no.

    ``epoch`` is the formation that the vote belongs to, ``form`` says that the vote
    is on a new formation, and ``decided`` is the outcome that the rank was told.
    """

    map_version: int
    step: int
    vote: Literal["yes", "no", "loading"]
    decided: bool | None = None
    epoch: int = 0
    form: bool = False


class RankState(msgspec.Struct, frozen=True):
    """A rank's own account: ``step`` is the next step that it has not begun.

    ``epoch`` is the map version that its group was formed with, 0 outside a group.
    """

    instance: str
    step: int
    map_version: int
    votes: list[Vote]
    fence: int
    epoch: int = 0

    def vote_on(self, version: int) -> Vote | None:
        """Return the vote on a map version."""
        for vote in self.votes:
            if vote.map_version == version:
                return vote
        return None


# Sends one order, a kind and its data, to each named rank, and returns all answers.
Ask: TypeAlias = Callable[
    [Mapping[str, tuple[str, dict[str, Any]]]],
    Awaitable[dict[str, Result[dict[str, Any]]]],
]
Pause: TypeAlias = Callable[[float], Awaitable[None]]

# A version is the coordinator's fencing number and a count, so that no two
# coordinators ever propose different maps with the same version.
VERSION_SHIFT: Final = 20


def parse_state(data: Mapping[str, Any]) -> Result[RankState]:
    """Return a rank's state; Err(BAD_MESSAGE) when the data is not one."""
    try:
        return Ok(msgspec.convert(data, RankState))
    except msgspec.ValidationError as exc:
        return Err(Code.BAD_MESSAGE, f"not a rank's state: {exc}")
