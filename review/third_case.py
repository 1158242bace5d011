"""Runs a case: its files, its exit code, and the end of all that it started."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
import tempfile
import traceback
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

from third_record import Record

HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
CASE_MAX_S = 110.0

# Has the record, a temporary folder and whether there is a disruption; returns whether
# the rule was broken.
Body = Callable[[Record, Path, bool], Awaitable[bool]]


class CannotRunError(Exception):
    """The case did not get to the point at which it checks the rule."""


def run_case(folder: Path, body: Body) -> None:
    """Run a case and exit: 1 if the rule was broken, 0 if it held, else 2."""
    record = Record(folder / "record.txt")
    is_troubled = os.environ.get("TROUBLE", "1") != "0"
    record.write("case", folder=folder.name, is_troubled=is_troubled)

    def ignore_cancelled(loop: asyncio.AbstractEventLoop, context: Any) -> None:
        # Servers report the connections that are open at the end.
        if not isinstance(context.get("exception"), asyncio.CancelledError):
            loop.default_exception_handler(context)

    async def run() -> bool:
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(ignore_cancelled)
        # So that a case that is ended early ends what it has started.
        task = asyncio.current_task()
        assert task is not None
        loop.add_signal_handler(signal.SIGTERM, task.cancel)
        with tempfile.TemporaryDirectory() as name:
            async with asyncio.timeout(CASE_MAX_S):
                return await body(record, Path(name), is_troubled)

    try:
        code = BROKEN if asyncio.run(run()) else HELD
    except (Exception, asyncio.CancelledError):
        record.write("could not run", text=traceback.format_exc())
        traceback.print_exc()
        code = COULD_NOT_RUN
    record.write("end", exit_code=code)
    record.close()
    print(f"case {folder.name}: exit {code}")
    sys.exit(code)
