"""Measurements: each module is one, run by ``make bench``.

A measurement module offers ``NAME: str``, used on the command line, and
``run(seed: int) -> bench.Report``. ``python -m bench NAME`` runs one and prints its
tables; ``python -m bench`` runs all of them and writes ``docs/measurements.md`` and
the plots. ``run`` uses only the given seed and, where time matters, trio's mock
clock. Every figure is compared with a baseline of the same run, so the ratio counts
and not the machine. Modules without ``NAME`` are helpers.
"""

from bench._report import Plot, Report, Row, Series, Table, Verdict, row

__all__ = ["Plot", "Report", "Row", "Series", "Table", "Verdict", "row"]
