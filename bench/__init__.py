"""Measurements, one in each module; ``make bench`` runs them all.

A measurement module defines ``NAME: str``, its name on the command line, and
``run(seed: int) -> bench.Report``. ``python -m bench NAME`` runs one and prints its
tables; ``python -m bench`` runs all of them and writes ``docs/measurements.md`` and
the plots. ``run`` draws random numbers only from the given seed and, where time
matters, uses trio's mock clock. Every figure is compared with a baseline from the same
run, so that the ratio does not depend on the machine. Modules without ``NAME`` are
helpers.
"""

from bench._report import Plot, Report, Row, Series, Table, Verdict, row

__all__ = ["Plot", "Report", "Row", "Series", "Table", "Verdict", "row"]
