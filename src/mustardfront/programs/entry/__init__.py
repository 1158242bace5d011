"""The callers' HTTP front."""

from mustardfront.programs.entry._main import main

__all__ = ["main"]
