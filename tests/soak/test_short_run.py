"""Run a short soak test with real processes."""

from __future__ import annotations

import pathlib
import tempfile

import testtools
from testtools import matchers

from soak._play import RunConfig, run_soak

_SHORT = RunConfig(length_s=6.0)
# Schedules that kill, pause, cut off and wipe within the first seconds.
_SEEDS = (4, 11)


class TestShortRun(testtools.TestCase):
    """Three core processes under a few faults."""

    def test_invariants_hold(self) -> None:
        """No invariant is violated, and jobs were accepted."""
        for seed in _SEEDS:
            with tempfile.TemporaryDirectory() as folder:
                outcome = run_soak(seed, _SHORT, pathlib.Path(folder))
            self.assertThat(
                outcome.violations, matchers.Equals(()), f'seed {seed}'
            )
            self.assertThat(outcome.counts['accepted'] > 0, matchers.Is(True))
