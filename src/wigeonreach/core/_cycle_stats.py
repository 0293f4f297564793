"""Duration statistics of the leader's scheduling cycles."""

from __future__ import annotations

import dataclasses

from hdrh.histogram import HdrHistogram

# Short enough to compare a report with the decisions of the same seconds; long
# enough for its line to be negligible among a few hundred log lines a second.
_REPORT_INTERVAL_S = 10.0
_US_PER_S = 1_000_000
_US_PER_MS = 1000
_MAX_TRACKED_US = 60 * _US_PER_S
_SIGNIFICANT_DIGITS = 3
_MEDIAN = 50.0
_P99 = 99.0


@dataclasses.dataclass(frozen=True, slots=True)
class CycleFigures:
    """Statistics of the cycles of one interval.

    Attributes
    ----------
    heartbeats
        Number of heartbeats received in these cycles.
    median_ms, p99_ms, max_ms
        Duration of a cycle, including commits.  A heartbeat may wait longer,
        as its reply may be held until a later cycle.
    """

    cycles: int
    heartbeats: int
    median_ms: float
    p99_ms: float
    max_ms: float


class CycleStats:
    """Collects the durations of cycles between two reports.

    Parameters
    ----------
    now_s
        Clock in seconds at the beginning of the term.
    """

    def __init__(self, now_s: float) -> None:
        """Start without any cycles."""
        self._since_s = now_s
        self._heartbeats = 0
        self._cycles = HdrHistogram(1, _MAX_TRACKED_US, _SIGNIFICANT_DIGITS)

    def record(self, took_s: float, heartbeats: int) -> None:
        """Record a cycle."""
        took_us = int(took_s * _US_PER_S)
        self._cycles.record_value(min(max(took_us, 1), _MAX_TRACKED_US))
        self._heartbeats += heartbeats

    def take_if_due(self, now_s: float) -> CycleFigures | None:
        """Return the figures and reset them if a report is due, else None."""
        if now_s - self._since_s < _REPORT_INTERVAL_S:
            return None
        figures = CycleFigures(
            self._cycles.get_total_count(),
            self._heartbeats,
            self._percentile_ms(_MEDIAN),
            self._percentile_ms(_P99),
            self._cycles.get_max_value() / _US_PER_MS,
        )
        self._since_s = now_s
        self._heartbeats = 0
        self._cycles.reset()
        return figures

    def _percentile_ms(self, percentile: float) -> float:
        value_us = float(self._cycles.get_value_at_percentile(percentile))
        return value_us / _US_PER_MS
