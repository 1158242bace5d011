"""Places that an operator has evacuated: their upstreams get no new requests.

The operator writes a key for each evacuated place and removes it to take the place
back. Requests that run there end in peace, and the ranks there go on with the steps of
their groups.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from mustardfront import events


@dataclass(frozen=True, slots=True)
class PlaceEvacuation:
    """A place is evacuated, or taken back."""

    place: str
    is_ended: bool = False


class Evacuations:
    """The evacuated places that this entry knows."""

    def __init__(self) -> None:
        self.places: frozenset[str] = frozenset()
        # Those that a restored store does not list; an operator writes them again.
        self._lapsed: frozenset[str] = frozenset()

    def replace(self, places: Iterable[str], *, keep_missing: bool) -> frozenset[str]:
        """Apply a complete list; return the places that were taken back.

        With ``keep_missing``, a missing place stays evacuated until ``drop_lapsed``.
        """
        listed = frozenset(places)
        missing = self.places - listed
        self._lapsed = missing if keep_missing else frozenset()
        self._set(listed | self._lapsed, "snapshot")
        return missing - self._lapsed

    def apply(self, change: PlaceEvacuation) -> frozenset[str]:
        """Apply one change; return the place if it was taken back."""
        self._lapsed -= {change.place}
        was_evacuated = change.place in self.places
        if change.is_ended:
            self._set(self.places - {change.place}, "watch")
            return frozenset({change.place} if was_evacuated else ())
        self._set(self.places | {change.place}, "watch")
        return frozenset()

    def drop_lapsed(self) -> frozenset[str]:
        """Take back the places that were not listed again; return them."""
        lapsed, self._lapsed = self._lapsed, frozenset()
        self._set(self.places - lapsed, "store-return")
        return lapsed

    def _set(self, places: frozenset[str], source: str) -> None:
        for place in sorted(places - self.places):
            events.log(events.Event.PLACE_EVACUATED, place=place, source=source)
        for place in sorted(self.places - places):
            events.log(events.Event.PLACE_TAKEN_BACK, place=place, source=source)
        self.places = places
