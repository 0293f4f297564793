"""Test that the checker reports each kind of violation."""

from __future__ import annotations

import testtools
from testtools import matchers

from soak._promises import InvariantChecker
from tests.builders_jobs import JOB, job, key, step
from wigeonreach.jobs import JobPhase, JobSpec, RunEnd, TaskKey
from wigeonreach.standins import StandInWorker
from wigeonreach.wire._worker_messages import StartOrder, WorkerOrders

_LEASE_MS = 4000
_MAX_FAILURES = 2


class TestInvariantChecker(testtools.TestCase):
    """Observations of one job and two workers."""

    def setUp(self) -> None:
        """Submit a job of two steps."""
        super().setUp()
        self.checker = InvariantChecker(_MAX_FAILURES)
        self.workers = [
            StandInWorker(f'w{number}', f'vm{number}') for number in range(2)
        ]
        self._submit(job(step(1), step(1, after=(0,))))

    def test_correct_run_has_no_violations(self) -> None:
        """A job runs step by step and is reported correctly."""
        self.checker.note_accepted(JOB)
        self.checker.note_phase(JOB, JobPhase.ACTIVE)
        for number in range(2):
            self._start(0, key(0, number))
            self._end(0, key(0, number), RunEnd.DONE)
        self.checker.note_phase(JOB, JobPhase.COMPLETED)
        self.checker.check_leftover_runs({})
        self.assertThat(self.checker.violations, matchers.Equals([]))

    def test_concurrent_run_is_reported(self) -> None:
        """A task starts twice while the first worker's lease is valid."""
        self._start(0, key())
        self._start(1, key(), run=2)
        self._assert_violation('beside w0')

    def test_second_run_after_lease_expiry_is_allowed(self) -> None:
        """A worker whose lease has expired is running nothing."""
        self._start(0, key())
        self._start(1, key(), run=2, now_s=_LEASE_MS)
        self.assertThat(self.checker.violations, matchers.Equals([]))

    def test_run_after_acknowledged_end_is_reported(self) -> None:
        """A completed task must not run again."""
        self._start(0, key())
        self._end(0, key(), RunEnd.DONE)
        self._start(1, key(), run=2)
        self._assert_violation('after its end was noted')

    def test_run_after_late_end_is_allowed(self) -> None:
        """The worker's lease had expired, so its runs were considered lost."""
        self._start(0, key())
        self._end(0, key(), RunEnd.DONE, now_s=_LEASE_MS)
        self._start(1, key(), run=2)
        self.assertThat(self.checker.violations, matchers.Equals([]))

    def test_run_before_earlier_step_is_reported(self) -> None:
        """A step must wait for the steps it depends on."""
        self._start(0, key(0, 1))
        self._assert_violation('was done')

    def test_run_after_max_failures_is_reported(self) -> None:
        """A task must not start again after its maximum of failures."""
        for run in (1, 2):
            self._start(0, key(), run=run)
            self._end(0, key(), RunEnd.FAILED, run=run)
        self._start(0, key(), run=3)
        self._assert_violation('after 2 failures')

    def test_overloaded_worker_is_reported(self) -> None:
        """Runs must not use more CPU than the worker has."""
        self.workers[0].cpu_millicores = 500
        self._start(0, key())
        self._assert_violation('1000 of 500')

    def test_run_of_refused_job_is_reported(self) -> None:
        """A refused job must not run."""
        self.checker.note_refused(JOB)
        self._start(0, key())
        self._assert_violation('not accepted')

    def test_run_of_a_job_cancelled_early_is_reported(self) -> None:
        """A job must not run if its cancel came before it."""
        self.checker.note_cancelled_early(job(step(1)))
        self._start(0, key())
        self._assert_violation('not accepted')

    def test_refusal_of_running_job_is_reported(self) -> None:
        """The violation is also found if the run starts before the refusal."""
        self._start(0, key())
        self.checker.note_refused(JOB)
        self._assert_violation('refused, though it ran')

    def test_lost_job_is_reported(self) -> None:
        """An accepted job must not become unknown."""
        self.checker.note_unknown(JOB)
        self.assertThat(self.checker.violations, matchers.Equals([]))
        self.checker.note_accepted(JOB)
        self.checker.note_unknown(JOB)
        self._assert_violation('accepted, then unknown')

    def test_unjustified_phases_are_reported(self) -> None:
        """A job must not complete, fail or be cancelled without a cause."""
        for phase, what in (
            (JobPhase.COMPLETED, 'completed without'),
            (JobPhase.FAILED, 'failed after'),
            (JobPhase.CANCELLED, 'nobody asked'),
        ):
            self.checker = InvariantChecker(_MAX_FAILURES)
            self._submit(job(step(1)))
            self.checker.note_accepted(JOB)
            self.checker.note_phase(JOB, phase)
            self._assert_violation(what)

    def test_reverted_end_is_reported(self) -> None:
        """The phase of an ended job must not change."""
        self.checker.note_cancelled(JOB)
        self.checker.note_phase(JOB, JobPhase.CANCELLED)
        self.checker.note_phase(JOB, JobPhase.ACTIVE)
        self._assert_violation('CANCELLED became ACTIVE')

    def test_stale_manifest_is_reported(self) -> None:
        """A read must not return an older version than acknowledged before."""
        self.checker.note_version_accepted(3)
        self.checker.note_version_read(3, self.checker.version)
        self.assertThat(self.checker.violations, matchers.Equals([]))
        self.checker.note_version_read(2, self.checker.version)
        self._assert_violation('manifest 2 read after 3')

    def test_leftover_run_is_reported(self) -> None:
        """No task may keep running after its job has ended."""
        self.checker.note_cancelled(JOB)
        self.checker.note_phase(JOB, JobPhase.CANCELLED)
        self.checker.check_leftover_runs({key(): 'w0'})
        self._assert_violation('after its job ended')

    def _submit(self, spec: JobSpec) -> None:
        self.checker.note_submitted(spec)

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
        self.checker.note_started(start, worker, self.workers, now_s)

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
        self.checker.note_ended(task, worker.name, how)
        noted = WorkerOrders(
            lease_ms=_LEASE_MS,
            acknowledged=worker.ended[-1].number,
        )
        self.checker.note_acknowledged(worker, noted, now_s)
        worker.obey(noted)

    def _assert_violation(self, what: str) -> None:
        self.assertThat(
            '\n'.join(self.checker.violations),
            matchers.Contains(what),
        )
