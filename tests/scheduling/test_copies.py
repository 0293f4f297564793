"""Test that tasks which may run twice do not wait for a silent worker.

Workers are cut off and go on running.  Until their leases are over, a second
run is allowed only for tasks that may have copies.
"""

from __future__ import annotations

import testtools
from testtools import matchers

from tests.builders_jobs import (
    JOB,
    FakeLead,
    job,
    key,
    step,
    store_with,
    workers,
)
from wigeonreach.jobs import JobPhase, RunEnd, TaskPhase
from wigeonreach.standins import StandInWorker


class TestCopies(testtools.TestCase):
    """A task on one of two workers, which is cut off."""

    def _lead(self, has_copies: bool) -> tuple[FakeLead, StandInWorker]:
        """Cut off the worker that runs the task, and return it."""
        lead = FakeLead(
            store_with(job(step(has_copies=has_copies))), workers(2)
        )
        lead.round()
        cut = next(worker for worker in lead.workers.values() if worker.running)
        lead.workers.pop(cut.name)
        for _ in range(15):
            lead.round()
        return lead, cut

    def _other(self, lead: FakeLead) -> StandInWorker:
        return next(iter(lead.workers.values()))

    def test_copy_starts_at_once(self) -> None:
        """It starts 1.5 s after the last heartbeat, not after 4 s."""
        lead, _ = self._lead(has_copies=True)
        runs = list(self._other(lead).running)
        self.assertThat(runs, matchers.Equals([(key(), 2)]))

    def test_task_without_copies_waits_for_the_lease(self) -> None:
        """Its run may go on while the worker is cut off."""
        lead, _ = self._lead(has_copies=False)
        self.assertThat(self._other(lead).running, matchers.HasLength(0))

    def test_paused_leader_starts_no_copies(self) -> None:
        """The leader was paused; its workers were not silent."""
        lead = FakeLead(store_with(job(step(has_copies=True))), workers(2))
        lead.round()
        lead.now_s += 3
        lead.plan()
        phases = {
            task.phase for _, task in lead.store.jobs[JOB].assigned_tasks()
        }
        self.assertThat(phases, matchers.Equals({TaskPhase.ASSIGNED}))

    def test_first_finished_run_counts(self) -> None:
        """The other run is stopped."""
        lead, cut = self._lead(has_copies=True)
        cut.end((key(), 1), RunEnd.DONE)
        lead.workers[cut.name] = cut
        lead.round()
        lead.round()
        phase = lead.store.jobs[JOB].phase
        self.assertThat(phase, matchers.Is(JobPhase.COMPLETED))
        running = [
            run for worker in lead.workers.values() for run in worker.running
        ]
        self.assertThat(running, matchers.Equals([]))
