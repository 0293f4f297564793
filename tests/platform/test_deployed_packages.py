"""Test that the platform's processes import only deployed packages.

A process that imports a package missing from ``deploy/requirements.txt`` fails
to start on the platform's machines.
"""

from __future__ import annotations

import pathlib
import re
import subprocess  # noqa: S404 - a process of its own imports anew
import sys
import sysconfig
import tempfile
from importlib import metadata

import testtools
from testtools import matchers

_ROOT = pathlib.Path(__file__).parents[2]
_REQUIREMENTS = _ROOT / 'deploy' / 'requirements.txt'
_PROCESSES = (
    'wigeonreach.platform._entry_process',
    'wigeonreach.platform._core_process',
)
_PACKAGES = pathlib.Path(sysconfig.get_path('purelib'))


def _normalized(name: str) -> str:
    return re.sub('[._]', '-', name).lower()


def _required_packages() -> set[str]:
    lines = _REQUIREMENTS.read_text().splitlines()
    return {
        _normalized(line.partition('==')[0].strip()) for line in lines if line
    }


def _link_modules(folder: pathlib.Path) -> None:
    """Link the modules of the required packages into a folder."""
    installed = _required_packages()
    for module, owners in metadata.packages_distributions().items():
        if not installed & set(map(_normalized, owners)):
            continue
        for found in _PACKAGES.glob(f'{module}*'):
            if found.name.partition('.')[0] == module:
                (folder / found.name).symlink_to(found)


class TestCleanMachine(testtools.TestCase):
    """A machine with only Python and the required packages."""

    def _run(self, code: str) -> None:
        with tempfile.TemporaryDirectory() as name:
            _link_modules(pathlib.Path(name))
            path = [name, str(_ROOT / 'src')]
            completed = subprocess.run(  # noqa: S603
                [
                    sys.executable,
                    '-S',
                    '-c',
                    f'import sys; sys.path[:0] = {path}; {code}',
                ],
                capture_output=True,
                text=True,
                check=False,
            )
        self.assertThat(completed.stderr, matchers.Equals(''))
        self.assertThat(completed.returncode, matchers.Equals(0))

    def test_processes_can_be_imported(self) -> None:
        """No module imports a package that is not deployed."""
        for process in _PROCESSES:
            self._run(f'import wigeonreach.platform.__main__, {process}')

    def test_entry_does_not_import_the_core(self) -> None:
        """It would slow down each start of the many entry processes."""
        self._run(
            f'import wigeonreach.platform.__main__, {_PROCESSES[0]}; '
            "assert 'wigeonreach.core' not in sys.modules",
        )
