"""Test that settings are refused by number and stand in the docs."""

from __future__ import annotations

import pathlib

import testtools
import typer
from testtools.matchers import Contains, Equals
from typer.testing import CliRunner

from wigeonreach.cli import app

_DAEMONS = ('entry', 'replica', 'manager', 'core')
_PAGE = pathlib.Path(__file__).parents[2] / 'docs' / 'SETTINGS.md'
_WHOLE_REPLICA = (
    'replica',
    '--name=r-a',
    '--zone=a',
    '--listen=127.0.0.1:1',
    '--replica=r-a@a=127.0.0.1:1',
)


class TestSettings(testtools.TestCase):
    """Settings of the daemons."""

    def test_missing(self) -> None:
        """A missing setting is named with flag, variable and number."""
        self._assert_refused(
            _WHOLE_REPLICA[:2],
            '5001 setting_missing: --zone (WIGEONREACH_ZONE)',
        )

    def test_out_of_range(self) -> None:
        """A setting that the parser refuses is named with its number."""
        self._assert_refused(
            (*_WHOLE_REPLICA, '--log-level=loud'),
            '5002 setting_invalid: --log-level (WIGEONREACH_LOG_LEVEL)',
        )

    def test_malformed(self) -> None:
        """A setting that the daemon refuses is named with its number."""
        self._assert_refused(
            (*_WHOLE_REPLICA, '--replica=r-b'),
            '5002 setting_invalid: --replica',
        )

    def test_page(self) -> None:
        """Each setting of a daemon has a row with flag and variable."""
        page = _PAGE.read_text()
        command = typer.main.get_command(app)
        for daemon in _DAEMONS:
            for one in command.commands[daemon].params:  # type: ignore[attr-defined]
                row = f'| `{one.opts[0]}` | `{one.envvar}` |'
                self.assertThat(page, Contains(row))

    def _assert_refused(self, words: tuple[str, ...], start: str) -> None:
        called = CliRunner().invoke(app, list(words), env={})
        self.assertThat(called.exit_code, Equals(2))
        self.assertThat(called.stderr, Contains(start))
