"""Test how late a heartbeat is taken to be."""

from __future__ import annotations

import testtools
from testtools import matchers

from wigeonreach.scheduling._heartbeat_age import HeartbeatAge

_SLOW_CLOCK = 0.98


class TestHeartbeatAge(testtools.TestCase):
    """When heartbeats were sent, by clocks that start at any time."""

    def test_late_heartbeat_was_sent_before(self) -> None:
        """It is told by the ones that came at once."""
        age = HeartbeatAge()
        self.assertThat(age.sent_s(7000, 100.0), matchers.Equals(100.0))
        sent_s = age.sent_s(7250, 102.0)
        self.assertThat(sent_s, matchers.LessThan(100.5))
        sent_s = age.sent_s(9300, 102.3)
        self.assertThat(sent_s, matchers.Equals(102.3))

    def test_slow_clock_makes_no_heartbeat_late(self) -> None:
        """It falls behind by a second in a minute."""
        age = HeartbeatAge()
        for second in range(300):
            sent_s = age.sent_s(int(second * 1000 * _SLOW_CLOCK), second)
            self.assertThat(second - sent_s, matchers.LessThan(0.01))

    def test_worker_that_tells_no_clock_is_never_late(self) -> None:
        """Nothing is known then but when it was heard."""
        age = HeartbeatAge()
        age.sent_s(None, 1.0)
        self.assertThat(age.sent_s(None, 9.0), matchers.Equals(9.0))
