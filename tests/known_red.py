"""Run the tests that KNOWN-RED.txt lists, and let a run pass over just these.

A listed test that fails is printed and passed over; one that passes, or that
is not there, fails the run, so that the list can't outlive its faults.
"""

from __future__ import annotations

import dataclasses
import pathlib
from collections.abc import Collection, Sequence

import pytest

FILE_NAME = 'KNOWN-RED.txt'
# More would hide what a run has to say.
MOST_ENTRIES = 3
# Test, command with its seed, what was seen, and the open issue.
_FIELDS = 4
_SEPARATOR = ' | '


class KnownRedError(ValueError):
    """The list itself can't be taken."""


@dataclasses.dataclass(frozen=True, slots=True)
class KnownRed:
    """One test that fails for a fault that is not mended yet.

    Attributes
    ----------
    test
        As the test runner names it: FILE::CLASS::TEST.
    command
        That brings the failure about, with its seed.
    seen
        What was seen.
    issue
        Where the fault is open.
    """

    test: str
    command: str
    seen: str
    issue: str

    @property
    def file(self) -> str:
        """The file that the test stands in."""
        return self.test.split('::', maxsplit=1)[0]


def read_entries(text: str) -> tuple[KnownRed, ...]:
    """Return the tests that a list names, one a line.

    Raises
    ------
    KnownRedError
        If a line has other fields, or there are too many of them.
    """
    lines = [line.strip() for line in text.splitlines() if line.strip()]
    if len(lines) > MOST_ENTRIES:
        raise KnownRedError(f'{len(lines)} entries, {MOST_ENTRIES} at most')
    return tuple(_entry(line) for line in lines)


def _entry(line: str) -> KnownRed:
    fields = line.split(_SEPARATOR)
    if len(fields) != _FIELDS or not all(fields):
        raise KnownRedError(f'not test | command | seen | issue: {line}')
    return KnownRed(*fields)


def missing_of(
    entries: Collection[KnownRed],
    collected: Collection[str],
    root: pathlib.Path,
) -> list[str]:
    """Return the listed tests that are not there.

    Parameters
    ----------
    entries
        What is listed.
    collected
        Names of the tests that were found; of a file that was not asked for
        there are none.
    root
        Under which the files are.
    """
    files = {name.split('::', maxsplit=1)[0] for name in collected}
    return [
        entry.test
        for entry in entries
        if entry.test not in collected
        and (entry.file in files or not (root / entry.file).is_file())
    ]


class KnownRedPlugin:
    """Apply a list to one run.

    Parameters
    ----------
    entries
        What is listed.
    root
        Under which the files are.
    """

    def __init__(
        self,
        entries: Sequence[KnownRed],
        root: pathlib.Path,
    ) -> None:
        """Pass over nothing yet."""
        self._entries = {entry.test: entry for entry in entries}
        self._root = root
        self._passed_over: list[str] = []

    @pytest.hookimpl(tryfirst=True)
    def pytest_collection_modifyitems(self, items: list[pytest.Item]) -> None:
        """Expect listed tests to fail; refuse a list that names others."""
        collected = {item.nodeid for item in items}
        missing = missing_of(self._entries.values(), collected, self._root)
        if missing:
            raise pytest.UsageError(f'{FILE_NAME}: no such test: {missing}')
        for item in items:
            entry = self._entries.get(item.nodeid)
            if entry is not None:
                mark = pytest.mark.xfail(reason=entry.issue, strict=True)
                item.add_marker(mark)

    def pytest_runtest_logreport(self, report: pytest.TestReport) -> None:
        """Take note of what is passed over."""
        is_passed_over = hasattr(report, 'wasxfail')
        if is_passed_over and report.nodeid in self._entries:
            self._passed_over.append(report.nodeid)

    def pytest_terminal_summary(
        self,
        terminalreporter: pytest.TerminalReporter,
    ) -> None:
        """Print what was passed over."""
        for test in self._passed_over:
            entry = self._entries[test]
            terminalreporter.write_line(
                f'known red, passed over: {entry.test}: {entry.seen}'
                f' ({entry.issue})',
            )


def pytest_configure(config: pytest.Config) -> None:
    """Apply the list of the repository, if there is one."""
    path = config.rootpath / FILE_NAME
    if not path.is_file():
        return
    try:
        entries = read_entries(path.read_text())
    except KnownRedError as error:
        raise pytest.UsageError(f'{FILE_NAME}: {error}') from error
    config.pluginmanager.register(KnownRedPlugin(entries, config.rootpath))
