"""Tests of an entry's lifecycle and of the announcement interval."""

from __future__ import annotations

import testtools
from testtools.matchers import Equals

from wigeonreach.charts import load_chart
from wigeonreach.entry._lifecycle import Lifecycle, LifecycleEvent, Phase
from wigeonreach.entry._pace import announce_after_s


class TestLifecycle(testtools.TestCase):
    """The state chart ``entry_lifecycle``."""

    def test_chart(self) -> None:
        """The chart's states are exactly the phases."""
        states = load_chart('entry_lifecycle').states

        self.assertThat(states, Equals({phase.value for phase in Phase}))

    def test_stop(self) -> None:
        """Readiness is withdrawn before new requests are refused."""
        lifecycle = Lifecycle()
        self.assertFalse(lifecycle.is_ready)
        lifecycle.apply(LifecycleEvent.LEARNED)
        self.assertTrue(lifecycle.is_ready)

        lifecycle.apply(LifecycleEvent.TOLD_TO_STOP)
        self.assertFalse(lifecycle.is_ready)
        self.assertTrue(lifecycle.takes_work)
        self.assertTrue(lifecycle.is_stopping)
        lifecycle.apply(LifecycleEvent.LEARNED)
        self.assertFalse(lifecycle.is_ready)

        lifecycle.apply(LifecycleEvent.NOTICE_GIVEN)
        self.assertFalse(lifecycle.takes_work)


class TestAnnounceInterval(testtools.TestCase):
    """The interval at which targets announce themselves."""

    def test_bounds(self) -> None:
        """The interval grows with the targets per entry, within bounds."""
        self.assertThat(announce_after_s(10, 2), Equals(1.25))
        self.assertThat(announce_after_s(2, 2), Equals(0.5))
        self.assertThat(announce_after_s(2000, 2), Equals(180.0))
