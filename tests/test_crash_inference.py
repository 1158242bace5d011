"""The inference of the parts that explain crashes, against a plain form of it."""

from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st

from mustardfront.coordination.quarantine._inference import (
    Crash,
    Presence,
    explain,
    may_be_held,
)


def explain_by_ranking_all(candidates, known) -> set[str]:
    """Rank all parts anew after each one: slower, and plainly what is meant."""
    held: set[str] = set()
    left = {part: dict(presences) for part, presences in candidates.items()}

    def rank(part):
        presences = left[part].values()
        position = max((one.position for one in presences), default=0)
        return len(presences), part not in known, position, part

    while left:
        best = max(left, key=rank)
        explained = left.pop(best)
        if not may_be_held(best, explained.values(), best in known):
            continue
        held.add(best)
        for presences in left.values():
            for number in explained:
                presences.pop(number, None)
    return held


@settings(derandomize=True)
@given(
    st.lists(
        st.lists(
            st.tuples(
                st.sampled_from("abcdef"),
                st.integers(0, 3),
                st.sampled_from(["r1", "r2"]),
            ),
            max_size=6,
        ),
        max_size=7,
    ),
    st.sets(st.sampled_from("abcdef")),
)
def test_parts_that_explain_crashes_are_those_of_ranking_all_anew(crashes, known):
    """Guards against a faster inference that holds other parts."""
    candidates: dict[str, dict[int, Presence]] = {}
    for number, present in enumerate(crashes):
        one = Crash(f"c{number}", number, 2.0 * number, 0.0)
        for part, position, fingerprint in present:
            presences = candidates.setdefault(part, {})
            presence = presences.setdefault(number, Presence(one, fingerprint))
            presence.is_shared |= presence.fingerprint != fingerprint
            presence.position = max(presence.position, position)
    assert explain(candidates, known) == explain_by_ranking_all(candidates, known)
