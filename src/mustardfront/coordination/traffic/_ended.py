"""Memory of upstream processes that have ended or are about to.

The store may announce them for longer, or again after it came back from an older copy
of its data.
"""

from __future__ import annotations

from typing import Final

from mustardfront.state import UpstreamInstance

# Bounds each kind of record; the oldest are forgotten.
RECORDS_MAX: Final = 4_096


class EndedUpstreams:
    """Processes that were replaced, that the store removed, or that leave."""

    def __init__(self) -> None:
        # The born_ms of processes that another one answered for, by instance.
        self._replaced: dict[str, int] = {}
        # The last announcements of those that the store no longer listed.
        self._removed: dict[str, UpstreamInstance] = {}
        # Names of processes that said that they are about to end.
        self._leaving: dict[str, None] = {}

    def record_replaced(self, announced: UpstreamInstance) -> None:
        """Record that another process answered at the announced address."""
        self._replaced[announced.instance] = announced.born_ms
        _trim(self._replaced)

    def is_replaced(self, announced: UpstreamInstance) -> bool:
        """Return whether this process is known to be replaced."""
        return self._replaced.get(announced.instance) == announced.born_ms

    def record_removed(self, announced: UpstreamInstance) -> None:
        """Record that the store no longer lists a process."""
        self._removed.pop(announced.instance, None)
        self._removed[announced.instance] = announced
        _trim(self._removed)

    def was_removed(self, announced: UpstreamInstance) -> bool:
        """Return whether the store removed this announcement or a later one before."""
        removed = self._removed.get(announced.instance)
        return (
            removed is not None
            and removed.born_ms == announced.born_ms
            and removed.sequence >= announced.sequence
        )

    def forget_removed(self, instance: str) -> None:
        """Forget a removal, because the store lists the instance again."""
        self._removed.pop(instance, None)

    def record_leaving(self, incarnation: str) -> bool:
        """Record that a process is about to end; return whether that is news."""
        if incarnation in self._leaving:
            return False
        self._leaving[incarnation] = None
        _trim(self._leaving)
        return True

    def is_leaving(self, incarnation: str) -> bool:
        """Return whether a process said that it is about to end."""
        return incarnation in self._leaving


def _trim(
    records: dict[str, int] | dict[str, UpstreamInstance] | dict[str, None],
) -> None:
    while len(records) > RECORDS_MAX:
        del records[next(iter(records))]
