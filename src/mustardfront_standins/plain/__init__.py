"""Stand-in of a plain HTTP service whose calls must not be repeated."""

from mustardfront_standins.plain._main import main

__all__ = ["main"]
