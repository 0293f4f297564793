"""Test that reading part by part gives what reading the whole gives."""

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
    """Versions that follow each other."""

    def test_same_data(self) -> None:
        """Each version is read as it would be alone."""
        reader = TextReader()
        for text in _VERSIONS:
            self.assertThat(reader.read(text), Equals(parse_fleet_text(text)))

    def test_table_in_string(self) -> None:
        """A line in a string that looks like a table is no table."""
        reader = TextReader()
        text = f'{SAMPLE_TEXT}[teams."""\n[services.x]\n"""]\n'

        error = self.assertRaises(FleetTextError, reader.read, text)

        alone = self.assertRaises(FleetTextError, parse_fleet_text, text)
        self.assertThat(str(error), Equals(str(alone)))

    def test_twice(self) -> None:
        """A table that stands twice is refused as in the whole text."""
        text = f'{SAMPLE_TEXT}[services.portal]\npromised_slots = 1\n'

        error = self.assertRaises(FleetTextError, TextReader().read, text)

        self.assertThat(error.code, Equals(ResultCode.TEXT_SYNTAX))
