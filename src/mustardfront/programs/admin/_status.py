"""The configuration version in force at each process, queried over connections."""

from __future__ import annotations

from typing import Any, Final

import trio

from mustardfront.coordination.config import read_head
from mustardfront.coordination.hosts import HostEntry
from mustardfront.programs._runtime import Process
from mustardfront.protocol import ConfigOffer, Ping, Pong, connect_peer
from mustardfront.results import Err
from mustardfront.settings import check_address

# Each process is queried over a short-lived connection of its own.
_CONCURRENT_QUERIES: Final = 32
_QUERY_TIMEOUT_S: Final = 2.0
_TOTAL_TIMEOUT_S: Final = 15.0


async def read_status(process: Process) -> dict[str, Any]:
    """Return the accepted version and the version at each host-list entry.

    The version is None for a process that does not respond in time.
    """
    limit = trio.CapacityLimiter(_CONCURRENT_QUERIES)
    versions: dict[HostEntry, int | None] = {}

    async def query(entry: HostEntry) -> None:
        async with limit:
            versions[entry] = await _query_version(process, entry)

    head: dict[str, Any] = {
        "accepted": None,
        "error": "the key-value service did not respond in time",
    }
    with trio.move_on_after(_TOTAL_TIMEOUT_S):
        async with trio.open_nursery() as nursery:
            for entry in process.hosts.current:
                nursery.start_soon(query, entry)
            head = await _read_accepted(process)
    rows = [
        {
            "host": entry.name,
            "role": entry.role,
            "place": entry.place,
            "state": entry.state,
            "version": versions.get(entry),
        }
        for entry in process.hosts.current
    ]
    return {
        **head,
        "in_force_here": process.store.current.version,
        "host_list_read": process.hosts.has_loaded,
        "processes": rows,
    }


async def _read_accepted(process: Process) -> dict[str, Any]:
    head = await read_head(process.kv)
    if isinstance(head, Err):
        return {"accepted": None, "error": head.text}
    return {"accepted": head.value[0].version, "error": ""}


async def _query_version(process: Process, entry: HostEntry) -> int | None:
    """Return the version in force at a process, or None when it cannot be read.

    The process reports it in an offer after the handshake or in its pong.
    """
    if entry.name == process.identity.host and entry.role == "admin":
        return process.store.current.version
    address = check_address(entry.address)
    if isinstance(address, Err):
        return None
    with trio.move_on_after(_QUERY_TIMEOUT_S):
        async with connect_peer(address.value, process.identity, process.key) as conn:
            if isinstance(conn, Err):
                return None
            # Reports version 0, because a process that is starting may have an outdated
            # version, which a starting peer must not count as a version of its peers.
            await conn.value.send(Ping(0, 0))
            while True:
                message = await conn.value.receive()
                if isinstance(message, Err):
                    return None
                if isinstance(message.value, ConfigOffer):
                    return message.value.version
                if isinstance(message.value, Pong):
                    return message.value.config_version
    return None
