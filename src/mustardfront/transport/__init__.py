"""Transport between processes: length-prefixed frames over TCP."""

from mustardfront.transport._frames import FrameStream

__all__ = ["FrameStream"]
