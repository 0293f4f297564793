"""Test that slow workers are detected before their runs end.

Some workers of a pool take several times as long for some seconds.  A task on
such a worker decides when its step ends, and would end after its job is due.
"""

from __future__ import annotations

import testtools
from testtools import matchers

from tests.builders_jobs import (
    JOB,
    OTHER_JOB,
    QUEUE,
    FakeLead,
    job,
    step,
    store_with,
    workers,
)
from wigeonreach.jobs import AddJob
from wigeonreach.lab import commit
from wigeonreach.standins import StandInWorker

_POOL = 4
_TASKS_EACH = 4
_FAR_TASKS = 24
_BEAT_S = 0.25


class TestSlowWorkers(testtools.TestCase):
    """Four full workers, one of them at about a fifth of full speed."""

    def setUp(self) -> None:
        """Fill the workers with tasks of two seconds."""
        super().setUp()
        full = step(_POOL * _TASKS_EACH, cpu_millicores=3000, estimate_ms=2000)
        self.lead = FakeLead(store_with(job(full)), workers(_POOL))
        self.lead.round()
        self.slow = self.lead.workers['w0']
        for worker in self.lead.workers.values():
            worker.advance(1)

    def _work(self, beats: int, slow_percent: int, percent: int) -> None:
        """Advance all runs by a percentage with each heartbeat."""
        for _ in range(beats):
            for worker in self.lead.workers.values():
                is_slow = worker is self.slow
                _advance(worker, slow_percent if is_slow else percent)
            self.lead.round(_BEAT_S)

    def _slow(self) -> set[str]:
        watch = self.lead.scheduler.progress
        return set(watch.slow(self.lead.workers, self.lead.now_s))

    def test_slow_worker_is_detected_before_its_runs_end(self) -> None:
        """One second of progress is enough."""
        self._work(4, slow_percent=2, percent=12)
        self.assertThat(self._slow(), matchers.Equals({'w0'}))

    def test_runs_move_off_a_slow_worker(self) -> None:
        """They end sooner elsewhere, although they start over."""
        before = set(self.slow.running)
        self._work(4, slow_percent=2, percent=12)
        self.lead.round(_BEAT_S)
        left = before & self.slow.running.keys()
        self.assertThat(left, matchers.Equals(set()))

    def test_run_that_is_nearly_done_stays(self) -> None:
        """It ends before a new run would."""
        before = set(self.slow.running)
        self.slow.advance(80)
        self._work(4, slow_percent=2, percent=12)
        self.lead.round(_BEAT_S)
        self.assertThat(self._slow(), matchers.Equals({'w0'}))
        self.assertThat(set(self.slow.running), matchers.Equals(before))

    def test_slightly_slower_worker_is_not_slow(self) -> None:
        """The tasks of a step vary by half anyway."""
        self._work(4, slow_percent=8, percent=12)
        self.assertThat(self._slow(), matchers.Equals(set()))

    def test_worker_that_recovers_is_trusted_again(self) -> None:
        """Only the current speed of its runs counts."""
        self._work(4, slow_percent=2, percent=12)
        self._work(3, slow_percent=12, percent=12)
        self.assertThat(self._slow(), matchers.Equals(set()))

    def test_remote_runs_make_no_worker_slow(self) -> None:
        """Runs away from their data do not count for a worker's speed."""
        far = step(_FAR_TASKS, cpu_millicores=1, data_rack='elsewhere')
        commit(self.lead.store, AddJob(job(far, job_id=OTHER_JOB), QUEUE))
        self.lead.round(_BEAT_S)
        for worker in self.lead.workers.values():
            worker.advance(1)
        for _ in range(4):
            for running_worker in self.lead.workers.values():
                _advance(running_worker, 12, 'a1')
                _advance(running_worker, 1, 'b2')
            self.lead.round(_BEAT_S)
        self.assertThat(self._slow(), matchers.Equals(set()))

    def test_slow_worker_is_chosen_last(self) -> None:
        """New tasks go to the other workers while they have capacity."""
        self._work(4, slow_percent=2, percent=12)
        commit(self.lead.store, AddJob(job(job_id=OTHER_JOB), QUEUE))
        self.lead.round(_BEAT_S)
        on_slow = {run.job_id for run, _ in self.slow.running}
        self.assertThat(on_slow, matchers.Equals({JOB}))


def _advance(worker: StandInWorker, percent: int, ending: str = '') -> None:
    """Advance the runs whose job id has a given ending."""
    rows = list(worker.running.values())
    for row in rows:
        if not row.task.job_id.endswith(ending):
            continue
        worker.advance_one((row.task, row.run), row.percent + percent)
