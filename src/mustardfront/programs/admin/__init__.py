"""The administration API, a stateless HTTP server."""

from mustardfront.programs.admin._main import main

__all__ = ["main"]
