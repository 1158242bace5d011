"""Orders to the local rank, the one on this sidecar's host.

Only its own sidecar sends orders to a rank.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any, Final, TypeAlias

import msgspec

from mustardfront import events
from mustardfront.codes import Code
from mustardfront.coordination.expertmap._types import RankState, parse_state
from mustardfront.decoding import decode_json
from mustardfront.protocol import Order, OrderReply
from mustardfront.results import Err, Ok, Result

# Calls the rank with (method, path, JSON data) and returns (status, JSON data).
RankCall: TypeAlias = Callable[
    [str, str, dict[str, Any] | None], Awaitable[Result[tuple[int, dict[str, Any]]]]
]

_READ_PATHS: Final = {
    "state": "/rank/state",
    "map": "/rank/map",
    "loads": "/rank/loads",
}
_WRITE_PATHS: Final = {
    "prepare": "/rank/prepare",
    "refuse": "/rank/prepare",
    "decide": "/rank/decide",
}


@dataclass
class LocalRank:
    """What a sidecar keeps about its local rank.

    ``fence`` is the highest one seen. ``outcome_unknown`` is set at the start and
    after a lost answer, when the rank may or may not have executed an order: its state
    is then read before the next order. This also protects ranks that ignore fences.
    """

    call: RankCall
    fence: int = 0
    outcome_unknown: bool = True


async def execute_order(rank: LocalRank, order: Order) -> OrderReply:
    """Execute an order at the local rank and return its result.

    The caller must not run two orders of one rank at the same time.
    """
    result = await _execute(rank, order)
    if isinstance(result, Ok):
        return OrderReply(
            order.id, int(Code.ANSWERED), msgspec.json.encode(result.value)
        )
    events.log(
        events.Event.RANK_ORDER_REFUSED,
        group=order.group,
        kind=order.kind,
        fence=order.fence,
        code=int(result.code),
        text=result.text,
    )
    text = msgspec.json.encode({"text": result.text})
    return OrderReply(order.id, int(result.code), text)


async def _execute(rank: LocalRank, order: Order) -> Result[dict[str, Any]]:
    if order.kind in _READ_PATHS:
        answer = await _call_rank(rank, "GET", _READ_PATHS[order.kind], None)
        if order.kind == "state" and isinstance(answer, Ok):
            # A rank that ignores fences does not report the one this sidecar checks.
            fence = max(rank.fence, answer.value.get("fence", 0))
            return Ok(answer.value | {"fence": fence})
        return answer
    if order.kind not in _WRITE_PATHS:
        return Err(Code.BAD_MESSAGE, f"unknown order kind {order.kind!r}")
    try:
        data = decode_json(order.data, dict[str, Any])
    except msgspec.MsgspecError as exc:
        return Err(Code.BAD_MESSAGE, f"invalid data of order {order.kind}: {exc}")
    if rank.outcome_unknown:
        state = await _read_state(rank)
        if isinstance(state, Err):
            return state
        earlier_vote = _find_result(state.value, order.kind, data)
        if earlier_vote is not None:
            return Ok(earlier_vote)
    if order.fence < rank.fence:
        return Err(
            Code.FENCED, f"stale fence {order.fence}: the newest one is {rank.fence}"
        )
    rank.fence = order.fence
    body = data | {"fence": order.fence, "refuse": order.kind == "refuse"}
    return await _call_rank(rank, "POST", _WRITE_PATHS[order.kind], body)


async def _read_state(rank: LocalRank) -> Result[RankState]:
    answer = await _call_rank(rank, "GET", _READ_PATHS["state"], None)
    state = answer if isinstance(answer, Err) else parse_state(answer.value)
    if isinstance(state, Ok):
        rank.outcome_unknown = False
        # A sidecar that started after an order learns the fence from the rank.
        rank.fence = max(rank.fence, state.value.fence)
    return state


def _find_result(
    state: RankState, kind: str, data: dict[str, Any]
) -> dict[str, Any] | None:
    """Return the rank's vote if the order has already taken effect, else None."""
    vote = state.find_vote(data.get("map_version", 0))
    if vote is None or data.get("instance") != state.instance:
        return None
    done = vote.decided is not None if kind == "decide" else vote.vote != "loading"
    return msgspec.to_builtins(vote) if done else None


async def _call_rank(
    rank: LocalRank, method: str, path: str, body: dict[str, Any] | None
) -> Result[dict[str, Any]]:
    answer = await rank.call(method, path, body)
    if isinstance(answer, Err):
        rank.outcome_unknown = rank.outcome_unknown or method == "POST"
        return Err(Code.RANK_UNREACHABLE, answer.text)
    status, data = answer.value
    if status == 200:
        return Ok(data)
    # The platform's ranks answer 409 to a stale fence; other ranks send a result code.
    default = Code.FENCED if status == 409 else Code.RANK_UNREACHABLE
    try:
        code = Code(data.get("code", default))
    except ValueError:
        code = default
    return Err(code, f"status {status}: {data.get('text', '')}")
