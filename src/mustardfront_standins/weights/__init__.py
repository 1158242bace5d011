"""Stand-in for the platform's weight store."""

from mustardfront_standins.weights._main import main

__all__ = ["main"]
