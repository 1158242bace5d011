"""A rank's votes on maps, its map in force, and when it may run a step."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

from mustardfront.codes import Code

Layers = list[list[list[int]]]


class OrderRefusedError(Exception):
    """An order that the rank does not carry out."""

    def __init__(self, code: Code, text: str) -> None:
        super().__init__(text)
        self.code = code
        self.text = text


@dataclass
class Ballot:
    """One vote, with the proposed map until the vote is decided."""

    map_version: int
    step: int
    epoch: int
    form: bool
    vote: str
    layers: Layers = field(default_factory=list)
    decided: bool | None = None

    def to_data(self) -> dict[str, Any]:
        """Return the published form."""
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
    """The state of one rank process; a restart loses all of it."""

    instance: str
    checks_fence: bool = True
    fence: int = 0
    epoch: int = 0
    # The next step that the rank has not begun.
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
        """Vote on a map, or begin to load it; a vote that exists is returned."""
        self._check(data)
        version, refuse = data["map_version"], data.get("refuse", False)
        ballot = self.ballots.get(version)
        if ballot is not None:
            if refuse and ballot.vote == "loading":
                ballot.vote = "no"
            return ballot
        if version <= self.settled:
            raise OrderRefusedError(Code.VOTE_REFUSED, f"map {version} is settled")
        self._forget(data.get("settled", 0))
        newest = max(self.ballots, default=0)
        form = data.get("form", False)
        ballot = Ballot(version, data["step"], data["epoch"], form, "no")
        self.ballots[version] = ballot
        # An older version comes from a coordinator that has been replaced.
        if not refuse and version > newest and self._may_load(ballot):
            ballot.vote = "loading"
            ballot.layers = data["map"]["layers"]
        return ballot

    def _is_open(self, ballot: Ballot) -> bool:
        """Say whether the rank waits for this vote or its outcome.

        A formation closes the votes of the one before it.
        """
        if ballot.decided is not None or ballot.vote == "no":
            return False
        return ballot.form or ballot.epoch == self.epoch

    def _forget(self, settled: int) -> None:
        """Drop votes whose outcome all ranks know, but not a map still to be used."""
        self.settled = max(self.settled, settled)
        for version, ballot in list(self.ballots.items()):
            waits = self._is_switch(ballot) and ballot.step >= self.step
            if version <= settled and not self._is_open(ballot) and not waits:
                del self.ballots[version]

    def _is_switch(self, ballot: Ballot) -> bool:
        """Say whether the vote is on a switch in the rank's present formation."""
        return not ballot.form and ballot.epoch == self.epoch

    def _may_load(self, ballot: Ballot) -> bool:
        if any(
            self._is_open(other)
            for other in self.ballots.values()
            # A formation replaces what was open in the old one.
            if other is not ballot and (other.form or not ballot.form)
        ):
            return False
        if ballot.form:
            return ballot.map_version > self.epoch
        return ballot.epoch == self.epoch != 0 and self.step < ballot.step

    def loaded(self, version: int) -> None:
        """Vote yes on a map whose weights arrived, unless it is too late."""
        ballot = self.ballots.get(version)
        if ballot is None or ballot.vote != "loading":
            return
        if not ballot.form:
            in_time = ballot.epoch == self.epoch and self.step < ballot.step
            ballot.vote = "yes" if in_time else "no"
            return
        ballot.vote = "yes"
        # From here on the rank takes no part in its old group any more.
        self.epoch = 0

    def decide(self, data: dict[str, Any]) -> Ballot:
        """Learn the outcome of a vote."""
        self._check(data)
        version, commit = data["map_version"], data["commit"]
        ballot = self.ballots.get(version)
        if ballot is None or ballot.vote == "loading":
            raise OrderRefusedError(Code.VOTE_REFUSED, f"map {version} without a vote")
        if ballot.decided not in (None, commit) or (commit and ballot.vote == "no"):
            text = f"map {version} cannot become {commit} after {ballot.to_data()}"
            raise OrderRefusedError(Code.VOTE_REFUSED, text)
        if ballot.decided is None:
            ballot.decided = commit
            if commit and ballot.form:
                self.epoch, self.step = version, ballot.step
                self.map_version, self.layers = version, ballot.layers
        return ballot

    def _check(self, data: dict[str, Any]) -> None:
        if self.checks_fence and data["fence"] < self.fence:
            text = f"fence {data['fence']} is older than {self.fence}"
            raise OrderRefusedError(Code.FENCED, text)
        if data["instance"] != self.instance:
            raise OrderRefusedError(
                Code.VOTE_REFUSED, "the order is for an earlier start"
            )
        if self.checks_fence:
            self.fence = data["fence"]

    def begin_step(self) -> int | None:
        """Begin the next step and return it; None while the rank must wait."""
        if not self.epoch:
            return None
        for ballot in self.ballots.values():
            if not self._is_switch(ballot) or ballot.step != self.step:
                continue
            if ballot.vote == "yes" and ballot.decided is None:
                return None
            if ballot.vote == "loading":
                ballot.vote = "no"
            if ballot.decided:
                self.map_version, self.layers = ballot.map_version, ballot.layers
        self.step += 1
        return self.step - 1
