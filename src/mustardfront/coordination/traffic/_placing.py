"""Choice of the upstream for a request, among entries that know only their own load.

It is for fleets of many entries with few requests each, before many upstreams with few
slots. Entries that only compare their own requests in flight choose nearly at random,
so some upstreams get more requests than they have slots while others idle. Here each
upstream is assigned to one entry, which knows its load as long as other entries rarely
send to it. An entry sends to other entries' upstreams once its own have more requests
than the others are expected to have.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Sequence
from typing import Final

from mustardfront.coordination.traffic._admission import PlaceTurns, place_limit
from mustardfront.coordination.traffic._peer_loads import PeerLoads
from mustardfront.coordination.traffic._upstream import Upstream
from mustardfront.coordination.traffic._upstreams import TrafficState

# The load expected from other entries is at most this share of an upstream's slots. An
# entry that gets more than its share of the callers would overestimate it, and would
# overload its own upstreams.
FOREIGN_LOAD_MAX_RATIO: Final = 0.5
# Beyond this number of upstreams a request compares the entry's own ones with a random
# sample of the others: comparing all of 2,800 takes 10 ms of processor time.
COMPARED_MAX: Final = 256
SAMPLE_SIZE: Final = 64
# Few reports say little about the entries that do not report.
UNREPORTED_SCALE_MAX: Final = 2.0
# Requests of other entries at one of their upstreams that reports do not name yet. With
# fewer, entries meet at the upstreams that all see idle; with more, some stay idle.
UNREPORTED_REQUESTS: Final = 2.0


def compared_upstreams(
    known: Sequence[Upstream],
    own: frozenset[str],
    sample: Callable[[Sequence[Upstream], int], Iterable[Upstream]],
    get: Callable[[str], Upstream | None],
) -> Sequence[Upstream]:
    """Return the upstreams that a request compares, of all that accept requests.

    These are all of them, or of very many the entry's ``own`` ones, which
    ``get(instance)`` finds, and a ``sample(known, size)``.
    """
    if len(known) <= COMPARED_MAX:
        return known
    found = {one.instance: one for one in sample(known, SAMPLE_SIZE)}
    for instance in own:
        upstream = get(instance)
        if upstream is not None:
            found[instance] = upstream
    return tuple(found.values())


def selectable_upstreams(
    upstreams: Iterable[Upstream],
    excluded: frozenset[str],
    state: TrafficState,
) -> list[Upstream]:
    """Return the candidates that are not in ``excluded``, healthy ones if any.

    Blocked upstreams are returned only when no other is left. Upstreams paused after
    a refusal are never returned, nor those that want no requests for now, nor those
    whose limit leaves this entry none.
    """
    left = [
        one
        for one in upstreams
        if one.instance not in excluded
        and not state.is_refusing(one)
        and not state.wait_s(one)
    ]
    sound = [one for one in left if not state.is_blocked(one)]
    return sound or left


def expected_foreign_load(known: Sequence[Upstream], entry_count: int) -> float:
    """Return how many requests of other entries an upstream has, by this one's share.

    It is estimated from this entry's requests in flight, as if all entries had as many.
    """
    if not known:
        return 0.0
    return sum(one.in_flight for one in known) * max(1, entry_count) / len(known)


def known_loads(
    peers: PeerLoads, entry_count: int, own: frozenset[str]
) -> Callable[[Upstream], float] | None:
    """Return the load of an upstream by all entries; None if no other one reports.

    Entries that do not report count as loaded as those that do. Reports are a little
    old, and others choose at the same moment, so an upstream that is assigned to
    another entry counts as loaded with what reports do not name yet.
    """
    reporting = peers.reporting_count
    if not reporting:
        return None
    scale = min(UNREPORTED_SCALE_MAX, max(1.0, (entry_count - 1) / reporting))

    def load(upstream: Upstream) -> float:
        unnamed = 0.0 if upstream.instance in own else UNREPORTED_REQUESTS
        reported = scale * peers.in_flight(upstream.key)
        return upstream.in_flight + reported + unnamed

    return load


def with_room(
    candidates: Iterable[Upstream],
    peers: PeerLoads,
    own: frozenset[str],
    turns: PlaceTurns,
    released: int | None,
    *,
    ratio: float = 1.0,
    is_least_urgent: bool,
) -> list[Upstream]:
    """Return the candidates that have a place that this entry may take.

    ``ratio`` is the part of the slots that is used. ``own`` are the instances assigned
    to this entry, ``released`` is the key of an upstream that one of its requests has
    just left. Of the other upstreams it takes places in its turns.
    """
    return [
        one
        for one in candidates
        if one.in_flight + peers.in_flight(one.key)
        < place_limit(
            one.announced.slots, one.key, ratio, is_least_urgent=is_least_urgent
        )
        and (one.instance in own or one.key == released or turns.may_take(one.key))
    ]


def choose_upstream(
    candidates: Iterable[Upstream],
    own: frozenset[str],
    foreign_load: float,
    place: str,
    tie: Callable[[], float],
    slow_ratio: Callable[[Upstream], float] = lambda upstream: 1.0,
    known_load: Callable[[Upstream], float] | None = None,
) -> Upstream | None:
    """Return the candidate with the least expected load per slot.

    ``own`` are the instances assigned to this entry; ``foreign_load`` is expected from
    other entries at the others, unless ``known_load`` tells the load of all entries.
    ``slow_ratio`` is how much slower an upstream or its group is than others; it counts
    as loaded in proportion. Ties go to own upstreams, then to the entry's own place,
    then to the lowest ``tie()``.
    """

    def cost(upstream: Upstream) -> tuple[float, bool, bool, float]:
        slots = max(1, upstream.announced.slots)
        is_foreign = upstream.instance not in own
        if known_load is not None:
            load = known_load(upstream) + 1.0
        else:
            load = upstream.in_flight + 1.0
            if is_foreign:
                load += min(foreign_load, FOREIGN_LOAD_MAX_RATIO * slots)
        load *= slow_ratio(upstream)
        return (load / slots, is_foreign, upstream.announced.place != place, tie())

    return min(candidates, key=cost, default=None)
