"""The record of a case: what was sent, answered and run, one JSON object a line."""

from __future__ import annotations

import json
import time
from pathlib import Path
from typing import Any


class Record:
    """Writes lines with the seconds since the case began."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w")
        self._began = time.monotonic()
        self._lines: list[dict[str, Any]] = []

    def now(self) -> float:
        """Return the seconds since the case began."""
        return time.monotonic() - self._began

    def write(self, what: str, **fields: Any) -> float:
        """Write one line, and return its time."""
        at = self.now()
        line = {"at": round(at, 4), "what": what} | fields
        self._lines.append(line)
        self._file.write(json.dumps(line) + "\n")
        self._file.flush()
        return at

    def lines(self, what: str) -> list[dict[str, Any]]:
        """Return the lines of one kind."""
        return [line for line in self._lines if line["what"] == what]

    def close(self) -> None:
        """Close the file."""
        self._file.close()
