"""Whether an upstream that closed a connection early has crashed."""

from __future__ import annotations

import errno
from typing import Final

import trio

LISTEN_CHECK_TIMEOUT_S: Final = 0.2


async def is_listening(address: tuple[str, int]) -> bool | None:
    """Return whether a process listens at (IP, port); None if that stays unknown.

    A host refuses the connection at once if no process listens there, so this
    distinguishes a crashed upstream from a connection that broke.
    """
    with trio.move_on_after(LISTEN_CHECK_TIMEOUT_S), trio.socket.socket() as sock:
        try:
            await sock.connect(address)
        except OSError as exc:
            return False if exc.errno == errno.ECONNREFUSED else None
        return True
    return None
