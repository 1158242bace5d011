"""Rank process: HTTP API, lock-step loop and loading of weights.

``POST /freeze`` with ``{"seconds": n}`` blocks the event loop for that time, which
simulates a stall. ``--ignore-fences`` makes the rank accept orders with any fence.
"""

from __future__ import annotations

import json
import random
import time
import uuid
from typing import Any

import click
import httpcore
import trio

from mustardfront_standins._serving import (
    Receive,
    Scope,
    Send,
    read_body,
    run_http,
    send_json,
)
from mustardfront_standins.rank._exchange import Exchange
from mustardfront_standins.rank._votes import OrderRefusedError, RankVotes
from mustardfront_standins.traces import TOKENS, TRACES


class Rank:
    """Rank ``index`` of a group, with the expert loads that it counts."""

    def __init__(
        self,
        index: int,
        votes: RankVotes,
        exchange: str,
        weights: str,
        expert_bytes: int,
        step_s: float,
        loads: ExpertLoads,
    ) -> None:
        self.index = index
        self.votes = votes
        self._exchange = exchange
        self._weights = weights
        self._expert_bytes = expert_bytes
        self._step_s = step_s
        self._loads = loads
        self._pool = httpcore.AsyncConnectionPool()
        self._versions_to_load: trio.MemorySendChannel[int]
        self._versions_to_load, self._load_queue = trio.open_memory_channel[int](16)
        self._step_scope = trio.CancelScope()

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Handle one request."""
        call = (scope["method"], scope["path"])
        body = json.loads(await read_body(receive) or b"{}")
        if call == ("GET", "/rank/state"):
            await send_json(send, 200, self.votes.to_data())
        elif call == ("GET", "/rank/map"):
            answer = {"version": self.votes.map_version, "layers": self.votes.layers}
            await send_json(send, 200, answer)
        elif call == ("GET", "/rank/loads"):
            await send_json(send, 200, {"layers": self._loads.totals})
        elif call == ("GET", "/healthz"):
            answer = {"status": "ok", "instance": self.votes.instance}
            await send_json(send, 200, answer)
        elif call in (("POST", "/rank/prepare"), ("POST", "/rank/decide")):
            status, answer = self._handle_order(call[1], body)
            await send_json(send, status, answer)
        elif call == ("POST", "/freeze"):
            await send_json(send, 200, {})
            time.sleep(body["seconds"])  # noqa: ASYNC251
        else:
            await send_json(send, 404, {"text": f"no {call}"})

    def _handle_order(
        self, path: str, body: dict[str, Any]
    ) -> tuple[int, dict[str, Any]]:
        try:
            if path == "/rank/decide":
                return 200, self.votes.decide(body).to_data()
            ballot = self.votes.prepare(body)
        except OrderRefusedError as exc:
            return 409, {"code": int(exc.code), "text": exc.text}
        if ballot.vote == "loading":
            self._versions_to_load.send_nowait(ballot.map_version)
        return 200, ballot.to_data()

    async def load_maps(self) -> None:
        """Load the weights of proposed maps one after the other, until cancelled."""
        async for version in self._load_queue:
            ballot = self.votes.ballots.get(version)
            if ballot is None:
                continue
            for layer, held in enumerate(ballot.layers):
                before = self.votes.layers[layer] if self.votes.layers else None
                old = before[self.index] if before else []
                for expert in set(held[self.index]) - set(old):
                    await self._load_weights(f"{layer}-{expert}")
            self.votes.loaded(version)
            if not self.votes.epoch:
                self._step_scope.cancel()

    async def _load_weights(self, name: str) -> None:
        url = f"{self._weights}/weights/{name}?size={self._expert_bytes}"
        while self._weights:
            try:
                answer = await self._pool.request("GET", url)
            except (httpcore.NetworkError, httpcore.ProtocolError):
                await trio.sleep(0.1)
                continue
            if answer.status == 200:
                return
            retry = dict(answer.headers).get(b"retry-after", b"0.05")
            await trio.sleep(float(retry))

    async def run_steps(self) -> None:
        """Run steps in lock-step with the other ranks until cancelled."""
        while True:
            step = self.votes.begin_step()
            if step is None:
                await trio.sleep(0.005)
                continue
            with trio.CancelScope() as self._step_scope:
                await trio.sleep(self._step_s)
                await self._join_step(step)
                self._loads.add_step(step, self._step_s)

    async def _join_step(self, step: int) -> None:
        message = {
            "epoch": self.votes.epoch,
            "step": step,
            "rank": self.index,
            "map_version": self.votes.map_version,
        }
        while True:
            try:
                answer = await self._pool.request(
                    "POST",
                    self._exchange + "/part",
                    content=json.dumps(message).encode(),
                )
                if answer.status == 200:
                    return
            except (httpcore.NetworkError, httpcore.ProtocolError):
                pass
            await trio.sleep(0.05)


class ExpertLoads:
    """Cumulative tokens of each expert, from a seeded trace."""

    def __init__(self, trace: str, seed: int, layers: int, experts: int) -> None:
        rng = random.Random(f"{trace}/{seed}")
        self._relative_loads = TRACES[trace](rng, layers, experts)
        self.totals = [[0.0] * experts for _ in range(layers)]

    def add_step(self, step: int, step_s: float) -> None:
        """Add the tokens of one step."""
        for layer, totals in enumerate(self.totals):
            weights = self._relative_loads(layer, step * step_s)
            scale = TOKENS / sum(weights)
            for expert, weight in enumerate(weights):
                totals[expert] += weight * scale


@click.group()
def main() -> None:
    """Run a rank, or the exchange of a group of ranks."""


@main.command("exchange")
@click.option("--listen", default="127.0.0.1:0", help="IP:PORT to serve at.")
@click.option("--ranks", type=int, required=True)
def exchange_command(listen: str, ranks: int) -> None:
    """Serve the exchange of a group until SIGTERM."""
    host, _, port = listen.rpartition(":")
    trio.run(run_http, Exchange(ranks), (host, int(port)))


@main.command("serve")
@click.option("--listen", default="127.0.0.1:0", help="IP:PORT to serve at.")
@click.option("--index", type=int, required=True, help="Rank in its group.")
@click.option("--exchange", required=True, help="URL of the group's exchange.")
@click.option("--weights", default="", help="URL of the weight store; none if empty.")
@click.option("--expert-bytes", default=1000)
@click.option("--step-ms", default=10.0)
@click.option("--trace", type=click.Choice(sorted(TRACES)), default="flat-noise")
@click.option("--seed", default=1)
@click.option("--layers", default=1)
@click.option("--experts", default=8)
@click.option("--ignore-fences", is_flag=True)
def serve_command(
    listen: str,
    index: int,
    exchange: str,
    weights: str,
    expert_bytes: int,
    step_ms: float,
    trace: str,
    seed: int,
    layers: int,
    experts: int,
    ignore_fences: bool,
) -> None:
    """Serve one rank until SIGTERM."""
    host, _, port = listen.rpartition(":")
    votes = RankVotes(uuid.uuid4().hex, checks_fence=not ignore_fences)
    loads = ExpertLoads(trace, seed, layers, experts)

    async def run() -> None:
        rank = Rank(index, votes, exchange, weights, expert_bytes, step_ms / 1e3, loads)
        listen_at = (host, int(port))
        tasks = (rank.load_maps, rank.run_steps)
        await run_http(rank, listen_at, *tasks, instance=votes.instance)

    trio.run(run)
