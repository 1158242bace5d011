"""Keys that a process wrote to the store under a lease."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class LeasedKey:
    """A key as this process wrote it, at ``revision`` and under the lease ``lease``.

    Both numbers hold for one ``era`` of the store. A store that comes back from an
    older copy of its data begins a new era, in which it gives them out again.
    """

    key: str
    revision: int
    lease: int
    era: int = 0
