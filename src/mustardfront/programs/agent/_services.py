"""The platform services that an agent uses."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from mustardfront.coordination.rankmaps import RankClient
from mustardfront.coordination.traffic import Snapshot
from mustardfront.programs.agent._slow import SlownessNotices
from mustardfront.results import Result


class SnapshotReader(Protocol):
    """Reads the configuration and the upstreams; the snapshot may be seconds old."""

    async def stale_snapshot(self) -> Result[Snapshot]:
        """Read the latest known configuration and all upstreams."""


@dataclass(frozen=True, slots=True)
class AgentServices:
    """The platform services that an agent uses."""

    own_client: RankClient
    client_of: Callable[[tuple[str, int]], RankClient]
    snapshots: SnapshotReader
    notices: SlownessNotices
