"""Test that explained losses of workers don't count against their runs.

The same harmless tasks lose their workers again and again: racks, zones and
single workers fail or are cut off, workers drain, and VMs are ordered.
"""

from __future__ import annotations

import testtools
from testtools import matchers

from tests.builders_crashes import (
    OUTAGE_S,
    MOST_STARTS,
    CrashingFleet,
    crash_counts,
    is_first,
    crashes_nothing,
    workers_on_racks,
    phase_of,
)
from tests.builders_jobs import (
    key,
    job,
    serving_step,
    step,
    store_with,
    workers,
)
from wigeonreach.jobs import CrashEvidence, JobPhase

_ACTIVE = matchers.Equals(JobPhase.ACTIVE)
_COMPLETED = matchers.Equals(JobPhase.COMPLETED)
_FAILED = matchers.Equals(JobPhase.FAILED)
_LONG_S = 60


class TestExplainedLosses(testtools.TestCase):
    """Losses of workers that their runs did not cause."""

    def test_failed_rack_counts_against_no_run(self) -> None:
        """However often: all of its workers fail at once, idle ones too."""
        long_step = step(8, cpu_millicores=9000)
        store = store_with(job(long_step))
        fleet = CrashingFleet(
            store, workers_on_racks(12, 3), crashes_nothing, work_s=2.5
        )
        for _ in range(5):
            fleet.run(1.5)
            busy = [worker.rack for worker in fleet.up if worker.running]
            gone = [worker for worker in fleet.up if worker.rack in busy[:1]]
            fleet.crash_workers(gone, OUTAGE_S)
            fleet.run(9)
        self.assertThat(set(crash_counts(store)), matchers.Equals({0}))
        self.assertThat(phase_of(store), _COMPLETED)

    def test_failed_zone_counts_against_no_run(self) -> None:
        """Two racks of one zone fail together."""
        store = store_with(job(step(10, cpu_millicores=9000)))
        fleet = CrashingFleet(
            store, workers_on_racks(12, 4), crashes_nothing, work_s=4.0
        )
        fleet.run(1)
        gone = [worker for worker in fleet.up if worker.zone == 'z0']
        fleet.crash_workers(gone, OUTAGE_S)
        fleet.run(20)
        lost = [task for task, on in fleet.crashed.items() if on]
        self.assertThat(lost, matchers.Not(matchers.HasLength(0)))
        self.assertThat(set(crash_counts(store)), matchers.Equals({0}))
        self.assertThat(phase_of(store), _COMPLETED)

    def test_worker_that_is_cut_off_counts_against_no_run(self) -> None:
        """It returns as the same incarnation, so it never crashed."""
        store = store_with(job(serving_step(1)))
        fleet = CrashingFleet(store, workers(4), crashes_nothing)
        for _ in range(6):
            fleet.run(2)
            cut = [worker for worker in fleet.up if worker.running]
            for worker in cut:
                fleet.lead.workers.pop(worker.name)
            fleet.run(OUTAGE_S)
            for returned in cut:
                returned.running.clear()
                fleet.lead.workers[returned.name] = returned
        fleet.run(1)
        self.assertThat(crash_counts(store), matchers.Equals([0]))
        self.assertThat(phase_of(store), _ACTIVE)

    def test_order_for_its_vm_counts_against_no_run(self) -> None:
        """A VM that is moved or maintained has a new worker afterwards."""
        store = store_with(job(serving_step(1)))
        fleet = CrashingFleet(store, workers(4), crashes_nothing)
        for _ in range(5):
            fleet.run(3)
            for worker in fleet.up:
                if worker.running:
                    crashes = fleet.lead.scheduler.crashes
                    now_s = fleet.lead.now_s
                    crashes.note_vm_ordered(worker.vm, worker.name, now_s)
                    fleet.crash_workers((worker,), 1.5)
        fleet.run(10)
        self.assertThat(crash_counts(store), matchers.Equals([0]))
        self.assertThat(phase_of(store), _ACTIVE)

    def test_order_while_it_was_silent_counts_against_no_run(self) -> None:
        """The worker was cut off, and the order ended it."""
        store = store_with(job(serving_step(1)))
        fleet = CrashingFleet(store, workers(4), crashes_nothing)
        for _ in range(5):
            fleet.run(3)
            silent = [worker for worker in fleet.up if worker.running]
            fleet.crash_workers(silent, OUTAGE_S)
            fleet.run(5)
            for worker in silent:
                crashes = fleet.lead.scheduler.crashes
                crashes.note_vm_ordered(worker.vm, '', fleet.lead.now_s)
        fleet.run(10)
        self.assertThat(crash_counts(store), matchers.Equals([0]))
        self.assertThat(phase_of(store), _ACTIVE)

    def test_order_for_its_successor_explains_no_loss(self) -> None:
        """The idle successor is moved at once; its predecessor had crashed."""
        store = store_with(job(step(2)))
        fleet = CrashingFleet(store, workers(6), is_first)
        ordered: set[str] = set()
        while fleet.lead.now_s < _LONG_S:
            fleet.round()
            crashes = fleet.lead.scheduler.crashes
            for worker in fleet.up:
                is_successor = 'life' in worker.name and not worker.running
                if is_successor and worker.name not in ordered:
                    ordered.add(worker.name)
                    now_s = fleet.lead.now_s
                    crashes.note_vm_ordered(worker.vm, worker.name, now_s)
                    fleet.crash_workers((worker,), 1.5)
        self.assertThat(phase_of(store), _FAILED)
        started = len(fleet.starts[key(0)])
        self.assertThat(started, matchers.LessThan(MOST_STARTS + 1))

    def test_worker_that_crashes_behind_a_cut_proves_little(self) -> None:
        """Its lease may have ended the run before the crash."""
        store = store_with(job(serving_step(1)))
        fleet = CrashingFleet(store, workers(4), crashes_nothing)
        for _ in range(3):
            fleet.run(3)
            cut = [worker for worker in fleet.up if worker.running]
            fleet.crash_workers(cut, OUTAGE_S)
            fleet.run(9)
        task = store.task_of(key(0))
        assert task is not None
        evidence = {crash.evidence for crash in task.crashes}
        uncertain = matchers.Equals({CrashEvidence.UNCERTAIN})
        self.assertThat(evidence, uncertain)
        self.assertThat(phase_of(store), _ACTIVE)

    def test_worker_that_drained_counts_against_no_run(self) -> None:
        """It announced its end, and a task did not end in time."""
        store = store_with(job(step(2)))
        fleet = CrashingFleet(store, workers(4), crashes_nothing, work_s=9.0)
        for _ in range(4):
            fleet.run(1)
            leaving = [worker for worker in fleet.up if worker.running]
            for worker in leaving:
                worker.is_draining = True
            fleet.run(1)
            for gone in leaving:
                gone.is_draining = False
            fleet.crash_workers(leaving)
            fleet.run(6)
        self.assertThat(set(crash_counts(store)), matchers.Equals({0}))

    def test_start_that_was_never_sent_counts_against_no_run(self) -> None:
        """A worker can't be crashed by a start that it did not hear of."""
        store = store_with(job(step(2)))
        fleet = CrashingFleet(store, workers(1), crashes_nothing)
        lead = fleet.lead
        lead.hear(fleet.up[0])
        lead.plan()
        fleet.crash_workers(fleet.up)
        fleet.run(8)
        self.assertThat(crash_counts(store), matchers.Equals([0, 0]))
        self.assertThat(phase_of(store), _COMPLETED)

    def test_single_crash_fails_no_job(self) -> None:
        """Each task of a worker that crashes once is restarted and succeeds."""
        store = store_with(job(step(6)))
        fleet = CrashingFleet(store, workers(4), crashes_nothing, work_s=2.0)
        fleet.run(1)
        fleet.crash_workers(worker for worker in fleet.up if worker.running)
        fleet.run(15)
        self.assertThat(set(crash_counts(store)), matchers.Equals({1}))
        self.assertThat(phase_of(store), _COMPLETED)
