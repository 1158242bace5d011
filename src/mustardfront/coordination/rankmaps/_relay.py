"""Requests to all ranks of a large group, sent through a few of its agents.

A coordinator that calls each agent of a large group itself spends longer on its core
and its link than a round may take. It therefore sends one request to one agent of each
branch of the group, and that agent forwards it to the others of its branch. With n
ranks, no agent sends more than about 2 * sqrt(n) messages for a request. Counts of a
branch are added on the way, so a reply does not grow with the branch.
"""

from __future__ import annotations

import math
from collections.abc import Awaitable, Callable, Mapping, Sequence
from dataclasses import dataclass
from operator import add
from typing import Any, Final, TypeAlias

import msgspec
import trio

from mustardfront.codes import Code
from mustardfront.decoding import decode_json
from mustardfront.protocol import Order, OrderReply
from mustardfront.results import Err, Ok, Result

# Kind of the peer message ``Order`` that asks an agent to forward a request.
RELAY_REQUEST: Final = "relay"
ORDER_TIMEOUT_S: Final = 0.4
# The relaying agent waits for its branch and answers without the ranks that did not.
RELAY_TIMEOUT_S: Final = ORDER_TIMEOUT_S + 0.2
# Up to this size, a group is faster to reach without relays.
DIRECT_MAX: Final = 12
# An agent that failed to relay is not asked again for this time.
RELAY_PAUSE_S: Final = 3.0
RELAY_TRIES: Final = 2

_Message: TypeAlias = tuple[str, dict[str, Any]]
_Answers: TypeAlias = dict[str, Result[dict[str, Any]]]
# Sends requests to agents directly, with a timeout in seconds.
SendDirectly: TypeAlias = Callable[
    [Mapping[str, _Message], float], Awaitable[dict[str, Result[dict[str, Any]]]]
]


@dataclass(frozen=True, slots=True)
class RelayRequest:
    """A request of one kind for the agents at several addresses."""

    addresses: tuple[str, ...]
    kind: str
    data: dict[str, Any]


@dataclass(frozen=True, slots=True)
class RelayReply:
    """Answers by address, without the agents that gave none.

    ``counts`` is the sum of the counts that the answers contained; it is empty if they
    contained none.
    """

    answers: dict[str, dict[str, Any]]
    counts: tuple[int, ...] = ()


class Relay:
    """Forwards requests of a coordinator to other agents of the group."""

    def __init__(self, send_directly: SendDirectly) -> None:
        self._send_directly = send_directly

    async def execute(self, order: Order) -> OrderReply:
        """Forward the request in an order and return the reply with all answers."""
        try:
            req = decode_json(order.data, RelayRequest)
        except msgspec.MsgspecError as exc:
            text = msgspec.json.encode({"text": f"{order.kind}: {exc}"})
            return OrderReply(order.id, int(Code.BAD_MESSAGE), text)
        found = await self._send_directly(
            dict.fromkeys(req.addresses, (req.kind, req.data)), ORDER_TIMEOUT_S
        )
        answers = {
            address: answer.value
            for address, answer in found.items()
            if isinstance(answer, Ok)
        }
        reply = RelayReply(answers, _take_counts(answers))
        return OrderReply(order.id, int(Code.ANSWERED), msgspec.json.encode(reply))


def _take_counts(answers: Mapping[str, dict[str, Any]]) -> tuple[int, ...]:
    """Remove the counts from the answers and return their sum."""
    total: list[int] = []
    for answer in answers.values():
        counts = answer.pop("counts", None)
        if counts and total and len(counts) != len(total):
            continue
        if counts:
            total = list(map(add, total, counts)) if total else counts
    return tuple(total)


class RelayTree:
    """Sends a coordinator's requests to a group, in branches if there are many.

    ``addresses`` are those of all agents; neighbours in this order share a branch, so
    agents of one place should follow each other. Requests to at most ``direct_max``
    agents are sent to each of them directly.
    """

    def __init__(
        self,
        addresses: Sequence[str],
        send_directly: SendDirectly,
        direct_max: int = DIRECT_MAX,
    ) -> None:
        self._direct_max = direct_max
        self._order = {address: index for index, address in enumerate(addresses)}
        self._send_directly = send_directly
        self._paused_until: dict[str, float] = {}

    async def send_requests(
        self, requests: Mapping[str, _Message], patience_s: float = math.inf
    ) -> _Answers:
        """Send each agent its request and return the answers by address.

        Agents share a branch only if they get the same request object. Answers that
        come later than ``patience_s`` are left out.
        """
        by_message: dict[int, list[str]] = {}
        for address, message in requests.items():
            by_message.setdefault(id(message), []).append(address)
        answers: _Answers = {}
        with trio.move_on_after(patience_s):
            await self._send_by_message(requests, by_message, answers)
        return answers

    async def _send_by_message(
        self,
        requests: Mapping[str, _Message],
        by_message: Mapping[int, list[str]],
        answers: _Answers,
    ) -> None:
        async with trio.open_nursery() as nursery:
            for addresses in by_message.values():
                message = requests[addresses[0]]
                if len(addresses) <= self._direct_max:
                    nursery.start_soon(self._send_all, message, addresses, answers)
                    continue
                for branch in self._split(addresses):
                    nursery.start_soon(self._send_branch, message, branch, answers)

    def _split(self, addresses: list[str]) -> list[list[str]]:
        ordered = sorted(addresses, key=self._order.__getitem__)
        size = math.ceil(math.sqrt(len(ordered)))
        return [ordered[start : start + size] for start in range(0, len(ordered), size)]

    async def _send_all(
        self, message: _Message, addresses: Sequence[str], answers: _Answers
    ) -> None:
        answers.update(
            await self._send_directly(
                dict.fromkeys(addresses, message), ORDER_TIMEOUT_S
            )
        )

    async def _send_branch(
        self, message: _Message, branch: list[str], answers: _Answers
    ) -> None:
        """Send a request through one agent of a branch, or else to each of them."""
        now = trio.current_time()
        ready = [one for one in branch if self._paused_until.get(one, 0.0) <= now]
        for relay in ready[:RELAY_TRIES]:
            reply = await self._send_through(relay, message, branch)
            if isinstance(reply, Err):
                self._paused_until[relay] = trio.current_time() + RELAY_PAUSE_S
                continue
            found = reply.value.answers
            if reply.value.counts and found:
                next(iter(found.values()))["counts"] = reply.value.counts
            missing = Err(Code.RANK_UNREACHABLE, f"no answer to relay {relay}")
            answers.update(
                {one: Ok(found[one]) if one in found else missing for one in branch}
            )
            return
        await self._send_all(message, branch, answers)

    async def _send_through(
        self, relay: str, message: _Message, branch: Sequence[str]
    ) -> Result[RelayReply]:
        kind, data = message
        req = msgspec.to_builtins(RelayRequest(tuple(branch), kind, data))
        replies = await self._send_directly(
            {relay: (RELAY_REQUEST, req)}, RELAY_TIMEOUT_S
        )
        reply = replies[relay]
        if isinstance(reply, Err):
            return reply
        try:
            return Ok(msgspec.convert(reply.value, RelayReply))
        except msgspec.ValidationError as exc:
            return Err(Code.BAD_MESSAGE, f"relay {relay}: {exc}")
