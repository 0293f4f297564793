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

import collections

import testtools
from testtools import matchers

from tests.builders_crashes import CrashingFleet
from tests.builders_jobs import (
    JOB,
    OTHER_JOB,
    QUEUE,
    FakeLead,
    job,
    key,
    step,
    store_with,
)
from tests.builders_restarts import next_life, platform_workers
from wigeonreach.jobs import AddJob, JobPhase, JobStore, TaskKey
from wigeonreach.lab import commit

_COMPLETED = matchers.Equals(JobPhase.COMPLETED)
_FAILED = matchers.Equals(JobPhase.FAILED)
_MANY = 64
# Longer than a lease.
_LONG_ROUNDS = 60
# What is known of a crash comes seconds after it.
_MOST_STARTS = 5


def _phase(store: JobStore, job_id: str = JOB) -> JobPhase:
    return store.jobs[job_id].phase


class _Pool:
    """Some workers whose tasks take a tenth of a second."""

    def __init__(self, count: int, *first_steps: int) -> None:
        """Begin with one job."""
        steps = [step(tasks, cpu_millicores=100) for tasks in first_steps]
        self.store = store_with(*([job(*steps)] if steps else []))
        self.workers = platform_workers(count)
        self.lead = FakeLead(self.store, self.workers)
        self.begun = collections.Counter[TaskKey]()

    def run(self, rounds: int) -> None:
        """Let tasks begin and end well."""
        for _ in range(rounds):
            self.lead.round()
            for worker in self.workers:
                self.begun.update(task for task, _ in worker.running)
                worker.finish_all()

    def accept(self, job_id: str, *steps: int) -> None:
        """Accept another job."""
        spec = job(
            *(step(tasks, cpu_millicores=100) for tasks in steps),
            job_id=job_id,
        )
        commit(self.store, AddJob(spec, QUEUE))

    def restart(self) -> None:
        """Let all workers start again."""
        for worker in self.workers:
            worker.start_again()


class TestEndsOfTheNextLife(testtools.TestCase):
    """What a worker does after it has started again."""

    def test_task_that_ended_well_is_not_begun_again(self) -> None:
        """The next life counts its ends from 1, as the one before did."""
        pool = _Pool(1, 2)
        pool.run(5)
        pool.restart()
        pool.accept(OTHER_JOB, 4)
        pool.run(_LONG_ROUNDS)
        self.assertThat(_phase(pool.store, OTHER_JOB), _COMPLETED)
        self.assertThat(set(pool.begun.values()), matchers.Equals({1}))

    def test_job_goes_on_after_steps_that_ended_well(self) -> None:
        """However many ends the life before had."""
        pool = _Pool(1, _MANY)
        pool.run(5)
        pool.restart()
        pool.accept(OTHER_JOB, 1, 1)
        pool.run(_LONG_ROUNDS)
        self.assertThat(_phase(pool.store, OTHER_JOB), _COMPLETED)


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
        self.assertThat(_phase(store), _FAILED)
        started = len(fleet.starts[key(0)])
        self.assertThat(started, matchers.LessThan(_MOST_STARTS + 1))
