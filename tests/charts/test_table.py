"""Test that ``tables.json`` agrees with the chart files."""

from __future__ import annotations

import testtools
from testtools import matchers

from wigeonreach.charts import load_chart
from wigeonreach.charts._reading import FOLDER, encode_all, read_chart


class TestTables(testtools.TestCase):
    """The committed tables against the chart files."""

    def test_tables_are_up_to_date(self) -> None:
        """``python -m wigeonreach.charts`` would change nothing."""
        written = (FOLDER / 'tables.json').read_text()
        self.assertThat(written, matchers.Equals(encode_all()))

    def test_each_table_equals_its_chart(self) -> None:
        """Each table equals the chart file that it comes from."""
        for path in FOLDER.glob('*.yaml'):
            self.assertThat(
                load_chart(path.stem),
                matchers.Equals(read_chart(path.stem)),
            )
