"""Test that the platform's processes need only what their build installs."""

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


def _normal(name: str) -> str:
    return re.sub('[._]', '-', name).lower()


def _installed() -> set[str]:
    lines = _REQUIREMENTS.read_text().splitlines()
    return {_normal(line.partition('==')[0].strip()) for line in lines if line}


def _link_modules(folder: pathlib.Path) -> None:
    """Fill a folder with the modules of what the build installs."""
    installed = _installed()
    for module, owners in metadata.packages_distributions().items():
        if not installed & set(map(_normal, owners)):
            continue
        for found in _PACKAGES.glob(f'{module}*'):
            if found.name.partition('.')[0] == module:
                (folder / found.name).symlink_to(found)


class TestCleanMachine(testtools.TestCase):
    """A machine with Python and what the build put into its folder."""

    def _run(self, code: str) -> None:
        with tempfile.TemporaryDirectory() as name:
            _link_modules(pathlib.Path(name))
            path = [name, str(_ROOT / 'src')]
            ended = subprocess.run(  # noqa: S603
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
        self.assertThat(ended.stderr, matchers.Equals(''))
        self.assertThat(ended.returncode, matchers.Equals(0))

    def test_processes_can_be_imported(self) -> None:
        """No module asks for a package that is not there."""
        for process in _PROCESSES:
            self._run(f'import wigeonreach.platform.__main__, {process}')

    def test_entry_loads_nothing_of_the_core(self) -> None:
        """Entries are many, and each restart loads all again."""
        self._run(
            f'import wigeonreach.platform.__main__, {_PROCESSES[0]}; '
            "assert 'wigeonreach.core' not in sys.modules",
        )
