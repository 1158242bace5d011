"""The configuration this process has in force."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import trio

from mustardfront import events
from mustardfront.state import Config


class ConfigStore:
    """Holds the newest configuration seen; its version never goes back."""

    def __init__(self) -> None:
        self._cfg = Config()
        self._changed = trio.Event()

    @property
    def current(self) -> Config:
        """Return the configuration in force; version 0 means none yet."""
        return self._cfg

    def offer(self, cfg: Config, source: str) -> bool:
        """Put ``cfg`` in force if it is newer, and say whether it was."""
        if cfg.version <= self._cfg.version:
            if cfg.version < self._cfg.version:
                events.log(
                    events.Event.CONFIG_STALE_IGNORED,
                    version=cfg.version,
                    in_force=self._cfg.version,
                    source=source,
                )
            return False
        self._cfg = cfg
        events.log(events.Event.CONFIG_IN_FORCE, version=cfg.version, source=source)
        changed, self._changed = self._changed, trio.Event()
        changed.set()
        return True

    async def wait_newer(self, version: int) -> Config:
        """Return the configuration in force once it is newer than ``version``."""
        while self._cfg.version <= version:
            await self._changed.wait()
        return self._cfg

    async def follow(self, apply: Callable[[Config], Awaitable[None]]) -> None:
        """Call ``apply`` with each newer configuration, until cancelled."""
        version = 0
        while True:
            cfg = await self.wait_newer(version)
            version = cfg.version
            await apply(cfg)
