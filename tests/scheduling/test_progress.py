"""Test that work on sick workers is found and done elsewhere.

Pattern: workers answer heartbeats in time while what runs on them stands
still, fails, or takes several times as long.
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


class TestStandingStill(testtools.TestCase):
    """Runs without progress."""

    def test_still_run_goes_elsewhere(self) -> None:
        """It is stopped after a second and a half, and starts elsewhere."""
        lead = FakeLead(store_with(job()), workers(2))
        lead.round()
        first = _busy(lead)[0]
        for _ in range(9):
            lead.round(0.25)
        self.assertThat(first.running, matchers.HasLength(0))
        self.assertThat(_busy(lead), matchers.HasLength(1))

    def test_run_that_moves_stays(self) -> None:
        """A slow run goes on while it makes progress."""
        lead = FakeLead(store_with(job()), workers(2))
        lead.round()
        first = _busy(lead)[0]
        for percent in range(1, 20):
            first.advance(percent)
            lead.round(0.25)
        self.assertThat(list(first.running), matchers.Equals([(key(), 1)]))

    def test_serving_run_at_work_stays(self) -> None:
        """A task that serves shows no progress."""
        lead = FakeLead(store_with(job(serving_step(1))), workers(2))
        for _ in range(40):
            lead.round(0.25)
        runs = [run for worker in _busy(lead) for run in worker.running]
        self.assertThat(runs, matchers.Equals([(key(), 1)]))

    def test_paced_run_stays(self) -> None:
        """Batch work that was told to stand still does so."""
        lead = FakeLead(store_with(job()), workers(1))
        lead.round()
        worker = lead.workers['w0']
        lead.scheduler.pacing.set('w0', 0)
        for _ in range(10):
            lead.round(0.25)
        self.assertThat(list(worker.running), matchers.Equals([(key(), 1)]))


def _far(lead: FakeLead, *percents: int) -> None:
    """Let the workers' runs be so far, worker by worker."""
    for worker, percent in zip(_busy(lead), percents, strict=True):
        worker.advance(percent)


class TestGangs(testtools.TestCase):
    """Members that end together, on workers of unlike speed."""

    def setUp(self) -> None:
        """Let two members work on two workers."""
        super().setUp()
        gang = step(2, cpu_millicores=16_000, is_gang=True)
        self.lead = FakeLead(store_with(job(gang)), workers(3))
        self.lead.round()
        self.first = _busy(self.lead)

    def test_member_that_waits_for_a_slower_one_stays(self) -> None:
        """It has done its part long before, far from standing still."""
        for percent in range(10, 90, 5):
            _far(self.lead, 100, percent)
            self.lead.round(0.25)
        self.assertThat(_busy(self.lead), matchers.Equals(self.first))

    def test_gang_that_has_not_begun_is_left_to_its_workers(self) -> None:
        """They end it themselves if a member does not come."""
        for _ in range(10):
            _far(self.lead, 0, 0)
            self.lead.round(0.25)
        self.assertThat(_busy(self.lead), matchers.Equals(self.first))

    def test_member_that_stands_still_is_stopped(self) -> None:
        """Its worker is trusted less, that of the one that waits is not."""
        _far(self.lead, 100, 40)
        for _ in range(9):
            self.lead.round(0.25)
        self.assertThat(self.first[1].running, matchers.HasLength(0))
        scores = self.lead.scheduler.quarantine
        self.assertThat(scores.suspects, matchers.Equals({'w1'}))


class TestHealth(testtools.TestCase):
    """Workers that fail all that they start."""

    def test_worker_that_fails_jobs_rests(self) -> None:
        """Two failures in a row of different jobs, and it gets nothing."""
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

    def test_last_run_waits_for_another_worker(self) -> None:
        """A task is not given up on because of one worker."""
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

    def test_last_run_does_not_wait_where_there_is_one_worker(self) -> None:
        """A pool of one worker tries there again."""
        lead = FakeLead(store_with(job()), workers(1))
        lead.round()
        lead.workers['w0'].end((key(), 1), RunEnd.FAILED)
        lead.round()
        self.assertThat(_busy(lead), matchers.HasLength(1))


class TestDraining(testtools.TestCase):
    """Workers that say that they leave."""

    def test_serving_tasks_leave_a_draining_worker(self) -> None:
        """They start elsewhere before it ends, one of a step at a time."""
        lead = FakeLead(store_with(job(serving_step(2))), workers(4))
        lead.round()
        first = _busy(lead)[0]
        first.is_draining = True
        for _ in range(4):
            lead.round()
        self.assertThat(first.running, matchers.HasLength(0))
        runs = [run for worker in _busy(lead) for run in worker.running]
        self.assertThat(runs, matchers.HasLength(2))
