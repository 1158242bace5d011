"""Run a program that speaks only the previous protocol version.

``python -m mustardfront_standins.previous PROGRAM [ARGS]`` represents the release that
a fleet is upgraded from.
"""

from __future__ import annotations

import importlib
import sys
from typing import Final

from mustardfront import constants

LAUNCHER: Final = ("mustardfront_standins.previous",)


def _main() -> None:
    program, *args = sys.argv[1:]
    # Must precede the first import of the protocol, which copies the value.
    constants.PROTOCOL_VERSION = constants.PROTOCOL_VERSION_MIN  # type: ignore[misc]
    sys.argv = [program, *args]
    importlib.import_module(program).main()


if __name__ == "__main__":
    _main()
