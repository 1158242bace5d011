"""What a measurement hands back, and its form in Markdown."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Literal, TypeAlias

Verdict: TypeAlias = Literal["met", "not met", "no target"]


@dataclass(frozen=True, slots=True)
class Row:
    """One figure: its target, its value, the baseline's value, and the verdict."""

    what: str
    target: str
    figure: str
    baseline: str
    verdict: Verdict


@dataclass(frozen=True, slots=True)
class Table:
    """A further table: a title, column heads and cells of text."""

    title: str
    heads: tuple[str, ...]
    cells: tuple[tuple[str, ...], ...]


@dataclass(frozen=True, slots=True)
class Series:
    """One line of a plot."""

    label: str
    x: tuple[float, ...]
    y: tuple[float, ...]


@dataclass(frozen=True, slots=True)
class Plot:
    """A line plot, written to ``docs/plots/{name}.svg``."""

    name: str
    title: str
    x_label: str
    y_label: str
    series: tuple[Series, ...]
    log_y: bool = False


@dataclass(frozen=True, slots=True)
class Report:
    """The result of a measurement; ``about`` says what was run, in plain text."""

    title: str
    about: str
    rows: tuple[Row, ...] = ()
    tables: tuple[Table, ...] = ()
    plots: tuple[Plot, ...] = ()


def row(
    what: str, figure: float, limit: float, baseline: str, *, at_least: bool = False
) -> Row:
    """Return a row whose verdict compares ``figure`` with its target ``limit``."""
    met = figure >= limit if at_least else figure <= limit
    sign = "≥" if at_least else "≤"
    return Row(
        what,
        f"{sign} {limit:g}",
        f"{figure:.3g}",
        baseline,
        "met" if met else "not met",
    )


def to_markdown(report: Report, command: str) -> str:
    """Return a report as a Markdown section that names its command."""
    lines = [f"## {report.title}", "", report.about, "", f"Command: `{command}`", ""]
    if report.rows:
        heads = ("figure", "target", "measured", "baseline", "verdict")
        cells = tuple(
            (item.what, item.target, item.figure, item.baseline, item.verdict)
            for item in report.rows
        )
        lines += [*_table(heads, cells), ""]
    for table in report.tables:
        lines += [f"### {table.title}", "", *_table(table.heads, table.cells), ""]
    for plot in report.plots:
        lines += [f"![{plot.title}](plots/{plot.name}.svg)", ""]
    return "\n".join(lines)


def _table(heads: tuple[str, ...], cells: tuple[tuple[str, ...], ...]) -> list[str]:
    lines = ["| " + " | ".join(heads) + " |", "| " + " | ".join("---" for _ in heads)]
    lines[1] += " |"
    return lines + ["| " + " | ".join(cell) + " |" for cell in cells]
