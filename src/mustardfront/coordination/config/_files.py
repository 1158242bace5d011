"""Parse ticket files in JSON and TOML and validate them against the schema."""

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
_ERRORS_SHOWN_MAX: Final = 10


def read_ticket_file(path: Path) -> Result[Ticket]:
    """Return the ticket in a ``.json`` or ``.toml`` file.

    Err(TICKET_MALFORMED) names the file, the location in it and the error.
    """
    try:
        with path.open("rb") as file:
            data = file.read(FILE_MAX_BYTES + 1)
    except OSError as exc:
        return Err(Code.TICKET_MALFORMED, f"{path}: {exc.strerror}")
    if len(data) > FILE_MAX_BYTES:
        return Err(
            Code.TICKET_TOO_LARGE, f"{path}: file exceeds {FILE_MAX_BYTES} bytes"
        )
    if path.suffix == ".toml":
        result = _parse_toml(data)
    elif path.suffix == ".json":
        result = parse_ticket_json(data)
    else:
        result = Err(Code.TICKET_MALFORMED, "the file name must end in .json or .toml")
    return (
        Err(result.code, f"{path}: {result.text}")
        if isinstance(result, Err)
        else result
    )


def parse_ticket_json(data: bytes) -> Result[Ticket]:
    """Return the ticket in JSON text; Err(TICKET_MALFORMED) names the location."""
    try:
        raw = json.loads(
            data,
            object_pairs_hook=_reject_duplicate_names,
            parse_constant=_reject_constant,
        )
    except json.JSONDecodeError as exc:
        location = f"line {exc.lineno}, column {exc.colno}"
        return Err(Code.TICKET_MALFORMED, f"{location}: not JSON: {exc.msg}")
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


def _reject_duplicate_names(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    """Return the object, or raise ValueError if a name is repeated.

    The json module would silently keep only the last value.
    """
    result: dict[str, Any] = {}
    for name, value in pairs:
        if name in result:
            raise ValueError(f"the name {name!r} is repeated in one object")
        result[name] = value
    return result


def _reject_constant(name: str) -> Any:
    raise ValueError(f"{name} is not a JSON number")


def check_ticket_data(raw: Any) -> Result[Ticket]:
    """Return the ticket in decoded data; Err(TICKET_MALFORMED) lists the errors."""
    errors = sorted(_validator().iter_errors(raw), key=lambda error: error.json_path)
    if errors:
        shown = [f"{_format_location(error.path)}: {error.message}" for error in errors]
        omitted = len(shown) - _ERRORS_SHOWN_MAX
        if omitted > 0:
            shown = [*shown[:_ERRORS_SHOWN_MAX], f"and {omitted} more errors"]
        return Err(Code.TICKET_MALFORMED, "; ".join(shown))
    ticket = ticket_from_data(raw)
    if isinstance(ticket, Err):
        return ticket
    for section, names in ticket.value.remove.items():
        for name in names:
            if name in ticket.value.set.get(section, {}):
                text = f"remove.{section}: {name!r} must not also be in set.{section}"
                return Err(Code.TICKET_MALFORMED, text)
    return Ok(ticket.value)


def _format_location(path: Iterable[str | int]) -> str:
    """Return the path of a value in the file, such as ``set.groups.g1.ranks[0]``."""
    text = ""
    for part in path:
        text += f"[{part}]" if isinstance(part, int) else f".{part}"
    return text.lstrip(".") or "top level"


@functools.cache
def _validator() -> Any:
    """Return the schema's validator.

    jsonschema is imported here so that only programs that read tickets load it.
    """
    import jsonschema

    schema = json.loads(SCHEMA_PATH.read_text(encoding="utf-8"))
    return jsonschema.Draft202012Validator(schema)
