"""Play a short run with real processes."""

from __future__ import annotations

import pathlib
import tempfile

import testtools
from testtools import matchers

from soak._play import Shape, play

_SHORT = Shape(length_s=6.0)
# Their plans kill, pause, cut and wipe within the first seconds.
_SEEDS = (4, 11)


class TestShortRun(testtools.TestCase):
    """Three core processes under a few faults."""

    def test_promises_hold(self) -> None:
        """No promise is broken, and work was done."""
        for seed in _SEEDS:
            with tempfile.TemporaryDirectory() as folder:
                outcome = play(seed, _SHORT, pathlib.Path(folder))
            self.assertThat(outcome.broken, matchers.Equals(()), f'seed {seed}')
            self.assertThat(outcome.counts['accepted'] > 0, matchers.Is(True))
