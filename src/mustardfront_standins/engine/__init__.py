"""Stand-in for an inference engine with an OpenAI-style API."""

from mustardfront_standins.engine._main import main

__all__ = ["main"]
