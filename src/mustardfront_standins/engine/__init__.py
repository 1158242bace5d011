"""Stand-in of an inference engine with an OpenAI-style interface."""

from mustardfront_standins.engine._main import main

__all__ = ["main"]
