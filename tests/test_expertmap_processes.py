"""Faults of real processes during a switch: one is killed or paused."""

import signal
from dataclasses import replace
from functools import partial

import httpcore
import msgspec
import pytest
import trio

from mustardfront.coordination.expertmap import (
    Coordinator,
    GroupConnections,
    LocalRank,
    OrderExecutor,
    read_states,
    switch_map,
)
from mustardfront.protocol import ConfigPush, Identity, connect_peer
from mustardfront.results import Err, Ok
from mustardfront.settings import parse_address
from mustardfront.state import ExpertMap, Group, Upstream, config_to_bytes, first_map
from mustardfront_standins.fleet import Fleet, free_port, poll_until
from running import KEY, STEP_LIMIT_S, make_config, sidecar_flags

RANKS = ("w0", "w1", "w2")
IDENTITY = Identity("sidecar", "h1", "a", "test-coordinator")
# Longer than the lifetime of a lease, a campaign interval and a formation together.
RECOVERY_S = 60


class RankGroup:
    """Three ranks with sidecars, and a second coordinator in this process."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.rank_ports = {name: free_port() for name in RANKS}
        self.peer_addresses = {name: f"127.0.0.1:{free_port()}" for name in RANKS}

    async def start(self):
        fleet = self.fleet
        self.kv = await fleet.start_standin("kv", "kv")
        # Slow enough that a vote is still open when the fault is injected.
        self.weights = await fleet.start_standin("weights", "weights", "--rate", "2000")
        self.exchange = await fleet.start_standin(
            "exchange", "rank", "exchange", "--ranks", "3"
        )
        for name in RANKS:
            await self.start_rank(name)
            await self.start_sidecar(name)
        assert await poll_until(self.has_steps(1), RECOVERY_S)

    async def start_rank(self, name):
        index = RANKS.index(name)
        args = {
            "listen": f"127.0.0.1:{self.rank_ports[name]}",
            "index": str(index),
            "exchange": self.exchange.ready["url"],
            "weights": self.weights.ready["url"],
            "experts": "4",
            "step-ms": "4",
        }
        flags = [part for key, value in args.items() for part in (f"--{key}", value)]
        # One rank ignores fences.
        fence_flags = ["--ignore-fences"] if index == 1 else []
        await self.fleet.start_standin(
            f"rank-{name}", "rank", "serve", *flags, *fence_flags
        )

    async def start_sidecar(self, name):
        url = f"http://127.0.0.1:{self.rank_ports[name]}"
        flags = sidecar_flags(
            self.fleet, url, self.kv.ready["url"], self.peer_addresses[name], name
        )
        sidecar = await self.fleet.start(
            f"sidecar-{name}", "mustardfront.programs.sidecar", *flags
        )
        with trio.fail_after(STEP_LIMIT_S):
            await sidecar.wait_event("process-ready")
        cfg = make_config()
        upstreams = {
            rank: Upstream("svc", "h1", address)
            for rank, address in self.peer_addresses.items()
        }
        group = Group("svc", RANKS, 1, 4, 2, 1000, 2000.0)
        cfg = replace(cfg, upstreams=upstreams, groups={"g": group})
        address = parse_address(self.peer_addresses[name])
        async with connect_peer(address, IDENTITY, KEY) as conn:
            assert isinstance(conn, Ok)
            await conn.value.send(ConfigPush(cfg.version, config_to_bytes(cfg)))
            with trio.fail_after(STEP_LIMIT_S):
                await sidecar.wait_event("config-in-force")

    async def restart(self, target):
        start = self.start_rank if target.startswith("rank") else self.start_sidecar
        await start(target.partition("-")[2])

    async def read_steps(self):
        answer = await get_json(self.exchange.ready["url"] + "/steps")
        assert answer["faults"] == []
        return answer

    def has_steps(self, wanted):
        async def check():
            return (await self.read_steps())["steps"] >= wanted

        return check

    async def make_coordinator(self, connections):
        """Return a coordinator with a newer fence than the group's own, and states."""
        first = Coordinator(
            "g",
            RANKS,
            0,
            partial(connections.send_orders, 0),
            trio.sleep,
            lambda: Err(9999, ""),
        )
        states = Err(9999, "")
        with trio.fail_after(STEP_LIMIT_S):
            while isinstance(states, Err):
                states = await read_states(first)
                await trio.sleep(0.05)
        fence = max(state.fence for state in states.value.values()) + 1
        return replace(
            first, fence=fence, send_orders=partial(connections.send_orders, fence)
        ), states.value


async def get_json(url):
    async with httpcore.AsyncConnectionPool() as pool:
        return msgspec.json.decode((await pool.request("GET", url)).content)


async def has_open_vote(group):
    """Return whether a rank has an open vote; a formation closes earlier ones."""
    for port in group.rank_ports.values():
        state = await get_json(f"http://127.0.0.1:{port}/rank/state")
        for vote in state["votes"]:
            closed = not vote["form"] and vote["epoch"] != state["epoch"]
            if vote["decided"] is None and vote["vote"] != "no" and not closed:
                return True
    return False


@pytest.mark.parametrize(
    ("target", "action"),
    [
        ("rank-w1", signal.SIGKILL),
        ("rank-w1", signal.SIGSTOP),
        # The first rank's sidecar is started first, so it wins the campaign.
        ("sidecar-w0", signal.SIGKILL),
        ("sidecar-w0", signal.SIGSTOP),
        # No sidecar can win a term then, but the open vote must not stop the group.
        ("kv", signal.SIGSTOP),
    ],
)
async def test_a_fault_during_a_switch_leaves_one_map_in_each_step(target, action):
    # Guards against ranks with different maps in a step, and against ranks that wait
    # forever at a vote whose coordinator is gone.
    async with Fleet() as fleet:
        group = RankGroup(fleet)
        await group.start()
        connections = GroupConnections(
            "g", "", OrderExecutor(LocalRank(None)), IDENTITY, KEY
        )
        async with (
            connections.open(group.peer_addresses, connect_peer),
            trio.open_nursery() as nursery,
        ):
            co, states = await group.make_coordinator(connections)
            layer = first_map(1, 4, 3, 2).value.layers[0]
            new = ExpertMap(0, (tuple(reversed(layer)),))
            step = max(state.step for state in states.values()) + 400
            nursery.start_soon(switch_map, co, states, new, step)
            assert await poll_until(partial(has_open_vote, group), STEP_LIMIT_S)
            fleet.processes[target].send_signal(action)
            await trio.sleep(1.0)
            # This coordinator ends too, while its vote is open.
            nursery.cancel_scope.cancel()
        if target == "kv":
            pass  # It stays paused until the test ends.
        elif action is signal.SIGSTOP:
            fleet.processes[target].send_signal(signal.SIGCONT)
        else:
            await fleet.processes[target].process.wait()
            await group.restart(target)
        before = (await group.read_steps())["steps"]
        # The group gets past the proposed step only once the open vote is resolved.
        assert await poll_until(group.has_steps(before + 450), RECOVERY_S)
        assert not await has_open_vote(group)
