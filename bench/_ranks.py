"""Ranks with their sidecars' peer listeners, in one process, for a measurement."""

from __future__ import annotations

import json
import sys
from typing import Any

import trio

from mustardfront.coordination.expertmap import LocalRank, OrderExecutor
from mustardfront.coordination.peers import PeerHub
from mustardfront.protocol import Identity, serve_peers
from mustardfront.results import Ok, Result
from mustardfront_standins.rank import OrderRefusedError, RankVotes

KEY = b"a-shared-bench-key"
STEP_S = 0.04


class _Ranks:
    """All ranks; they step together by the clock and load weights at once."""

    def __init__(self, count: int, layers: int, experts: int) -> None:
        self.ranks = [RankVotes(f"start-{index}") for index in range(count)]
        self._shape = (layers, experts)

    async def step(self) -> None:
        """Run steps until cancelled."""
        while True:
            await trio.sleep(STEP_S)
            for rank in self.ranks:
                rank.begin_step()

    async def call(
        self, rank: RankVotes, path: str, body: dict[str, Any] | None
    ) -> Result[tuple[int, dict[str, Any]]]:
        """Answer a call to a rank."""
        layers, experts = self._shape
        if path == "/rank/state":
            return Ok((200, rank.to_data()))
        if path == "/rank/map":
            return Ok((200, {"version": rank.map_version, "layers": rank.layers}))
        if path == "/rank/loads":
            row = [float(rank.step * (1 + expert % 3)) for expert in range(experts)]
            return Ok((200, {"layers": [row] * layers}))
        assert body is not None
        try:
            if path == "/rank/decide":
                return Ok((200, rank.decide(body).to_data()))
            ballot = rank.prepare(body)
        except OrderRefusedError as exc:
            return Ok((409, {"code": int(exc.code), "text": exc.text}))
        rank.loaded(ballot.map_version)
        return Ok((200, ballot.to_data()))


async def _main(count: int, layers: int, experts: int) -> None:
    ranks = _Ranks(count, layers, experts)
    addresses: dict[str, str] = {}
    async with trio.open_nursery() as nursery:
        nursery.start_soon(ranks.step)
        for index, rank in enumerate(ranks.ranks):

            async def call(
                method: str,
                path: str,
                body: dict[str, Any] | None,
                rank: RankVotes = rank,
            ) -> Result[tuple[int, dict[str, Any]]]:
                return await ranks.call(rank, path, body)

            executor, hub = OrderExecutor(LocalRank(call)), PeerHub()
            hub.add_handler(executor.make_handler())
            nursery.start_soon(executor.run)
            identity = Identity("sidecar", f"h{index}", "a", f"s{index}", f"w{index}")
            address = await nursery.start(
                serve_peers, ("127.0.0.1", 0), identity, KEY, hub.serve
            )
            addresses[f"w{index}"] = f"{address[0]}:{address[1]}"
        sys.stdout.write(json.dumps(addresses) + "\n")
        sys.stdout.flush()


if __name__ == "__main__":
    arguments = [int(argument) for argument in sys.argv[1:4]]
    trio.run(_main, arguments[0], arguments[1], arguments[2])
