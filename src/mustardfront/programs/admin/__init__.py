"""The stateless administration API."""

from mustardfront.programs.admin._main import main

__all__ = ["main"]
