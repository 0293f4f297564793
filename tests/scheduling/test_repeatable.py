"""Test that decisions repeat from one process to the next.

Guards against decisions that depend on the order of a set, which differs from
process to process: two leaders with the same record then decide differently, and
no day can be played again.
"""

from __future__ import annotations

import os
import pathlib
import subprocess  # noqa: S404 - hash seeds are per process
import sys

import testtools
from testtools import matchers

_ROOT = pathlib.Path(__file__).parent.parent.parent
_HASH_SEEDS = ('0', '1', '2', '3')


def _start(hash_seed: str) -> subprocess.Popen[str]:
    """Start a process that plays days with a hash seed."""
    return subprocess.Popen(  # noqa: S603
        [sys.executable, '-m', 'tests.builders_digests'],
        cwd=_ROOT,
        env={**os.environ, 'PYTHONHASHSEED': hash_seed},
        stdout=subprocess.PIPE,
        text=True,
    )


class TestRepeatable(testtools.TestCase):
    """Days with crashing tasks, storms, new leaders, floods and moves."""

    def test_hash_seeds_change_no_decision(self) -> None:
        """Processes with other hash seeds commit the same commands."""
        processes = [_start(hash_seed) for hash_seed in _HASH_SEEDS]
        outputs = [process.communicate()[0] for process in processes]
        codes = {process.returncode for process in processes}
        self.assertThat(codes, matchers.Equals({0}))
        self.assertThat(set(outputs), matchers.HasLength(1))
