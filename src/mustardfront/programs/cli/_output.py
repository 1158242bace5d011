"""Tables for people, JSON for programs, and the exit codes."""

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
_UNREACHABLE: Final = frozenset(
    {Code.CONNECT_FAILED, Code.STORE_UNAVAILABLE, Code.DRAINING, Code.NOT_READY}
)


def exit_code(code: Code) -> int:
    """Return the exit code for a result code."""
    if code is Code.WRITE_UNKNOWN:
        return EXIT_UNKNOWN
    return EXIT_UNREACHABLE if code in _UNREACHABLE else EXIT_REFUSED


def fail(err: Err, *, as_json: bool) -> NoReturn:
    """Print an error and end with its exit code."""
    if as_json:
        error = {"code": int(err.code), "name": err.code.name, "text": err.text}
        click.echo(json.dumps({"error": error}))
    else:
        click.echo(f"error {int(err.code)} {err.code.name}: {err.text}", err=True)
    sys.exit(exit_code(err.code))


def value_or_fail(result: Result[Any], *, as_json: bool) -> Any:
    """Return the value, or print the error and end."""
    if isinstance(result, Err):
        fail(result, as_json=as_json)
    return result.value


def show(data: Any, text: str, *, as_json: bool) -> None:
    """Print ``data`` as JSON or ``text`` for people."""
    click.echo(json.dumps(data) if as_json else text)


def table(header: Sequence[str], rows: Iterable[Sequence[Any]]) -> str:
    """Return rows in aligned columns; None shows as ``-``."""
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
