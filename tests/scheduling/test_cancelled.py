"""Test that no run of a cancelled job continues.

A worker may get an order to start after the job was cancelled, or carry it out
when the leader that gave it is gone.
"""

from __future__ import annotations

import testtools
from testtools import matchers

from tests.builders_jobs import (
    JOB,
    TERM,
    FakeLead,
    job,
    key,
    store_with,
    workers,
)
from wigeonreach.jobs import ForgetJobs
from wigeonreach.lab import commit
from wigeonreach.wire._worker_messages import StopOrder

_RUN = 1


class TestCancelledRuns(testtools.TestCase):
    """One job of one task, ordered to the only worker."""

    def setUp(self) -> None:
        """Order the task, and cancel the job before the answer arrives."""
        super().setUp()
        self.store = store_with(job())
        self.lead = FakeLead(self.store, workers(1))
        self.worker = self.lead.workers['w0']
        self.lead.hear(self.worker)
        self.lead.plan()
        known = self.lead.scheduler.workers.incarnations['w0']
        self.late = self.lead.scheduler.answers.orders(known, self.lead.now_s)
        self.lead.cancel()

    def _stops(self, lead: FakeLead) -> tuple[StopOrder, ...]:
        """Return the stops in the next answer to the worker."""
        lead.now_s += 0.5
        lead.hear(self.worker)
        lead.plan()
        known = lead.scheduler.workers.incarnations['w0']
        return lead.scheduler.answers.orders(known, lead.now_s).stops

    def test_run_that_starts_late_is_stopped(self) -> None:
        """The answer arrives after the cancellation was acknowledged."""
        self.assertThat(self._stops(self.lead), matchers.Equals(()))
        self.worker.obey(self.late)
        expected = (StopOrder(key(), _RUN),)
        self.assertThat(self._stops(self.lead), matchers.Equals(expected))

    def test_run_of_a_removed_leader_is_stopped(self) -> None:
        """The next leader stops it with its first answer."""
        self.worker.obey(self.late)
        lead = FakeLead(self.store, (self.worker,), TERM + 1, 3)
        expected = (StopOrder(key(), _RUN),)
        self.assertThat(self._stops(lead), matchers.Equals(expected))

    def test_run_of_a_forgotten_job_is_stopped(self) -> None:
        """The leader has no record of the job any more."""
        self._stops(self.lead)
        commit(self.store, ForgetJobs((JOB,)))
        self.worker.obey(self.late)
        expected = (StopOrder(key(), _RUN),)
        self.assertThat(self._stops(self.lead), matchers.Equals(expected))
