"""Responses without end that other processes send to the clients of this project."""

from __future__ import annotations

import httpcore
import pytest
import trio

from endless import ENDLESS_RESPONSES, endless_server
from mustardfront.coordination.rankmaps import OrderKind, OrderOutcome, RankOrder
from mustardfront.metrics import Metrics
from mustardfront.results import Err
from mustardfront_platform._rank import COUNTS_MAX_BYTES, WorkerRank

# What a socket's buffers may take beyond what a client reads.
SOCKET_BUFFERS_MAX_BYTES = 8 * 1024 * 1024

all_responses = pytest.mark.parametrize("respond", ENDLESS_RESPONSES)


def send_order(rank: WorkerRank):
    return rank.send_order(RankOrder(OrderKind.HOLD, 1, step=5))


RANK_CALLS = (WorkerRank.report, WorkerRank.counts, WorkerRank.maps, send_order)


@all_responses
@pytest.mark.parametrize("call", RANK_CALLS)
async def test_agent_gives_up_a_worker_that_answers_without_end(call, respond):
    """Guards against an agent that reads until its memory is full, or for ever."""
    async with (
        endless_server(respond) as server,
        httpcore.AsyncConnectionPool(max_connections=1) as pool,
    ):
        rank = WorkerRank(server.address, pool, Metrics())
        with trio.fail_after(5):
            result = await call(rank)
        assert isinstance(result, Err) or result is OrderOutcome.UNKNOWN
        assert server.sent_bytes < COUNTS_MAX_BYTES + SOCKET_BUFFERS_MAX_BYTES
        # The connection is not kept: the rest would be read as the next response.
        assert not [one for one in pool.connections if not one.is_closed()]
