"""Ticket files: JSON and TOML, checked against the published schema."""

from __future__ import annotations

import functools
import json
from collections.abc import Iterable
from pathlib import Path
from typing import Any, Final

from mustardfront.codes import Code
from mustardfront.results import Err, Ok, Result
from mustardfront.state import Ticket, ticket_from_data

SCHEMA_PATH: Final = Path(__file__).with_name("ticket.schema.json")
FILE_MAX_BYTES: Final = 2 * 1024 * 1024
_ERRORS_SHOWN: Final = 10


def read_ticket_file(path: Path) -> Result[Ticket]:
    """Return the ticket in a ``.json`` or ``.toml`` file.

    Err(TICKET_MALFORMED) names the file, the place in it and what is wrong.
    """
    try:
        with path.open("rb") as file:
            data = file.read(FILE_MAX_BYTES + 1)
    except OSError as exc:
        return Err(Code.TICKET_MALFORMED, f"{path}: {exc.strerror}")
    if len(data) > FILE_MAX_BYTES:
        return Err(Code.TICKET_TOO_LARGE, f"{path}: over {FILE_MAX_BYTES} bytes")
    if path.suffix == ".toml":
        result = _parse_toml(data)
    elif path.suffix == ".json":
        result = parse_ticket_json(data)
    else:
        result = Err(Code.TICKET_MALFORMED, "the name must end in .json or .toml")
    return (
        Err(result.code, f"{path}: {result.text}")
        if isinstance(result, Err)
        else result
    )


def parse_ticket_json(data: bytes) -> Result[Ticket]:
    """Return the ticket in JSON text; Err(TICKET_MALFORMED) with the place."""
    try:
        raw = json.loads(
            data, object_pairs_hook=_without_repeats, parse_constant=_no_constant
        )
    except json.JSONDecodeError as exc:
        place = f"line {exc.lineno}, column {exc.colno}"
        return Err(Code.TICKET_MALFORMED, f"{place}: not JSON: {exc.msg}")
    except (ValueError, RecursionError) as exc:
        return Err(Code.TICKET_MALFORMED, f"not JSON: {exc}")
    return check_ticket_data(raw)


def _parse_toml(data: bytes) -> Result[Ticket]:
    import tomllib

    try:
        raw = tomllib.loads(data.decode())
    except (ValueError, RecursionError) as exc:
        return Err(Code.TICKET_MALFORMED, f"not TOML: {exc}")
    return check_ticket_data(raw)


def _without_repeats(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    """Refuse a repeated name: JSON would silently keep only its last value."""
    result: dict[str, Any] = {}
    for name, value in pairs:
        if name in result:
            raise ValueError(f"the name {name!r} is repeated in one object")
        result[name] = value
    return result


def _no_constant(name: str) -> Any:
    raise ValueError(f"{name} is not a JSON number")


def check_ticket_data(raw: Any) -> Result[Ticket]:
    """Return the ticket in plain data; Err(TICKET_MALFORMED) lists what is wrong."""
    errors = sorted(_validator().iter_errors(raw), key=lambda error: error.json_path)
    if errors:
        shown = [f"{_place(error.path)}: {error.message}" for error in errors]
        more = len(shown) - _ERRORS_SHOWN
        if more > 0:
            shown = [*shown[:_ERRORS_SHOWN], f"and {more} more errors"]
        return Err(Code.TICKET_MALFORMED, "; ".join(shown))
    ticket = ticket_from_data(raw)
    if isinstance(ticket, Err):
        return ticket
    for section, names in ticket.value.remove.items():
        for name in names:
            if name in ticket.value.set.get(section, {}):
                text = f"remove.{section}: {name!r} is also in set.{section}"
                return Err(Code.TICKET_MALFORMED, text)
    return Ok(ticket.value)


def _place(path: Iterable[str | int]) -> str:
    """Return a place in the file, such as ``set.groups.g1.ranks[0]``."""
    text = ""
    for part in path:
        text += f"[{part}]" if isinstance(part, int) else f".{part}"
    return text.lstrip(".") or "top level"


@functools.cache
def _validator() -> Any:
    """Return the schema's validator; only programs that read tickets load it."""
    import jsonschema

    schema = json.loads(SCHEMA_PATH.read_text(encoding="utf-8"))
    return jsonschema.Draft202012Validator(schema)
