"""Test that tasks which crash their workers are isolated and given up.

Guards against this failure: a task of 0.36 s crashed each worker that started
it, one every four seconds for two minutes, and with each worker the ten runs
beside it. Half of the pool was always down, and no job of the queue ended.

Such a worker fell silent at the start of the task.  When its lease expired,
the task counted as lost and was placed on the next worker.  The VM had a new
worker 3.2 s later, in another zone and rack each time.  As the loss of a
worker was never counted against its runs, nothing ended the series.
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
    JOB,
    OTHER_JOB,
    QUEUE,
    TERM,
    job,
    key,
    serving_step,
    step,
    store_with,
    workers,
)
from wigeonreach.jobs import (
    AddJob,
    CrashEvidence,
    JobPhase,
    JobStore,
    RecordRuns,
    RecordVmOrders,
    RunCrashed,
    RunEnd,
    RunEnded,
    RunStarted,
)
from wigeonreach.lab import commit

_FAILED = matchers.Equals(JobPhase.FAILED)
_COMPLETED = matchers.Equals(JobPhase.COMPLETED)
_ACTIVE = matchers.Equals(JobPhase.ACTIVE)
_LONG_S = 60
# Three crashes, each detected after a lease, and some margin.
_SOON_S = 16


class TestCrashingTask(testtools.TestCase):
    """A task that crashes each worker that starts it."""

    def test_task_that_crashes_its_workers_is_given_up(self) -> None:
        """Its job fails before the task crashes one worker after another."""
        store = store_with(job(step(4)))
        fleet = CrashingFleet(store, workers(6), lambda task: task == key(0))
        fleet.run(60)
        started = len(fleet.starts[key(0)])
        self.assertThat(started, matchers.LessThan(MOST_STARTS + 1))
        self.assertThat(store.jobs[JOB].phase, matchers.Equals(JobPhase.FAILED))

    def test_jobs_beside_it_are_done(self) -> None:
        """Tasks on the same workers are restarted and succeed."""
        others = [f'{number:016x}' for number in range(1, 9)]
        store = store_with(
            job(step(2)), *(job(step(4), job_id=other) for other in others)
        )
        fleet = CrashingFleet(store, workers(6), is_first)
        fleet.run(_LONG_S)
        self.assertThat(phase_of(store), _FAILED)
        for other in others:
            self.assertThat(phase_of(store, other), _COMPLETED)

    def test_many_such_tasks_at_once_are_given_up(self) -> None:
        """Of twelve jobs on six workers, the six that crash workers fail."""
        ids = [f'{number:016x}' for number in range(12)]
        bad = set(ids[::2])
        store = store_with(*(job(step(4), job_id=one) for one in ids))
        fleet = CrashingFleet(
            store,
            workers(6),
            lambda task: task.job_id in bad and task.index == 0,
        )
        fleet.run(120)
        for one in ids:
            expected = _FAILED if one in bad else _COMPLETED
            self.assertThat(phase_of(store, one), expected)
            started = len(fleet.starts[key(0, job_id=one)])
            self.assertThat(started, matchers.LessThan(MOST_STARTS + 1))

    def test_job_of_such_tasks_alone_is_given_up(self) -> None:
        """All of its tasks crash their workers, a whole rack at once."""
        store = store_with(job(step(8, cpu_millicores=16_000)))
        fleet = CrashingFleet(store, workers_on_racks(8, 2), lambda task: True)
        fleet.run(_LONG_S)
        self.assertThat(phase_of(store), _FAILED)
        for started in fleet.starts.values():
            most = matchers.LessThan(MOST_STARTS + 1)
            self.assertThat(len(started), most)

    def test_small_pool_gives_it_up_too(self) -> None:
        """With a single worker no task can be isolated."""
        store = store_with(job(step(2)), job(step(2), job_id=OTHER_JOB))
        fleet = CrashingFleet(store, workers(1), is_first)
        fleet.run(_LONG_S)
        self.assertThat(phase_of(store), _FAILED)

    def test_workers_that_come_back_late_are_waited_for(self) -> None:
        """A task is not restarted without limit while losses are unsettled."""
        for back_after_s in (1.0, 9.0, 18.0):
            store = store_with(job(step(4)))
            fleet = CrashingFleet(
                store,
                workers(6),
                is_first,
                back_after_s=back_after_s,
            )
            fleet.run(150)
            self.assertThat(phase_of(store), _FAILED)
            started = len(fleet.starts[key(0)])
            self.assertThat(started, matchers.LessThan(MOST_STARTS + 1))

    def test_changes_of_leader_lose_no_crash(self) -> None:
        """A leader that never heard a worker knows its VM from the record."""
        store = store_with(job(step(4)))
        fleet = CrashingFleet(store, workers(6), is_first)
        for _ in range(12):
            fleet.run(6)
            fleet.change_leader()
        self.assertThat(phase_of(store), _FAILED)
        started = len(fleet.starts[key(0)])
        self.assertThat(started, matchers.LessThan(MOST_STARTS + 1))

    def test_late_workers_and_new_leaders_lose_no_crash(self) -> None:
        """The record tells a new leader of a loss that it did not see."""
        store = store_with(job(step(4)))
        fleet = CrashingFleet(store, workers(6), is_first, back_after_s=6.5)
        for _ in range(20):
            fleet.run(5)
            fleet.change_leader()
        started = len(fleet.starts[key(0)])
        self.assertThat(started, matchers.LessThan(MOST_STARTS + 1))
        self.assertThat(phase_of(store), _FAILED)

    def test_order_of_an_earlier_leader_hides_no_start(self) -> None:
        """The order was carried out, so it does not explain a later crash."""
        store = store_with()
        fleet = CrashingFleet(store, workers(6), is_first)
        fleet.run(1)
        vms = tuple(worker.vm for worker in fleet.up)
        names = tuple(worker.name for worker in fleet.up)
        term = fleet.lead.term
        commit(store, RecordVmOrders(term, vms, workers=names))
        commit(store, RecordVmOrders(term, (), answered=vms))
        fleet.change_leader()
        commit(store, AddJob(job(step(2)), QUEUE))
        fleet.run(5)
        self.assertThat(crash_counts(store)[0], matchers.Equals(1))

    def test_loss_that_is_explained_counts_no_more(self) -> None:
        """A worker that was cut off returns before the loss is settled."""
        store = store_with(job(serving_step(1)))
        fleet = CrashingFleet(store, workers(4), crashes_nothing)
        fleet.run(2)
        cut = [worker for worker in fleet.up if worker.running]
        for worker in cut:
            fleet.lead.workers.pop(worker.name)
        fleet.run(OUTAGE_S)
        self.assertThat(crash_counts(store), matchers.Equals([1]))
        for returned in cut:
            returned.running.clear()
            fleet.lead.workers[returned.name] = returned
        fleet.run(1)
        self.assertThat(crash_counts(store), matchers.Equals([0]))


class TestStepKinds(testtools.TestCase):
    """Other kinds of steps that crash their workers."""

    def test_gang_with_such_a_member_is_given_up(self) -> None:
        """The members on other workers do not count as the cause."""
        gang = step(4, is_gang=True, cpu_millicores=9000)
        store = store_with(job(gang))
        fleet = CrashingFleet(store, workers(6), is_first)
        fleet.run(_LONG_S)
        self.assertThat(phase_of(store), _FAILED)
        started = len(fleet.starts[key(0)])
        self.assertThat(started, matchers.LessThan(MOST_STARTS + 1))
        self.assertThat(crash_counts(store)[1:], matchers.Equals([0, 0, 0]))

    def test_copies_do_not_add_to_the_starts(self) -> None:
        """A run that may have crashed its worker is not copied elsewhere."""
        store = store_with(job(step(4, has_copies=True)))
        fleet = CrashingFleet(store, workers(6), is_first)
        fleet.run(_LONG_S)
        self.assertThat(phase_of(store), _FAILED)
        started = len(fleet.starts[key(0)])
        self.assertThat(started, matchers.LessThan(MOST_STARTS + 1))

    def test_serving_task_that_crashes_its_workers_costs_no_other(self) -> None:
        """Its job continues, and it is isolated from other tasks."""
        store = store_with(job(serving_step(3)), job(step(4), job_id=OTHER_JOB))
        fleet = CrashingFleet(store, workers(8), is_first, work_s=3.0)
        fleet.run(_LONG_S)
        self.assertThat(phase_of(store), _ACTIVE)
        self.assertThat(phase_of(store, OTHER_JOB), _COMPLETED)
        for index in (1, 2):
            crashed = fleet.crashed[key(index)]
            self.assertThat(crashed, matchers.HasLength(0))

    def test_serving_task_outlives_the_crashes_of_its_vms(self) -> None:
        """A task that ran for long before each crash is not the cause."""
        store = store_with(job(serving_step(1)))
        fleet = CrashingFleet(store, workers(6), crashes_nothing)
        for _ in range(8):
            fleet.run(20)
            fleet.crash_workers(worker for worker in fleet.up if worker.running)
        fleet.run(10)
        self.assertThat(phase_of(store), _ACTIVE)
        self.assertThat(crash_counts(store), matchers.Equals([0]))
        self.assertThat(fleet.crashed[key(0)], matchers.HasLength(8))

    def test_serving_tasks_beside_crashes_go_on(self) -> None:
        """Tasks that crash a pool's workers fail none of its serving jobs."""
        ids = [f'{number:016x}' for number in range(6)]
        store = store_with(
            job(serving_step(3)),
            *(job(step(2), job_id=one) for one in ids),
        )
        fleet = CrashingFleet(
            store,
            workers(6),
            lambda task: task.job_id in ids,
        )
        fleet.run(90)
        self.assertThat(phase_of(store), _ACTIVE)
        for one in ids:
            self.assertThat(phase_of(store, one), _FAILED)
        running = [run for worker in fleet.up for run in worker.running]
        self.assertThat(running, matchers.HasLength(3))


class TestIsolation(testtools.TestCase):
    """How tasks that may crash their workers are isolated."""

    def test_after_two_crashes_a_task_runs_alone(self) -> None:
        """The third crash affects no run of another job."""
        ids = [f'{number:016x}' for number in range(1, 12)]
        store = store_with(
            job(step(1)), *(job(step(6), job_id=one) for one in ids)
        )
        fleet = CrashingFleet(store, workers(6), is_first, work_s=3.0)
        crashes = 0
        while phase_of(store) is JobPhase.ACTIVE and fleet.lead.now_s < _LONG_S:
            fleet.round()
            if len(fleet.crashed[key(0)]) > crashes:
                crashes = len(fleet.crashed[key(0)])
                worker = fleet.crashed[key(0)][-1]
                beside = [
                    task
                    for task, on in fleet.crashed.items()
                    if worker in on and task.job_id != JOB
                ]
                if max(crash_counts(store)) > 1:
                    self.assertThat(beside, matchers.HasLength(0))
        self.assertThat(phase_of(store), _FAILED)

    def test_next_leader_lets_it_run_alone_too(self) -> None:
        """It knows of the crashes, though not when they happened."""
        beside = step(14, cpu_millicores=4000)
        store = store_with(job(beside, job_id=OTHER_JOB))
        fleet = CrashingFleet(store, workers(4), is_first, work_s=4.0)
        fleet.run(1)
        commit(store, AddJob(job(step(1)), QUEUE))
        crashes = tuple(
            RunCrashed(key(0), run, CrashEvidence.BESIDE_OTHERS)
            for run in (1, 2)
        )
        start = RunStarted(key(0), 2, 'gone', 'vm-gone')
        commit(store, RecordRuns(TERM, starts=(start,), crashes=crashes))
        ended = RunEnded(key(0), 2, 'gone', RunEnd.LOST)
        commit(store, RecordRuns(TERM, ends=(ended,)))
        fleet.change_leader()
        while not fleet.crashed[key(0)]:
            fleet.round()
        self.assertThat(fleet.crashed, matchers.HasLength(1))

    def test_worker_is_kept_that_can_take_the_task(self) -> None:
        """It has the label and the resources that the task needs."""
        large = workers(8)
        for number, worker in enumerate(large):
            worker.kind = 'large' if number in {5, 6, 7} else 'small'
            # Sorted by name alone, the small ones would come first.
            worker.name = f'{worker.kind != "small"}{number}'
            worker.cpu_millicores = 4000 if number == 5 else 16_000
        store = store_with(
            job(step(1, label='large', cpu_millicores=8000)),
        )
        fleet = CrashingFleet(store, large, is_first)
        fleet.run(_SOON_S)
        self.assertThat(phase_of(store), _FAILED)

    def test_most_of_a_pool_stays_open(self) -> None:
        """Isolated tasks leave two thirds of the pool to others."""
        bad = [f'{number:016x}' for number in range(6)]
        good = [f'{number:016x}' for number in range(6, 20)]
        store = store_with(
            *(job(step(1), job_id=one) for one in (*bad, *good)),
        )
        fleet = CrashingFleet(
            store, workers(9), lambda task: task.job_id in bad
        )
        fleet.run(40)
        for one in good:
            self.assertThat(phase_of(store, one), _COMPLETED)


class TestRecord(testtools.TestCase):
    """The replicated record of crashes."""

    def test_snapshot_keeps_what_counts(self) -> None:
        """A process that starts from a snapshot keeps the counts."""
        store = store_with(job(step(4)))
        fleet = CrashingFleet(store, workers(6), is_first)
        while not any(crash_counts(store)):
            fleet.round()
        restored = JobStore()
        restored.restore(store.snapshot())
        self.assertThat(
            crash_counts(restored), matchers.Equals(crash_counts(store))
        )
        assigned = restored.jobs[JOB].occurrences[0][0]
        before = store.jobs[JOB].occurrences[0][0]
        self.assertThat(
            [task.vm for task in assigned],
            matchers.Equals([task.vm for task in before]),
        )
