"""Test what becomes of tasks that bring their workers down.

Seen: for two minutes one task of 0.36 s took down each worker that started it,
one every four seconds, and with each worker the ten runs beside it; half of
the pool was always away, and no job of the queue ended any more.

How it came about: a worker that started the task was silent from that moment,
its lease ran out, and the task was lost with it and placed on the next.  Its
VM had a new worker 3.2 s later, in another zone and rack each time.

Cause: a run that is lost with its worker counted for nothing, as if only the
worker could be at fault, so nothing ever ended the series.  The log proved it:
each of these runs ended as lost with no failure counted, under one leader, and
workers of the same racks without the task went on.
"""

from __future__ import annotations

import testtools
from testtools import matchers

from tests.builders_crashes import CrashingFleet
from tests.builders_jobs import JOB, job, key, step, store_with, workers
from wigeonreach.jobs import JobPhase

# After the third crash, two more starts could still be excused: what is known
# of a crash comes seconds after it.
_MOST_STARTS = 5


class TestCrashingTask(testtools.TestCase):
    """A task that crashes each worker that starts it."""

    def test_task_that_crashes_its_workers_is_given_up(self) -> None:
        """It ends as failed, instead of taking down one worker after another."""
        store = store_with(job(step(4)))
        fleet = CrashingFleet(store, workers(6), lambda task: task == key(0))
        fleet.run(60)
        started = len(fleet.starts[key(0)])
        self.assertThat(started, matchers.LessThan(_MOST_STARTS + 1))
        self.assertThat(store.jobs[JOB].phase, matchers.Equals(JobPhase.FAILED))
