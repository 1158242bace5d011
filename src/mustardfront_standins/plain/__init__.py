"""Stand-in for a plain HTTP service with non-idempotent calls."""

from mustardfront_standins.plain._main import main

__all__ = ["main"]
