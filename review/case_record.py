"""The record of a case, and its exit code."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable
from pathlib import Path

from case_processes import CannotRunError

HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
RUN_MAX_S = 110.0


class Record:
    """Writes ``record.txt`` in the folder of the case."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w")
        self._began_s = time.monotonic()

    def write(self, text: str) -> None:
        """Write a line with the seconds since the start."""
        elapsed_s = time.monotonic() - self._began_s
        print(f"{elapsed_s:8.3f} {text}", file=self._file, flush=True)


def has_trouble() -> bool:
    """Return whether the disruption is wanted."""
    return os.environ.get("TROUBLE", "1") != "0"


def run_case(folder: Path, play: Callable[[Record, Path], Awaitable[str]]) -> None:
    """Play a case and exit; ``play`` returns how the rule was broken, "" if it held."""
    # The processes that were started are ended on the way out.
    signal.signal(signal.SIGTERM, lambda number, frame: sys.exit(COULD_NOT_RUN))
    record = Record(folder)
    record.write(f"disruption: {'yes' if has_trouble() else 'no'}")

    async def play_in_time() -> str:
        with tempfile.TemporaryDirectory() as scratch:
            async with asyncio.timeout(RUN_MAX_S):
                return await play(record, Path(scratch))

    try:
        broken = asyncio.run(play_in_time())
    except (CannotRunError, TimeoutError) as exc:
        record.write(f"the case could not run: {exc}")
        sys.exit(COULD_NOT_RUN)
    except Exception as exc:
        record.write(f"the case failed itself: {exc!r}")
        sys.exit(COULD_NOT_RUN)
    record.write(f"BROKEN: {broken}" if broken else "the rule held")
    sys.exit(BROKEN if broken else HELD)
