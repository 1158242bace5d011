"""Quarantine: crash counts of requests, and the choice of the suspects."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from mustardfront.coordination.quarantine import (
    CrashSuspect,
    Quarantine,
    blamed_fingerprints,
)
from mustardfront.coordination.quarantine import _quarantine as quarantine_module

CRASHES = st.tuples(st.sampled_from(["u1", "u2"]), st.sampled_from(["i1", "i2"]))


class Clock:
    def __init__(self) -> None:
        self.now = 0.0

    def __call__(self) -> float:
        return self.now


@settings(derandomize=True)
@given(st.lists(st.tuples(CRASHES, st.sets(st.sampled_from([b"a", b"b", b"c"])))))
def test_reports_of_one_crash_count_once(reports):
    # Guards against counting a crash twice that is reported over two connections.
    quarantine = Quarantine(Clock())
    expected: dict[bytes, set] = {}
    for crash, ran in reports:
        is_new = any(crash not in expected.get(fingerprint, ()) for fingerprint in ran)
        assert quarantine.record_crash(*crash, ran) == is_new
        for fingerprint in ran:
            expected.setdefault(fingerprint, set()).add(crash)
    for fingerprint, crashes in expected.items():
        assert quarantine.crashes_of(fingerprint) == len(crashes)
        assert quarantine.is_held(fingerprint) == (len(crashes) >= 2)


def test_cleared_request_is_not_counted_again_by_a_late_report():
    # Guards against a late report that makes a cleared request a suspect again.
    quarantine = Quarantine(Clock())
    quarantine.record_crash("u1", "i1", [b"a"])
    quarantine.clear_crashes(b"a")
    assert not quarantine.record_crash("u1", "i1", [b"a"])
    assert quarantine.crashes_of(b"a") == 0
    assert quarantine.record_crash("u2", "i2", [b"a"])


def test_held_request_stays_held_until_its_crashes_expire():
    # Guards against a hold that a completed run ends, or that never expires.
    clock = Clock()
    quarantine = Quarantine(clock)
    quarantine.record_crash("u1", "i1", [b"a"])
    quarantine.record_crash("u2", "i2", [b"a"])
    quarantine.clear_crashes(b"a")
    clock.now = quarantine_module.CRASH_TTL_S - 1
    assert quarantine.is_held(b"a")
    assert quarantine.unexpired_crashes() == {
        ("u1", "i1"): (b"a",),
        ("u2", "i2"): (b"a",),
    }
    clock.now = quarantine_module.CRASH_TTL_S
    assert not quarantine.is_held(b"a") and not quarantine.unexpired_crashes()


def test_crashes_of_one_moment_hold_no_request_and_its_run_clears_them():
    """Guards against ten minutes of refusals after a rack failed."""
    quarantine = Quarantine(Clock())
    for upstream in ("u1", "u2", "u3"):
        quarantine.record_crash(upstream, "i1", [b"a"], [b"a"])
    assert quarantine.crashes_of(b"a") == 3
    assert not quarantine.is_held(b"a")
    # A process that starts gets them as they were.
    started = Quarantine(Clock())
    for crash, ran in quarantine.unexpired_crashes().items():
        started.record_crash(*crash, ran, quarantine.unsuspected_at(crash, ran))
    assert not started.is_held(b"a")
    started.clear_crashes(b"a")
    assert started.crashes_of(b"a") == 0
    # It ran as a suspect, and crashed another upstream.
    quarantine.record_crash("u4", "i1", [b"a"])
    assert quarantine.is_held(b"a")


def test_oldest_fingerprints_are_evicted():
    # Guards against unbounded memory for fingerprints.
    quarantine = Quarantine(Clock())
    count = quarantine_module.FINGERPRINTS_MAX + 10
    quarantine.record_crash(
        "u", "i", [number.to_bytes(4, "big") for number in range(count)]
    )
    assert not quarantine.crashes_of((9).to_bytes(4, "big"))
    assert quarantine.crashes_of((10).to_bytes(4, "big")) == 1


@pytest.mark.parametrize(
    ("ran", "crashed_before", "expected"),
    [
        # A first crash makes all requests suspects.
        ({b"a": False, b"b": False}, b"", (b"a", b"b")),
        # The isolated suspect is held; a new request beside it becomes a suspect.
        ({b"a": True, b"d": False}, b"a", (b"a", b"d")),
        # A common request ran at both crashes, beside the isolated suspect.
        ({b"a": True, b"common": False}, b"a common", (b"a",)),
        # A crashing request was sent twice at the same time, before the first report.
        ({b"a": False, b"d": False}, b"a", (b"a", b"d")),
        # Two suspects ran, none isolated: neither can be identified as the cause.
        ({b"a": False, b"common": False, b"d": False}, b"a common", (b"d",)),
        ({b"": False}, b"", ()),
    ],
)
def test_second_crash_counts_against_one_request(ran, crashed_before, expected):
    # Guards against the quarantine of requests that did not cause the crashes.
    suspicions = [
        CrashSuspect(fingerprint, isolated) for fingerprint, isolated in ran.items()
    ]
    suspects = crashed_before.split()
    assert (
        blamed_fingerprints(
            suspicions, lambda fingerprint: int(fingerprint in suspects)
        )
        == expected
    )
