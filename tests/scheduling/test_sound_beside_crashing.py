"""Test that healthy jobs survive crashing tasks and crashes of workers.

Tasks that crash each worker that starts them are mixed with many healthy ones,
on a pool of which a third fails by itself every few seconds.
"""

from __future__ import annotations

import random

import testtools
from testtools import matchers

from tests.builders_crashes import MOST_STARTS, CrashingFleet
from tests.builders_jobs import (
    QUEUE,
    job,
    serving_step,
    step,
    store_with,
    workers,
)
from wigeonreach.jobs import AddJob, JobPhase, JobStore, TaskKey
from wigeonreach.lab import commit
from wigeonreach.standins import StandInWorker

_SERVING = 'ffffffffffffffff'
_DAY_S = 45.0
_SETTLED_S = 45.0
_BAD_RATIO = 0.08


class _Day:
    """A random sequence of jobs, some of which crash their workers."""

    def __init__(self, seed: int, crash_share: float, every_s: float) -> None:
        """Start with a single serving job."""
        self._random = random.Random(seed)
        self._crash_share = crash_share
        self._every_s = every_s
        self.store = store_with(job(serving_step(4), job_id=_SERVING))
        self.bad: set[TaskKey] = set()
        self.fleet = CrashingFleet(
            self.store,
            _racks(10),
            self.bad.__contains__,
            work_s=0.6,
        )

    def play(self) -> None:
        """Submit jobs for a while, then let all of them end."""
        next_crash_s = 5.0
        while self.fleet.lead.now_s < _DAY_S:
            self._accept()
            self.fleet.round()
            if self._every_s and self.fleet.lead.now_s >= next_crash_s:
                next_crash_s += self._every_s
                self._crash_some()
        self.fleet.run(_SETTLED_S)

    def given_up(self) -> set[str]:
        """Return the jobs that failed."""
        return _jobs(self.store, JobPhase.FAILED)

    def bad_jobs(self) -> set[str]:
        """Return the jobs with tasks that crash their workers."""
        return {task.job_id for task in self.bad}

    def most_starts(self) -> int:
        """Return the greatest number of starts of a crashing task."""
        starts = [len(self.fleet.starts[task]) for task in self.bad]
        return max(starts, default=0)

    def _accept(self) -> None:
        for _ in range(self._random.randrange(2)):
            job_id = f'{self._random.getrandbits(60):016x}'
            count = self._random.randrange(1, 7)
            spec = job(step(count, cpu_millicores=2300), job_id=job_id)
            commit(self.store, AddJob(spec, QUEUE))
            if self._random.random() < _BAD_RATIO:
                index = self._random.randrange(count)
                self.bad.add(TaskKey(job_id, 0, 0, index))

    def _crash_some(self) -> None:
        up = self.fleet.up
        self.fleet.crash_workers(
            worker for worker in up if self._random.random() < self._crash_share
        )


def _racks(count: int) -> list[StandInWorker]:
    """Return workers, four per rack and eight per zone."""
    fleet = workers(count)
    for number, worker in enumerate(fleet):
        worker.rack = f'r{number // 4}'
        worker.zone = f'z{number // 8}'
    return fleet


def _jobs(store: JobStore, phase: JobPhase) -> set[str]:
    return {
        job_id for job_id, known in store.jobs.items() if known.phase is phase
    }


class TestHealthyJobs(testtools.TestCase):
    """Simulated days, by seed."""

    def _assert_only_bad_jobs_fail(self, day: _Day) -> None:
        day.play()
        healthy = day.given_up() - day.bad_jobs()
        self.assertThat(healthy, matchers.HasLength(0))
        # Only jobs with crashing tasks may still be active at the end.
        left = _jobs(day.store, JobPhase.ACTIVE) - day.bad_jobs()
        self.assertThat(left, matchers.Equals({_SERVING}))
        allowed = matchers.LessThan(MOST_STARTS + 1)
        self.assertThat(day.most_starts(), allowed)

    def test_tasks_that_crash_their_workers_fail_no_healthy_job(self) -> None:
        """Healthy jobs are done, however often their runs are lost."""
        for seed in range(6):
            self._assert_only_bad_jobs_fail(_Day(seed, 0, 0))

    def test_crashes_beside_them_fail_no_healthy_job(self) -> None:
        """A third of the pool fails at once every few seconds."""
        for seed in range(6):
            self._assert_only_bad_jobs_fail(_Day(seed, 0.35, 4.5))

    def test_single_crashes_fail_no_healthy_job(self) -> None:
        """Workers fail one by one, each for a reason of its own."""
        for seed in range(6):
            self._assert_only_bad_jobs_fail(_Day(seed, 0.08, 0.9))
