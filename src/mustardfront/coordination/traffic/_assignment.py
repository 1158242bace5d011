"""Assignment of each upstream to one entry, on which all entries agree."""

from __future__ import annotations

from collections.abc import Collection, Iterable

from mustardfront.coordination.traffic._upstream import Upstream


def assign_upstreams(
    upstreams: Iterable[Upstream], entries: Collection[str], own: str
) -> frozenset[str]:
    """Return the instances among ``upstreams`` that are assigned to the entry ``own``.

    Neighbours by place and name are assigned to one entry. All entries that know the
    same upstreams and entries agree on the result.
    """
    names = sorted({*entries, own})
    ordered = sorted((one.announced.place, one.instance) for one in upstreams)
    own_index, count = names.index(own), len(names)
    return frozenset(
        instance
        for index, (_, instance) in enumerate(ordered)
        if index * count // len(ordered) == own_index
    )
