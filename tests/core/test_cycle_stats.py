"""Test the duration statistics of scheduling cycles."""

from __future__ import annotations

import testtools
from testtools import matchers

from wigeonreach.core._cycle_stats import CycleStats


class TestCycleStats(testtools.TestCase):
    """A hundred cycles, one of them slow."""

    def test_figures_are_reported_and_reset_at_intervals(self) -> None:
        """The slow cycle is the maximum of the first interval only."""
        stats = CycleStats(5)
        for _ in range(99):
            stats.record(0.008, heartbeats=3)
        stats.record(0.4, heartbeats=3)
        self.assertThat(stats.take_if_due(14.9), matchers.Is(None))
        figures = stats.take_if_due(15)
        assert figures is not None
        counts = (figures.cycles, figures.heartbeats)
        self.assertThat(counts, matchers.Equals((100, 300)))
        self.assertThat(round(figures.p99_ms), matchers.Equals(8))
        self.assertThat(round(figures.max_ms), matchers.Equals(400))
        stats.record(0.001, heartbeats=1)
        later = stats.take_if_due(25)
        assert later is not None
        self.assertThat(round(later.max_ms), matchers.Equals(1))
