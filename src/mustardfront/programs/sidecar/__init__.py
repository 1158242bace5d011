"""Sidecar program: the only process that sends requests to its upstream."""

from mustardfront.programs.sidecar._main import main

__all__ = ["main"]
