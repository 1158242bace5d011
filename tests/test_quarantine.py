"""Crash counts: each crash once, the second one holds, innocents go free."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from mustardfront.coordination.quarantine import Quarantine, Suspicion, blamed
from mustardfront.coordination.quarantine import _quarantine as private

CRASHES = st.tuples(st.sampled_from(["u1", "u2"]), st.sampled_from(["i1", "i2"]))


class Clock:
    def __init__(self) -> None:
        self.now = 0.0

    def __call__(self) -> float:
        return self.now


@settings(derandomize=True)
@given(st.lists(st.tuples(CRASHES, st.sets(st.sampled_from([b"a", b"b", b"c"])))))
def test_reports_of_one_crash_count_once(reports):
    # Guards against a report that arrives over two connections counting twice.
    quarantine = Quarantine(Clock())
    expected: dict[bytes, set] = {}
    for crash, ran in reports:
        news = any(crash not in expected.get(one, ()) for one in ran)
        assert quarantine.crashed(*crash, ran) == news
        for one in ran:
            expected.setdefault(one, set()).add(crash)
    for one, crashes in expected.items():
        assert quarantine.crashes_of(one) == len(crashes)
        assert quarantine.is_held(one) == (len(crashes) >= 2)


def test_cleared_request_is_not_counted_again_by_a_late_report():
    quarantine = Quarantine(Clock())
    quarantine.crashed("u1", "i1", [b"a"])
    quarantine.cleared(b"a")
    assert not quarantine.crashed("u1", "i1", [b"a"])
    assert quarantine.crashes_of(b"a") == 0
    assert quarantine.crashed("u2", "i2", [b"a"])


def test_held_request_stays_held_for_its_time_only():
    clock = Clock()
    quarantine = Quarantine(clock)
    quarantine.crashed("u1", "i1", [b"a"])
    quarantine.crashed("u2", "i2", [b"a"])
    quarantine.cleared(b"a")
    clock.now = private.CRASH_TTL_S - 1
    assert quarantine.is_held(b"a")
    assert quarantine.known() == {("u1", "i1"): (b"a",), ("u2", "i2"): (b"a",)}
    clock.now = private.CRASH_TTL_S
    assert not quarantine.is_held(b"a") and not quarantine.known()


def test_memory_is_bounded_by_forgetting_the_oldest():
    quarantine = Quarantine(Clock())
    count = private.FINGERPRINTS_MAX + 10
    quarantine.crashed("u", "i", [number.to_bytes(4, "big") for number in range(count)])
    assert not quarantine.crashes_of((9).to_bytes(4, "big"))
    assert quarantine.crashes_of((10).to_bytes(4, "big")) == 1


@pytest.mark.parametrize(
    ("ran", "crashed_before", "expected"),
    [
        # A first crash makes suspects of all.
        ({b"a": False, b"b": False}, b"", (b"a", b"b")),
        # The isolated suspect is the one; a new request beside it becomes a suspect.
        ({b"a": True, b"d": False}, b"a", (b"a", b"d")),
        # A common request that ran at both crashes, beside the isolated suspect.
        ({b"a": True, b"common": False}, b"a common", (b"a",)),
        # The same crashing request sent twice at once, before the first report.
        ({b"a": False, b"d": False}, b"a", (b"a", b"d")),
        # Two such requests: neither can be told to be the one.
        ({b"a": False, b"common": False, b"d": False}, b"a common", (b"d",)),
        ({b"": False}, b"", ()),
    ],
)
def test_second_crash_counts_against_one_request(ran, crashed_before, expected):
    suspicions = [Suspicion(one, isolated) for one, isolated in ran.items()]
    known = crashed_before.split()
    assert blamed(suspicions, lambda one: int(one in known)) == expected
