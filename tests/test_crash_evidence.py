"""Inference of the request content that crashes upstreams."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from mustardfront.coordination.quarantine import (
    CRASH_TTL_S,
    CrashEvidence,
    CrashReport,
    RequestContent,
)
from mustardfront.coordination.quarantine._evidence import (
    CRASHES_MAX,
    PARTS_MAX,
    SEPARATE_CRASH_S,
)


class Clock:
    def __init__(self) -> None:
        self.now = 100.0

    def __call__(self) -> float:
        return self.now


def content(name: str, *parts: str) -> RequestContent:
    return RequestContent(name, parts)


def crash(name: str, *suspects: RequestContent, sound: tuple[str, ...] = ()):
    return CrashReport(name, "entry1", suspects, sound)


def test_part_at_two_crashes_is_held_and_parts_beside_it_are_not():
    """Guards against refusing sound requests that share other parts."""
    evidence = CrashEvidence(Clock())
    evidence.record_success(content("s1", "first"))
    evidence.record_crash(
        crash("c1", content("d1", "first", "bad"), content("s2", "x"))
    )
    assert evidence.held_content(content("d2", "first", "bad")) is None
    evidence.record_crash(
        crash("c2", content("d2", "first", "bad"), content("s3", "y"))
    )
    assert evidence.held_content(content("d3", "other", "bad")) == "bad"
    for sound in (
        content("s4", "first"),
        content("s5", "x"),
        content("s6", "first", "z"),
    ):
        assert evidence.held_content(sound) is None


def test_more_specific_part_is_held_without_any_history():
    """Guards against a restarted entry that refuses all requests of a first part."""
    evidence = CrashEvidence(Clock())
    for number in range(3):
        evidence.record_crash(
            crash(f"c{number}", content(f"d{number}", "first", "bad"))
        )
    assert evidence.held_content(content("d9", "first", "bad")) == "bad"
    assert evidence.held_content(content("s9", "first", "z")) is None


def test_part_in_first_position_is_held_by_its_number_of_crashes():
    evidence = CrashEvidence(Clock())
    for number in range(2):
        evidence.record_crash(
            crash(f"c{number}", content(f"d{number}", "bad", f"doc{number}"))
        )
    assert evidence.held_content(content("d9", "bad", "doc9")) == "bad"


def test_output_clears_the_parts_of_a_request():
    """Guards against holding a part that was at two crashes by chance."""
    evidence = CrashEvidence(Clock())
    evidence.record_crash(crash("c1", content("s1", "p")))
    evidence.record_success(content("s2", "p"))
    evidence.record_crash(crash("c2", content("s3", "p")))
    assert evidence.held_content(content("s4", "p")) is None


def test_other_entries_successes_count_as_a_report_tells_them():
    """Guards against a hold at an entry that rarely sees a common part."""
    evidence = CrashEvidence(Clock())
    for number in range(6):
        report = crash(f"c{number}", content(f"s{number}", "p"), sound=("p",))
        evidence.record_crash(report)
    assert evidence.held_content(content("s9", "p")) is None


@pytest.mark.parametrize(("apart_s", "held"), [(0.0, None), (SEPARATE_CRASH_S, "p")])
def test_known_part_is_not_held_for_crashes_at_one_moment(apart_s, held):
    """Guards against refusing a popular part when a rack of upstreams fails."""
    clock = Clock()
    evidence = CrashEvidence(clock)
    evidence.record_success(content("s0", "p"))
    for number in range(4):
        evidence.record_crash(crash(f"c{number}", content(f"s{number}", "p")))
        clock.now += apart_s
    assert evidence.held_content(content("s9", "p")) == held


def test_crashes_of_one_request_hold_it_alone():
    """Guards against refusing a prompt's parts for one request that is sent again."""
    evidence = CrashEvidence(Clock())
    for number in range(4):
        evidence.record_crash(crash(f"c{number}", content("d", "p")))
    assert evidence.held_content(content("d", "p")) == "d"
    assert evidence.held_content(content("s", "p")) is None


def test_request_beside_a_part_that_crashes_is_not_proven_until_it_has_output():
    """Guards against sending a request that crashed one upstream to the next."""
    evidence = CrashEvidence(Clock())
    assert not evidence.is_proven(content("a", "p"))
    evidence.record_success(content("a", "p"))
    assert evidence.is_proven(content("b", "p"))
    evidence.record_crash(crash("c1", content("b", "p")))
    assert not evidence.is_proven(content("c", "p"))


def test_holds_expire():
    clock = Clock()
    evidence = CrashEvidence(clock)
    for number in range(2):
        evidence.record_crash(crash(f"c{number}", content(f"d{number}", "bad")))
    assert evidence.hold_left_s() == CRASH_TTL_S
    clock.now += CRASH_TTL_S
    assert evidence.held_content(content("d9", "bad")) is None
    assert evidence.hold_left_s() == 0.0


def test_memory_is_bounded():
    evidence = CrashEvidence(Clock())
    for number in range(PARTS_MAX + 10):
        evidence.record_success(content("s", f"p{number}"))
    assert len(evidence._cleared) == PARTS_MAX
    for number in range(CRASHES_MAX + 10):
        evidence.record_crash(crash(f"c{number}"))
    assert len(evidence._crashes) <= CRASHES_MAX + 1


PARTS = st.sampled_from(["a", "b", "c", "d"])
SUSPECTS = st.lists(
    st.builds(
        RequestContent,
        st.sampled_from(["r1", "r2", "r3"]),
        st.lists(PARTS, max_size=2, unique=True).map(tuple),
    ),
    max_size=3,
)
REPORTS = st.lists(
    st.builds(
        CrashReport,
        st.sampled_from(["c1", "c2", "c3"]),
        st.just("entry1"),
        SUSPECTS.map(tuple),
    ),
    max_size=6,
)


@settings(derandomize=True)
@given(REPORTS)
def test_repeated_reports_change_nothing(reports):
    """Guards against a crash that counts twice after the store is read again."""
    evidence = CrashEvidence(Clock())
    for report in reports:
        evidence.record_crash(report)
    held = evidence.held()
    for report in reports:
        evidence.record_crash(report)
    assert evidence.held() == held


@settings(derandomize=True)
@given(st.lists(st.sampled_from(["x", "y", "z", "bad"]), min_size=1, max_size=30))
def test_part_that_always_crashes_is_held_by_the_fifth_crash(drawn):
    """Guards against noise around a part that lets it crash more upstreams."""
    clock = Clock()
    evidence = CrashEvidence(clock)
    crashes = 0
    for number, part in enumerate(drawn):
        clock.now += 0.3
        request = content(f"r{number}", "first", part)
        if evidence.held_content(request):
            assert part == "bad"
            continue
        if part == "bad":
            crashes += 1
            beside = content(f"b{number}", "first", "xyz"[number % 3])
            evidence.record_crash(crash(f"c{number}", request, beside))
        else:
            evidence.record_success(request)
    assert crashes <= 5
