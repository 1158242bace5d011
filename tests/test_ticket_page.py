"""The page on tickets: its first ticket works and its table matches the code."""

import dataclasses
import re
from pathlib import Path

from mustardfront.coordination.config import SCHEMA_PATH, read_ticket_file
from mustardfront.results import Ok
from mustardfront.state import SECTIONS, Config, apply_ticket

PAGE = (Path(__file__).parent.parent / "docs" / "tickets.md").read_text("utf-8")


def test_first_ticket_of_the_page_is_accepted(tmp_path):
    file = tmp_path / "first.toml"
    file.write_text(PAGE.split("```toml")[1].split("```")[0])
    ticket = read_ticket_file(file)
    assert isinstance(ticket, Ok)
    assert isinstance(apply_ticket(Config(), ticket.value), Ok)


def test_schema_and_page_have_every_field():
    # Guards against a field that the code takes and the schema or the page lacks.
    import json

    schema = json.loads(SCHEMA_PATH.read_text("utf-8"))
    for section, kind in SECTIONS.items():
        fields = {field.name for field in dataclasses.fields(kind)}
        entry = schema["properties"]["set"]["properties"][section]
        name = entry["additionalProperties"]["$ref"].rsplit("/", 1)[1]
        assert set(schema["$defs"][name]["properties"]) == fields
        rows = PAGE.split(f"| `{section}` |")[1]
        block = re.split(r"\n\| `\w+` \||\n\n", rows)[0]
        listed = {
            name
            for line in block.splitlines()
            for name in re.findall(
                r"`(\w+)`", line.split(" | ")[1 if line[0] == "|" else 0]
            )
        }
        assert fields <= listed
