"""Who has which configuration version in force, asked from the processes."""

from __future__ import annotations

from typing import Any, Final

import trio

from mustardfront.coordination.config import read_head
from mustardfront.coordination.hosts import HostEntry
from mustardfront.programs._runtime import Process
from mustardfront.protocol import ConfigOffer, Ping, Pong, connect_peer
from mustardfront.results import Err
from mustardfront.settings import check_address

# Each process that is asked costs a connection for a moment.
_CONCURRENT: Final = 32
_ASK_TIMEOUT_S: Final = 2.0
_TOTAL_TIMEOUT_S: Final = 15.0


async def read_status(process: Process) -> dict[str, Any]:
    """Return the accepted version, and the version of every host-list entry.

    A process that does not answer in time has version None.
    """
    limit = trio.CapacityLimiter(_CONCURRENT)
    versions: dict[HostEntry, int | None] = {}

    async def ask(entry: HostEntry) -> None:
        async with limit:
            versions[entry] = await _ask(process, entry)

    head: dict[str, Any] = {"accepted": None, "error": "no answer in time"}
    with trio.move_on_after(_TOTAL_TIMEOUT_S):
        async with trio.open_nursery() as nursery:
            for entry in process.hosts.current:
                nursery.start_soon(ask, entry)
            head = await _accepted(process)
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
        "host_list_read": process.hosts.is_read,
        "processes": rows,
    }


async def _accepted(process: Process) -> dict[str, Any]:
    head = await read_head(process.kv)
    if isinstance(head, Err):
        return {"accepted": None, "error": head.text}
    return {"accepted": head.value[0].version, "error": ""}


async def _ask(process: Process, entry: HostEntry) -> int | None:
    """Return a process's version; it tells it as the greeting or with its pong."""
    if entry.name == process.identity.host and entry.role == "admin":
        return process.store.current.version
    address = check_address(entry.address)
    if isinstance(address, Err):
        return None
    with trio.move_on_after(_ASK_TIMEOUT_S):
        async with connect_peer(address.value, process.identity, process.key) as conn:
            if isinstance(conn, Err):
                return None
            # Version 0: a starting process must not tell the one it may hold.
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
