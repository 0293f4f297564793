"""Test that a serving run is stopped only if its job or its step allows it.

It is stopped if its job is cancelled, or within the limit of its step.
Whatever decides the stop, the log shows which run is stopped and why.
"""

from __future__ import annotations

import testtools
from testtools import matchers

from tests.builders_jobs import (
    JOB,
    TERM,
    FakeLead,
    job,
    key,
    serving_step,
    step,
    store_with,
    workers,
)
from wigeonreach.jobs import (
    CrashEvidence,
    JobPhase,
    RecordRuns,
    RunCrashed,
    RunEnd,
    RunEnded,
    RunStarted,
)
from wigeonreach.lab import commit
from wigeonreach.observe import LogEvent


def _answer_all(lead: FakeLead) -> None:
    """Hear all workers and send each one its answer."""
    for worker in lead.workers.values():
        lead.hear(worker)
        incarnation = lead.scheduler.workers.incarnations[worker.name]
        orders = lead.scheduler.answers.answer_if_due(
            incarnation, lead.now_s, lead.now_s
        )
        if orders is not None:
            worker.obey(orders)


class TestReason(testtools.TestCase):
    """Notes for the log on the stops of serving runs."""

    def test_stop_of_a_cancelled_job_is_logged_once(self) -> None:
        """Each run has one note, however often its stop is repeated."""
        lead = FakeLead(store_with(job(serving_step(2))), workers(3))
        lead.round()
        lead.cancel()
        for _ in range(3):
            _answer_all(lead)
        reasons = [
            note.reason
            for note in lead.scheduler.notes
            if note.event is LogEvent.RUNS_STOPPED
        ]
        self.assertThat(reasons, matchers.HasLength(2))
        for reason in reasons:
            self.assertThat(reason, matchers.EndsWith('job is cancelled'))


class TestFailuresAndCrashes(testtools.TestCase):
    """Crashes and failures, which end batch jobs, end no serving run."""

    def setUp(self) -> None:
        """Start a serving step."""
        super().setUp()
        self.store = store_with(job(serving_step(3), step(1)))
        self.lead = FakeLead(self.store, workers(3))
        self.lead.round()

    def _record(self, **records: object) -> None:
        command = RecordRuns(TERM, **records)  # type: ignore[arg-type]
        commit(self.store, command)

    def _assert_serving(self) -> None:
        """Check that no serving run is stopped and the job is active."""
        for worker in self.lead.workers.values():
            self.lead.hear(worker)
            incarnation = self.lead.scheduler.workers.incarnations[worker.name]
            orders = self.lead.scheduler.answers.orders(
                incarnation,
                self.lead.now_s,
            )
            stopped = [
                stop
                for stop in orders.stops
                if self.store.is_serving(stop.task)
            ]
            self.assertThat(stopped, matchers.HasLength(0))
        phase = self.store.jobs[JOB].phase
        self.assertThat(phase, matchers.Equals(JobPhase.ACTIVE))

    def test_crashes_of_its_workers_end_no_serving_job(self) -> None:
        """A serving task whose workers crash again and again continues."""
        for evidence in CrashEvidence:
            for run in range(1, 7):
                crashed = RunCrashed(key(0), run, evidence)
                self._record(crashes=(crashed,))
                self._assert_serving()

    def test_failures_beside_it_end_no_serving_step(self) -> None:
        """A failing task of the same job is given up alone."""
        batch = key(0, 1)
        for run in range(1, 3):
            task = self.store.task_of(batch)
            assert task is not None
            if task.run < run:
                start = RunStarted(batch, run, 'w0', 'vm0')
                self._record(starts=(start,))
            failed = RunEnded(batch, run, task.worker, RunEnd.FAILED)
            self._record(ends=(failed,))
        self._assert_serving()
        for _ in range(5):
            self.lead.round()
        running = {
            run
            for worker in self.lead.workers.values()
            for run in worker.running
        }
        self.assertThat(
            {task for task, _ in running},
            matchers.Equals({key(0), key(1), key(2)}),
        )
