"""Bytes between processes: frames over TCP."""

from mustardfront.transport._frames import FrameStream

__all__ = ["FrameStream"]
