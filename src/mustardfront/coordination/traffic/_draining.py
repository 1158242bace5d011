"""Requests of a process that stops: which it still takes, and when it ends them."""

from __future__ import annotations

import math
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Final

import trio

# A request is taken if this multiple of the usual time of its route is left.
FINISH_TIME_FACTOR: Final = 2.0


def may_finish(
    left_s: float, limit_s: float, usual_s: float, *, is_repeatable: bool
) -> bool:
    """Return whether a request should be taken ``left_s`` before the process stops.

    ``limit_s`` is how long its caller waits, ``usual_s`` how long such requests take, 0
    if none was seen. One that is likely to be cut off is better off at another process
    at once; one that may not be repeated must not run here for nothing.
    """
    if limit_s <= left_s:
        return True
    if usual_s:
        return FINISH_TIME_FACTOR * usual_s <= left_s
    return is_repeatable


class StopDeadline:
    """When a stopping process ends its requests itself, so that each gets an answer."""

    def __init__(self) -> None:
        # In trio's time; infinite while the process does not stop.
        self.ends_at = math.inf
        self._scopes: set[trio.CancelScope] = set()

    @property
    def left_s(self) -> float:
        """Return the seconds until requests are ended."""
        return self.ends_at - trio.current_time()

    def begin(self, ends_at: float) -> None:
        """End all present and later requests at ``ends_at`` at the latest."""
        self.ends_at = ends_at
        for scope in self._scopes:
            scope.deadline = min(scope.deadline, ends_at)

    @contextmanager
    def move_on_at(self, deadline: float) -> Iterator[trio.CancelScope]:
        """Cancel the context at a deadline, or when the process ends its requests."""
        with trio.move_on_at(min(deadline, self.ends_at)) as scope:
            self._scopes.add(scope)
            try:
                yield scope
            finally:
                self._scopes.discard(scope)
