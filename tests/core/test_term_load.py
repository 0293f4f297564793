"""Test the summary of a leader's cycles."""

from __future__ import annotations

import testtools
from testtools import matchers

from wigeonreach.core._term_load import TermLoad


class TestTermLoad(testtools.TestCase):
    """A hundred cycles, one of them slow."""

    def test_told_once_in_a_while_and_begun_anew(self) -> None:
        """The slow one is the longest, and is told of once."""
        load = TermLoad(5)
        for _ in range(99):
            load.note(0.008, heartbeats=3)
        load.note(0.4, heartbeats=3)
        self.assertThat(load.take_due(14.9), matchers.Is(None))
        figures = load.take_due(15)
        assert figures is not None
        counts = (figures.cycles, figures.heartbeats)
        self.assertThat(counts, matchers.Equals((100, 300)))
        self.assertThat(round(figures.p99_ms), matchers.Equals(8))
        self.assertThat(round(figures.most_ms), matchers.Equals(400))
        load.note(0.001, heartbeats=1)
        later = load.take_due(25)
        assert later is not None
        self.assertThat(round(later.most_ms), matchers.Equals(1))
