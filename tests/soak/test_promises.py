"""Test that each promise that is broken is found."""

from __future__ import annotations

import testtools
from testtools import matchers

from soak._promises import Promises
from tests.builders_jobs import JOB, job, key, step
from wigeonreach.jobs import JobPhase, JobSpec, RunEnd, TaskKey
from wigeonreach.standins import StandInWorker
from wigeonreach.wire._worker_messages import StartOrder, WorkerOrders

_LEASE_MS = 4000
_MAX_FAILURES = 2


class TestPromises(testtools.TestCase):
    """One job on two workers, by what callers and workers see."""

    def setUp(self) -> None:
        """Hand a job of two steps in."""
        super().setUp()
        self.promises = Promises(_MAX_FAILURES)
        self.workers = [
            StandInWorker(f'w{number}', f'vm{number}') for number in range(2)
        ]
        self._submit(job(step(1), step(1, after=(0,))))

    def test_nothing_is_found_where_nothing_is_broken(self) -> None:
        """A job runs, step by step, and is shown as it is."""
        self.promises.note_accepted(JOB)
        self.promises.note_shown(JOB, JobPhase.ACTIVE)
        for number in range(2):
            self._start(0, key(0, number))
            self._end(0, key(0, number), RunEnd.DONE)
        self.promises.note_shown(JOB, JobPhase.COMPLETED)
        self.promises.check_rest({})
        self.assertThat(self.promises.broken, matchers.Equals([]))

    def test_second_run_beside_the_first_is_found(self) -> None:
        """While the first one's lease goes on."""
        self._start(0, key())
        self._start(1, key(), run=2)
        self._assert_found('beside w0')

    def test_second_run_after_the_lease_is_none(self) -> None:
        """A worker whose lease is over runs nothing."""
        self._start(0, key())
        self._start(1, key(), run=2, now_s=_LEASE_MS)
        self.assertThat(self.promises.broken, matchers.Equals([]))

    def test_run_after_a_noted_end_is_found(self) -> None:
        """Work that is done is not done again."""
        self._start(0, key())
        self._end(0, key(), RunEnd.DONE)
        self._start(1, key(), run=2)
        self._assert_found('after its end was noted')

    def test_run_after_an_end_that_was_told_too_late_is_none(self) -> None:
        """The worker's lease was over, so its runs were taken for lost."""
        self._start(0, key())
        self._end(0, key(), RunEnd.DONE, now_s=_LEASE_MS)
        self._start(1, key(), run=2)
        self.assertThat(self.promises.broken, matchers.Equals([]))

    def test_run_before_its_turn_is_found(self) -> None:
        """A step waits for the one before."""
        self._start(0, key(0, 1))
        self._assert_found('was done')

    def test_too_many_runs_that_failed_are_found(self) -> None:
        """A task has so many tries."""
        for run in (1, 2):
            self._start(0, key(), run=run)
            self._end(0, key(), RunEnd.FAILED, run=run)
        self._start(0, key(), run=3)
        self._assert_found('after 2 failures')

    def test_crowded_worker_is_found(self) -> None:
        """A worker has room for what it said."""
        self.workers[0].cpu_millicores = 500
        self._start(0, key())
        self._assert_found('1000 of 500')

    def test_run_of_a_refused_job_is_found(self) -> None:
        """A refusal says that nothing runs."""
        self.promises.note_refused(JOB)
        self._start(0, key())
        self._assert_found('not accepted')

    def test_refusal_of_a_job_that_ran_is_found(self) -> None:
        """Whichever comes first."""
        self._start(0, key())
        self.promises.note_refused(JOB)
        self._assert_found('refused, though it ran')

    def test_lost_job_is_found(self) -> None:
        """What was accepted is known."""
        self.promises.note_unknown(JOB)
        self.assertThat(self.promises.broken, matchers.Equals([]))
        self.promises.note_accepted(JOB)
        self.promises.note_unknown(JOB)
        self._assert_found('accepted, then unknown')

    def test_states_without_cause_are_found(self) -> None:
        """Completed without its runs, failed without failures, and so on."""
        for phase, what in (
            (JobPhase.COMPLETED, 'completed without'),
            (JobPhase.FAILED, 'failed after'),
            (JobPhase.CANCELLED, 'nobody asked'),
        ):
            self.promises = Promises(_MAX_FAILURES)
            self._submit(job(step(1)))
            self.promises.note_accepted(JOB)
            self.promises.note_shown(JOB, phase)
            self._assert_found(what)

    def test_end_that_is_taken_back_is_found(self) -> None:
        """An end is final."""
        self.promises.note_cancelled(JOB)
        self.promises.note_shown(JOB, JobPhase.CANCELLED)
        self.promises.note_shown(JOB, JobPhase.ACTIVE)
        self._assert_found('CANCELLED became ACTIVE')

    def test_older_manifest_is_found(self) -> None:
        """What was acknowledged before the read is read, or newer."""
        self.promises.note_version_accepted(3)
        self.promises.note_version_read(3, self.promises.version)
        self.assertThat(self.promises.broken, matchers.Equals([]))
        self.promises.note_version_read(2, self.promises.version)
        self._assert_found('manifest 2 read after 3')

    def test_run_that_stays_is_found(self) -> None:
        """Nothing runs on once its job has ended."""
        self.promises.note_cancelled(JOB)
        self.promises.note_shown(JOB, JobPhase.CANCELLED)
        self.promises.check_rest({key(): 'w0'})
        self._assert_found('after its job ended')

    def _submit(self, spec: JobSpec) -> None:
        self.promises.note_submitted(spec)

    def _start(
        self,
        number: int,
        task: TaskKey,
        run: int = 1,
        now_s: float = 0.0,
    ) -> None:
        worker = self.workers[number]
        start = StartOrder(task, run, 'payload')
        worker.obey(WorkerOrders(lease_ms=_LEASE_MS, starts=(start,)))
        self.promises.note_started(start, worker, self.workers, now_s)

    def _end(
        self,
        number: int,
        task: TaskKey,
        how: RunEnd,
        run: int = 1,
        now_s: float = 0.0,
    ) -> None:
        worker = self.workers[number]
        worker.end((task, run), how)
        self.promises.note_ended(task, worker.name, how)
        noted = WorkerOrders(
            lease_ms=_LEASE_MS,
            acknowledged=worker.ended[-1].number,
        )
        self.promises.note_acknowledged(worker, noted, now_s)
        worker.obey(noted)

    def _assert_found(self, what: str) -> None:
        self.assertThat(
            '\n'.join(self.promises.broken),
            matchers.Contains(what),
        )
