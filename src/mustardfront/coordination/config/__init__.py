"""Configuration: tickets, the version in force and its spread between peers."""

from mustardfront.coordination.config._store import ConfigStore

__all__ = ["ConfigStore"]
