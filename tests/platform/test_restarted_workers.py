"""Test workers that restart under the same id.

Guards against tasks that run twice, up to 5 s after they had succeeded, and
against jobs that hang after a first step that had succeeded, although their
pool has free capacity.

A worker that restarts within seconds counts its heartbeats and its ended runs
from 1 again.  When workers were identified by id alone, ended runs with numbers
up to the last one of the previous incarnation counted as recorded, and were
acknowledged although they weren't.  The run was then ordered again, and the
worker refused it as already ended.  That refusal either was ignored too, for
its number (the job hangs), or counted as a run that never started (the task
runs twice).  The logs confirmed this: the worker's heartbeats came at the rate
of a worker with tasks while it listed none and no end was recorded, and there
was a refusal for each task that ran twice.
"""

from __future__ import annotations

import testtools
from testtools import matchers

from tests.builders_crashes import CrashingFleet
from tests.builders_jobs import JOB, OTHER_JOB, job, key, step, store_with
from tests.builders_restarts import (
    PlatformWorker,
    WorkingFleet,
    next_life,
    platform_workers,
)
from wigeonreach.jobs import JobPhase, StepSpec

_COMPLETED = matchers.Equals(JobPhase.COMPLETED)
_FAILED = matchers.Equals(JobPhase.FAILED)
_MANY_TASKS = 64
# More rounds than a lease lasts.
_LONG_ROUNDS = 60
# A crash is detected only seconds later, so the task is started several times.
_MAX_STARTS = 5


def _small_step(count: int) -> StepSpec:
    return step(count, cpu_millicores=100)


class TestEndedRunsAfterRestart(testtools.TestCase):
    """Runs that end on a worker after it restarted."""

    def setUp(self) -> None:
        """Create one worker."""
        super().setUp()
        self.worker = PlatformWorker('i-0', 'vm0')

    def test_succeeded_task_is_not_started_again(self) -> None:
        """Both incarnations of the worker count their ended runs from 1."""
        fleet = WorkingFleet(store_with(job(_small_step(2))), self.worker)
        fleet.run(5)
        self.worker.start_again()
        fleet.accept(job(_small_step(4), job_id=OTHER_JOB))
        fleet.run(_LONG_ROUNDS)
        self.assertThat(fleet.phase(OTHER_JOB), _COMPLETED)
        self.assertThat(set(fleet.begun.values()), matchers.Equals({1}))

    def test_job_continues_after_succeeded_step(self) -> None:
        """However many runs ended on the previous incarnation."""
        fleet = WorkingFleet(
            store_with(job(_small_step(_MANY_TASKS))), self.worker
        )
        fleet.run(5)
        self.worker.start_again()
        two_steps = (_small_step(1), _small_step(1))
        fleet.accept(job(*two_steps, job_id=OTHER_JOB))
        fleet.run(_LONG_ROUNDS)
        self.assertThat(fleet.phase(OTHER_JOB), _COMPLETED)


class TestCrashes(testtools.TestCase):
    """Tasks that crash workers which restart under the same id."""

    def test_task_that_crashes_its_workers_is_given_up(self) -> None:
        """A restart counts as a crash even if the id stays the same."""
        store = store_with(job(step(4)))
        fleet = CrashingFleet(
            store,
            platform_workers(6),
            lambda task: task == key(0),
            successor=next_life,
        )
        fleet.run(_LONG_ROUNDS)
        self.assertThat(store.jobs[JOB].phase, _FAILED)
        started = len(fleet.starts[key(0)])
        self.assertThat(started, matchers.LessThan(_MAX_STARTS + 1))
