"""Votes of a rank on maps, its map in force and the start of its steps."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

from mustardfront.codes import Code

Layers = list[list[list[int]]]


class OrderRefusedError(Exception):
    """Raised when the rank refuses an order."""

    def __init__(self, code: Code, text: str) -> None:
        super().__init__(text)
        self.code = code
        self.text = text


@dataclass
class Ballot:
    """Vote on a map, with the proposed layers and the decision."""

    map_version: int
    step: int
    epoch: int
    form: bool
    vote: str
    layers: Layers = field(default_factory=list)
    decided: bool | None = None

    def to_data(self) -> dict[str, Any]:
        """Return the vote as in ``GET /rank/state``."""
        return {
            "map_version": self.map_version,
            "step": self.step,
            "vote": self.vote,
            "decided": self.decided,
            "epoch": self.epoch,
            "form": self.form,
        }


@dataclass
class RankVotes:
    """State of a rank process, which a restart loses."""

    instance: str
    checks_fence: bool = True
    fence: int = 0
    epoch: int = 0
    # First step that the rank has not begun yet.
    step: int = 0
    map_version: int = 0
    layers: Layers = field(default_factory=list)
    ballots: dict[int, Ballot] = field(default_factory=dict)
    settled: int = 0

    def to_data(self) -> dict[str, Any]:
        """Return the body of ``GET /rank/state``."""
        return {
            "instance": self.instance,
            "step": self.step,
            "map_version": self.map_version,
            "votes": [ballot.to_data() for ballot in self.ballots.values()],
            "fence": self.fence,
            "epoch": self.epoch,
        }

    def prepare(self, data: dict[str, Any]) -> Ballot:
        """Vote on a map, or start to load it; return the existing vote if any."""
        self._check_order(data)
        version, refuse = data["map_version"], data.get("refuse", False)
        ballot = self.ballots.get(version)
        if ballot is not None:
            if refuse and ballot.vote == "loading":
                ballot.vote = "no"
            return ballot
        if version <= self.settled:
            raise OrderRefusedError(
                Code.VOTE_REFUSED, f"map {version} has already been settled"
            )
        self._drop_settled(data.get("settled", 0))
        newest = max(self.ballots, default=0)
        form = data.get("form", False)
        ballot = Ballot(version, data["step"], data["epoch"], form, "no")
        self.ballots[version] = ballot
        # An older version was sent by a coordinator that has been replaced since.
        if not refuse and version > newest and self._may_load(ballot):
            ballot.vote = "loading"
            ballot.layers = data["map"]["layers"]
        return ballot

    def _is_pending(self, ballot: Ballot) -> bool:
        """Return whether the vote or its decision is pending.

        A formation ends the pending switch votes of the previous one.
        """
        if ballot.decided is not None or ballot.vote == "no":
            return False
        return ballot.form or ballot.epoch == self.epoch

    def _drop_settled(self, settled: int) -> None:
        """Drop votes that all ranks know to be decided, except future switches."""
        self.settled = max(self.settled, settled)
        for version, ballot in list(self.ballots.items()):
            is_future_switch = (
                self._is_current_switch(ballot) and ballot.step >= self.step
            )
            if (
                version <= settled
                and not self._is_pending(ballot)
                and not is_future_switch
            ):
                del self.ballots[version]

    def _is_current_switch(self, ballot: Ballot) -> bool:
        """Return whether the vote is on a map switch in the current formation."""
        return not ballot.form and ballot.epoch == self.epoch

    def _may_load(self, ballot: Ballot) -> bool:
        if any(
            self._is_pending(other)
            for other in self.ballots.values()
            # A vote on a formation supersedes the pending switches of the old one.
            if other is not ballot and (other.form or not ballot.form)
        ):
            return False
        if ballot.form:
            return ballot.map_version > self.epoch
        return ballot.epoch == self.epoch != 0 and self.step < ballot.step

    def loaded(self, version: int) -> None:
        """Vote yes on a map whose weights are loaded, or no if it is too late."""
        ballot = self.ballots.get(version)
        if ballot is None or ballot.vote != "loading":
            return
        if not ballot.form:
            in_time = ballot.epoch == self.epoch and self.step < ballot.step
            ballot.vote = "yes" if in_time else "no"
            return
        ballot.vote = "yes"
        # From now on the rank takes no part in its previous formation.
        self.epoch = 0

    def decide(self, data: dict[str, Any]) -> Ballot:
        """Apply the decision on a map and return its vote."""
        self._check_order(data)
        version, commit = data["map_version"], data["commit"]
        ballot = self.ballots.get(version)
        if ballot is None or ballot.vote == "loading":
            raise OrderRefusedError(
                Code.VOTE_REFUSED, f"map {version} has no vote of this rank yet"
            )
        if ballot.decided not in (None, commit) or (commit and ballot.vote == "no"):
            text = f"map {version} cannot become {commit} after {ballot.to_data()}"
            raise OrderRefusedError(Code.VOTE_REFUSED, text)
        if ballot.decided is None:
            ballot.decided = commit
            if commit and ballot.form:
                self.epoch, self.step = version, ballot.step
                self.map_version, self.layers = version, ballot.layers
        return ballot

    def _check_order(self, data: dict[str, Any]) -> None:
        if self.checks_fence and data["fence"] < self.fence:
            text = f"fence {data['fence']} is older than {self.fence}"
            raise OrderRefusedError(Code.FENCED, text)
        if data["instance"] != self.instance:
            raise OrderRefusedError(
                Code.VOTE_REFUSED, "the order is for another instance of the rank"
            )
        if self.checks_fence:
            self.fence = data["fence"]

    def begin_step(self) -> int | None:
        """Begin the next step and return it, or None while the rank must wait."""
        if not self.epoch:
            return None
        for ballot in self.ballots.values():
            if not self._is_current_switch(ballot) or ballot.step != self.step:
                continue
            if ballot.vote == "yes" and ballot.decided is None:
                return None
            if ballot.vote == "loading":
                ballot.vote = "no"
            if ballot.decided:
                self.map_version, self.layers = ballot.map_version, ballot.layers
        self.step += 1
        return self.step - 1
