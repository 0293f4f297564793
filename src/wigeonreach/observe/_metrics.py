"""Collect counters, gauges and latency histograms for Prometheus."""

from __future__ import annotations

import collections
from collections.abc import Iterator

from hdrh.histogram import HdrHistogram

_LOWEST_US = 1
_HIGHEST_US = 120_000_000
_SIGNIFICANT_DIGITS = 3
_US_PER_S = 1_000_000
_PERCENTILES = (50.0, 90.0, 99.0, 99.9)


class Metrics:
    """Counters by name and reason, gauges and histograms by name."""

    def __init__(self) -> None:
        """Start with no metrics."""
        self._counters: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )
        self._gauges: dict[str, float] = {}
        self._histograms: dict[str, HdrHistogram] = {}

    def count(self, name: str, reason: str = '', amount: int = 1) -> None:
        """Add to a counter.

        Parameters
        ----------
        name
            Name of the counter.
        reason
            Value of the label ``reason``; empty for no label.
        amount
            How much to add.
        """
        self._counters[name, reason] += amount

    def counted(self, name: str, reason: str = '') -> int:
        """Return the present value of a counter."""
        return self._counters[name, reason]

    def gauge(self, name: str, level: float) -> None:
        """Set the value of a gauge."""
        self._gauges[name] = level

    def observe_s(self, name: str, elapsed_s: float) -> None:
        """Record a duration in seconds."""
        histogram = self._histograms.get(name)
        if histogram is None:
            histogram = HdrHistogram(
                _LOWEST_US,
                _HIGHEST_US,
                _SIGNIFICANT_DIGITS,
            )
            self._histograms[name] = histogram
        elapsed_us = int(elapsed_s * _US_PER_S)
        histogram.record_value(min(max(elapsed_us, _LOWEST_US), _HIGHEST_US))

    def page(self) -> str:
        """Return the metrics in the Prometheus text format."""
        return '\n'.join((*self._lines(), ''))

    def _lines(self) -> Iterator[str]:
        for (name, reason), total in sorted(self._counters.items()):
            label = f'{{reason="{reason}"}}' if reason else ''
            yield f'wigeonreach_{name}_total{label} {total}'
        for gauge, level in sorted(self._gauges.items()):
            yield f'wigeonreach_{gauge} {level:g}'
        for series, histogram in sorted(self._histograms.items()):
            yield from _histogram_lines(series, histogram)


def _histogram_lines(name: str, histogram: HdrHistogram) -> Iterator[str]:
    metric = f'wigeonreach_{name}_seconds'
    for percentile in _PERCENTILES:
        elapsed_us = histogram.get_value_at_percentile(percentile)
        quantile = percentile / 100
        yield f'{metric}{{quantile="{quantile:g}"}} {elapsed_us / _US_PER_S:g}'
    yield f'{metric}_count {histogram.get_total_count()}'
