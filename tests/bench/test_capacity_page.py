"""Test that the capacity page says what the figures say."""

from __future__ import annotations

import testtools
from bench.capacity_page import FIGURES, PAGE, render
from bench.measured import Measured
from testtools.matchers import Equals


class TestCapacityPage(testtools.TestCase):
    """The generated part of the page."""

    def test_fresh(self) -> None:
        """The page is what its figures give."""
        page = PAGE.read_text()

        self.assertThat(render(page, Measured(FIGURES)), Equals(page))
