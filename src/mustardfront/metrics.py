"""Counters, gauges and latency histograms in the Prometheus text format."""

from __future__ import annotations

from collections.abc import Callable
from typing import Final

from hdrh.histogram import HdrHistogram

Labels = tuple[tuple[str, str], ...]

_HISTOGRAM_MIN_US: Final = 1
_HISTOGRAM_MAX_US: Final = 600_000_000
_SIGNIFICANT_DIGITS: Final = 2
_QUANTILES: Final = (50.0, 95.0, 99.0)


class Metrics:
    """The metrics of one process; the name of a metric includes its unit."""

    def __init__(self) -> None:
        self._counters: dict[str, dict[Labels, int]] = {}
        self._gauges: dict[str, Callable[[], float]] = {}
        self._histograms: dict[str, dict[Labels, HdrHistogram]] = {}

    def count(self, name: str, amount: int = 1, **labels: str) -> None:
        """Increase a counter by ``amount``."""
        series = self._counters.setdefault(name, {})
        key = tuple(sorted(labels.items()))
        series[key] = series.get(key, 0) + amount

    def gauge(self, name: str, read: Callable[[], float]) -> None:
        """Register a gauge; ``read`` is called each time the metrics are rendered."""
        self._gauges[name] = read

    def observe(self, name: str, seconds: float, **labels: str) -> None:
        """Record a duration; durations over ten minutes are recorded as ten minutes."""
        key = tuple(sorted(labels.items()))
        series = self._histograms.setdefault(name, {})
        if key not in series:
            series[key] = HdrHistogram(
                _HISTOGRAM_MIN_US, _HISTOGRAM_MAX_US, _SIGNIFICANT_DIGITS
            )
        value_us = max(_HISTOGRAM_MIN_US, round(seconds * 1e6))
        series[key].record_value(min(value_us, _HISTOGRAM_MAX_US))

    def render(self) -> str:
        """Return all metrics as Prometheus text."""
        lines: list[str] = []
        for name, series in sorted(self._counters.items()):
            lines.append(f"# TYPE {name} counter")
            lines += (
                f"{name}{_render_labels(key)} {value}"
                for key, value in sorted(series.items())
            )
        for name, read in sorted(self._gauges.items()):
            lines += (f"# TYPE {name} gauge", f"{name} {read():g}")
        for name, histograms in sorted(self._histograms.items()):
            lines.append(f"# TYPE {name} summary")
            for key, histogram in sorted(histograms.items()):
                lines += _render_summary(name, key, histogram)
        return "\n".join(lines) + "\n"


def _render_summary(name: str, labels: Labels, histogram: HdrHistogram) -> list[str]:
    lines = [
        f"{name}{_render_labels((*labels, ('quantile', f'{quantile / 100:g}')))}"
        f" {histogram.get_value_at_percentile(quantile) / 1e6:g}"
        for quantile in _QUANTILES
    ]
    count = histogram.get_total_count()
    return [*lines, f"{name}_count{_render_labels(labels)} {count}"]


def _render_labels(labels: Labels) -> str:
    if not labels:
        return ""
    parts = (f'{name}="{_escape_label_value(value)}"' for name, value in labels)
    return "{" + ",".join(parts) + "}"


def _escape_label_value(value: str) -> str:
    return value.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")
