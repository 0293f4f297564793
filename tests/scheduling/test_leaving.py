"""Test when the runs of workers that announced their end start elsewhere."""

from __future__ import annotations

import testtools
from testtools import matchers

from tests.builders_jobs import workers
from tests.builders_leaving import LeavingFleet
from wigeonreach.scheduling._incarnation import LEASE_EXPIRED_S, LEASE_MS
from wigeonreach.scheduling._workers import Workers

_LEASE_S = LEASE_MS / 1000
_AT_MOST_ONE = matchers.LessThan(2)


class TestUnacknowledged(testtools.TestCase):
    """A worker that does not learn that its announcement arrived goes on.

    Guards against two runs of a task at the same time, one on such a worker.
    """

    def setUp(self) -> None:
        """Let two workers with a task each drain."""
        super().setUp()
        self.fleet = LeavingFleet()
        self.fleet.drain()

    def test_runs_wait_until_their_last_lease_is_over(self) -> None:
        """Both workers are unheard, and run on until their leases end."""
        self.fleet.announce()
        self.fleet.cut()
        self._run_until_restarted()

    def test_heard_worker_gets_no_further_lease(self) -> None:
        """Its heartbeats arrive, so the ends of its runs are known at once."""
        self.fleet.announce()
        self._run_until_restarted()

    def test_new_leader_that_gets_the_announcement_waits_too(self) -> None:
        """It has not heard the workers, which have a lease of the former."""
        self.fleet.cut()
        self.fleet.change_leader()
        self.fleet.announce()
        self._run_until_restarted()

    def test_announcement_without_drain_waits_for_the_lease(self) -> None:
        """The workers had full leases until then."""
        fleet = LeavingFleet()
        fleet.announce()
        fleet.cut()
        while not fleet.is_restarted():
            fleet.round()
            self.assertThat(fleet.most_runs(), _AT_MOST_ONE)

    def test_ends_are_acknowledged_without_a_lease(self) -> None:
        """Otherwise they would count as never recorded."""
        self.fleet.announce()
        self._run_until_restarted()
        self.fleet.round()
        for worker in self.fleet.leaving:
            self.assertThat(worker.ended, matchers.Equals([]), worker.name)

    def _run_until_restarted(self) -> None:
        until_s = self.fleet.lead.now_s + LEASE_EXPIRED_S + 1
        while self.fleet.lead.now_s < until_s:
            self.fleet.round()
            self.assertThat(self.fleet.most_runs(), _AT_MOST_ONE)
        self.assertThat(self.fleet.is_restarted(), matchers.Is(True))


class TestAcknowledged(testtools.TestCase):
    """A worker that gets its acknowledgement exits at once."""

    def test_wait_is_shorter_than_a_lease(self) -> None:
        """Callers feel it in each planned shutdown, so it has to be short."""
        fleet = LeavingFleet()
        fleet.drain()
        fleet.announce()
        fleet.cut()
        for gone in fleet.leaving:
            gone.running.clear()
        self.assertThat(
            fleet.seconds_until_restart(_LEASE_S),
            matchers.LessThan(_LEASE_S * 2 / 3),
        )


class TestAnnouncements(testtools.TestCase):
    """Announcements of workers that are not heard yet in a term."""

    def test_worker_heard_after_its_announcement_gets_no_lease(self) -> None:
        """Its announcement overtook its heartbeat."""
        tracked = Workers(0)
        worker = workers(1)[0]
        tracked.mark_leaving('w0', 0)
        known = tracked.process_heartbeat(worker.report(), 0.1)
        assert known is not None
        self.assertThat(known.lease_ms, matchers.Equals(0))
        self.assertThat(known.accepts_work(0.1), matchers.Is(False))

    def test_unheard_worker_is_over_with_all_former_leases(self) -> None:
        """A former leader may have given it a lease until this term began."""
        tracked = Workers(0)
        tracked.mark_leaving('w0', 0)
        soon_s = LEASE_EXPIRED_S - 0.1
        self.assertThat(tracked.is_over('w0', soon_s), matchers.Is(False))
        self.assertThat(
            tracked.is_over('w0', LEASE_EXPIRED_S), matchers.Is(True)
        )
        self.assertThat(tracked.was_heard('w0'), matchers.Is(True))
