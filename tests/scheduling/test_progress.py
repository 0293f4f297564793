"""Test that tasks on unhealthy workers are restarted elsewhere.

Workers send heartbeats in time while their runs stall, fail, or take several
times as long.
"""

from __future__ import annotations

import testtools
from testtools import matchers

from tests.builders_jobs import (
    FakeLead,
    job,
    key,
    serving_step,
    step,
    store_with,
    workers,
)
from wigeonreach.jobs import RunEnd
from wigeonreach.standins import StandInWorker


def _busy(lead: FakeLead) -> list[StandInWorker]:
    return [worker for worker in lead.workers.values() if worker.running]


class TestStalledRuns(testtools.TestCase):
    """Runs without progress."""

    def test_stalled_run_restarts_elsewhere(self) -> None:
        """It is stopped after 1.5 s, and restarted on another worker."""
        lead = FakeLead(store_with(job()), workers(2))
        lead.round()
        first = _busy(lead)[0]
        for _ in range(9):
            lead.round(0.25)
        self.assertThat(first.running, matchers.HasLength(0))
        self.assertThat(_busy(lead), matchers.HasLength(1))

    def test_run_with_progress_stays(self) -> None:
        """A slow run is left alone while it makes progress."""
        lead = FakeLead(store_with(job()), workers(2))
        lead.round()
        first = _busy(lead)[0]
        for percent in range(1, 20):
            first.advance(percent)
            lead.round(0.25)
        self.assertThat(list(first.running), matchers.Equals([(key(), 1)]))

    def test_working_serving_run_stays(self) -> None:
        """A serving task that works reports no progress."""
        lead = FakeLead(store_with(job(serving_step(1))), workers(2))
        for _ in range(40):
            lead.round(0.25)
        runs = [run for worker in _busy(lead) for run in worker.running]
        self.assertThat(runs, matchers.Equals([(key(), 1)]))

    def test_paced_run_stays(self) -> None:
        """Batch work at a pace of 0 makes no progress."""
        lead = FakeLead(store_with(job()), workers(1))
        lead.round()
        worker = lead.workers['w0']
        lead.scheduler.pacing.set('w0', 0)
        for _ in range(10):
            lead.round(0.25)
        self.assertThat(list(worker.running), matchers.Equals([(key(), 1)]))


def _set_progress(lead: FakeLead, *percents: int) -> None:
    """Set the progress of the runs on each busy worker, in percent."""
    for worker, percent in zip(_busy(lead), percents, strict=True):
        worker.advance(percent)


class TestGangs(testtools.TestCase):
    """Members that end together, on workers of different speed."""

    def setUp(self) -> None:
        """Start a gang of two members on two workers."""
        super().setUp()
        gang = step(2, cpu_millicores=16_000, is_gang=True)
        self.lead = FakeLead(store_with(job(gang)), workers(3))
        self.lead.round()
        self.first = _busy(self.lead)

    def test_member_that_waits_for_a_slower_one_stays(self) -> None:
        """A finished member is not stalled."""
        for percent in range(10, 90, 5):
            _set_progress(self.lead, 100, percent)
            self.lead.round(0.25)
        self.assertThat(_busy(self.lead), matchers.Equals(self.first))

    def test_gang_that_has_not_started_stays(self) -> None:
        """Its workers end it themselves if a member is missing."""
        for _ in range(10):
            _set_progress(self.lead, 0, 0)
            self.lead.round(0.25)
        self.assertThat(_busy(self.lead), matchers.Equals(self.first))

    def test_stalled_member_is_stopped(self) -> None:
        """Only its worker becomes suspect, not that of the other member."""
        _set_progress(self.lead, 100, 40)
        for _ in range(9):
            self.lead.round(0.25)
        self.assertThat(self.first[1].running, matchers.HasLength(0))
        scores = self.lead.scheduler.quarantine
        self.assertThat(scores.failing_workers, matchers.Equals({'w1'}))


class TestHealth(testtools.TestCase):
    """Workers on which every task fails."""

    def test_failing_worker_is_quarantined(self) -> None:
        """After two failures in a row of different jobs it gets no tasks."""
        jobs = [job(job_id=f'{number:016x}') for number in range(1, 4)]
        lead = FakeLead(store_with(*jobs), workers(4))
        for _ in range(3):
            lead.round()
            for run in list(lead.workers['w0'].running):
                lead.workers['w0'].end(run, RunEnd.FAILED)
        lead.round()
        self.assertThat(
            lead.scheduler.quarantine.quarantined(
                list(lead.workers), lead.now_s
            ),
            matchers.Equals({'w0'}),
        )
        self.assertThat(lead.workers['w0'].running, matchers.HasLength(0))

    def test_last_attempt_waits_for_another_worker(self) -> None:
        """A single worker must not make a task fail for good."""
        lead = FakeLead(store_with(job()), workers(2))
        lead.round()
        first = _busy(lead)[0]
        other = next(
            worker for worker in lead.workers.values() if worker is not first
        )
        other.cpu_millicores = 0
        first.end((key(), 1), RunEnd.FAILED)
        lead.round()
        self.assertThat(_busy(lead), matchers.HasLength(0))
        other.cpu_millicores = 16_000
        lead.round()
        self.assertThat(_busy(lead), matchers.Equals([other]))

    def test_last_attempt_does_not_wait_in_pool_of_one_worker(self) -> None:
        """The only worker of a pool is used again."""
        lead = FakeLead(store_with(job()), workers(1))
        lead.round()
        lead.workers['w0'].end((key(), 1), RunEnd.FAILED)
        lead.round()
        self.assertThat(_busy(lead), matchers.HasLength(1))


class TestDraining(testtools.TestCase):
    """Workers that announce that they will end."""

    def test_serving_tasks_leave_a_draining_worker(self) -> None:
        """They are restarted elsewhere first, one task of a step at a time."""
        lead = FakeLead(store_with(job(serving_step(2))), workers(4))
        lead.round()
        first = _busy(lead)[0]
        first.is_draining = True
        for _ in range(4):
            lead.round()
        self.assertThat(first.running, matchers.HasLength(0))
        runs = [run for worker in _busy(lead) for run in worker.running]
        self.assertThat(runs, matchers.HasLength(2))
