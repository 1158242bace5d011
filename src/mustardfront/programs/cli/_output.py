"""Output as text or JSON, and exit codes."""

from __future__ import annotations

import json
import sys
from collections.abc import Iterable, Sequence
from typing import Any, Final, NoReturn

import click

from mustardfront.codes import Code
from mustardfront.results import Err, Result

EXIT_REFUSED: Final = 1
EXIT_UNREACHABLE: Final = 3
EXIT_UNKNOWN: Final = 4
_UNREACHABLE_CODES: Final = frozenset(
    {Code.CONNECT_FAILED, Code.STORE_UNAVAILABLE, Code.DRAINING, Code.NOT_READY}
)


def exit_code(code: Code) -> int:
    """Return the exit code of a command that failed with a result code."""
    if code is Code.WRITE_UNKNOWN:
        return EXIT_UNKNOWN
    return EXIT_UNREACHABLE if code in _UNREACHABLE_CODES else EXIT_REFUSED


def exit_with_error(err: Err, *, as_json: bool) -> NoReturn:
    """Print an error and exit with its exit code."""
    if as_json:
        error = {"code": int(err.code), "name": err.code.name, "text": err.text}
        click.echo(json.dumps({"error": error}))
    else:
        click.echo(f"error {int(err.code)} {err.code.name}: {err.text}", err=True)
    sys.exit(exit_code(err.code))


def value_or_exit(result: Result[Any], *, as_json: bool) -> Any:
    """Return the value of a result, or print its error and exit."""
    if isinstance(result, Err):
        exit_with_error(result, as_json=as_json)
    return result.value


def print_result(data: Any, text: str, *, as_json: bool) -> None:
    """Print ``data`` as JSON, or ``text`` when JSON was not requested."""
    click.echo(json.dumps(data) if as_json else text)


def format_table(header: Sequence[str], rows: Iterable[Sequence[Any]]) -> str:
    """Return a header and rows in aligned columns; None is shown as ``-``."""
    cells = [["-" if cell is None else str(cell) for cell in row] for row in rows]
    widths = [
        max([len(name), *(len(row[column]) for row in cells)])
        for column, name in enumerate(header)
    ]
    lines = [
        "  ".join(
            cell.ljust(width) for cell, width in zip(row, widths, strict=True)
        ).rstrip()
        for row in ([name.upper() for name in header], *cells)
    ]
    return "\n".join(lines)
