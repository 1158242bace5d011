"""Notices to the entries while the rank beside an agent is slow.

All ranks of a group wait for the slowest one, so a slow rank should get no requests of
its own. Entries cannot see which rank of a group is slow; its agent can.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Final, Protocol

import trio

from mustardfront.codes import Code
from mustardfront.results import Err, Result
from mustardfront.state import LeasedKey

CHECK_INTERVAL_S: Final = 0.25
# Hysteresis keeps a rank near the limit from writing to the store again and again.
SLOW_MIN: Final = 1.6
RECOVERED_MAX: Final = 1.3
# A notice lapses by itself when its agent ends.
NOTICE_LEASE_S: Final = 6.0
RENEW_S: Final = 2.0


class SlownessNotices(Protocol):
    """Writes notices to the store; calls fail with STORE_UNAVAILABLE or LEASE_LOST."""

    async def announce_slow(
        self, address: tuple[str, int], slowness: float, ttl_s: float
    ) -> Result[LeasedKey]:
        """Tell the entries that an upstream is slow."""

    async def renew_lease(self, written: LeasedKey) -> Result[None]:
        """Renew a notice's lease."""

    async def remove(self, written: LeasedKey) -> Result[None]:
        """Remove a notice."""


async def keep_slowness_announced(
    notices: SlownessNotices,
    address: tuple[str, int],
    read_slowness: Callable[[], float],
) -> None:
    """Keep a notice in the store while the rank is slow, until cancelled."""
    notice: LeasedKey | None = None
    renew_at = 0.0
    while True:
        await trio.sleep(CHECK_INTERVAL_S)
        slowness, now = read_slowness(), trio.current_time()
        if notice is None and slowness >= SLOW_MIN:
            made = await notices.announce_slow(address, slowness, NOTICE_LEASE_S)
            if isinstance(made, Err):
                await trio.sleep(RENEW_S)
                continue
            notice, renew_at = made.value, now + RENEW_S
        elif notice is not None and slowness <= RECOVERED_MAX:
            removed = await notices.remove(notice)
            if not isinstance(removed, Err) or removed.code is Code.LEASE_LOST:
                notice = None
        elif notice is not None and now >= renew_at:
            kept = await notices.renew_lease(notice)
            renew_at = now + RENEW_S
            if isinstance(kept, Err) and kept.code is Code.LEASE_LOST:
                notice = None
