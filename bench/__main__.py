"""Run all measurements, or the named ones."""

from __future__ import annotations

import importlib
import pkgutil
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path

import click

import bench
from bench._plot import write_svg
from bench._report import Report, to_markdown

SEED = 1
DOCS = Path(__file__).resolve().parent.parent / "docs"
PAGE_HEADER = """# Measurements

Written by `make bench` from fixed seeds. Times on trio's mock clock are exact for a
seed; processor times depend on the machine, so only ratios within a run count.
"""


def find_measurements() -> dict[str, Callable[[int], Report]]:
    """Return the ``run`` function of each measurement by name."""
    found: dict[str, Callable[[int], Report]] = {}
    for info in pkgutil.iter_modules(bench.__path__):
        if info.name.startswith("_"):
            continue
        module = importlib.import_module(f"bench.{info.name}")
        if hasattr(module, "NAME"):
            found[module.NAME] = module.run
    return found


def run_measurement(name: str, seed: int) -> Report:
    """Run one measurement; runs in a worker process, which looks it up by name."""
    return find_measurements()[name](seed)


@click.command()
@click.argument("names", nargs=-1)
@click.option("--seed", default=SEED, show_default=True, help="Seed of all runs.")
def main(names: tuple[str, ...], seed: int) -> None:
    """Run the measurements NAMES and print them; without NAMES, write the page."""
    measurements = find_measurements()
    unknown = [name for name in names if name not in measurements]
    if unknown:
        raise click.UsageError(
            f"no measurement {unknown[0]}; there are: {[*measurements]}"
        )
    sections: list[str] = []
    failed: list[str] = []
    for name in names or measurements:
        command = f"python -m bench {name} --seed {seed}"
        # A process for each measurement, so that one does not affect the memory figures
        # of the next.
        with ProcessPoolExecutor(max_workers=1) as pool:
            job = pool.submit(run_measurement, name, seed)
        if (error := job.exception()) is not None:
            failed.append(name)
            sections.append(f"## {name}\n\nCommand: `{command}`\n\nFailed: {error!r}\n")
            click.echo(f"{name} failed: {error!r}", err=True)
            continue
        report = job.result()
        section = to_markdown(report, command)
        click.echo(section)
        sections.append(section)
        if not names:
            for plot in report.plots:
                write_svg(plot, DOCS / "plots")
    if not names:
        page = "\n".join([PAGE_HEADER, *sections]).rstrip() + "\n"
        (DOCS / "measurements.md").write_text(page, encoding="utf-8")
    if failed:
        raise click.ClickException(f"failed: {', '.join(failed)}")


if __name__ == "__main__":
    main()
