"""The tables in the docs list exactly the result codes and log events in the code."""

import re
from enum import IntEnum
from pathlib import Path

import pytest

from mustardfront.codes import Code, Outcome
from mustardfront.events import Event

DOCS = Path(__file__).parent.parent / "docs"
ROW = re.compile(r"^\| (\d+) \| ([A-Z_]+) \| (.+) \|$", re.MULTILINE)


@pytest.mark.parametrize(
    ("page", "kind"), [("result-codes.md", Code), ("log-events.md", Event)]
)
def test_page_lists_each_member_once(page: str, kind: type[IntEnum]):
    rows = [(int(n), name) for n, name, _ in ROW.findall((DOCS / page).read_text())]
    assert sorted(rows) == sorted((int(member), member.name) for member in kind)


def test_outcome_column_has_each_outcome():
    rows = ROW.findall((DOCS / "result-codes.md").read_text())
    documented = {rest.split(" | ")[0] for _, _, rest in rows}
    assert documented == {outcome.value for outcome in Outcome} | {"-"}
