"""Test that incremental parsing gives the same as parsing the whole."""

from __future__ import annotations

import testtools
from testtools.matchers import Equals

from tests.builders import SAMPLE_TEXT
from wigeonreach.codes import ResultCode
from wigeonreach.exceptions import FleetTextError
from wigeonreach.text import TextReader, parse_fleet_text

_VERSIONS = (
    SAMPLE_TEXT,
    SAMPLE_TEXT.replace('slots = 4', 'slots = 8'),
    f'{SAMPLE_TEXT}[services.portal.budget]\nmissing_s = 7200\n',
    f'{SAMPLE_TEXT}[pools.x]\nvms = [\n"vm-1",\n]\n',
    SAMPLE_TEXT,
)


class TestReader(testtools.TestCase):
    """Successive versions of a text."""

    def test_same_data(self) -> None:
        """Each version gives the same data as when parsed alone."""
        reader = TextReader()
        for text in _VERSIONS:
            self.assertThat(reader.read(text), Equals(parse_fleet_text(text)))

    def test_table_in_string(self) -> None:
        """A line of a multi-line string is not taken for a table header."""
        reader = TextReader()
        text = f'{SAMPLE_TEXT}[teams."""\n[services.x]\n"""]\n'

        error = self.assertRaises(FleetTextError, reader.read, text)

        whole_text_error = self.assertRaises(
            FleetTextError, parse_fleet_text, text
        )
        self.assertThat(str(error), Equals(str(whole_text_error)))

    def test_duplicate_table(self) -> None:
        """A duplicate table is rejected, as when parsing the whole text."""
        text = f'{SAMPLE_TEXT}[services.portal]\npromised_slots = 1\n'

        error = self.assertRaises(FleetTextError, TextReader().read, text)

        self.assertThat(error.code, Equals(ResultCode.TEXT_SYNTAX))
