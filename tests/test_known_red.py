"""Test that only listed tests may fail without failing the run."""

from __future__ import annotations

import os
import pathlib
import subprocess  # noqa: S404 - the runner itself is under test
import sys
import tempfile

import testtools
from testtools import matchers

_ROOT = pathlib.Path(__file__).parent.parent
_TESTS = """
import testtools

class TestIt(testtools.TestCase):
    def test_fails(self):
        self.assertEqual(1, 2)

    def test_passes(self):
        self.assertEqual(1, 1)
"""
_FAILS = 'test_it.py::TestIt::test_fails'
_PASSES = 'test_it.py::TestIt::test_passes'
_REST = ' | make test, no seed | 1 is not 2 | issue 7\n'


class TestKnownRed(testtools.TestCase):
    """Effect of the list on a run."""

    def setUp(self) -> None:
        """Create a project with one test that fails."""
        super().setUp()
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.root = pathlib.Path(folder.name)
        (self.root / 'test_it.py').write_text(_TESTS)
        (self.root / 'pytest.ini').write_text('[pytest]\n')

    def run_tests(self, listed: str | None) -> subprocess.CompletedProcess[str]:
        """Run the tests of the project with a list."""
        if listed is not None:
            (self.root / 'KNOWN-RED.txt').write_text(listed)
        options = ('-p', 'tests.known_red', '-p', 'no:cacheprovider')
        return subprocess.run(  # noqa: S603
            [sys.executable, '-m', 'pytest', *options, str(self.root)],
            capture_output=True,
            check=False,
            cwd=self.root,
            env={**os.environ, 'PYTHONPATH': str(_ROOT)},
            text=True,
        )

    def test_without_a_list_a_failure_counts(self) -> None:
        """A failure that is not listed fails the run."""
        run = self.run_tests(None)
        self.assertThat(run.returncode, matchers.Equals(1))

    def test_listed_failure_is_passed_over_and_printed(self) -> None:
        """A listed test still runs; its failure is printed and tolerated."""
        run = self.run_tests(_FAILS + _REST)
        self.assertThat(run.returncode, matchers.Equals(0))
        self.assertThat(run.stdout, matchers.Contains('1 passed, 1 xfailed'))
        line = f'known red, passed over: {_FAILS}: 1 is not 2 (issue 7)'
        self.assertThat(run.stdout, matchers.Contains(line))

    def test_listed_test_that_passes_fails_the_run(self) -> None:
        """A fixed fault must be removed from the list."""
        run = self.run_tests(_FAILS + _REST + _PASSES + _REST)
        self.assertThat(run.returncode, matchers.Equals(1))

    def test_unlisted_failures_count_despite_a_list(self) -> None:
        """Only listed failures are tolerated."""
        (self.root / 'test_other.py').write_text(_TESTS)
        run = self.run_tests(_FAILS + _REST)
        self.assertThat(run.returncode, matchers.Equals(1))

    def test_listed_test_that_does_not_exist_fails_the_run(self) -> None:
        """A renamed or removed test must be removed from the list."""
        for test in (f'{_FAILS}_gone', 'test_gone.py::TestIt::test_fails'):
            run = self.run_tests(test + _REST)
            self.assertThat(run.returncode, matchers.Not(matchers.Equals(0)))
            self.assertThat(run.stderr, matchers.Contains('no such test'))

    def test_list_that_is_too_long_or_malformed_fails_the_run(self) -> None:
        """The list has at most three entries, each with four fields."""
        for listed in ((_FAILS + _REST) * 4, _FAILS):
            run = self.run_tests(listed)
            self.assertThat(run.returncode, matchers.Not(matchers.Equals(0)))
            self.assertThat(run.stderr, matchers.Contains('KNOWN-RED.txt'))
