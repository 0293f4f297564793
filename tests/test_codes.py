"""Test that each result code and log event is documented."""

from __future__ import annotations

import pathlib

import testtools
from testtools.matchers import Contains

from wigeonreach.codes import ResultCode
from wigeonreach.observe import LogEvent

_DOCS = pathlib.Path(__file__).parent.parent / 'docs'


class TestNumbers(testtools.TestCase):
    """Numbered codes and events in the docs."""

    def test_result_codes(self) -> None:
        """Each result code has a row."""
        table = (_DOCS / 'RESULT-CODES.md').read_text()
        for code in ResultCode:
            row = f'| {int(code)} | {code.name.lower()} |'
            self.assertThat(table, Contains(row))

    def test_log_events(self) -> None:
        """Each log event has a row."""
        table = (_DOCS / 'LOG-EVENTS.md').read_text()
        for event in LogEvent:
            row = f'| {int(event)} | {event.name.lower()} |'
            self.assertThat(table, Contains(row))
