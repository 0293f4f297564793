"""Tests of the detection of pauses of this process."""

from __future__ import annotations

import testtools
from testtools.matchers import Equals

from wigeonreach.entry._pause import PauseWatch


class TestPauseWatch(testtools.TestCase):
    """Earliest arrival time of a message that is read now."""

    def test_running(self) -> None:
        """Without a pause, a message that is read now arrived now."""
        watch = PauseWatch(10)
        watch.tick(10.1)

        self.assertThat(watch.arrived_s(10.2), Equals(10.2))

    def test_paused(self) -> None:
        """A message read right after a pause may be as old as the pause."""
        watch = PauseWatch(10)

        self.assertThat(watch.arrived_s(40), Equals(10))
        watch.tick(40.1)
        self.assertThat(watch.arrived_s(40.5), Equals(10))
        watch.tick(40.8)
        self.assertThat(watch.arrived_s(41.1), Equals(41.1))
