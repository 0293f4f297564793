"""Test the estimated send times of heartbeats."""

from __future__ import annotations

import testtools
from testtools import matchers

from wigeonreach.scheduling._send_time import SendTimeEstimator

_SLOW_CLOCK = 0.98


class TestSendTimeEstimator(testtools.TestCase):
    """Send times by worker clocks with an arbitrary origin."""

    def test_late_heartbeat_was_sent_before(self) -> None:
        """Its delay is derived from the heartbeats that came without any."""
        estimator = SendTimeEstimator()
        self.assertThat(
            estimator.estimate_s(7000, 100.0), matchers.Equals(100.0)
        )
        sent_s = estimator.estimate_s(7250, 102.0)
        self.assertThat(sent_s, matchers.LessThan(100.5))
        sent_s = estimator.estimate_s(9300, 102.3)
        self.assertThat(sent_s, matchers.Equals(102.3))

    def test_slow_clock_makes_no_heartbeat_late(self) -> None:
        """A clock may fall behind by a second in a minute."""
        estimator = SendTimeEstimator()
        for second in range(300):
            sent_s = estimator.estimate_s(
                int(second * 1000 * _SLOW_CLOCK), second
            )
            self.assertThat(second - sent_s, matchers.LessThan(0.01))

    def test_worker_that_tells_no_clock_is_never_late(self) -> None:
        """Without a clock, the arrival counts as the send time."""
        estimator = SendTimeEstimator()
        estimator.estimate_s(None, 1.0)
        self.assertThat(estimator.estimate_s(None, 9.0), matchers.Equals(9.0))
