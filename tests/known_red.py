"""Expect the tests listed in KNOWN-RED.txt to fail, and only these.

A listed test that fails is printed and does not fail the run.  A listed test
that passes or does not exist fails the run, so that no entry outlives its
fault.
"""

from __future__ import annotations

import dataclasses
import pathlib
from collections.abc import Collection, Sequence

import pytest

FILE_NAME = 'KNOWN-RED.txt'
# More expected failures would make the result of a run hard to interpret.
MAX_ENTRIES = 3
# Test, command with seed, observed failure and open issue.
_FIELDS = 4
_SEPARATOR = ' | '


class KnownRedError(ValueError):
    """The list is malformed or too long."""


@dataclasses.dataclass(frozen=True, slots=True)
class KnownRed:
    """One test that fails because of a fault that is not fixed yet.

    Attributes
    ----------
    test
        Node id of pytest: FILE::CLASS::TEST.
    command
        Command that reproduces the failure, with its seed.
    seen
        Observed failure.
    issue
        Open issue about the fault.
    """

    test: str
    command: str
    seen: str
    issue: str

    @property
    def file(self) -> str:
        """File that contains the test."""
        return self.test.split('::', maxsplit=1)[0]


def read_entries(text: str) -> tuple[KnownRed, ...]:
    """Parse a list with one entry per line.

    Raises
    ------
    KnownRedError
        If a line does not have four fields, or there are too many lines.
    """
    lines = [line.strip() for line in text.splitlines() if line.strip()]
    if len(lines) > MAX_ENTRIES:
        raise KnownRedError(f'{len(lines)} entries, {MAX_ENTRIES} at most')
    return tuple(_parse_entry(line) for line in lines)


def _parse_entry(line: str) -> KnownRed:
    fields = line.split(_SEPARATOR)
    if len(fields) != _FIELDS or not all(fields):
        raise KnownRedError(f'not test | command | seen | issue: {line}')
    return KnownRed(*fields)


def find_missing(
    entries: Collection[KnownRed],
    collected: Collection[str],
    root: pathlib.Path,
) -> list[str]:
    """Return the listed tests that do not exist.

    Parameters
    ----------
    entries
        Listed tests.
    collected
        Node ids of the collected tests; a file that was not selected has
        none, and its entries are not missing.
    root
        Folder that the file names are relative to.
    """
    files = {name.split('::', maxsplit=1)[0] for name in collected}
    return [
        entry.test
        for entry in entries
        if entry.test not in collected
        and (entry.file in files or not (root / entry.file).is_file())
    ]


class KnownRedPlugin:
    """Pytest plugin that applies the list to one run.

    Parameters
    ----------
    entries
        Listed tests.
    root
        Folder that the file names are relative to.
    """

    def __init__(
        self,
        entries: Sequence[KnownRed],
        root: pathlib.Path,
    ) -> None:
        """Start with no expected failure seen."""
        self._entries = {entry.test: entry for entry in entries}
        self._root = root
        self._expected_failures: list[str] = []

    @pytest.hookimpl(tryfirst=True)
    def pytest_collection_modifyitems(self, items: list[pytest.Item]) -> None:
        """Mark listed tests as expected failures; reject unknown tests."""
        collected = {item.nodeid for item in items}
        missing = find_missing(self._entries.values(), collected, self._root)
        if missing:
            raise pytest.UsageError(f'{FILE_NAME}: no such test: {missing}')
        for item in items:
            entry = self._entries.get(item.nodeid)
            if entry is not None:
                mark = pytest.mark.xfail(reason=entry.issue, strict=True)
                item.add_marker(mark)

    def pytest_runtest_logreport(self, report: pytest.TestReport) -> None:
        """Record listed tests that failed as expected."""
        is_expected_failure = hasattr(report, 'wasxfail')
        if is_expected_failure and report.nodeid in self._entries:
            self._expected_failures.append(report.nodeid)

    def pytest_terminal_summary(
        self,
        terminalreporter: pytest.TerminalReporter,
    ) -> None:
        """Print the expected failures."""
        for test in self._expected_failures:
            entry = self._entries[test]
            terminalreporter.write_line(
                f'known red, passed over: {entry.test}: {entry.seen}'
                f' ({entry.issue})',
            )


def pytest_configure(config: pytest.Config) -> None:
    """Register the plugin if the repository has a list."""
    path = config.rootpath / FILE_NAME
    if not path.is_file():
        return
    try:
        entries = read_entries(path.read_text())
    except KnownRedError as error:
        raise pytest.UsageError(f'{FILE_NAME}: {error}') from error
    config.pluginmanager.register(KnownRedPlugin(entries, config.rootpath))
