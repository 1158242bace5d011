"""Orders for the rank beside this sidecar, and its group's coordinator."""

from __future__ import annotations

import trio

from mustardfront.coordination.expertmap import (
    LocalRank,
    OrderDesk,
    http_rank,
    run_coordinator,
)
from mustardfront.programs._runtime import Process


async def serve_rank(process: Process, upstream_url: str) -> None:
    """Carry out orders and campaign for the group, if any, until cancelled."""
    pool, call = http_rank(upstream_url)
    desk = OrderDesk(LocalRank(call))
    process.hub.add_handler(desk.handler())
    async with pool, trio.open_nursery() as nursery:
        nursery.start_soon(desk.run)
        await run_coordinator(
            process.identity.upstream,
            lambda: process.store.current,
            process.kv,
            desk,
            process.identity,
            process.key,
        )
