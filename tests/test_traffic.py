"""Routes, upstreams, silence timeouts and events of a gateway, without a network."""

from __future__ import annotations

from dataclasses import replace

import pytest
from hypothesis import given
from hypothesis import strategies as st

from gateway_fakes import config, instance, route
from mustardfront.coordination.traffic import (
    EntryChange,
    RouteTable,
    Snapshot,
    TrafficState,
    Upstream,
    UpstreamGone,
    choose_upstream,
    selectable_upstreams,
    silence_timeout_s,
)
from mustardfront.programs.gateway._sse import EventSplitter
from mustardfront.results import Ok
from mustardfront.state import RequestKind, TrafficConfig, UpstreamState

SEGMENT = st.sampled_from(["a", "b", "c%2F", "..", ""])
PATH = st.lists(SEGMENT, max_size=5).map(lambda parts: "/" + "/".join(parts))


class Clock:
    def __init__(self) -> None:
        self.now = 100.0

    def __call__(self) -> float:
        return self.now


def state_with(*names: str) -> tuple[TrafficState, Clock]:
    clock = Clock()
    state = TrafficState(clock)
    known = {
        name: instance(name, ("127.0.0.1", 7000 + number), "svc")
        for number, name in enumerate(names)
    }
    state.replace(Snapshot(1, config(), known), keep_missing=False)
    return state, clock


@given(prefixes=st.sets(PATH.map(lambda path: path.rstrip("/") + "/")), path=PATH)
def test_the_longest_prefix_wins(prefixes, path):
    routes = tuple(route(prefix, RequestKind.IDEMPOTENT) for prefix in prefixes)
    table = RouteTable(TrafficConfig(1, routes, {}))
    found = table.match("SHOP.example:8080", path)
    matching = [prefix for prefix in prefixes if path.startswith(prefix)]
    if matching:
        assert isinstance(found, Ok)
        assert found.value.prefix == max(matching, key=len)
    else:
        assert not isinstance(found, Ok)


@given(
    sizes=st.lists(st.integers(0, 30), min_size=1, max_size=6),
    cuts=st.lists(st.integers(1, 12), max_size=40),
    newline=st.sampled_from([b"\n", b"\r\n"]),
)
def test_events_do_not_depend_on_how_bytes_arrive(sizes, cuts, newline):
    """Guards against a truncated event that is returned as complete."""
    wanted = [
        b"id: %d" % number + newline + b"data: " + b"x" * size + newline * 2
        for number, size in enumerate(sizes, 1)
    ]
    data = b"".join(wanted) + b"id: 99" + newline + b"data: torn"
    splitter = EventSplitter()
    found = []
    for cut in [*cuts, len(data)]:
        part, data = data[:cut], data[cut:]
        found += splitter.feed(part)
    assert [event.data for event in found] == wanted
    assert [event.event_id for event in found] == [
        b"%d" % number for number in range(1, len(sizes) + 1)
    ]
    assert splitter.incomplete.endswith(b"torn")


def test_ended_incarnation_is_ignored_while_still_announced():
    state, _ = state_with("u1", "u2")
    ended = state.get("u1")
    assert ended is not None
    state.remove_incarnation(ended)
    state.apply(ended.announced, keep_missing=False)
    assert [one.instance for one in state.upstreams_of("svc")] == ["u2"]
    state.apply(replace(ended.announced, born_ms=5), keep_missing=False)
    assert len(state.upstreams_of("svc")) == 2


def test_new_incarnation_replaces_the_one_at_its_address():
    state, _ = state_with("u1")
    old = state.get("u1")
    assert old is not None
    state.apply(replace(old.announced, instance="u9", born_ms=9), keep_missing=False)
    assert [one.instance for one in state.upstreams_of("svc")] == ["u9"]


def test_lapsed_upstreams_stay_until_dropped():
    state, _ = state_with("u1", "u2")
    state.apply(UpstreamGone("u1"), keep_missing=True)
    assert len(state.upstreams_of("svc")) == 2
    state.drop_lapsed()
    assert [one.instance for one in state.upstreams_of("svc")] == ["u2"]


def test_failed_upstream_backs_off_and_is_used_when_alone():
    state, clock = state_with("u1", "u2")
    upstream = state.get("u1")
    assert upstream is not None
    pauses = []
    for _ in range(5):
        state.record_failure(upstream, "reset")
        pauses.append(round(upstream.blocked_until - clock.now, 3))
        clock.now = upstream.blocked_until
    assert pauses == [0.4, 0.8, 1.6, 3.2, 4.0]
    state.record_failure(upstream, "reset")
    both = state.upstreams_of("svc")
    assert [one.instance for one in selectable_upstreams(both, frozenset(), state)] == [
        "u2"
    ]
    alone = selectable_upstreams(both, frozenset({"u2"}), state)
    assert [one.instance for one in alone] == ["u1"]


def test_least_loaded_per_slot_then_own_place_is_chosen():
    state, _ = state_with("u1", "u2")
    first, second = state.upstreams_of("svc")
    none: frozenset[str] = frozenset()
    first.in_flight = 1
    assert choose_upstream((first, second), none, 0.0, "a", lambda: 0.0) is second
    second.in_flight = 1
    far = replace(second.announced, place="b")
    second.announced = far
    assert choose_upstream((first, second), none, 0.0, "a", lambda: 0.0) is first
    assert choose_upstream((), none, 0.0, "a", lambda: 0.0) is None


def test_draining_upstreams_get_no_requests():
    state, _ = state_with("u1")
    known = state.get("u1")
    assert known is not None
    leaving = replace(known.announced, state=UpstreamState.DRAINING)
    state.apply(leaving, keep_missing=False)
    assert state.upstreams_of("svc") == ()


def test_entries_are_added_and_removed():
    state, _ = state_with()
    for name in ("e1", "e2", "e2"):
        state.apply(EntryChange(name), keep_missing=False)
    assert len(state.entries) == 2
    state.apply(EntryChange("e1", is_gone=True), keep_missing=False)
    assert state.entries == {"e2"}


@pytest.mark.parametrize(
    ("objective_ms", "usual_s", "wanted_s"),
    [(400, 0.2, 1.0), (400, 0.25, 1.25), (400, 2.0, 1.5), (100, 0.01, 0.25)],
)
def test_stream_silence_timeout(objective_ms, usual_s, wanted_s):
    """Guards against abandoning an upstream that is no slower than usual."""
    stream = route("/s/", RequestKind.STREAM, objective_ms=objective_ms)
    assert silence_timeout_s(stream, usual_s) == pytest.approx(wanted_s)


def test_upstream_that_fails_for_hours_is_still_excluded():
    """Guards against an exception, and a 502, for each request sent there."""
    now = [0.0]
    state = TrafficState(lambda: now[0])
    upstream = Upstream(instance("u1", ("10.0.0.1", 80), "svc"))
    for _ in range(3_000):
        state.record_failure(upstream, "connect failed")
        assert state.is_blocked(upstream)
        now[0] = upstream.blocked_until
