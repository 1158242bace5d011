"""Updates of an entry's state from its peers, the host list and the configuration."""

from __future__ import annotations

from collections.abc import Mapping

import trio

from mustardfront.constants import HOSTS_APPLY_INTERVAL_S
from mustardfront.coordination.config import ConfigStore
from mustardfront.coordination.hosts import HostList
from mustardfront.coordination.peers import PeerHub
from mustardfront.coordination.quarantine import CrashEvidence, Quarantine
from mustardfront.coordination.routing import UpstreamTable
from mustardfront.programs._crash_reports import record_suspects
from mustardfront.programs.entry._links import SidecarLinks
from mustardfront.protocol import (
    CrashReport,
    Leaving,
    LoadReport,
    Message,
    PeerConnection,
)
from mustardfront.state import Config


def add_control(
    hub: PeerHub,
    table: UpstreamTable,
    quarantine: Quarantine,
    evidence: CrashEvidence,
) -> None:
    """Handle load reports, leaving notices and crash reports of all peers."""

    async def handle(conn: PeerConnection, message: Message) -> bool:
        if isinstance(message, LoadReport):
            table.apply_report(message)
        elif isinstance(message, Leaving):
            if conn.remote.role == "sidecar":
                table.mark_leaving(message.upstream or conn.remote.upstream)
        elif isinstance(message, CrashReport):
            is_new = quarantine.record_crash(
                message.upstream,
                message.instance,
                message.fingerprints,
                message.unsuspected,
            )
            if record_suspects(evidence, message) or is_new:
                # Forwarded once, for entries that have no link to that sidecar.
                hub.broadcast(message)
        else:
            return False
        return True

    hub.add_handler(handle)


async def follow_config(
    store: ConfigStore, hosts: HostList, table: UpstreamTable, links: SidecarLinks
) -> None:
    """Apply each new configuration, and mark upstreams on hosts that start to leave."""
    version = 0
    leaving: frozenset[str] = frozenset()
    while True:
        with trio.move_on_after(HOSTS_APPLY_INTERVAL_S):
            cfg = await store.wait_for_newer(version)
            version = cfg.version
            table.update_config(cfg)
            links.close_stale(_addresses(cfg))
        now_leaving = frozenset(
            host.name for host in hosts.current if host.state == "leaving"
        )
        for name, upstream in store.current.upstreams.items():
            if upstream.host in now_leaving - leaving:
                table.mark_leaving(name)
        leaving = now_leaving


def _addresses(cfg: Config) -> Mapping[str, str]:
    return {name: upstream.address for name, upstream in cfg.upstreams.items()}
