"""The task of a sidecar that coordinates its rank's group, or tries to."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
from typing import Any, Final

import httpcore
import msgspec
import trio

from mustardfront import events
from mustardfront.codes import Code
from mustardfront.constants import CONNECT_TIMEOUT_S
from mustardfront.coordination.expertmap._balancer import GroupBalancer
from mustardfront.coordination.expertmap._coordinator import (
    Coordinator,
    States,
    read_states,
    reconcile_group,
    refresh_quiet_states,
    resolve_open_votes,
)
from mustardfront.coordination.expertmap._lease import (
    CANDIDATES_MAX,
    LeaseStore,
    Term,
    campaign,
    raise_fence,
    run_term,
)
from mustardfront.coordination.expertmap._links import (
    Connect,
    GroupConnections,
    OrderExecutor,
)
from mustardfront.coordination.expertmap._rank import RankCall
from mustardfront.coordination.expertmap._types import RankState, parse_state
from mustardfront.decoding import decode_json
from mustardfront.http_calls import CALL_ERRORS, CallLimits, call_http
from mustardfront.http_streams import open_pool
from mustardfront.protocol import Identity, connect_peer
from mustardfront.results import Err, Ok, Result
from mustardfront.state import Config, Group, first_map

ROUND_INTERVAL_S: Final = 1.0
# The states of all ranks are read at least this often, even while the front rank's
# step grows.
FULL_ROUND_INTERVAL_S: Final = 60.0
# Attempts of a candidate to read the states of all ranks while the key-value service is
# down.
RESOLVE_TRIES_MAX: Final = 5
RESOLVE_RETRY_INTERVAL_S: Final = 0.5
# How often a sidecar checks the config for whether it has become a candidate.
CONFIG_POLL_S: Final = 1.0
RANK_CALL_TIMEOUT_S: Final = 2.0
# 128 layers of 128 experts with counts of 20 digits take 350 KB.
RANK_REPLY_MAX_BYTES: Final = 1024 * 1024


def open_rank_client(url: str) -> tuple[httpcore.AsyncConnectionPool, RankCall]:
    """Return a connection pool for the rank at ``url`` and a function to call it."""
    pool = open_pool(max_connections=4)
    limits = CallLimits(
        RANK_CALL_TIMEOUT_S,
        CONNECT_TIMEOUT_S,
        CONNECT_TIMEOUT_S + 2 * RANK_CALL_TIMEOUT_S,
        RANK_REPLY_MAX_BYTES,
    )

    async def call(
        method: str, path: str, body: dict[str, Any] | None
    ) -> Result[tuple[int, dict[str, Any]]]:
        try:
            response = await call_http(
                pool,
                method,
                url + path,
                limits,
                headers=[("Content-Type", "application/json")],
                content=msgspec.json.encode(body) if body is not None else None,
            )
            data = decode_json(response.body, dict[str, Any])
        except CALL_ERRORS as exc:
            text = f"{method} {path}: {type(exc).__name__} {exc}"
            return Err(Code.RANK_UNREACHABLE, text)
        return Ok((response.status, data))

    return pool, call


def find_group(cfg: Config, upstream: str) -> tuple[str, Group] | None:
    """Return name and config of the group that an upstream is a rank of, if any."""
    for name, group in cfg.groups.items():
        if upstream in group.ranks:
            return name, group
    return None


async def run_coordinator(
    upstream: str,
    config: Callable[[], Config],
    kv: LeaseStore,
    executor: OrderExecutor,
    identity: Identity,
    key: bytes,
    connect: Connect = connect_peer,
) -> None:
    """Campaign for this rank's group and coordinate it in each term, until cancelled.

    ``executor`` must run at the same time. Nothing happens while the upstream is in no
    group or is not among the group's first ``CANDIDATES_MAX`` ranks.
    """
    while True:
        found = find_group(config(), upstream)
        if found is None or upstream not in found[1].ranks[:CANDIDATES_MAX]:
            await trio.sleep(CONFIG_POLL_S)
            continue
        name, group = found
        resolver = _OutageResolver(upstream, config, executor, identity, key, connect)
        on_outage = partial(resolver.resolve_if_stalled, name, group)
        term = await campaign(kv, name, identity.instance, on_outage)
        connections = GroupConnections(name, upstream, executor, identity, key)
        local = await _read_local_state(connections, upstream)
        newest = local.value.fence if isinstance(local, Ok) else 0
        if isinstance(await raise_fence(kv, name, term, newest), Err):
            await kv.lease_revoke(term.lease)
            continue
        events.log(
            events.Event.COORDINATOR_CHANGED, group=name, held=True, fence=term.fence
        )
        lead = partial(_lead_group, upstream, config, connections, term, connect)
        await run_term(kv, term, lead)


class _OutageResolver:
    """Resolves a stalled group's open votes while the key-value service is down.

    Nobody can win a term then, so the group may be without a coordinator.
    """

    def __init__(
        self,
        upstream: str,
        config: Callable[[], Config],
        executor: OrderExecutor,
        identity: Identity,
        key: bytes,
        connect: Connect,
    ) -> None:
        self._upstream = upstream
        self._config = config
        self._executor = executor
        self._identity = identity
        self._key = key
        self._connect = connect
        self._last_step = -1

    async def resolve_if_stalled(self, name: str, group: Group) -> None:
        """Resolve open votes if the local rank is at the same step as last time.

        The outcome depends on the votes alone, so this needs no lease. Orders carry
        the newest fence that the ranks know; a coordinator with a newer one prevails.
        """
        connections = GroupConnections(
            name, self._upstream, self._executor, self._identity, self._key
        )
        local = await _read_local_state(connections, self._upstream)
        if isinstance(local, Err):
            return
        last_step, self._last_step = self._last_step, local.value.step
        if last_step != self._last_step:
            return
        send_orders = partial(connections.send_orders, 0)
        co = Coordinator(
            name, group.ranks, 0, send_orders, trio.sleep, _refuse_first_map
        )
        addresses = _rank_addresses(self._config(), group)
        async with connections.open(addresses, self._connect):
            for _ in range(RESOLVE_TRIES_MAX):
                await trio.sleep(RESOLVE_RETRY_INTERVAL_S)
                states = await read_states(co)
                if isinstance(states, Ok):
                    co.fence = max(state.fence for state in states.value.values())
                    co.send_orders = partial(connections.send_orders, co.fence)
                    await resolve_open_votes(co, states.value)
                    return


async def _read_local_state(
    connections: GroupConnections, upstream: str
) -> Result[RankState]:
    answers = await connections.send_orders(0, {upstream: ("state", {})})
    answer = answers[upstream]
    return answer if isinstance(answer, Err) else parse_state(answer.value)


def _refuse_first_map() -> Err:
    return Err(Code.MAP_INVALID, "only a coordinator with a lease may form a group")


def _rank_addresses(cfg: Config, group: Group) -> dict[str, str]:
    return {
        rank: cfg.upstreams[rank].address
        for rank in group.ranks
        if rank in cfg.upstreams
    }


async def _lead_group(
    upstream: str,
    config: Callable[[], Config],
    connections: GroupConnections,
    term: Term,
    connect: Connect,
) -> None:
    """Coordinate the group until fenced off or the upstream is in no group.

    After each change of the group's config, the connections are opened anew.
    """
    while True:
        cfg = config()
        found = find_group(cfg, upstream)
        if found is None:
            return
        name, group = found
        addresses = _rank_addresses(cfg, group)

        def is_group_unchanged(expected: tuple[str, Group] = found) -> bool:
            return find_group(config(), upstream) == expected

        co = Coordinator(
            name,
            group.ranks,
            term.fence,
            partial(connections.send_orders, term.fence),
            trio.sleep,
            lambda group=group: first_map(  # type: ignore[misc]
                group.layers, group.experts, len(group.ranks), group.slots_per_rank
            ),
        )
        async with connections.open(addresses, connect):
            if await _run_rounds(co, group, is_group_unchanged, term.is_lease_valid):
                return


async def _run_rounds(
    co: Coordinator,
    group: Group,
    is_group_unchanged: Callable[[], bool],
    may_switch: Callable[[], bool],
) -> bool:
    """Run rounds until another coordinator takes over or the group changes.

    Return whether another coordinator took over.
    """
    balance = GroupBalancer(group)
    quiet_states: States | None = None
    read_at = trio.current_time()
    while is_group_unchanged():
        # While the key-value service is down, there is no successor to finish a
        # switch, so none is begun without a valid lease.
        round_balance = balance if may_switch() else None
        done, quiet_states, read_at = await run_round(
            co, round_balance, quiet_states, read_at
        )
        if isinstance(done, Err) and done.code is Code.FENCED:
            events.log(
                events.Event.COORDINATOR_CHANGED,
                group=co.group,
                held=False,
                fence=co.fence,
                text=done.text,
            )
            return True
        await co.sleep(ROUND_INTERVAL_S)
    return False


async def run_round(
    co: Coordinator,
    balance: GroupBalancer | None,
    quiet_states: States | None,
    read_at: float,
) -> tuple[Result[Any], States | None, float]:
    """Do one round: keep the group running and, if ``balance`` is given, balance it.

    ``quiet_states`` are those of the last round, or None to read all ranks again, and
    ``read_at`` is the time at which all ranks were last read. Return the outcome, and
    the new values of these two for the next round.
    """
    now = trio.current_time()
    if quiet_states is not None and now - read_at < FULL_ROUND_INTERVAL_S:
        quiet_states = await refresh_quiet_states(co, quiet_states)
    else:
        quiet_states = None
    if quiet_states is None:
        done = await reconcile_group(co)
        if isinstance(done, Err):
            return done, None, read_at
        quiet_states, read_at = done.value, now
    if quiet_states is None or balance is None:
        return Ok(None), quiet_states, read_at
    proposals = co.proposals
    balanced = await balance.plan_and_switch(co, quiet_states)
    return balanced, quiet_states if co.proposals == proposals else None, read_at
