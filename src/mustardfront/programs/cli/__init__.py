"""The operators' command line."""

from mustardfront.programs.cli._main import main

__all__ = ["main"]
