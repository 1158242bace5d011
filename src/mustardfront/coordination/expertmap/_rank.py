"""Orders to the rank of this host, which only its sidecar sends."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any, Final, TypeAlias

import msgspec

from mustardfront import events
from mustardfront.codes import Code
from mustardfront.coordination.expertmap._types import RankState, parse_state
from mustardfront.protocol import Order, OrderReply
from mustardfront.results import Err, Ok, Result

# Calls the rank with (method, path, JSON data) and returns (status, JSON data).
RankCall: TypeAlias = Callable[
    [str, str, dict[str, Any] | None], Awaitable[Result[tuple[int, dict[str, Any]]]]
]

_READS: Final = {"state": "/rank/state", "map": "/rank/map", "loads": "/rank/loads"}
_ORDERS: Final = {
    "prepare": "/rank/prepare",
    "refuse": "/rank/prepare",
    "decide": "/rank/decide",
}


@dataclass
class LocalRank:
    """The rank beside this sidecar: the highest fence seen, and what is uncertain.

    After a lost answer the rank may or may not have carried the order out, so its
    state is read before the next order. This protects ranks that ignore fences too.
    """

    call: RankCall
    fence: int = 0
    uncertain: bool = True


async def rank_orders(rank: LocalRank, order: Order) -> OrderReply:
    """Carry out an order at the local rank and return what came of it.

    One order is handled at a time; the caller makes sure of that.
    """
    result = await _carry_out(rank, order)
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


async def _carry_out(rank: LocalRank, order: Order) -> Result[dict[str, Any]]:
    if order.kind in _READS:
        answer = await _call(rank, "GET", _READS[order.kind], None)
        if order.kind == "state" and isinstance(answer, Ok):
            # A rank that ignores fences does not know the one this sidecar checks.
            fence = max(rank.fence, answer.value.get("fence", 0))
            return Ok(answer.value | {"fence": fence})
        return answer
    if order.kind not in _ORDERS:
        return Err(Code.BAD_MESSAGE, f"no order {order.kind!r}")
    try:
        data = msgspec.json.decode(order.data, type=dict[str, Any])
    except msgspec.MsgspecError as exc:
        return Err(Code.BAD_MESSAGE, f"order {order.kind}: {exc}")
    if rank.uncertain:
        state = await _read_back(rank)
        if isinstance(state, Err):
            return state
        known = _known(state.value, order.kind, data)
        if known is not None:
            return Ok(known)
    if order.fence < rank.fence:
        return Err(Code.FENCED, f"fence {order.fence} is older than {rank.fence}")
    rank.fence = order.fence
    body = data | {"fence": order.fence, "refuse": order.kind == "refuse"}
    return await _call(rank, "POST", _ORDERS[order.kind], body)


async def _read_back(rank: LocalRank) -> Result[RankState]:
    answer = await _call(rank, "GET", _READS["state"], None)
    state = answer if isinstance(answer, Err) else parse_state(answer.value)
    if isinstance(state, Ok):
        rank.uncertain = False
        # A sidecar that started after an order learns the fence from the rank.
        rank.fence = max(rank.fence, state.value.fence)
    return state


def _known(state: RankState, kind: str, data: dict[str, Any]) -> dict[str, Any] | None:
    """Return the vote when the order already had its effect."""
    vote = state.vote_on(data.get("map_version", 0))
    if vote is None or data.get("instance") != state.instance:
        return None
    done = vote.decided is not None if kind == "decide" else vote.vote != "loading"
    return msgspec.to_builtins(vote) if done else None


async def _call(
    rank: LocalRank, method: str, path: str, body: dict[str, Any] | None
) -> Result[dict[str, Any]]:
    answer = await rank.call(method, path, body)
    if isinstance(answer, Err):
        rank.uncertain = rank.uncertain or method == "POST"
        return Err(Code.RANK_UNREACHABLE, answer.text)
    status, data = answer.value
    if status == 200:
        return Ok(data)
    # The platform's ranks say with 409 that the fence is old; others name a code.
    default = Code.FENCED if status == 409 else Code.RANK_UNREACHABLE
    try:
        code = Code(data.get("code", default))
    except ValueError:
        code = default
    return Err(code, f"status {status}: {data.get('text', '')}")
