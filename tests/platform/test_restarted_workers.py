"""Test workers that start again under the id that they had.

Seen: tasks that had ended well were begun again, up to 5 s later; and other
jobs never went on after a first step that had ended well, while their pool had
room to spare.

How it came about: a worker went down and was back under its id within seconds,
and counted its heartbeats and its ends from 1 again.  It was given work once
its sequence had passed that of the life before, did it, and told of it.

Cause: a worker was known by its id alone, so ends with numbers up to the last
one of the life before counted as recorded, and were acknowledged though they
were not.  The run was then ordered again; its worker refused what had ended
there, and the refusal was overlooked for its number as well (the job stays for
ever), or counted as never begun (the task runs twice).  The logs proved it: the
worker kept the pace of one that has tasks, with none listed and no end
recorded, and refusals came up beside each task that ran twice.
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
_MANY = 64
# Longer than a lease.
_LONG_ROUNDS = 60
# What is known of a crash comes seconds after it.
_MOST_STARTS = 5


def _small_step(count: int) -> StepSpec:
    return step(count, cpu_millicores=100)


class TestEndsOfTheNextLife(testtools.TestCase):
    """What a worker does after it has started again."""

    def setUp(self) -> None:
        """Have one worker."""
        super().setUp()
        self.worker = PlatformWorker('i-0', 'vm0')

    def test_task_that_ended_well_is_not_begun_again(self) -> None:
        """The next life counts its ends from 1, as the one before did."""
        fleet = WorkingFleet(store_with(job(_small_step(2))), self.worker)
        fleet.run(5)
        self.worker.start_again()
        fleet.accept(job(_small_step(4), job_id=OTHER_JOB))
        fleet.run(_LONG_ROUNDS)
        self.assertThat(fleet.phase(OTHER_JOB), _COMPLETED)
        self.assertThat(set(fleet.begun.values()), matchers.Equals({1}))

    def test_job_goes_on_after_steps_that_ended_well(self) -> None:
        """However many ends the life before had."""
        fleet = WorkingFleet(store_with(job(_small_step(_MANY))), self.worker)
        fleet.run(5)
        self.worker.start_again()
        two_steps = (_small_step(1), _small_step(1))
        fleet.accept(job(*two_steps, job_id=OTHER_JOB))
        fleet.run(_LONG_ROUNDS)
        self.assertThat(fleet.phase(OTHER_JOB), _COMPLETED)


class TestCrashes(testtools.TestCase):
    """Tasks that bring workers down which keep their ids."""

    def test_task_that_crashes_its_workers_is_given_up(self) -> None:
        """A worker that starts again has crashed, whatever it is called."""
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
        self.assertThat(started, matchers.LessThan(_MOST_STARTS + 1))
