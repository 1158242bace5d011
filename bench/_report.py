"""The report of a measurement, and its rendering as Markdown."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Literal, TypeAlias

Verdict: TypeAlias = Literal["met", "not met", "no target"]


@dataclass(frozen=True, slots=True)
class Row:
    """A measured value with its target, the baseline's value and the verdict."""

    metric: str
    target: str
    measured: str
    baseline: str
    verdict: Verdict


@dataclass(frozen=True, slots=True)
class Table:
    """An additional table; ``cells`` holds one tuple of texts for each row."""

    title: str
    headers: tuple[str, ...]
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
    """The result of a measurement; ``description`` says in plain text what was run."""

    title: str
    description: str
    rows: tuple[Row, ...] = ()
    tables: tuple[Table, ...] = ()
    plots: tuple[Plot, ...] = ()


def row(
    metric: str,
    measured: float,
    target_value: float,
    baseline: str,
    *,
    at_least: bool = False,
) -> Row:
    """Return a row whose verdict compares ``measured`` with ``target_value``.

    The target is an upper bound, or a lower one with ``at_least``.
    """
    is_met = measured >= target_value if at_least else measured <= target_value
    sign = "≥" if at_least else "≤"
    return Row(
        metric,
        f"{sign} {target_value:g}",
        f"{measured:.3g}",
        baseline,
        "met" if is_met else "not met",
    )


def to_markdown(report: Report, command: str) -> str:
    """Return a report as a Markdown section that includes the command to repeat it."""
    lines = [
        f"## {report.title}",
        "",
        report.description,
        "",
        f"Command: `{command}`",
        "",
    ]
    if report.rows:
        headers = ("figure", "target", "measured", "baseline", "verdict")
        cells = tuple(
            (item.metric, item.target, item.measured, item.baseline, item.verdict)
            for item in report.rows
        )
        lines += [*_table_lines(headers, cells), ""]
    for table in report.tables:
        lines += [
            f"### {table.title}",
            "",
            *_table_lines(table.headers, table.cells),
            "",
        ]
    for plot in report.plots:
        lines += [f"![{plot.title}](plots/{plot.name}.svg)", ""]
    return "\n".join(lines)


def _table_lines(
    headers: tuple[str, ...], cells: tuple[tuple[str, ...], ...]
) -> list[str]:
    lines = [
        "| " + " | ".join(headers) + " |",
        "| " + " | ".join("---" for _ in headers),
    ]
    lines[1] += " |"
    return lines + ["| " + " | ".join(cell) + " |" for cell in cells]
