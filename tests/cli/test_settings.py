"""Test that invalid settings are numbered and all are documented."""

from __future__ import annotations

import pathlib

import testtools
import typer
from testtools.matchers import Contains, Equals
from typer.testing import CliRunner

from wigeonreach.cli import app

_DAEMONS = ('entry', 'replica', 'manager', 'core')
_PAGE = pathlib.Path(__file__).parents[2] / 'docs' / 'SETTINGS.md'
_REPLICA_ARGUMENTS = (
    'replica',
    '--name=r-a',
    '--zone=a',
    '--listen=127.0.0.1:1',
    '--replica=r-a@a=127.0.0.1:1',
)


class TestSettings(testtools.TestCase):
    """Settings of the daemons."""

    def test_missing(self) -> None:
        """A missing setting is reported with flag, variable and number."""
        self._assert_refused(
            _REPLICA_ARGUMENTS[:2],
            '5001 setting_missing: --zone (WIGEONREACH_ZONE)',
        )

    def test_out_of_range(self) -> None:
        """A setting that the parser rejects is reported with its number."""
        self._assert_refused(
            (*_REPLICA_ARGUMENTS, '--log-level=loud'),
            '5002 setting_invalid: --log-level (WIGEONREACH_LOG_LEVEL)',
        )

    def test_malformed(self) -> None:
        """A setting that the daemon rejects is reported with its number."""
        self._assert_refused(
            (*_REPLICA_ARGUMENTS, '--replica=r-b'),
            '5002 setting_invalid: --replica',
        )

    def test_page(self) -> None:
        """Each daemon setting is documented with flag and variable."""
        page = _PAGE.read_text()
        command = typer.main.get_command(app)
        for daemon in _DAEMONS:
            for parameter in command.commands[daemon].params:  # type: ignore[attr-defined]
                row = f'| `{parameter.opts[0]}` | `{parameter.envvar}` |'
                self.assertThat(page, Contains(row))

    def _assert_refused(self, arguments: tuple[str, ...], message: str) -> None:
        outcome = CliRunner().invoke(app, list(arguments), env={})
        self.assertThat(outcome.exit_code, Equals(2))
        self.assertThat(outcome.stderr, Contains(message))
