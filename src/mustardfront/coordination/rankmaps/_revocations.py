"""Promises of agents to order no arms for a step any more.

A held step may be released with the old map only if no rank is or can be armed for it.
Each agent therefore answers whether it has ordered its rank to arm, and gives no such
order afterwards. Whoever asked may lift its own promise again as long as it has not
released the step. Several may ask for the same step, and a promise holds until all of
them have lifted it.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import Final

# A process that started later may have forgotten an order of the one before it.
REVOKE_UPTIME_MIN_S: Final = 10.0


class RevocationAction(StrEnum):
    """What an agent does about orders to arm for a step."""

    ASK = "ask"
    REVOKE = "revoke"
    LIFT = "lift"


@dataclass(frozen=True, slots=True)
class Revocation:
    """A request to order no arms for steps up to ``step`` of an epoch any more.

    The agent may also be asked only, or to order arms again. ``by`` names who asks; a
    LIFT without a name lifts the promises to all, because an order to arm was given, so
    that nobody can have released the step.
    """

    epoch: int
    step: int
    action: RevocationAction = RevocationAction.REVOKE
    by: str = ""


@dataclass(frozen=True, slots=True)
class RevocationReply:
    """What an agent knows about orders to arm its rank for a step.

    ``has_ordered``: it has given one, or the rank is armed. ``is_certain``: it would
    know. ``was_revoked``: it gave none any more before this request.
    """

    has_ordered: bool
    is_certain: bool
    was_revoked: bool

    @property
    def excludes_arming(self) -> bool:
        """Return whether the rank is not armed, and is not on this agent's order."""
        return self.is_certain and not self.has_ordered


class RevokedSteps:
    """The epoch and step up to which an agent orders no arms, and who asked for it."""

    def __init__(self) -> None:
        self._last = (0, 0)
        self._asked_by: set[str] = set()

    def covers(self, epoch: int, step: int) -> bool:
        """Return whether no order to arm for a step may be given."""
        return (epoch, step) <= self._last

    def apply(self, req: Revocation) -> None:
        """Make or lift a promise."""
        named = (req.epoch, req.step)
        if req.action is RevocationAction.REVOKE:
            if named > self._last:
                self._last, self._asked_by = named, set()
            if named == self._last:
                self._asked_by.add(req.by)
        elif req.action is RevocationAction.LIFT and named == self._last:
            self._asked_by = self._asked_by - {req.by} if req.by else set()
            if not self._asked_by:
                self._last = (0, 0)
