"""All ranks of a group and their sidecars' peer listeners, in one process.

``python -m bench._ranks COUNT LAYERS EXPERTS`` prints the addresses as JSON.
"""

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


class _RankGroup:
    """All ranks of a group; they step at the same time and load weights instantly."""

    def __init__(self, count: int, layers: int, experts: int) -> None:
        self.ranks = [RankVotes(f"start-{index}") for index in range(count)]
        self._layers_and_experts = (layers, experts)

    async def step(self) -> None:
        """Begin a step of all ranks every ``STEP_S``, until cancelled."""
        while True:
            await trio.sleep(STEP_S)
            for rank in self.ranks:
                rank.begin_step()

    async def call(
        self, rank: RankVotes, path: str, body: dict[str, Any] | None
    ) -> Result[tuple[int, dict[str, Any]]]:
        """Answer an HTTP call to a rank with a status and a JSON object."""
        layers, experts = self._layers_and_experts
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


async def _serve_ranks(count: int, layers: int, experts: int) -> None:
    ranks = _RankGroup(count, layers, experts)
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
    trio.run(_serve_ranks, arguments[0], arguments[1], arguments[2])
