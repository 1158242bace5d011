"""Inference of the request content that crashes upstreams."""

from __future__ import annotations

import time

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
    NAMES_MAX,
    PARTS_MAX,
    SUSPECTS_PER_CRASH_MAX,
)
from mustardfront.coordination.quarantine._inference import (
    SEPARATE_CRASH_S,
)
from mustardfront.coordination.quarantine._reports import REPORT_NAMES_MAX, bounded


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


def timed(
    name: str, noticed_s: float, *suspects: tuple[RequestContent, float]
) -> CrashReport:
    """Return a report of suspects and when each was sent."""
    contents = tuple(suspect for suspect, _ in suspects)
    sent_s = tuple(sent for _, sent in suspects)
    return CrashReport(name, "e1", contents, noticed_s=noticed_s, sent_s=sent_s)


def test_sound_request_at_two_crashes_of_one_moment_is_not_held():
    """Guards against ten minutes of refusals after a rack with a popular page failed.

    A starting entry has only the reports: nothing that it saw clears the request.
    """
    page = content("page")
    evidence = CrashEvidence(Clock())
    evidence.record_crash(timed("c1", 50.0, (page, 49.9)))
    # The second entry was paused, and noticed its crash late.
    evidence.record_crash(timed("c2", 53.0, (page, 49.8)))
    evidence.record_crash(timed("c3", 50.1, (page, 49.95)))
    assert evidence.held_content(page) is None


def test_request_that_was_sent_after_its_first_crash_is_held():
    """Guards against a request that crashes one upstream after the other."""
    deadly = content("deadly")
    evidence = CrashEvidence(Clock())
    evidence.record_crash(timed("c1", 50.0, (deadly, 49.9)))
    evidence.record_crash(timed("c2", 50.2, (deadly, 50.05)))
    assert evidence.held_content(deadly) == "deadly"


def test_output_between_two_crashes_is_reported_for_whole_requests():
    """Guards against refusing a popular page after two crashes minutes apart."""
    page = content("page")
    first = CrashEvidence(Clock())
    reports = [crash("c1", page)]
    first.record_crash(reports[0])
    first.record_success(page)
    reports.append(crash("c2", page, sound=tuple(first.sound_parts("c2", [page]))))
    assert reports[1].sound_parts == ("page",)
    started_later = CrashEvidence(Clock())
    for report in reports:
        started_later.record_crash(report)
    assert started_later.held_content(page) is None


def test_names_that_others_may_hold_are_returned_by_crash():
    """Guards against output that only the entry that sent it knows of."""
    evidence = CrashEvidence(Clock())
    evidence.record_success(content("s0", "common"))
    sound = tuple(evidence.sound_parts("c1", [content("s1", "common", "new")]))
    evidence.record_crash(crash("c1", content("s1", "common", "new"), sound=sound))
    evidence.record_crash(crash("c2", content("s2", "common", "new")))
    found = evidence.record_success(content("s3", "common", "new"))
    # Reports say that the common part had output before; nobody holds it for these.
    assert found == {"c1": ["new"], "c2": ["new"]}
    assert evidence.record_success(content("s4", "common", "new")) == {}


@pytest.mark.parametrize("order", [(0, 1, 2), (2, 1, 0), (1, 2, 0)])
def test_clearance_counts_in_any_order_and_for_its_crash_alone(order):
    """Guards against a read of the store in which a clearance precedes its crash."""
    reports = [
        crash("c1", content("s1", "p")),
        crash("c2", content("s2", "p")),
        CrashReport("c1", "entry2", (), cleared=("p",)),
    ]
    evidence = CrashEvidence(Clock())
    for number in order:
        evidence.record_crash(reports[number])
    assert evidence.held_content(content("s9", "p")) is None
    # Known parts need more crashes, but the one that was not cleared still counts.
    clock_apart = CrashEvidence(Clock())
    for number in order:
        clock_apart.record_crash(reports[number])
    assert len(clock_apart._counted["p"]) == 1


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


def documents(count: int, parts: int) -> list[RequestContent]:
    """Return one request about each of ``count`` documents of ``parts`` parts."""
    return [
        content(f"r{number}", *(f"d{number}-{part}" for part in range(parts)))
        for number in range(count)
    ]


def seconds_after_two_crashes(parts: int) -> float:
    """Return the time that two crashes and the output after them take."""
    evidence = CrashEvidence(Clock())
    for one in documents(10, parts):
        evidence.record_success(one)
    began = time.process_time()
    for name in ("c1", "c2"):
        evidence.record_crash(crash(name, *documents(10, parts)))
        evidence.held()
    for one in documents(10, parts):
        evidence.record_success(one)
        evidence.held()
    return time.process_time() - began


def test_long_prompts_at_two_crashes_take_linear_time():
    """Guards against an entry that stands still for seconds after two crashes.

    It answers nobody meanwhile, whatever their service.
    """
    seconds_after_two_crashes(10)
    assert seconds_after_two_crashes(800) < 8 * seconds_after_two_crashes(200) + 0.01


def test_names_that_count_are_bounded():
    """Guards against crashes beside huge prompts that fill the memory of entries."""
    evidence = CrashEvidence(Clock())
    for number in range(40):
        suspects = [
            content(f"r{number}-{one}", *(f"{number}-{one}-{n}" for n in range(400)))
            for one in range(SUSPECTS_PER_CRASH_MAX)
        ]
        evidence.record_crash(crash(f"c{number}", *suspects))
        assert evidence._name_count <= NAMES_MAX
        assert sum(map(len, evidence._counted.values())) == evidence._name_count
    # The newest crash counts in any case.
    assert evidence.knows("c39")


def test_report_of_more_suspects_than_count_is_new_once():
    """Guards against peers that pass such a report on to each other for ever."""
    evidence = CrashEvidence(Clock())
    report = crash("c1", *documents(SUSPECTS_PER_CRASH_MAX + 5, 2))
    assert evidence.record_crash(report)
    assert not evidence.record_crash(report)


def test_report_is_bounded_and_keeps_what_is_not_known_to_be_sound():
    """Guards against a report that the store refuses for its length."""
    suspects = documents(30, 400)
    sound = tuple(part for one in suspects for part in one.parts[:300])
    report = bounded(CrashReport("c1", "e1", tuple(suspects), sound))
    names = sum(len(one.parts) for one in report.suspects) + len(report.sound_parts)
    assert names <= REPORT_NAMES_MAX
    assert all(
        one.parts == before.parts[300:]
        for one, before in zip(report.suspects, suspects, strict=True)
    )
