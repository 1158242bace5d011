"""Orders for the local rank, and the coordinator of its model group."""

from __future__ import annotations

import trio

from mustardfront.coordination.expertmap import (
    LocalRank,
    OrderExecutor,
    open_rank_client,
    run_coordinator,
)
from mustardfront.programs._runtime import Process


async def serve_rank(process: Process, upstream_url: str) -> None:
    """Execute the rank's orders and run the coordinator of its group until cancelled.

    The sidecar is a candidate for coordinator only if its upstream is in a group.
    """
    pool, call = open_rank_client(upstream_url)
    orders = OrderExecutor(LocalRank(call))
    process.hub.add_handler(orders.make_handler())
    async with pool, trio.open_nursery() as nursery:
        nursery.start_soon(orders.run)
        await run_coordinator(
            process.identity.upstream,
            lambda: process.store.current,
            process.kv,
            orders,
            process.identity,
            process.key,
        )
