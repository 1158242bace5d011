"""The configuration in force in this process."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import trio

from mustardfront import events
from mustardfront.state import Config


class ConfigStore:
    """Hold the newest configuration received; its version never decreases."""

    def __init__(self) -> None:
        self._cfg = Config()
        self._changed = trio.Event()

    @property
    def current(self) -> Config:
        """Return the configuration in force; version 0 means that there is none yet."""
        return self._cfg

    def update_if_newer(self, cfg: Config, source: str) -> bool:
        """Put ``cfg`` in force if it is newer, and return whether it was."""
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

    async def wait_for_newer(self, version: int) -> Config:
        """Wait for a configuration newer than ``version`` and return it."""
        while self._cfg.version <= version:
            await self._changed.wait()
        return self._cfg

    async def follow(self, apply: Callable[[Config], Awaitable[None]]) -> None:
        """Call ``apply`` with the newest configuration after each change.

        Runs until cancelled; versions replaced during a call are skipped.
        """
        version = 0
        while True:
            cfg = await self.wait_for_newer(version)
            version = cfg.version
            await apply(cfg)
