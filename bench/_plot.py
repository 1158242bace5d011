"""Rendering of plots as SVG."""

from __future__ import annotations

from pathlib import Path

from bench._report import Plot


def write_svg(plot: Plot, folder: Path) -> None:
    """Write a plot to ``folder``; the same data always give the same bytes."""
    import matplotlib

    matplotlib.use("svg")
    matplotlib.rcParams["svg.hashsalt"] = plot.name
    from matplotlib import pyplot

    folder.mkdir(parents=True, exist_ok=True)
    figure, axes = pyplot.subplots(figsize=(7, 4))
    for series in plot.series:
        axes.plot(series.x, series.y, marker="o", markersize=3, label=series.label)
    axes.set(title=plot.title, xlabel=plot.x_label, ylabel=plot.y_label)
    if plot.log_y:
        axes.set_yscale("log")
    axes.grid(alpha=0.3)
    axes.legend(fontsize="small")
    figure.tight_layout()
    figure.savefig(folder / f"{plot.name}.svg", metadata={"Date": None})
    pyplot.close(figure)
