"""The platform beside an entry: it restarts processes and kills large ones."""

from __future__ import annotations

import asyncio
import signal

from case_processes import Entry
from case_record import Record

LOOK_S = 0.05
RESTART_DELAY_S = 1.0


class Keeper:
    """Restarts an entry that ended, and kills one that exceeds its memory."""

    def __init__(self, entry: Entry, memory_mb: int, record: Record) -> None:
        self.ends = 0
        self.kills = 0
        self.peak_mb = 0.0
        self._entry = entry
        self._memory_mb = memory_mb
        self._record = record

    async def run(self) -> None:
        """Look after the entry until cancelled."""
        while True:
            await asyncio.sleep(LOOK_S)
            used_mb = self._entry.memory_mb
            self.peak_mb = max(self.peak_mb, used_mb)
            if used_mb > self._memory_mb:
                self.kills += 1
                self._record.write(f"the entry uses {used_mb:.0f} MB and is killed")
                self._entry.send(signal.SIGKILL)
                await asyncio.sleep(LOOK_S)
            if self._entry.exit_code is not None:
                self.ends += 1
                self._record.write(f"the entry ended, code {self._entry.exit_code}")
                await asyncio.sleep(RESTART_DELAY_S)
                self._entry.start()
                self._record.write("the entry is started again")
