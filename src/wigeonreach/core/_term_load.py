"""Sum up how long a leader's cycles take."""

from __future__ import annotations

import dataclasses

from hdrh.histogram import HdrHistogram

# A line each so often is read beside the decisions of the same seconds, and is
# nothing among some hundred lines a second.
_TOLD_EVERY_S = 10.0
_US_PER_S = 1_000_000
_US_PER_MS = 1000
_LONGEST_US = 60 * _US_PER_S
_DIGITS = 3
_HALF = 50.0
_NEARLY_ALL = 99.0


@dataclasses.dataclass(frozen=True, slots=True)
class LoadFigures:
    """The cycles of some seconds.

    Attributes
    ----------
    heartbeats
        That were heard in them.
    half_ms, p99_ms, most_ms
        From hearing to answering, commits included.
    """

    cycles: int
    heartbeats: int
    half_ms: float
    p99_ms: float
    most_ms: float


class TermLoad:
    """The cycles since they were last told of.

    Parameters
    ----------
    now_s
        When the term began.
    """

    def __init__(self, now_s: float) -> None:
        """Start with no cycle."""
        self._since_s = now_s
        self._heartbeats = 0
        self._cycles = HdrHistogram(1, _LONGEST_US, _DIGITS)

    def note(self, took_s: float, heartbeats: int) -> None:
        """Take a cycle."""
        took_us = int(took_s * _US_PER_S)
        self._cycles.record_value(min(max(took_us, 1), _LONGEST_US))
        self._heartbeats += heartbeats

    def take_due(self, now_s: float) -> LoadFigures | None:
        """Return the figures and begin anew, if it is time to tell them."""
        if now_s - self._since_s < _TOLD_EVERY_S:
            return None
        figures = LoadFigures(
            self._cycles.get_total_count(),
            self._heartbeats,
            self._at_ms(_HALF),
            self._at_ms(_NEARLY_ALL),
            self._cycles.get_max_value() / _US_PER_MS,
        )
        self._since_s = now_s
        self._heartbeats = 0
        self._cycles.reset()
        return figures

    def _at_ms(self, percentile: float) -> float:
        at_us = float(self._cycles.get_value_at_percentile(percentile))
        return at_us / _US_PER_MS
