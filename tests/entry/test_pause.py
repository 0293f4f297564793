"""Test what counts as new after this process stood still."""

from __future__ import annotations

import testtools
from testtools.matchers import Equals

from wigeonreach.entry._pause import PauseWatch


class TestPauseWatch(testtools.TestCase):
    """Times at which something that is read now can have arrived."""

    def test_running(self) -> None:
        """What is read by a process that runs arrived now."""
        watch = PauseWatch(10)
        watch.tick(10.1)

        self.assertThat(watch.arrived_s(10.2), Equals(10.2))

    def test_paused(self) -> None:
        """What is read right after a pause may have waited all along."""
        watch = PauseWatch(10)

        self.assertThat(watch.arrived_s(40), Equals(10))
        watch.tick(40.1)
        self.assertThat(watch.arrived_s(40.5), Equals(10))
        watch.tick(40.8)
        self.assertThat(watch.arrived_s(41.1), Equals(41.1))
