"""The coordinator's task beside a sidecar."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
from math import ceil
from typing import Any, Final

import httpcore
import msgspec
import trio

from mustardfront import events
from mustardfront.codes import Code
from mustardfront.constants import CONNECT_TIMEOUT_S
from mustardfront.coordination.balancing import BalanceSettings, Policy, make_policy
from mustardfront.coordination.expertmap._coordinator import (
    Coordinator,
    States,
    peek,
    read_map,
    read_states,
    settle_open,
    switch,
    tend,
)
from mustardfront.coordination.expertmap._lease import (
    CANDIDATES,
    LeaseStore,
    Term,
    campaign,
    hold,
)
from mustardfront.coordination.expertmap._links import Connect, GroupLinks, OrderDesk
from mustardfront.coordination.expertmap._rank import RankCall
from mustardfront.coordination.expertmap._types import parse_state
from mustardfront.protocol import Identity, connect_peer
from mustardfront.results import Err, Ok, Result
from mustardfront.state import Config, ExpertMap, Group, count_moves, first_map

ROUND_INTERVAL_S: Final = 1.0
# All ranks' states are read this often even when the front's steps go on.
FULL_ROUND_INTERVAL_S: Final = 60.0
# Tries of a candidate to reach all ranks while the key-value service is down.
ASSIST_TRIES: Final = 5
ASSIST_INTERVAL_S: Final = 0.5
# How often a sidecar looks whether it has become a candidate.
CONFIG_INTERVAL_S: Final = 1.0
RANK_CALL_TIMEOUT_S: Final = 2.0
# The step of a switch leaves this many times the transfer's expected time, and at
# least this long, so that ranks have voted before they reach it.
TRANSFER_MARGIN: Final = 2.0
SWITCH_MARGIN_S: Final = 2.0
# Step time to plan with until two readings of the ranks' steps are known.
STEP_S_DEFAULT: Final = 0.04


def http_rank(url: str) -> tuple[httpcore.AsyncConnectionPool, RankCall]:
    """Return the connection pool of the rank at ``url`` and its call."""
    pool = httpcore.AsyncConnectionPool(max_connections=4)
    timeout = dict.fromkeys(("read", "write", "pool"), RANK_CALL_TIMEOUT_S)
    timeout["connect"] = CONNECT_TIMEOUT_S

    async def call(
        method: str, path: str, body: dict[str, Any] | None
    ) -> Result[tuple[int, dict[str, Any]]]:
        try:
            response = await pool.request(
                method,
                url + path,
                headers=[("Content-Type", "application/json")],
                content=msgspec.json.encode(body) if body is not None else None,
                extensions={"timeout": timeout},
            )
            data = msgspec.json.decode(response.content, type=dict[str, Any])
        except (
            httpcore.NetworkError,
            httpcore.TimeoutException,
            httpcore.ProtocolError,
            msgspec.MsgspecError,
        ) as exc:
            text = f"{method} {path}: {type(exc).__name__} {exc}"
            return Err(Code.RANK_UNREACHABLE, text)
        return Ok((response.status, data))

    return pool, call


def group_of(cfg: Config, upstream: str) -> tuple[str, Group] | None:
    """Return the expert group that an upstream is a rank of, by name."""
    for name, group in cfg.groups.items():
        if upstream in group.ranks:
            return name, group
    return None


async def run_coordinator(
    upstream: str,
    config: Callable[[], Config],
    kv: LeaseStore,
    desk: OrderDesk,
    identity: Identity,
    key: bytes,
    connect: Connect = connect_peer,
) -> None:
    """Campaign for this rank's group and lead it in each term, until cancelled.

    ``desk`` must run beside it. Nothing happens while the upstream is in no group or
    is not among the group's first ranks.
    """
    while True:
        found = group_of(config(), upstream)
        if found is None or upstream not in found[1].ranks[:CANDIDATES]:
            await trio.sleep(CONFIG_INTERVAL_S)
            continue
        name, group = found
        stand_in = _StandIn(upstream, config, desk, identity, key, connect)
        assist = partial(stand_in.assist, name, group)
        term = await campaign(kv, name, identity.instance, assist)
        events.log(
            events.Event.COORDINATOR_CHANGED, group=name, held=True, fence=term.fence
        )
        links = GroupLinks(name, upstream, desk, identity, key)
        lead = partial(_lead, upstream, config, links, term, connect)
        await hold(kv, term, lead)


class _StandIn:
    """What a candidate does for a stopped group while nobody can win a term."""

    def __init__(
        self,
        upstream: str,
        config: Callable[[], Config],
        desk: OrderDesk,
        identity: Identity,
        key: bytes,
        connect: Connect,
    ) -> None:
        self._upstream = upstream
        self._config = config
        self._desk = desk
        self._identity = identity
        self._key = key
        self._connect = connect
        self._step = -1

    async def assist(self, name: str, group: Group) -> None:
        """Settle open votes when the local rank stands still since the last call.

        The outcome depends on the votes alone, so this needs no lease: it uses the
        newest fence that the ranks know. A coordinator with a newer one goes first.
        """
        links = GroupLinks(name, self._upstream, self._desk, self._identity, self._key)
        ask = partial(links.ask, 0)
        answer = (await ask({self._upstream: ("state", {})}))[self._upstream]
        local = answer if isinstance(answer, Err) else parse_state(answer.value)
        if isinstance(local, Err):
            return
        before, self._step = self._step, local.value.step
        if before != self._step:
            return
        co = Coordinator(name, group.ranks, 0, ask, trio.sleep, _no_map)
        addresses = _addresses(self._config(), group)
        async with links.open(addresses, self._connect):
            for _ in range(ASSIST_TRIES):
                await trio.sleep(ASSIST_INTERVAL_S)
                states = await read_states(co)
                if isinstance(states, Ok):
                    co.fence = max(state.fence for state in states.value.values())
                    co.ask = partial(links.ask, co.fence)
                    await settle_open(co, states.value)
                    return


def _no_map() -> Err:
    return Err(Code.MAP_INVALID, "no group is formed without a term")


def _addresses(cfg: Config, group: Group) -> dict[str, str]:
    return {
        rank: cfg.upstreams[rank].address
        for rank in group.ranks
        if rank in cfg.upstreams
    }


async def _lead(
    upstream: str,
    config: Callable[[], Config],
    links: GroupLinks,
    term: Term,
    connect: Connect,
) -> None:
    """Lead until fenced off; each change of the group begins with new links."""
    while True:
        cfg = config()
        found = group_of(cfg, upstream)
        if found is None:
            return
        name, group = found
        addresses = _addresses(cfg, group)

        def same_group(expected: tuple[str, Group] = found) -> bool:
            return group_of(config(), upstream) == expected

        co = Coordinator(
            name,
            group.ranks,
            term.fence,
            partial(links.ask, term.fence),
            trio.sleep,
            lambda group=group: first_map(  # type: ignore[misc]
                group.layers, group.experts, len(group.ranks), group.slots_per_rank
            ),
        )
        async with links.open(addresses, connect):
            if await _rounds(co, group, same_group, term.is_certain):
                return


async def _rounds(
    co: Coordinator,
    group: Group,
    same_group: Callable[[], bool],
    may_switch: Callable[[], bool],
) -> bool:
    """Run rounds; True when another coordinator took over, False on a new group."""
    balance = Balance(group)
    quiet: States | None = None
    read_at = trio.current_time()
    while same_group():
        # No switch begins that a successor could not finish while the service is down.
        chosen = balance if may_switch() else None
        done, quiet, read_at = await run_round(co, chosen, quiet, read_at)
        if isinstance(done, Err) and done.code is Code.FENCED:
            events.log(
                events.Event.COORDINATOR_CHANGED,
                group=co.group,
                held=False,
                fence=co.fence,
                text=done.text,
            )
            return True
        await co.pause(ROUND_INTERVAL_S)
    return False


async def run_round(
    co: Coordinator, balance: Balance | None, quiet: States | None, read_at: float
) -> tuple[Result[Any], States | None, float]:
    """Do one round; return its outcome, the states if quiet, and when all were read."""
    now = trio.current_time()
    if quiet is not None and now - read_at < FULL_ROUND_INTERVAL_S:
        quiet = await peek(co, quiet)
    else:
        quiet = None
    if quiet is None:
        done = await tend(co)
        if isinstance(done, Err):
            return done, None, read_at
        quiet, read_at = done.value, now
    if quiet is None or balance is None:
        return Ok(None), quiet, read_at
    proposals = co.proposals
    balanced = await balance.step(co, quiet)
    return balanced, quiet if co.proposals == proposals else None, read_at


class Balance:
    """The balancing policy of one term, fed with the loads of the group's front."""

    def __init__(self, group: Group) -> None:
        self._group = group
        self._policy: Policy | None = None
        self._current: ExpertMap | None = None
        self._totals: list[list[float]] = []
        self._seen: tuple[float, int] | None = None
        self._margin = 1.0
        self.step_s = STEP_S_DEFAULT

    def _settings(self) -> BalanceSettings:
        group = self._group
        return BalanceSettings(
            len(group.ranks),
            group.slots_per_rank,
            group.expert_bytes,
            group.store_rate,
            self.step_s,
            group.skew_weight,
            group.cost_weight,
        )

    async def step(self, co: Coordinator, states: States) -> Result[bool]:
        """Read loads, plan, and switch when the policy wants to; Ok says it did."""
        front = states[co.ranks[0]]
        self._measure_step(front.step)
        if self._current is None or self._current.version != front.map_version:
            current = await read_map(co, co.ranks[0])
            if isinstance(current, Err):
                return current
            self._current = current.value
        loads = await self._read_loads(co)
        if isinstance(loads, Err):
            return loads
        if not loads.value:
            return Ok(False)
        if self._policy is None:
            self._policy = make_policy("default", self._settings())
        # Planning takes up to a tenth of a second, which requests must not wait for.
        new = await trio.to_thread.run_sync(
            self._policy, trio.current_time(), loads.value, self._current, False
        )
        if new is None:
            return Ok(False)
        return await self._switch(co, states, new)

    def _measure_step(self, step: int) -> None:
        now = trio.current_time()
        if self._seen is not None and step > self._seen[1] and now > self._seen[0]:
            self.step_s = (now - self._seen[0]) / (step - self._seen[1])
        self._seen = (now, step)

    async def _read_loads(self, co: Coordinator) -> Result[list[list[float]]]:
        """Return the tokens since the last reading; empty for the first one."""
        answer = (await co.ask({co.ranks[0]: ("loads", {})}))[co.ranks[0]]
        if isinstance(answer, Err):
            return answer
        try:
            totals = msgspec.convert(answer.value["layers"], list[list[float]])
        except (msgspec.ValidationError, KeyError) as exc:
            return Err(Code.BAD_MESSAGE, f"loads of the front rank: {exc}")
        shape = (self._group.layers, self._group.experts)
        if any((len(totals), len(row)) != shape for row in totals):
            return Err(Code.BAD_MESSAGE, f"loads are not of shape {shape}")
        before, self._totals = self._totals, totals
        if not before:
            return Ok([])
        # A restarted rank counts from 0 again; such a reading is left out.
        since = [
            [new - old for new, old in zip(row, earlier, strict=True)]
            for row, earlier in zip(totals, before, strict=True)
        ]
        return Ok(since if min(map(min, since)) >= 0 else [])

    async def _switch(
        self, co: Coordinator, states: States, new: ExpertMap
    ) -> Result[bool]:
        assert self._current is not None
        moves = sum(map(count_moves, self._current.layers, new.layers))
        transfer_s = moves * self._settings().move_s
        ahead_s = self._margin * (transfer_s * TRANSFER_MARGIN + SWITCH_MARGIN_S)
        step = max(state.step for state in states.values())
        step += max(1, ceil(ahead_s / self.step_s))
        events.log(
            events.Event.MAP_PLANNED,
            group=co.group,
            moves=moves,
            transfer_s=round(transfer_s, 3),
            step=step,
        )
        done = await switch(co, states, new, step)
        # Ranks that reached the step before their vote need more time the next time.
        switched = isinstance(done, Ok) and done.value
        self._margin = 1.0 if switched else min(16.0, self._margin * 2)
        return done
