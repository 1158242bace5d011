"""Command line for operators."""

from mustardfront.programs.cli._main import main

__all__ = ["main"]
