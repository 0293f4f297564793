"""Test that the capacity page matches the measured figures."""

from __future__ import annotations

import testtools
from bench.capacity_page import FIGURES, PAGE, render
from bench.measured import Measured
from testtools.matchers import Equals


class TestCapacityPage(testtools.TestCase):
    """The generated part of the page."""

    def test_fresh(self) -> None:
        """The page equals the one rendered from its figures."""
        page = PAGE.read_text()

        self.assertThat(render(page, Measured(FIGURES)), Equals(page))
